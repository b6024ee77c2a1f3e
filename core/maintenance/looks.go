package maintenance

import (
	"cmp"
	"slices"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
)

// Pace of Looks.
const (
	// failedShare is the part of its time out after which a failed VM is looked at
	// again: one that is out for long is found back later by no more than that.
	failedShare = 8
	// failedMax is the longest time between two looks at a failed VM.
	failedMax = time.Minute
	// suspicionKept is for how long an answer lifts a suspicion. A list that misses
	// a whole zone would else keep every look to itself.
	suspicionKept = time.Minute
	// inTurn is how many serving VMs are due at each call even though nothing
	// speaks against them, because the live list may lag for long.
	inTurn = 4
)

// Looks paces a controller's looks at the VMs of its zone. It remembers, for VMs
// that need attention, when each was last looked at. Losing it costs looks and
// nothing else. Its zero value works. It is not safe for concurrent use.
type Looks struct {
	last map[core.VMID]look
	// next is the VM from which the looks in turn go on.
	next int
}

type look struct {
	// at is when the VM was last asked for, answered when the platform last answered.
	at, answered time.Time
}

// Due is a VM to look at.
type Due struct {
	VM *fleet.VMRow
	// Suspect VMs serve by their rows, and something speaks against them. Until they
	// were looked at, no budget is known to have room for a planned stop.
	Suspect bool
}

// urgency orders looks.
type urgency int

const (
	// suspected VMs may have failed: what they use of a budget is to be recorded
	// before anything is stopped.
	suspected urgency = iota
	// planned VMs are out by plan. Budgets bound how many there are.
	planned
	ordinary
	notDue
)

// candidate is a VM that is due.
type candidate struct {
	Due
	urgency urgency
	at      time.Time
}

// Due returns the VMs to look at now, the most urgent first and among equals the
// one that waits the longest. vms are the zone's, by name.
func (l *Looks) Due(now time.Time, d Driver, vms []*fleet.VMRow, suspect func(core.VMID) bool) []Due {
	if len(l.last) > len(vms) {
		clear(l.last) // VMs were removed
	}
	var list []candidate
	for i, vm := range vms {
		u := l.urgency(now, d, vm, suspect(vm.Ref.VM))
		if u == notDue && (i-l.next+len(vms))%len(vms) < inTurn {
			u = ordinary
		}
		if u != notDue {
			due := Due{VM: vm, Suspect: u == suspected}
			list = append(list, candidate{Due: due, urgency: u, at: l.last[vm.Ref.VM].at})
		}
	}
	l.next = (l.next + inTurn) % max(len(vms), 1)
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), a.at.Compare(b.at))
	})
	due := make([]Due, len(list))
	for i := range list {
		due[i] = list[i].Due
	}
	return due
}

// Looked notes a look at vm; seen is nil if the platform didn't answer for it.
func (l *Looks) Looked(now time.Time, vm core.VMID, seen *Seen) {
	if l.last == nil {
		l.last = make(map[core.VMID]look)
	}
	k := l.last[vm]
	k.at = now
	if seen != nil {
		k.answered = now
	}
	l.last[vm] = k
}

// Expect makes vm due at once, however lately it was looked at.
func (l *Looks) Expect(vm core.VMID) { delete(l.last, vm) }

func (l *Looks) urgency(now time.Time, d Driver, vm *fleet.VMRow, suspect bool) urgency {
	last := l.last[vm.Ref.VM]
	switch vm.VM.State {
	case fleet.Serving:
		return l.servingUrgency(now, d, vm, suspect)
	case fleet.Verifying:
		if d.mayStillReboot(now, vm.VM) {
			return planned
		}
		if now.Before(vm.VM.Since.Add(d.Timing.withDefaults().VerifyFor)) {
			return notDue
		}
		return ordinary
	case fleet.Failed:
		pause := min(now.Sub(vm.VM.Since)/failedShare, failedMax)
		if now.Before(last.at.Add(pause)) {
			return notDue
		}
		return ordinary
	}
	return planned
}

// servingUrgency is that of a VM that serves by its row. One that returned lately is
// looked at each time, not only until it was told to take work: it may fail again
// before the list shows that it was back. One that returned a while ago and that
// nothing speaks against is forgotten.
func (l *Looks) servingUrgency(now time.Time, d Driver, vm *fleet.VMRow, suspect bool) urgency {
	last := l.last[vm.Ref.VM]
	if suspect && now.Before(last.answered.Add(suspicionKept)) {
		return ordinary
	}
	if suspect {
		return suspected
	}
	if _, tell := d.Hold(now, *vm); tell {
		return ordinary
	}
	delete(l.last, vm.Ref.VM)
	return notDue
}
