package maintenance

import (
	"cmp"
	"slices"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
)

// Parameters of CheckScheduler.
const (
	// failedIntervalDivisor sets the interval between checks of a failed VM: the time
	// since its failure divided by this number. The delay until a recovery is noticed
	// thus stays in proportion to the outage.
	failedIntervalDivisor = 8
	// maxFailedInterval is the longest interval between two checks of a failed VM.
	maxFailedInterval = time.Minute
	// suspicionClearedFor is how long a VM that answered is not checked as a suspect.
	// Without it, a live list that misses a whole zone would take up every check.
	suspicionClearedFor = time.Minute
	// roundRobinChecks is how many serving VMs without a suspicion are due at each call,
	// because the live list may lag for a long time.
	roundRobinChecks = 4
)

// CheckScheduler schedules a controller's status checks of the VMs in its zone. It
// records when each VM that needs attention was last checked. The loss of this state only
// costs additional checks. The zero value is ready to use. A CheckScheduler is not safe
// for concurrent use.
type CheckScheduler struct {
	last map[core.VMID]checkTimes
	// roundRobinNext is the index of the VM at which the round-robin checks continue.
	roundRobinNext int
}

type checkTimes struct {
	// requested is when the VM was last checked, and answered is when the platform last
	// answered a check.
	requested, answered time.Time
}

// DueCheck is a VM to check now.
type DueCheck struct {
	VM *fleet.VMRow
	// Suspect marks a VM that serves according to its row but may have failed. Until
	// every suspect was checked, no budget is known to have headroom for a planned stop.
	Suspect bool
}

// urgency orders checks, the most urgent first.
type urgency int

const (
	// suspected VMs may have failed. Their failures must be recorded against the budgets
	// before any VM is stopped.
	suspected urgency = iota
	// planned VMs are out of service for a planned stop. Budgets bound their number.
	planned
	ordinary
	notDue
)

// candidate is a due check with its sort keys.
type candidate struct {
	DueCheck
	urgency       urgency
	lastRequested time.Time
}

// Due returns the VMs to check now, the most urgent first. VMs of the same urgency are
// ordered by the time of their last check, the oldest first. vms are the zone's VMs,
// sorted by name. isSuspect reports whether a VM may have failed although it serves
// according to its row.
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

// RecordCheck records a check of vm. observed is nil if the platform didn't answer.
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

// MarkDue makes vm due immediately, regardless of when it was last checked.
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

// servingUrgency returns the urgency of a VM that serves according to its row. A VM that
// returned recently is checked at each call, even after it was told to accept work,
// because it may fail again before the live list shows its return. The state of a VM that
// returned earlier and isn't suspected is dropped.
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
