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

// Guards against an entry VM that takes the ownership back each time its owner ends, before all others.
func TestFailingOwnerLeavesTakeoverToOthers(t *testing.T) {
	at := func(d time.Duration, previousRun bool) lease.Observation {
		s := start.Add(d)
		return lease.Observation{Sent: s, Received: s, Owner: 3, Renewal: 4, PreviousRun: previousRun, Resumed: true, Tenure: 5 * time.Second}
	}
	var failing, other lease.Watcher
	assert.Assert(t, !failing.TakeoverDue(at(0, true)))
	assert.Assert(t, !other.TakeoverDue(at(time.Second, false)))
	assert.Assert(t, !failing.TakeoverDue(at(2*time.Second, true)))
	assert.Assert(t, other.TakeoverDue(at(2*time.Second, false)))
	assert.Assert(t, failing.TakeoverDue(at(4*time.Second, true)), "there may be no other process")

	var w lease.Watcher
	long := at(0, true)
	long.Tenure = time.Hour
	assert.Assert(t, w.TakeoverDue(long), "a tenure that lasted")
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

// Guards against a task that runs twice: a former owner whose answers are lost extends a lease
// after the time that its successor reckons with.
func TestInheritedLeaseEndCoversEveryExtension(t *testing.T) {
	granted := 6 * time.Second
	for _, confirmedAfter := range []time.Duration{0, 400 * time.Millisecond, 940 * time.Millisecond} {
		var o lease.Ownership
		o.Confirm(start, start.Add(confirmedAfter))
		var w lease.Watcher
		s := lease.Observation{Sent: start, Received: start, Owner: 7, Renewal: 7}
		for !w.TakeoverDue(s) {
			s.Sent, s.Received = s.Sent.Add(time.Millisecond), s.Sent.Add(time.Millisecond)
		}
		end := lease.InheritedLeaseEnd(s.Sent, granted)
		last := start
		for at := start; at.Before(end); at = at.Add(time.Millisecond) {
			if o.MayExtendLeases(at) {
				last = at
			}
		}
		slowest := time.Duration(float64(granted) / lease.MinClockRate)
		assert.Assert(t, !last.Add(slowest).After(end), "confirmed after %s", confirmedAfter)
		assert.Assert(t, end.Sub(last.Add(slowest)) < 500*time.Millisecond, "the wait is longer than necessary")
	}
}

// Guards against a task that stays away too long: its VM and the owner are lost at the same time,
// and VMs would allow a lease of ten seconds.
func TestInheritedLeaseEndIsBounded(t *testing.T) {
	for _, vmMax := range []time.Duration{6 * time.Second, 10 * time.Second} {
		end := lease.InheritedLeaseEnd(start, lease.Granted(vmMax))
		assert.Assert(t, end.Sub(start) <= 8500*time.Millisecond, "%s", end.Sub(start))
	}
	assert.Equal(t, lease.Granted(4*time.Second), 4*time.Second)
}

// Guards against starts that outlast the right to extend the leases of the started tasks.
func TestStartsEndWithLeaseExtensions(t *testing.T) {
	var o lease.Ownership
	o.Confirm(start, start.Add(900*time.Millisecond))
	for at := start; at.Before(start.Add(5 * time.Second)); at = at.Add(10 * time.Millisecond) {
		assert.Assert(t, !o.MayStartTasks(at) || o.MayExtendLeases(at))
	}
}

// The time at which a clock has surely passed a reading is when its earliest estimate reaches it.
func TestClockSurelyAt(t *testing.T) {
	var c lease.Clock
	c.Observe(5000, start)
	at := c.SurelyAt(14_800)
	assert.Equal(t, at, start.Add(10*time.Second))
	assert.Equal(t, c.Earliest(at), job.VMClock(14_800))
}

// Guards against an owner that runs out of memory while an entry VM with enough of it waits: the
// one with less than the owner uses leaves the takeover to all others, and still makes it if
// nobody else does.
func TestEntryVMWithLittleMemoryTakesOverLast(t *testing.T) {
	takeover := func(w lease.Watcher, vacant bool) time.Duration {
		o := lease.Observation{Owner: 7, Renewal: 7, Vacant: vacant}
		for at := time.Duration(0); at < 20*time.Second; at += 10 * time.Millisecond {
			o.Sent, o.Received = start.Add(at), start.Add(at)
			if w.TakeoverDue(o) {
				return at
			}
		}
		return 0
	}
	for _, vacant := range []bool{false, true} {
		lowCapacity := takeover(lease.Watcher{LowCapacity: true}, vacant)
		lowMemory := takeover(lease.Watcher{LowMemory: true}, vacant)
		assert.Assert(t, lowMemory > lowCapacity+time.Second, "%s after %s", lowMemory, lowCapacity)
		assert.Assert(t, takeover(lease.Watcher{LowCapacity: true, LowMemory: true}, vacant) > lowMemory)
	}
}
