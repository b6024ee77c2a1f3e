// Package lease decides which process owns the fleet's jobs and VMs, and how long
// tasks may keep running on a VM. Time is passed in as an argument. It must come
// from a clock that also advances while the machine is suspended.
package lease

import "time"

const (
	// machineOrderPeriod is how long after its last confirmation the owner may order
	// machines and move long-running tasks off VMs. It covers two renewals, which are a
	// quarter of a second apart, and an answer of a slow table. It ends before another
	// process may take over, because no fence protects these orders from a former owner.
	machineOrderPeriod = 750 * time.Millisecond
	// taskStartPeriod is how long after its last confirmation the owner may start tasks.
	// It may extend past a takeover: the new owner's fence blocks starts on all VMs that
	// it has reached, and for jobs that may run on other VMs the new owner waits until
	// the tasks started there are over. While no process can reach the table, none
	// takes over, and callers' jobs continue.
	taskStartPeriod = 2900 * time.Millisecond
	// leaseExtensionPeriod is how long after its last renewal the owner may extend the
	// leases of VMs. It is long enough that short outages of the table end no tasks. It is
	// limited so that a new owner knows when a VM that it can't reach is free.
	leaseExtensionPeriod = 3 * time.Second
	// takeoverSilence is how long the owner may go without a renewal before another
	// process takes over. It is longer than machineOrderPeriod: an owner that reaches the
	// table again in time remains the owner. New jobs don't start in the meantime.
	takeoverSilence = 950 * time.Millisecond
)

// Ownership tracks how long this process may act as the owner after its last
// confirmation. The zero value grants no rights.
type Ownership struct {
	machineOrdersUntil   time.Time
	taskStartsUntil      time.Time
	leaseExtensionsUntil time.Time
}

// Confirm records that the table confirmed a renewal. confirmationSent is when the process
// sent the call whose answer confirms that it is the owner: only until that time is it
// certain that no other process had taken over. renewalSent is when it sent the first call
// that may have caused the renewal. Other processes may have seen the renewal since that
// time, and take over when it hasn't changed for takeoverSilence, regardless of later
// confirmations. So leases are extended for leaseExtensionPeriod after renewalSent only, and a
// process that takes over knows when that has ended.
func (o *Ownership) Confirm(renewalSent, confirmationSent time.Time) {
	extend(&o.machineOrdersUntil, renewalSent.Add(machineOrderPeriod))
	extend(&o.taskStartsUntil, confirmationSent.Add(taskStartPeriod))
	extend(&o.leaseExtensionsUntil, renewalSent.Add(leaseExtensionPeriod))
}

// extend moves a deadline forward. It never moves it back, since answers may arrive out
// of order.
func extend(deadline *time.Time, until time.Time) {
	if until.After(*deadline) {
		*deadline = until
	}
}

// MayOrderMachines reports whether the owner may order machines and move long-running
// tasks.
func (o *Ownership) MayOrderMachines(now time.Time) bool { return now.Before(o.machineOrdersUntil) }

// MayStartTasks reports whether the owner may start tasks, whose leases it must be able to extend.
func (o *Ownership) MayStartTasks(now time.Time) bool {
	return now.Before(o.taskStartsUntil) && o.MayExtendLeases(now)
}

// MayExtendLeases reports whether the owner may extend the leases of VMs.
func (o *Ownership) MayExtendLeases(now time.Time) bool { return now.Before(o.leaseExtensionsUntil) }

// MinClockRate is the slowest rate of a VM's clock relative to real time.
const MinClockRate = 0.98

// maxGranted is the longest lease that an owner grants. A task whose VM is lost together with the
// owner stays away until the next owner knows that the lease is over, so a longer lease saves
// tasks from long cuts at the price of that absence.
const maxGranted = 6 * time.Second

// Granted returns the lease that an owner grants on VMs that allow leases of at most vmMax.
func Granted(vmMax time.Duration) time.Duration { return min(vmMax, maxGranted) }

// InheritedLeaseEnd returns the time by which all tasks that a former owner started on an
// unreachable VM have ended, given the time of the takeover and the longest lease that the former
// owner granted. Its last renewal was at least takeoverSilence before the takeover, and an owner
// that gave up its ownership extends nothing after that. The lease lasts longer on a slow clock.
func InheritedLeaseEnd(takeover time.Time, granted time.Duration) time.Time {
	lastExtension := takeover.Add(leaseExtensionPeriod - takeoverSilence)
	return lastExtension.Add(Longest(granted) + clockReadingMargin)
}

// Longest returns how long a lease can last in real time, since a VM's clock may be slow.
func Longest(granted time.Duration) time.Duration {
	return time.Duration(float64(granted) / MinClockRate)
}

// clockReadingMargin allows for clocks that are read in whole milliseconds and drift slightly.
const clockReadingMargin = 50 * time.Millisecond

// OlderReleaseLeaseEnd is InheritedLeaseEnd for a former owner of a release that grants leases of
// up to vmMax, extends them for leaseExtensionPeriod after its last confirmation, and estimates a
// VM's clock as if it weren't slow.
func OlderReleaseLeaseEnd(takeover time.Time, vmMax time.Duration) time.Time {
	return takeover.Add(leaseExtensionPeriod + Longest(vmMax) + olderReleaseMargin)
}

// olderReleaseMargin covers the deviation of the clocks that such an owner estimated.
const olderReleaseMargin = time.Second
