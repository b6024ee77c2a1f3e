package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// changed returns the event for a row that was read.
func changed(row table.Row) RowsChanged {
	vm, err := DecodeVM(row)
	if err != nil {
		panic(err)
	}
	return RowsChanged{Rows: []*VMRow{&vm}}
}

// timedEvent is an event in the history of the naive implementation.
type timedEvent struct {
	at    time.Time
	event Event
}

// naiveTargets is a slow and simple reference implementation that walks through the whole
// history for each VM. A VM may be given work if its newest row has the state Serving and
// no event since the row entered that state excludes the VM.
func naiveTargets(history []timedEvent, vms []core.VMID) []core.VMID {
	var targets []core.VMID
	for _, vm := range vms {
		if naiveAcceptsWork(history, vm) {
			targets = append(targets, vm)
		}
	}
	return targets
}

func naiveAcceptsWork(history []timedEvent, vm core.VMID) bool {
	row := &VMRow{}
	var listed, leaving, gone, held bool
	var heldAt time.Time
	for _, s := range history {
		switch e := s.event.(type) {
		case RowsChanged:
			next := e.Rows[0]
			switch {
			case next.Ref.VM != vm || next.Row.Version <= row.Row.Version:
			case row.VM.State != Serving && next.VM.State == Serving:
				listed, gone, held = false, false, false
				row = next
			default:
				row = next
			}
		case Listed:
			i := slices.IndexFunc(e.VMs, func(l ListedVM) bool { return l.VM == vm })
			gone = i < 0 && (listed || gone)
			leaving = i >= 0 && e.VMs[i].Leaving
			listed = listed || i >= 0
		case Refused:
			if e.VM == vm {
				held, heldAt = true, s.at
			}
		case Unreachable:
			if e.VM == vm {
				held, heldAt = true, s.at
			}
		case Accepted:
			if e.VM == vm && e.SentAt.After(heldAt) {
				held = false
			}
		}
	}
	return row.Exists() && row.VM.State == Serving && !leaving && !gone && !held
}

// TestMembershipMatchesNaive feeds rows, live lists and connection outcomes to a
// Membership in random order, with answers that arrive out of order. After each event, its
// targets must equal those that the naive implementation computes from the whole history.
func TestMembershipMatchesNaive(t *testing.T) {
	vms := []core.VMID{"v0", "v1", "v2", "v3"}
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 3))
		var m Membership
		var history []timedEvent
		now := testStart
		versions := make([]core.Version, len(vms))
		handle := func(e Event) {
			m.Handle(now, e)
			history = append(history, timedEvent{now, e})
		}
		row := func(i int, s State) table.Row {
			versions[i]++
			return table.MustRow(table.VMKey("z", vms[i]), versions[i], VM{State: s})
		}
		for i := range vms {
			handle(changed(row(i, Serving)))
		}
		for range 100 {
			now = now.Add(time.Duration(r.IntN(3)) * time.Second)
			i := r.IntN(len(vms))
			handle([]func() Event{
				func() Event {
					return changed(row(i, []State{Serving, Serving, Draining, Failed}[r.IntN(4)]))
				},
				func() Event {
					var l Listed
					for _, vm := range vms {
						if r.IntN(5) > 0 {
							l.VMs = append(l.VMs, ListedVM{VM: vm, Leaving: r.IntN(5) == 0})
						}
					}
					return l
				},
				func() Event { return Refused{VM: vms[i]} },
				func() Event { return Unreachable{VM: vms[i]} },
				func() Event {
					return Accepted{VM: vms[i], SentAt: now.Add(-time.Duration(r.IntN(4)) * time.Second)}
				},
			}[r.IntN(5)]())
			var got []core.VMID
			for _, target := range m.Targets() {
				got = append(got, target.VM)
			}
			want := naiveTargets(history, vms)
			assert.Assert(t, slices.Equal(got, want), "seed %d: got targets %v, want %v", seed, got, want)
		}
	}
}

// TestEachSourceDetectsLeavingVM checks that each source alone excludes a leaving VM. Work
// that is sent to a leaving VM is refused and delayed. With the source disabled, the VM
// must remain a target, which shows that this source is the one that excludes it.
func TestEachSourceDetectsLeavingVM(t *testing.T) {
	serving := table.MustRow(table.VMKey("z", "v"), 1, VM{State: Serving})
	draining := table.MustRow(table.VMKey("z", "v"), 2, VM{State: Draining})
	for _, c := range []struct {
		name    string
		event   Event
		without Membership
	}{
		{"row", changed(draining), Membership{}},
		{"list", Listed{VMs: []ListedVM{{VM: "v", Leaving: true}}}, Membership{ignoreList: true}},
		{"no longer listed", Listed{}, Membership{ignoreList: true}},
		{"refusal", Refused{VM: "v"}, Membership{ignoreConnections: true}},
		{"refused connection", Unreachable{VM: "v"}, Membership{ignoreConnections: true}},
	} {
		with := Membership{}
		for i, m := range []*Membership{&with, &c.without} {
			m.Handle(testStart, changed(serving))
			m.Handle(testStart, Listed{VMs: []ListedVM{{VM: "v"}}})
			assert.Equal(t, len(m.Targets()), 1, c.name)
			m.Handle(testStart.Add(time.Second), c.event)
			if i == 0 {
				assert.Equal(t, len(m.Targets()), 0, c.name)
			} else if c.name != "row" {
				assert.Equal(t, len(m.Targets()), 1, "%s: another source also excludes the VM", c.name)
			}
		}
	}
}

// TestProbes checks that a VM that refused is probed at growing intervals, and becomes a
// target again only by an answer to a probe that was sent after the refusal.
func TestProbes(t *testing.T) {
	var m Membership
	m.Handle(testStart, changed(table.MustRow(table.VMKey("z", "v"), 1, VM{State: Serving})))
	m.Handle(testStart, Refused{VM: "v"})
	var probedAt []string
	for s := range 40 {
		now := testStart.Add(time.Duration(s) * time.Second)
		if len(m.Probes(now)) > 0 {
			probedAt = append(probedAt, fmt.Sprint(s))
		}
	}
	assert.DeepEqual(t, probedAt, []string{"1", "2", "4", "7", "11", "16", "22", "29", "37"})
	m.Handle(testStart, Accepted{VM: "v", SentAt: testStart})
	assert.Equal(t, len(m.Targets()), 0, "an answer to a probe sent before the refusal must not lift the hold")
	m.Handle(testStart, Accepted{VM: "v", SentAt: testStart.Add(time.Second)})
	assert.Equal(t, len(m.Targets()), 1)
}
