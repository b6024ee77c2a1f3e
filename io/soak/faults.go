package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"lavenderpond/io/link"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform/standin"
)

// fault is a kind of fault. It lasts for a random time.
type fault struct {
	name string
	// inject begins the fault. It returns a description and a function that ends the fault.
	inject func(f *fleet, rng *rand.Rand) (description string, end func())
	// extraDuration is added to the random duration.
	extraDuration time.Duration
}

const (
	// minFaultDuration and maxFaultDuration bound how long a fault lasts, apart from its
	// extraDuration.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 5 * time.Second
	// meanFaultInterval is the mean time between the starts of two faults, so that about
	// three are active at a time.
	meanFaultInterval = 800 * time.Millisecond
	// stopTimeout is how long a daemon may take to stop. The platform kills it after 6 s.
	stopTimeout = 6 * time.Second
)

// linkFaults are the states of a link that is broken in some way.
var linkFaults = []link.State{link.Refused, link.Silent, link.Held, link.Deaf}

// faults are all kinds of faults. Their order must not change, as seeds select by index.
var faults = []fault{
	{name: "kill", inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		e := f.entries[rng.IntN(len(f.entries))]
		e.signal(syscall.SIGKILL)
		return e.name, func() { f.restartDaemon(e) }
	}},
	{name: "stop", inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		e := f.entries[rng.IntN(len(f.entries))]
		e.signal(syscall.SIGTERM)
		return e.name, func() { f.restartDaemon(e) }
	}},
	{name: "pause", inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		e := f.entries[rng.IntN(len(f.entries))]
		e.signal(syscall.SIGSTOP)
		return e.name, func() { e.signal(syscall.SIGCONT) }
	}},
	{name: "cut_from_table", inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		e := f.entries[rng.IntN(len(f.entries))]
		return breakLink(e.tableLink, e.name, rng)
	}},
	{name: "cut_from_callers", inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		e := f.entries[rng.IntN(len(f.entries))]
		return breakLink(e.callerLink, e.name, rng)
	}},
	{name: "cut_vm", inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		m := f.machines[rng.IntN(len(f.machines))]
		return breakLink(m.link, m.name, rng)
	}},
	{name: "cut_zone", inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		zone := f.zone(rng.IntN(3))
		for _, m := range f.machines {
			if m.zone == zone {
				m.link.SetState(link.Silent, 0)
			}
		}
		return string(zone), func() {
			for _, m := range f.machines {
				m.link.SetState(link.Open, 0)
			}
		}
	}},
	{name: "delay", inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		e := f.entries[rng.IntN(len(f.entries))]
		e.tableLink.SetState(link.Open, time.Duration(rng.Int64N(int64(400*time.Millisecond))))
		return e.name, func() { e.tableLink.SetState(link.Open, 0) }
	}},
	{name: "table", inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		kind := standin.TableFault(1 + rng.IntN(int(standin.TableSlow)))
		f.table.SetFault(kind)
		return fmt.Sprint(int(kind)), func() { f.table.SetFault(standin.TableHealthy) }
	}},
	{name: "history", inject: func(f *fleet, _ *rand.Rand) (string, func()) {
		f.table.DropHistory()
		return "", func() {}
	}},
	{name: "crash_vm", inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		m := f.machines[rng.IntN(len(f.machines))]
		sameID := rng.IntN(2) == 0
		vm, _ := m.currentVM()
		f.crashVM(m, vm)
		return fmt.Sprint(m.name, " same id ", sameID), func() { f.startVM(m, sameID) }
	}},
	{name: "late_orders", inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		share := 0.05 + 0.2*rng.Float64()
		f.forEachVM(func(v *standin.VM) { v.DelayOrders(share) })
		return fmt.Sprintf("%.2f", share), func() { f.forEachVM(func(v *standin.VM) { v.DelayOrders(0) }) }
	}},
	{name: "slow_vm", inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		m := f.machines[rng.IntN(len(f.machines))]
		vm, _ := m.currentVM()
		vm.SetSlowdown(2 + 6*rng.Float64())
		return m.name, func() { vm.SetSlowdown(1) }
	}},
	{name: "configuration", inject: func(f *fleet, _ *rand.Rand) (string, func()) {
		f.reconfigure()
		return "", func() {}
	}},
	{name: "evacuate", extraDuration: evacuationLimit, inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		zone := f.zone(rng.IntN(3))
		f.evacuate(zone)
		return string(zone), func() { f.reopen(zone) }
	}},
	{name: "shrink", extraDuration: shrinkLimit, inject: func(f *fleet, rng *rand.Rand) (string, func()) {
		capacity, machines := rng.Int64N(vmCapacity/2), ""
		for _, m := range f.machines {
			if rng.IntN(2) == 0 {
				f.resizeVM(m, capacity)
				machines += m.name + " "
			}
		}
		return fmt.Sprint(machines, "to ", capacity), func() {
			for _, m := range f.machines {
				f.resizeVM(m, vmCapacity)
			}
		}
	}},
}

// breakLink puts a link into a random faulty state.
func breakLink(l *link.Link, name string, rng *rand.Rand) (string, func()) {
	s := linkFaults[rng.IntN(len(linkFaults))]
	l.SetState(s, 0)
	return name + " " + string(s), func() { l.SetState(link.Open, 0) }
}

// forEachVM calls do for the latest VM of each machine.
func (f *fleet) forEachVM(do func(v *standin.VM)) {
	for _, m := range f.machines {
		vm, _ := m.currentVM()
		do(vm)
	}
}

// restartDaemon waits for the process of a daemon to end, kills it after stopTimeout, and starts
// a new one.
func (f *fleet) restartDaemon(e *entry) {
	if !e.waitExit(stopTimeout) {
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
		e.waitExit(stopTimeout)
	}
	if err := f.startDaemon(e); err != nil {
		f.checker.Reportf("%s: %v", e.name, err)
	}
}

// injectFaults injects random faults of the given kinds until ctx ends, and returns once all
// have ended. meanInterval is the mean time between the starts of two of them.
func (f *fleet) injectFaults(ctx context.Context, kinds []fault, meanInterval time.Duration, rng *rand.Rand, report func(string)) {
	var g supervisor.Group
	defer g.Wait()
	for ctx.Err() == nil {
		kind := kinds[rng.IntN(len(kinds))]
		duration := kind.extraDuration + minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		description, end := kind.inject(f, rng)
		report(fmt.Sprintf("%s %s for %s", kind.name, description, duration.Round(time.Millisecond)))
		g.Go(func() {
			supervisor.Sleep(ctx, duration)
			end()
		})
		supervisor.Sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanInterval)))
	}
}
