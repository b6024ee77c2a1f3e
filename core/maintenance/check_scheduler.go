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
	// failedIntervalDivisor is the part of its time out after which a failed VM is looked at
	// again: one that is out for long is found back later by no more than that.
	failedIntervalDivisor = 8
	// maxFailedInterval is the longest time between two looks at a failed VM.
	maxFailedInterval = time.Minute
	// suspicionClearedFor is for how long an answer lifts a suspicion. A list that misses
	// a whole zone would else keep every look to itself.
	suspicionClearedFor = time.Minute
	// roundRobinChecks is how many serving VMs are due at each call even though nothing
	// speaks against them, because the live list may lag for long.
	roundRobinChecks = 4
)

// CheckScheduler paces a controller's looks at the VMs of its zone. It remembers, for VMs
// that need attention, when each was last looked at. Losing it costs looks and
// nothing else. Its zero value works. It is not safe for concurrent use.
type CheckScheduler struct {
	last map[core.VMID]checkTimes
	// roundRobinNext is the VM from which the looks in turn go on.
	roundRobinNext int
}

type checkTimes struct {
	// requested is when the VM was last asked for, answered when the platform last answered.
	requested, answered time.Time
}

// DueCheck is a VM to look at.
type DueCheck struct {
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
	DueCheck
	urgency       urgency
	lastRequested time.Time
}

// Due returns the VMs to look at now, the most urgent first and among equals the
// one that waits the longest. vms are the zone's, by name.
func (s *CheckScheduler) Due(now time.Time, d Driver, vms []*fleet.VMRow, isSuspect func(core.VMID) bool) []DueCheck {
	if len(s.last) > len(vms) {
		clear(s.last) // VMs were removed
	}
	var candidates []candidate
	for i, vm := range vms {
		u := s.urgency(now, d, vm, isSuspect(vm.Ref.VM))
		if u == notDue && (i-s.roundRobinNext+len(vms))%len(vms) < roundRobinChecks {
			u = ordinary
		}
		if u != notDue {
			due := DueCheck{VM: vm, Suspect: u == suspected}
			candidates = append(candidates, candidate{DueCheck: due, urgency: u, lastRequested: s.last[vm.Ref.VM].requested})
		}
	}
	s.roundRobinNext = (s.roundRobinNext + roundRobinChecks) % max(len(vms), 1)
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), a.lastRequested.Compare(b.lastRequested))
	})
	due := make([]DueCheck, len(candidates))
	for i := range candidates {
		due[i] = candidates[i].DueCheck
	}
	return due
}

// RecordCheck notes a look at vm; seen is nil if the platform didn't answer for it.
func (s *CheckScheduler) RecordCheck(now time.Time, vm core.VMID, observed *Observation) {
	if s.last == nil {
		s.last = make(map[core.VMID]checkTimes)
	}
	times := s.last[vm]
	times.requested = now
	if observed != nil {
		times.answered = now
	}
	s.last[vm] = times
}

// MarkDue makes vm due at once, however lately it was looked at.
func (s *CheckScheduler) MarkDue(vm core.VMID) { delete(s.last, vm) }

func (s *CheckScheduler) urgency(now time.Time, d Driver, vm *fleet.VMRow, suspect bool) urgency {
	last := s.last[vm.Ref.VM]
	switch vm.VM.State {
	case fleet.Serving:
		return s.servingUrgency(now, d, vm, suspect)
	case fleet.Verifying:
		if d.mayStillReboot(now, vm.VM) {
			return planned
		}
		if now.Before(vm.VM.Since.Add(d.Timing.withDefaults().VerifyDuration)) {
			return notDue
		}
		return ordinary
	case fleet.Failed:
		interval := min(now.Sub(vm.VM.Since)/failedIntervalDivisor, maxFailedInterval)
		if now.Before(last.requested.Add(interval)) {
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
func (s *CheckScheduler) servingUrgency(now time.Time, d Driver, vm *fleet.VMRow, suspect bool) urgency {
	last := s.last[vm.Ref.VM]
	if suspect && now.Before(last.answered.Add(suspicionClearedFor)) {
		return ordinary
	}
	if suspect {
		return suspected
	}
	if _, mustTell := d.HoldUntil(now, *vm); mustTell {
		return ordinary
	}
	delete(s.last, vm.Ref.VM)
	return notDue
}
