package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

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

// entry is a daemon of an entry VM and the links to and from it.
type entry struct {
	name         string
	settingsFile string
	logFile      string
	// callerLink carries callers' calls to the daemon and listens at callerAddress. The other
	// links carry the daemon's calls to the table and to the machines service.
	callerLink, tableLink, machinesLink *link.Link
	callerAddress                       netip.AddrPort

	mu sync.Mutex
	// command is the latest process; exited is closed once it has ended.
	command *exec.Cmd
	exited  chan struct{}
}

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

// fleet is the system under test: daemons, VMs, the stand-ins of the platform and the links
// between them.
type fleet struct {
	binary          string
	folder          string
	table           *standin.Table
	machinesService *standin.Machines
	checker         *Checker
	entries         []*entry
	machines        []*machine
	rng             *rand.Rand
	servers         []*http.Server
	group           supervisor.Group
	configVersion   int
	// policyFile is the daemons' policy file; an empty string means none.
	policyFile string
	// mu guards rng, evacuated and hot. evacuated counts the evacuation requests in force for
	// each availability zone, hot the load faults that make each account hot.
	mu        sync.Mutex
	evacuated map[job.ZoneName]int
	hot       map[job.AccountName]int
}

// zone returns the availability zone of the i-th daemon or machine.
func (f *fleet) zone(i int) job.ZoneName { return job.ZoneName(rune('a' + i%3)) }

// serve serves h at a free loopback address until the fleet is closed.
func (f *fleet) serve(h http.Handler) (netip.AddrPort, error) {
	l, err := listen()
	if err != nil {
		return netip.AddrPort{}, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, s)
	f.group.Go(func() { _ = s.Serve(l) }) // Returns when the fleet is closed.
	return netip.MustParseAddrPort(l.Addr().String()), nil
}

// allocatedAddresses are the addresses that were given to any fleet of this process. A fleet
// starts to listen at some of its addresses only later. Without this record another fleet
// could get the same address, and its connections would reach the wrong fleet.
var allocatedAddresses sync.Map

// listen listens at a loopback address that was not allocated before.
func listen() (net.Listener, error) {
	for {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "listen on loopback")
		}
		if _, before := allocatedAddresses.LoadOrStore(l.Addr().String(), true); !before {
			return l, nil
		}
		// This listener stays open until listen returns, so that the next attempt gets another
		// port.
		defer l.Close() //nolint:errcheck // Nothing was written.
	}
}

// freeAddress allocates a loopback address at which nothing listens.
func freeAddress() (netip.AddrPort, error) {
	l, err := listen()
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer l.Close() //nolint:errcheck // Nothing was written.
	return netip.MustParseAddrPort(l.Addr().String()), nil
}

// addLink starts a link that forwards connections from a free address to target.
func (f *fleet) addLink(ctx context.Context, name string, target netip.AddrPort) (*link.Link, netip.AddrPort, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, address, err
	}
	l := link.New(name)
	f.group.Go(func() { f.serveLink(ctx, l, link.Forward{Listen: address, Target: target}) })
	return l, address, nil
}

const (
	// maxLinkAttempts and linkRetryDelay bound how long a link waits for its port. While the
	// link refuses callers, a connection may occupy the port.
	maxLinkAttempts = 100
	linkRetryDelay  = 50 * time.Millisecond
)

// serveLink serves a link until ctx ends.
func (f *fleet) serveLink(ctx context.Context, l *link.Link, forward link.Forward) {
	var err error
	for range maxLinkAttempts {
		if err = l.Serve(ctx, forward); err == nil || !supervisor.Sleep(ctx, linkRetryDelay) {
			return
		}
	}
	f.checker.Reportf("%v", err)
}

// build starts the stand-ins, VMs and links, and writes the settings of the daemons. It does
// not start the daemons.
func (f *fleet) build(ctx context.Context, entries, machines int) error {
	table, err := f.serve(f.table)
	if err != nil {
		return err
	}
	machinesAddress, err := f.serve(f.machinesService)
	if err != nil {
		return err
	}
	f.reconfigure()
	for i := range machines {
		if err := f.addMachine(ctx, i); err != nil {
			return err
		}
	}
	f.publishMachines()
	for i := range entries {
		if err := f.addEntry(ctx, i, table, machinesAddress); err != nil {
			return err
		}
	}
	f.group.Go(func() { _ = supervisor.Every(ctx, tickInterval, f.tick) })
	f.group.Go(func() { _ = supervisor.Every(ctx, heartbeatInterval, func(context.Context) { f.heartbeat() }) })
	return nil
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

// reconfigure writes the configuration with a new version.
func (f *fleet) reconfigure() {
	f.configVersion++
	f.table.Put(standin.ConfigurationRow, standin.Configuration(f.configVersion))
}

// evacuate adds a request to start no tasks in the zone.
func (f *fleet) evacuate(z job.ZoneName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.evacuated == nil {
		f.evacuated = map[job.ZoneName]int{}
	}
	f.evacuated[z]++
	if f.evacuated[z] == 1 {
		f.table.Put(standin.EvacuationRow(z), []byte("{}"))
		f.checker.Evacuated(z)
	}
}

// reopen withdraws one request. The zone reopens with the last one.
func (f *fleet) reopen(z job.ZoneName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated[z]--
	if f.evacuated[z] == 0 {
		f.checker.Reopened(z)
		f.table.Put(standin.EvacuationRow(z), nil)
	}
}

// addEntry sets up the links and the settings file of a daemon.
func (f *fleet) addEntry(ctx context.Context, i int, table, machinesAddress netip.AddrPort) error {
	e := &entry{name: fmt.Sprintf("entry-%d", i), exited: make(chan struct{})}
	close(e.exited)
	daemonAddress, err := freeAddress()
	if err != nil {
		return err
	}
	ready, err := freeAddress()
	if err != nil {
		return err
	}
	var tableAt, machinesAt netip.AddrPort
	if e.tableLink, tableAt, err = f.addLink(ctx, e.name+"-table", table); err != nil {
		return err
	}
	if e.machinesLink, machinesAt, err = f.addLink(ctx, e.name+"-machines", machinesAddress); err != nil {
		return err
	}
	if e.callerLink, e.callerAddress, err = f.addLink(ctx, e.name+"-front", daemonAddress); err != nil {
		return err
	}
	e.settingsFile = filepath.Join(f.folder, e.name+".toml")
	e.logFile = filepath.Join(f.folder, e.name+".log")
	f.entries = append(f.entries, e)
	peer, err := freeAddress()
	if err != nil {
		return err
	}
	text := standin.SettingsText(e.name, string(f.zone(i)), peer, daemonAddress.String(), ready.String(), tableAt.String(), machinesAt.String())
	return errors.Wrap(os.WriteFile(e.settingsFile, []byte(text), 0o600), "write settings of daemon")
}

// startDaemon starts a daemon unless it is running.
func (f *fleet) startDaemon(e *entry) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.exited:
	default:
		return nil
	}
	out, err := os.OpenFile(e.logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log of daemon")
	}
	arguments := []string{e.settingsFile}
	if f.policyFile != "" {
		arguments = append(arguments, policyFlag, f.policyFile)
	}
	c := exec.Command(f.binary, arguments...)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return errors.Wrap(err, "start daemon")
	}
	exited := make(chan struct{})
	e.command, e.exited = c, exited
	f.group.Go(func() {
		_ = c.Wait() // A killed daemon returns an error, which is expected.
		_ = out.Close()
		close(exited)
	})
	return nil
}

// signal sends a signal to the daemon if it is running.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.exited:
	default:
		_ = e.command.Process.Signal(s) // The process may have just ended.
	}
}

// waitExit waits until the daemon has ended, and reports whether it did within timeout.
func (e *entry) waitExit(timeout time.Duration) bool {
	e.mu.Lock()
	exited := e.exited
	e.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// close kills all daemons, closes all servers, and waits for all goroutines of the fleet.
func (f *fleet) close() {
	for _, e := range f.entries {
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.group.Wait()
}
