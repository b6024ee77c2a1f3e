package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core/job"
	"lavenderpond/io/link"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform/standin"
)

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
	// spares are machines that arrive later, if at all.
	spares []*machine
	// listChanged is set if the list of machines is to be published before the next heartbeat.
	listChanged atomic.Bool
	// publishing is held while the list of machines is published.
	publishing    sync.Mutex
	rng           *rand.Rand
	servers       []*http.Server
	group         supervisor.Group
	configVersion int
	// policyFile is the daemons' policy file; an empty string means none.
	policyFile string
	// mu guards rng, evacuated, hot and waves. evacuated counts the evacuation requests in force for
	// each availability zone, hot the load faults that make each account hot.
	mu        sync.Mutex
	evacuated map[job.ZoneName]int
	hot       map[job.AccountName]int
	waves     []standin.WaveBody
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
	for i := range machines + spareMachines {
		m, err := f.addMachine(ctx, i)
		if err != nil {
			return err
		}
		if i >= machines {
			f.spares = append(f.spares, m)
			continue
		}
		f.machines = append(f.machines, m)
		f.arrive(m)
	}
	f.publishMachines()
	if err := (&oddEntries{f: f}).start(ctx); err != nil {
		return err
	}
	for i := range entries {
		if err := f.addEntry(ctx, i, table, machinesAddress); err != nil {
			return err
		}
	}
	f.group.Go(func() { _ = supervisor.Every(ctx, tickInterval, f.tick) })
	f.group.Go(func() { _ = supervisor.Every(ctx, heartbeatInterval, func(context.Context) { f.heartbeat() }) })
	return nil
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
