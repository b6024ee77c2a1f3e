package soak

import (
	"context"
	"fmt"
	"net/http"
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
)

// machine is a machine that runs one VM at a time. After a crash it gets a new one.
type machine struct {
	name string
	zone job.ZoneName
	link *link.Link
	// ignoresCapacity is set if its VMs also start tasks that exceed their capacity.
	ignoresCapacity bool

	mu sync.Mutex
	// vm is the latest VM, which has ended if down is set. idCount numbers the IDs of VMs.
	vm      *standin.VM
	down    bool
	idCount int
	address string
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

// addMachine adds the i-th machine and starts a VM on it. The VMs of every second machine ignore
// their capacity.
func (f *fleet) addMachine(ctx context.Context, i int) error {
	m := &machine{name: fmt.Sprintf("m-%d", i), zone: f.zone(i), ignoresCapacity: i%2 == 1}
	at, err := f.serve(m)
	if err != nil {
		return err
	}
	l, address, err := f.addLink(ctx, m.name, at)
	if err != nil {
		return err
	}
	m.link, m.address = l, address.String()
	f.machines = append(f.machines, m)
	f.startVM(m, false)
	return nil
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
	case !m.down:
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

// tick advances all VMs, and restarts those that a task has crashed.
func (f *fleet) tick(ctx context.Context) {
	for _, m := range f.machines {
		vm, down := m.currentVM()
		if !down && !vm.Tick(tickInterval) {
			f.crashVM(m, vm)
			f.group.Go(func() { f.restartAfterCrash(ctx, m) })
		}
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
	for _, m := range f.machines {
		m.mu.Lock()
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
	var list []job.Machine
	for _, m := range f.machines {
		m.mu.Lock()
		listed := job.Machine{ID: job.MachineID(m.name), Pool: standin.Pool, State: job.MachineUp, Zone: m.zone, VM: m.vm.ID, Capacity: job.Resources{CPU: vmCapacity}}
		if m.down {
			listed.State, listed.VM = "down", ""
		}
		m.mu.Unlock()
		list = append(list, listed)
	}
	f.machinesService.Set(list)
}
