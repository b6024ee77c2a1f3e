// Package lease decides who owns the fleet's jobs and VMs, and how long what
// runs on a VM may go on. Time comes in as an argument; it must be read from a
// clock that also counts the time for which a machine stood still.
package lease

import "time"

const (
	// machineOrderPeriod is how long after its last proof the owner may order machines and
	// move lasting tasks off VMs: two renewals of a quarter of a second and an answer
	// of a slow table. Nothing guards these orders against a former owner's, so it ends
	// before another may take over.
	machineOrderPeriod = 750 * time.Millisecond
	// taskStartPeriod is how long after its last proof the owner may start tasks. It goes
	// on after another may have taken over: that one's fence bars the starts on all VMs
	// that it has reached, and for jobs that may run on the others it waits until what
	// is started there is over. While the table is out of reach for all, nobody takes
	// over, and callers' jobs go on.
	taskStartPeriod = 2900 * time.Millisecond
	// leaseExtensionPeriod is how long after its last proof the owner may extend leases on
	// VMs. It outlasts short outages of the table, so that they end no task, and
	// has an end, so that a new owner knows when a VM it can't reach is free.
	leaseExtensionPeriod = 3 * time.Second
	// takeoverSilence is how long the owner's renewal may stand still before
	// another takes over. It is longer than orderPeriod: an owner that reaches
	// the table again in time stays the owner. New jobs don't start meanwhile.
	takeoverSilence = 950 * time.Millisecond
)

// Ownership is the owner's proof that it still is the owner. Its zero value holds
// no right.
type Ownership struct {
	machineOrdersUntil   time.Time
	taskStartsUntil      time.Time
	leaseExtensionsUntil time.Time
}

// Confirm notes that the table confirmed a renewal. seen is when the call was sent whose
// answer says that this process is the owner: only up to then is it certain that nobody
// else had taken over. renewed is when the first call was sent that may have brought the
// renewal about: from then on others may have seen it, and take over once it has stood
// still for silencePeriod, whatever was confirmed since.
func (r *Ownership) Confirm(renewalSent, confirmationSent time.Time) {
	extend(&r.machineOrdersUntil, renewalSent.Add(machineOrderPeriod))
	extend(&r.taskStartsUntil, confirmationSent.Add(taskStartPeriod))
	extend(&r.leaseExtensionsUntil, confirmationSent.Add(leaseExtensionPeriod))
}

// extend moves a deadline on, never back: answers may overtake each other.
func extend(deadline *time.Time, until time.Time) {
	if until.After(*deadline) {
		*deadline = until
	}
}

// MayOrderMachines tells whether machines may be ordered, and lasting tasks moved.
func (r *Ownership) MayOrderMachines(now time.Time) bool { return now.Before(r.machineOrdersUntil) }

// MayStartTasks tells whether tasks may be started.
func (r *Ownership) MayStartTasks(now time.Time) bool { return now.Before(r.taskStartsUntil) }

// MayExtendLeases tells whether leases on VMs may be extended.
func (r *Ownership) MayExtendLeases(now time.Time) bool { return now.Before(r.leaseExtensionsUntil) }

// MinClockRate is the slowest rate of a VM's clock against true time.
const MinClockRate = 0.98

// InheritedLeaseEnd returns when nothing can run any more that a former owner left
// on a VM out of reach, if the ownership changed at changed: the former owner
// may have gone on to extend its leases for holdPeriod, each of which lasts up
// to longest on a slow clock.
func InheritedLeaseEnd(takeover time.Time, maxLease time.Duration) time.Time {
	lease := time.Duration(float64(maxLease) / MinClockRate)
	return takeover.Add(leaseExtensionPeriod + lease + startTransitMargin)
}

// startTransitMargin covers a start order that was on its way when the right ended.
const startTransitMargin = time.Second
