package schedule

import (
	"cmp"
	"maps"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/lease"
)

// inheritLease sets until when a former owner's tasks may run on the VM, and of which jobs. Rows of
// a former owner of an older release may hold a lease that it extended since, so they are replaced.
func (s *Scheduler) inheritLease(v *vmState) {
	v.inheritedUntil = s.formerLeaseEnd()
	l := v.rosterEntry.Lease
	switch {
	case l == nil:
	case s.settings.FormerLease == 0:
		s.updateRoster(v)
		v.leaseSave = v.rosterSave
	default:
		v.storedLease, v.inheritedUntil = l, l.End
		if !l.AnyJob {
			v.inheritedJobs = maps.Clone(l.Jobs)
		}
	}
}

// formerLeaseEnd returns when the leases have ended that the former owner granted on VMs that
// this owner doesn't reach.
func (s *Scheduler) formerLeaseEnd() time.Time {
	if s.settings.FormerLease == 0 {
		return lease.OlderReleaseLeaseEnd(s.settings.TakeoverTime, s.settings.LeaseMax)
	}
	return lease.InheritedLeaseEnd(s.settings.TakeoverTime, s.settings.FormerLease)
}

// inheritedEndOf returns until when a former owner's tasks of the job may run on the VM.
func (v *vmState) inheritedEndOf(id job.ID) time.Time {
	if v.inheritedJobs == nil {
		return v.inheritedUntil
	}
	return v.inheritedJobs[id]
}

// mayRunInherited reports whether a former owner's tasks of the job may run on the VM, which has
// not reported to this owner yet.
func (v *vmState) mayRunInherited(id job.ID) bool {
	return v.unreported() && !v.inheritedEndOf(id).IsZero()
}

// expireInherited forgets the jobs whose tasks can't run on the VM any more, and frees the runs that
// are known from a record, whether or not the VM was found silent. A VM that has answered, but not
// reported all of its runs and ends, is an exception: its lease may have been extended.
func (s *Scheduler) expireInherited(now time.Time, v *vmState) {
	if v.clock.Known() && (!v.silent || !v.leaseExpired(now)) {
		return
	}
	maps.DeleteFunc(v.inheritedJobs, func(_ job.ID, end time.Time) bool { return !now.Before(end) })
	if !now.Before(v.inheritedUntil) {
		v.inheritedUntil = time.Time{}
	}
	for _, r := range v.runs.All() {
		if r.onlyRecorded() && !v.clock.Known() && !v.mayRunInherited(r.task.Job) && !now.Before(v.restartLeaseEnd) {
			s.freeExpiredRun(now, v, r)
		}
	}
}

// formerLease returns the longest lease that the former owner granted.
func (s *Scheduler) formerLease() time.Duration {
	return cmp.Or(s.settings.FormerLease, s.settings.LeaseMax)
}

// extendInheritedLease allows for a start of a former owner that was in transit when the VM
// restarted. The new life's clock is behind the start's deadline, so the VM grants its longest lease.
func (s *Scheduler) extendInheritedLease(v *vmState) {
	if !v.unreported() {
		return
	}
	end := lease.InheritedLeaseEnd(s.settings.TakeoverTime, s.settings.LeaseMax).Add(startTransitMax)
	v.inheritedUntil = later(v.inheritedUntil, end)
	for id := range v.inheritedJobs {
		v.inheritedJobs[id] = later(v.inheritedJobs[id], end)
	}
}

// startTransitMax is how long a start that was answered in time can have been in transit.
const startTransitMax = time.Second

// assumeFormerLease allows for the lease that a former owner may have granted just before the VM
// first answered this owner.
func (s *Scheduler) assumeFormerLease(v *vmState, clock job.VMClock) {
	if !v.clock.Known() && !v.inheritedUntil.IsZero() {
		v.leaseEnd = max(v.leaseEnd, clock+job.VMClock(s.formerLease().Milliseconds()))
	}
}
