package schedule

import (
	"cmp"
	"maps"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/lease"
)

// inheritLease sets when the leases that former owners granted on the VM have ended, and which jobs
// may run there until then.
func (s *Scheduler) inheritLease(v *vmState) {
	v.inheritedUntil = lease.InheritedLeaseEnd(s.settings.TakeoverTime, s.formerLease())
	l := v.rosterEntry.Lease
	v.storedLease = l
	if l == nil {
		return
	}
	if l.End.Before(v.inheritedUntil) {
		v.inheritedUntil = l.End
	}
	if l.AnyJob {
		return
	}
	v.inheritedJobs = map[job.ID]time.Time{}
	maps.Copy(v.inheritedJobs, l.Jobs)
}

// expireInheritedJobs forgets the inherited jobs none of whose tasks can run any more.
func (v *vmState) expireInheritedJobs(now time.Time) {
	maps.DeleteFunc(v.inheritedJobs, func(_ job.ID, end time.Time) bool { return !now.Before(end) })
}

// mayRunInherited reports whether a former owner's tasks of the job may run on the VM, which has
// not reported to this owner yet.
func (v *vmState) mayRunInherited(id job.ID) bool {
	if !v.unreported() || v.inheritedJobs == nil {
		return v.unreported()
	}
	_, ok := v.inheritedJobs[id]
	return ok
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
