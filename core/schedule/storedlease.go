package schedule

import (
	"maps"
	"time"

	"lavenderpond/core/job"
)

// leaseSaveDelay is how long a VM that has reported must be silent before the end of its lease is
// stored. Many VMs are silent for a moment when a relay fails.
const leaseSaveDelay = 500 * time.Millisecond

// storeLease stores when the lease of an unreachable VM ends and which jobs may run there, so that
// the wait for it neither begins anew with each owner nor holds up other jobs.
func (s *Scheduler) storeLease(now time.Time, v *vmState) {
	if v.storedLease != nil || v.rosterEntry.ID == "" || !s.unreachable(now, v) {
		return
	}
	l, ok := v.possibleRuns(now)
	if !ok {
		return
	}
	v.storedLease = &l
	s.updateRoster(v)
	s.reportDecision(Decision{Kind: VMLeaseStored, VM: v.id, Wait: l.End.Sub(now), Age: v.silentFor(now)})
}

// unreachable reports whether the VM has been out of reach for long enough to store its lease. A
// VM that the directory no longer lists at a takeover is most likely lost.
func (s *Scheduler) unreachable(now time.Time, v *vmState) bool {
	if v.unreported() {
		return v.silent || (!v.listed && !s.directoryAsOf.IsZero() && v.lastAnswer.IsZero())
	}
	return v.silent && now.Sub(v.silentSince) >= leaseSaveDelay
}

// possibleRuns returns what may run on the VM while it stays silent, or false if it isn't known until
// when.
func (v *vmState) possibleRuns(now time.Time) (RosterLease, bool) {
	over := v.leaseOver()
	if over.IsZero() && v.runs.Len() > 0 {
		return RosterLease{}, false
	}
	l := RosterLease{End: now, Jobs: map[job.ID]time.Time{}}
	if v.unreported() {
		l.End, l.AnyJob = v.inheritedUntil, v.inheritedJobs == nil
		maps.Copy(l.Jobs, v.inheritedJobs)
	}
	for _, r := range v.runs.All() {
		if r.phase != runPlanned {
			l.add(r.task.Job, r.lastPossibleEnd(over))
		}
	}
	for _, r := range v.lostStarts {
		l.add(r.task.Job, r.orderedAt.Add(maxOrderDelay))
	}
	return l, true
}

// add adds a run that may last until end.
func (l *RosterLease) add(id job.ID, end time.Time) {
	l.Jobs[id] = later(l.Jobs[id], end)
	l.End = later(l.End, end)
}

// lastPossibleEnd returns until when the run keeps its task from starting elsewhere, on a silent VM
// whose lease is over at the given time. A start without an answer may still be executed if the VM
// restarts.
func (r *run) lastPossibleEnd(leaseOver time.Time) time.Time {
	if r.phase == runConfirmed {
		return leaseOver
	}
	return later(leaseOver, r.orderedAt.Add(maxOrderDelay))
}

// dropStoredLease removes a VM's lease from the roster because the VM can be reached again. Until
// that is stored, the lease isn't extended: a new owner would rely on its end.
func (s *Scheduler) dropStoredLease(v *vmState) {
	if v.storedLease == nil {
		return
	}
	v.storedLease = nil
	s.updateRoster(v)
	v.leaseSave = v.rosterSave
}
