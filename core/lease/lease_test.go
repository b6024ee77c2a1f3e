package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
	"lavenderpond/core/lease"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against an owner that sends a renewal, is suspended for seconds and receives the
// answer when it resumes. The answer confirms the ownership only as of the time of the
// request: another process may own the fleet by then.
func TestConfirmationCountsFromRequestTime(t *testing.T) {
	var o lease.Ownership
	o.Confirm(start, start)
	resumed := start.Add(4 * time.Second)
	assert.Assert(t, !o.MayOrderMachines(resumed))
	assert.Assert(t, !o.MayStartTasks(resumed))
	assert.Assert(t, !o.MayExtendLeases(resumed))
}

// Machine orders must stop before another process can take over, because machines don't
// check fences. Task starts may continue, because VMs do. Lease extensions must continue
// longer than starts, so that started tasks keep their leases.
func TestOwnershipRightsExpireInOrder(t *testing.T) {
	var o lease.Ownership
	assert.Assert(t, !o.MayOrderMachines(start) && !o.MayStartTasks(start) && !o.MayExtendLeases(start), "the zero value must not grant any rights")
	o.Confirm(start, start)
	var w lease.Watcher
	s := lease.Observation{Sent: start, Received: start, Owner: 7, Renewal: 7}
	assert.Assert(t, !w.TakeoverDue(s))
	for s.Sent = start; !w.TakeoverDue(s); s.Sent = s.Sent.Add(time.Millisecond) {
		assert.Assert(t, o.MayStartTasks(s.Sent))
	}
	assert.Assert(t, !o.MayOrderMachines(s.Sent))
	for at := start; at.Before(start.Add(5 * time.Second)); at = at.Add(10 * time.Millisecond) {
		assert.Assert(t, !o.MayStartTasks(at) || o.MayExtendLeases(at))
	}
	assert.Assert(t, !o.MayExtendLeases(start.Add(5*time.Second)))
}

// Guards against a renewal that takes effect while its answer is lost, and whose retry is
// confirmed 0.9 s later. Other processes have seen no change since the first request and may
// take over at any moment, so this process must not order machines, although it was the owner
// when the retry was answered.
func TestRetriedRenewalCountsFromFirstRequest(t *testing.T) {
	var o lease.Ownership
	retried := start.Add(900 * time.Millisecond)
	o.Confirm(start, retried)
	assert.Assert(t, !o.MayOrderMachines(retried))
	assert.Assert(t, o.MayStartTasks(retried.Add(2*time.Second)))
}

// A confirmation of an older request that arrives late must not shorten the ownership.
func TestOlderConfirmationIsIgnored(t *testing.T) {
	var o lease.Ownership
	o.Confirm(start.Add(time.Second), start.Add(time.Second))
	o.Confirm(start, start)
	assert.Assert(t, o.MayOrderMachines(start.Add(1600*time.Millisecond)))
	assert.Assert(t, o.MayStartTasks(start.Add(3600*time.Millisecond)))
}

// A watcher that repeatedly reads the same renewal takes over only when the renewal has
// remained unchanged for longer than the owner may order machines after it.
func TestTakeoverAfterSilence(t *testing.T) {
	var w lease.Watcher
	observe := func(at time.Duration, renewal uint64) lease.Observation {
		sent := start.Add(at)
		return lease.Observation{Sent: sent, Received: sent.Add(5 * time.Millisecond), Owner: 7, Renewal: renewal}
	}
	assert.Assert(t, !w.TakeoverDue(observe(0, 7)))
	assert.Assert(t, !w.TakeoverDue(observe(800*time.Millisecond, 7)))
	assert.Assert(t, !w.TakeoverDue(observe(900*time.Millisecond, 9)), "a renewal must restart the wait")
	assert.Assert(t, !w.TakeoverDue(observe(1700*time.Millisecond, 9)))
	assert.Assert(t, w.TakeoverDue(observe(1900*time.Millisecond, 9)))
}

func TestImmediateTakeoverWithoutOwner(t *testing.T) {
	for name, s := range map[string]lease.Observation{
		"no owner":     {},
		"vacant":       {Owner: 3, Renewal: 4, Vacant: true},
		"previous run": {Owner: 3, Renewal: 4, PreviousRun: true},
	} {
		var w lease.Watcher
		assert.Assert(t, w.TakeoverDue(s), name)
	}
}

// When there is no owner, all entry VMs notice it at the same time. Without a delay, an entry
// VM with low capacity would become the owner as often as one with enough capacity and then
// fall behind. It waits so that a VM with enough capacity is first, and takes over if there is
// none.
func TestLowCapacityEntryVMDefersTakeover(t *testing.T) {
	for name, c := range map[string]struct {
		observation lease.Observation
		due         time.Duration
	}{
		"no owner":     {due: 700 * time.Millisecond},
		"vacant":       {observation: lease.Observation{Owner: 3, Renewal: 4, Vacant: true}, due: 700 * time.Millisecond},
		"silent owner": {observation: lease.Observation{Owner: 3, Renewal: 4}, due: 1650 * time.Millisecond},
	} {
		w := lease.Watcher{LowCapacity: true}
		at := func(d time.Duration) lease.Observation {
			s := c.observation
			s.Sent, s.Received = start.Add(d), start.Add(d)
			return s
		}
		assert.Assert(t, !w.TakeoverDue(at(0)), name)
		assert.Assert(t, !w.TakeoverDue(at(c.due-time.Millisecond)), name)
		assert.Assert(t, w.TakeoverDue(at(c.due)), name)
	}
}

// A VM's clock may run up to 2% slow. The VM's lease has certainly expired only when the
// slowest possible clock has passed the deadline.
func TestClockEarliest(t *testing.T) {
	var c lease.Clock
	assert.Assert(t, !c.Known())
	c.Observe(5000, start)
	later := start.Add(10 * time.Second)
	assert.Equal(t, c.Earliest(later), job.VMClock(14_800))
	assert.Equal(t, c.Estimate(later), job.VMClock(15_000))
}

// For an unreachable VM, a new owner waits until the former owner can no longer extend the
// lease, the longest lease on a slow clock has expired and any start order in transit has
// arrived.
func TestInheritedLeaseEnd(t *testing.T) {
	end := lease.InheritedLeaseEnd(start, 6*time.Second)
	assert.Assert(t, end.Sub(start) > 3*time.Second+6122*time.Millisecond)
	assert.Assert(t, end.Sub(start) < 11*time.Second)
}
