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

// fault is one kind of trouble: it strikes and, after a while, heals.
type fault struct {
	name string
	// strike begins it and returns what heals it.
	strike func(f *fleet, rng *rand.Rand) (what string, heal func())
	// longer is how much longer than others it lasts.
	longer time.Duration
}

const (
	// faultLeast and faultMost bound how long a fault lasts.
	faultLeast = 300 * time.Millisecond
	faultMost  = 5 * time.Second
	// faultPause is the mean pause between the beginnings of two faults, so that
	// about three go on at a time.
	faultPause = 800 * time.Millisecond
	// stopPatience is how long a daemon may take to stop: the platform kills it after
	// six seconds.
	stopPatience = 6 * time.Second
)

// harms are what can be done to a link.
var harms = []link.State{link.Refused, link.Silent, link.Held, link.Deaf}

// faults are all kinds. The order must not change: seeds choose by it.
var faults = []fault{
	{name: "kill", strike: func(f *fleet, rng *rand.Rand) (string, func()) {
		e := f.entries[rng.IntN(len(f.entries))]
		e.signal(syscall.SIGKILL)
		return e.name, func() { f.restart(e) }
	}},
	{name: "stop", strike: func(f *fleet, rng *rand.Rand) (string, func()) {
		e := f.entries[rng.IntN(len(f.entries))]
		e.signal(syscall.SIGTERM)
		return e.name, func() { f.restart(e) }
	}},
	{name: "pause", strike: func(f *fleet, rng *rand.Rand) (string, func()) {
		e := f.entries[rng.IntN(len(f.entries))]
		e.signal(syscall.SIGSTOP)
		return e.name, func() { e.signal(syscall.SIGCONT) }
	}},
	{name: "cut_from_table", strike: func(f *fleet, rng *rand.Rand) (string, func()) {
		e := f.entries[rng.IntN(len(f.entries))]
		return harm(e.table, e.name, rng)
	}},
	{name: "cut_from_callers", strike: func(f *fleet, rng *rand.Rand) (string, func()) {
		e := f.entries[rng.IntN(len(f.entries))]
		return harm(e.front, e.name, rng)
	}},
	{name: "cut_vm", strike: func(f *fleet, rng *rand.Rand) (string, func()) {
		m := f.machines[rng.IntN(len(f.machines))]
		return harm(m.link, m.name, rng)
	}},
	{name: "cut_zone", strike: func(f *fleet, rng *rand.Rand) (string, func()) {
		zone := f.zone(rng.IntN(3))
		for _, m := range f.machines {
			if m.zone == zone {
				m.link.Set(link.Silent, 0)
			}
		}
		return string(zone), func() {
			for _, m := range f.machines {
				m.link.Set(link.Open, 0)
			}
		}
	}},
	{name: "delay", strike: func(f *fleet, rng *rand.Rand) (string, func()) {
		e := f.entries[rng.IntN(len(f.entries))]
		e.table.Set(link.Open, time.Duration(rng.Int64N(int64(400*time.Millisecond))))
		return e.name, func() { e.table.Set(link.Open, 0) }
	}},
	{name: "table", strike: func(f *fleet, rng *rand.Rand) (string, func()) {
		kind := standin.TableFault(1 + rng.IntN(int(standin.TableSlow)))
		f.table.SetFault(kind)
		return fmt.Sprint(int(kind)), func() { f.table.SetFault(standin.TableHealthy) }
	}},
	{name: "history", strike: func(f *fleet, _ *rand.Rand) (string, func()) {
		f.table.DropHistory()
		return "", func() {}
	}},
	{name: "crash_vm", strike: func(f *fleet, rng *rand.Rand) (string, func()) {
		m := f.machines[rng.IntN(len(f.machines))]
		same := rng.IntN(2) == 0
		vm, _ := m.life()
		f.crash(m, vm)
		return fmt.Sprint(m.name, " same id ", same), func() { f.bear(m, same) }
	}},
	{name: "late_orders", strike: func(f *fleet, rng *rand.Rand) (string, func()) {
		share := 0.05 + 0.2*rng.Float64()
		f.eachVM(func(v *standin.VM) { v.DelayOrders(share) })
		return fmt.Sprintf("%.2f", share), func() { f.eachVM(func(v *standin.VM) { v.DelayOrders(0) }) }
	}},
	{name: "slow_vm", strike: func(f *fleet, rng *rand.Rand) (string, func()) {
		m := f.machines[rng.IntN(len(f.machines))]
		vm, _ := m.life()
		vm.SetSlowdown(2 + 6*rng.Float64())
		return m.name, func() { vm.SetSlowdown(1) }
	}},
	{name: "configuration", strike: func(f *fleet, _ *rand.Rand) (string, func()) {
		f.reconfigure()
		return "", func() {}
	}},
	{name: "evacuate", longer: evacuateWithin, strike: func(f *fleet, rng *rand.Rand) (string, func()) {
		zone := f.zone(rng.IntN(3))
		f.evacuate(zone)
		return string(zone), func() { f.reopen(zone) }
	}},
	{name: "shrink", longer: shrinkWithin, strike: func(f *fleet, rng *rand.Rand) (string, func()) {
		room, what := rng.Int64N(vmRoom/2), ""
		for _, m := range f.machines {
			if rng.IntN(2) == 0 {
				f.resize(m, room)
				what += m.name + " "
			}
		}
		return fmt.Sprint(what, "to ", room), func() {
			for _, m := range f.machines {
				f.resize(m, vmRoom)
			}
		}
	}},
}

func harm(l *link.Link, name string, rng *rand.Rand) (string, func()) {
	s := harms[rng.IntN(len(harms))]
	l.Set(s, 0)
	return name + " " + string(s), func() { l.Set(link.Open, 0) }
}

func (f *fleet) eachVM(do func(v *standin.VM)) {
	for _, m := range f.machines {
		vm, _ := m.life()
		do(vm)
	}
}

// restart starts a daemon anew once it has ended.
func (f *fleet) restart(e *entry) {
	if !e.ended(stopPatience) {
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
		e.ended(stopPatience)
	}
	if err := f.start(e); err != nil {
		f.judge.Report("%s: %v", e.name, err)
	}
}

// trouble strikes with one fault after the other until ctx ends; it returns once
// all are healed.
func (f *fleet) trouble(ctx context.Context, rng *rand.Rand, tell func(string)) {
	var g supervisor.Group
	defer g.Wait()
	for ctx.Err() == nil {
		x := faults[rng.IntN(len(faults))]
		lasts := x.longer + faultLeast + time.Duration(rng.Int64N(int64(faultMost-faultLeast)))
		what, heal := x.strike(f, rng)
		tell(fmt.Sprintf("%s %s for %s", x.name, what, lasts.Round(time.Millisecond)))
		g.Go(func() {
			supervisor.Sleep(ctx, lasts)
			heal()
		})
		supervisor.Sleep(ctx, time.Duration(rng.ExpFloat64()*float64(faultPause)))
	}
}
