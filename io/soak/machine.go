package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/io/link"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform/standin"
)

const (
	// vmCapacity is the full capacity of a VM in thousandths of a core.
	vmCapacity = 16_000
	// tickInterval is the interval at which VMs update their tasks.
	tickInterval = 10 * time.Millisecond
	// heartbeatInterval is the interval at which a VM writes its row to the table.
	heartbeatInterval = 1500 * time.Millisecond
	// minDowntime and maxDowntime bound how long a VM is down after a task has crashed it.
	minDowntime = time.Second
	maxDowntime = 5 * time.Second
	// maintenancePeriod is how long maintenance takes, as upkeep_s in the settings says.
	maintenancePeriod = 2 * time.Second
)

// machine is a machine that runs one VM at a time. After a crash or its maintenance it gets a new
// one.
type machine struct {
	name string
	zone job.ZoneName
	link *link.Link
	// ignoresCapacity is set if its VMs also start tasks that exceed their capacity.
	ignoresCapacity bool

	mu sync.Mutex
	// arrived is set once the machine exists, and departed once it has left.
	arrived, departed bool
	// maintainedUntil is when the current maintenance ends; the zero time means that there is none.
	maintainedUntil time.Time
	// vm is the latest VM, which has ended if down is set. idCount numbers the IDs of VMs.
	vm      *standin.VM
	down    bool
	idCount int
	address string
}

func (m *machine) id() job.MachineID { return job.MachineID(m.name) }

// present reports whether the machine exists.
func (m *machine) present() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.arrived && !m.departed
}

// idle reports whether the machine has not arrived yet.
func (m *machine) idle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.arrived
}

// currentVM returns the latest VM, and whether it is down.
func (m *machine) currentVM() (vm *standin.VM, down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.vm, m.down
}

// ServeHTTP passes requests to the current VM. It does not answer while the VM is down.
func (m *machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	vm, down := m.currentVM()
	if down {
		<-r.Context().Done()
		return
	}
	vm.ServeHTTP(w, r)
}

// addMachine returns the i-th machine, which has not arrived yet. The VMs of every second machine
// ignore their capacity.
func (f *fleet) addMachine(ctx context.Context, i int) (*machine, error) {
	m := &machine{name: fmt.Sprintf("m-%d", i), zone: f.zone(i), ignoresCapacity: i%2 == 1}
	at, err := f.serve(m)
	if err != nil {
		return nil, err
	}
	l, address, err := f.addLink(ctx, m.name, at)
	if err != nil {
		return nil, err
	}
	m.link, m.address = l, address.String()
	return m, nil
}

// arrive makes a machine exist and starts a VM on it.
func (f *fleet) arrive(m *machine) {
	m.mu.Lock()
	m.arrived = true
	m.mu.Unlock()
	f.checker.MachineArrived(m.id())
	f.startVM(m, false)
	f.publishMachines()
}

// depart takes a machine away for good.
func (f *fleet) depart(m *machine) {
	m.mu.Lock()
	m.departed, m.down = true, true
	m.vm.Die()
	m.mu.Unlock()
	f.checker.MachineLeft(m.id())
	f.publishMachines()
}

// presentMachines returns the machines that exist.
func (f *fleet) presentMachines() []*machine {
	return slices.DeleteFunc(f.allMachines(), func(m *machine) bool { return !m.present() })
}

// allMachines returns all machines, also those that have not arrived or have left.
func (f *fleet) allMachines() []*machine { return slices.Concat(f.machines, f.spares) }

// Maintain implements standin.MachineHost.
func (f *fleet) Maintain(id job.MachineID, wave int64) bool {
	all := f.allMachines()
	m := all[slices.IndexFunc(all, func(m *machine) bool { return m.id() == id })]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return false
	}
	f.checker.MaintenanceBegan(id, wave)
	m.down, m.maintainedUntil = true, time.Now().Add(maintenancePeriod)
	m.vm.Terminate()
	f.listChanged.Store(true)
	return true
}

// endMaintenance starts a new VM on a machine whose maintenance is over.
func (f *fleet) endMaintenance(m *machine) {
	m.mu.Lock()
	over := !m.maintainedUntil.IsZero() && time.Now().After(m.maintainedUntil)
	if over {
		m.maintainedUntil = time.Time{}
		f.checker.MaintenanceEnded(m.id())
	}
	m.mu.Unlock()
	if over {
		f.startVM(m, false)
		f.listChanged.Store(true)
	}
}

// startVM starts a VM on a machine that has none or whose VM is down, under the previous ID
// or a new one.
func (f *fleet) startVM(m *machine, sameID bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.vm == nil:
		m.idCount++
	case !m.down, m.departed, !m.maintainedUntil.IsZero():
		return
	case !sameID:
		f.table.Put(standin.VMRow(m.vm.ID), nil)
		m.idCount++
	}
	m.vm = standin.NewVM(job.VMID(fmt.Sprintf("vm-%s-%d", m.name, m.idCount)), vmCapacity, f.checker, f.rng)
	m.vm.IgnoresCapacity = m.ignoresCapacity
	m.down = false
	f.checker.Placed(m.vm.ID, Placement{Zone: m.zone, Capacity: vmCapacity, IgnoresCapacity: m.ignoresCapacity})
}

// crashVM ends the VM of a machine, if vm is still the current one.
func (f *fleet) crashVM(m *machine, vm *standin.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.vm == vm {
		m.down = true
		vm.Die()
	}
}

// resizeVM changes the capacity of the VM on a machine.
func (f *fleet) resizeVM(m *machine, capacity int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vm.Resize(capacity)
	f.checker.Resized(m.vm.ID, capacity)
}

// tick advances all VMs, and restarts those that a task has crashed and those whose machine was
// maintained.
func (f *fleet) tick(ctx context.Context) {
	for _, m := range f.allMachines() {
		f.endMaintenance(m)
		vm, down := m.currentVM()
		if vm != nil && !down && !vm.Tick(tickInterval) {
			f.crashVM(m, vm)
			f.group.Go(func() { f.restartAfterCrash(ctx, m) })
		}
	}
	if f.listChanged.Swap(false) {
		f.publishMachines()
	}
}

// restartAfterCrash starts a new VM after a random downtime, under the previous ID or a new
// one.
func (f *fleet) restartAfterCrash(ctx context.Context, m *machine) {
	f.mu.Lock()
	downtime := minDowntime + time.Duration(f.rng.Int64N(int64(maxDowntime-minDowntime)))
	sameID := f.rng.IntN(2) == 0
	f.mu.Unlock()
	supervisor.Sleep(ctx, downtime)
	f.startVM(m, sameID)
}

// heartbeat writes the rows of VMs that are up, and removes the rows of others.
func (f *fleet) heartbeat() {
	for _, m := range f.allMachines() {
		m.mu.Lock()
		if m.vm == nil {
			m.mu.Unlock()
			continue
		}
		row := standin.VMRow(m.vm.ID)
		if m.down {
			f.table.Put(row, nil)
		} else {
			f.table.Put(row, m.vm.RowValue(standin.Pool, m.address, string(m.zone), m.name, time.Now().UnixMilli()))
		}
		m.mu.Unlock()
	}
	f.publishMachines()
}

// publishMachines updates the list of machines of the stand-in for the machines service.
func (f *fleet) publishMachines() {
	f.publishing.Lock()
	defer f.publishing.Unlock()
	var list []job.Machine
	for _, m := range f.presentMachines() {
		m.mu.Lock()
		listed := job.Machine{ID: m.id(), Pool: standin.Pool, State: job.MachineUp, Zone: m.zone, VM: m.vm.ID, Capacity: job.Resources{CPU: vmCapacity}}
		switch {
		case !m.maintainedUntil.IsZero():
			listed.State, listed.VM = job.MachineMaintenance, ""
		case m.down:
			listed.State, listed.VM = job.MachineDown, ""
		}
		m.mu.Unlock()
		list = append(list, listed)
	}
	f.machinesService.Set(list)
}
