package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
	"lavenderpond/core/lease"
)

var start = time.Unix(1_800_000_000, 0)

// An owner sends a renewal, stands still for seconds and gets the answer when it
// wakes. The answer proves the right as of the sending only: by now another
// process may own the fleet.
func TestConfirmationCountsFromRequestTime(t *testing.T) {
	var r lease.Ownership
	r.Confirm(start, start)
	resumed := start.Add(4 * time.Second)
	assert.Assert(t, !r.MayOrderMachines(resumed))
	assert.Assert(t, !r.MayStartTasks(resumed))
	assert.Assert(t, !r.MayExtendLeases(resumed))
}

// Machines know no fence, so that nobody may order them any more once another can take
// over. Starts go on: VMs fence them. Holds outlast them, since what was started must
// be held.
func TestOwnershipRightsExpireInOrder(t *testing.T) {
	var r lease.Ownership
	assert.Assert(t, !r.MayOrderMachines(start) && !r.MayStartTasks(start) && !r.MayExtendLeases(start), "the zero value holds no right")
	r.Confirm(start, start)
	var w lease.Watcher
	s := lease.Observation{Sent: start, Received: start, Owner: 7, Renewal: 7}
	assert.Assert(t, !w.TakeoverDue(s))
	for s.Sent = start; !w.TakeoverDue(s); s.Sent = s.Sent.Add(time.Millisecond) {
		assert.Assert(t, r.MayStartTasks(s.Sent))
	}
	assert.Assert(t, !r.MayOrderMachines(s.Sent))
	for at := start; at.Before(start.Add(5 * time.Second)); at = at.Add(10 * time.Millisecond) {
		assert.Assert(t, !r.MayStartTasks(at) || r.MayExtendLeases(at))
	}
	assert.Assert(t, !r.MayExtendLeases(start.Add(5*time.Second)))
}

// A renewal is carried out and its answer lost. Its repetition is told so 0.9 s later.
// The others have seen the renewal stand still all the while and take over at any
// moment: no machine may be ordered, though this process was the owner just now.
func TestRetriedRenewalCountsFromFirstRequest(t *testing.T) {
	var r lease.Ownership
	retried := start.Add(900 * time.Millisecond)
	r.Confirm(start, retried)
	assert.Assert(t, !r.MayOrderMachines(retried))
	assert.Assert(t, r.MayStartTasks(retried.Add(2*time.Second)))
}

// An older proof that is answered late doesn't shorten the right.
func TestOlderConfirmationIsIgnored(t *testing.T) {
	var r lease.Ownership
	r.Confirm(start.Add(time.Second), start.Add(time.Second))
	r.Confirm(start, start)
	assert.Assert(t, r.MayOrderMachines(start.Add(1600*time.Millisecond)))
	assert.Assert(t, r.MayStartTasks(start.Add(3600*time.Millisecond)))
}

// A watcher reads the same renewal again and again. It takes over only once that
// has stood still for longer than the owner may start tasks after it.
func TestTakeoverAfterSilence(t *testing.T) {
	var w lease.Watcher
	observe := func(at time.Duration, renewal uint64) lease.Observation {
		sent := start.Add(at)
		return lease.Observation{Sent: sent, Received: sent.Add(5 * time.Millisecond), Owner: 7, Renewal: renewal}
	}
	assert.Assert(t, !w.TakeoverDue(observe(0, 7)))
	assert.Assert(t, !w.TakeoverDue(observe(800*time.Millisecond, 7)))
	assert.Assert(t, !w.TakeoverDue(observe(900*time.Millisecond, 9)), "a renewal starts the wait anew")
	assert.Assert(t, !w.TakeoverDue(observe(1700*time.Millisecond, 9)))
	assert.Assert(t, w.TakeoverDue(observe(1900*time.Millisecond, 9)))
}

func TestImmediateTakeoverWithoutOwner(t *testing.T) {
	for name, s := range map[string]lease.Observation{
		"no owner":    {},
		"vacant":      {Owner: 3, Renewal: 4, Vacant: true},
		"former life": {Owner: 3, Renewal: 4, PreviousRun: true},
	} {
		var w lease.Watcher
		assert.Assert(t, w.TakeoverDue(s), name)
	}
}

// All entry VMs see that there is no owner. A weak one would get the fleet as
// often as a strong one and then fall behind; it waits, and a strong one is first.
// If there is no strong one it takes over all the same.
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

// A VM's clock runs up to 2% slow. Its lease is over for sure only when the
// slowest clock has passed the deadline.
func TestClockEarliest(t *testing.T) {
	var c lease.Clock
	assert.Assert(t, !c.Known())
	c.Observe(5000, start)
	later := start.Add(10 * time.Second)
	assert.Equal(t, c.Earliest(later), job.VMClock(14_800))
	assert.Equal(t, c.Estimate(later), job.VMClock(15_000))
}

// A new owner waits for a VM out of reach until the former one's last hold, the
// longest lease on a slow clock and a start on its way are over.
func TestInheritedLeaseEnd(t *testing.T) {
	end := lease.InheritedLeaseEnd(start, 6*time.Second)
	assert.Assert(t, end.Sub(start) > 3*time.Second+6122*time.Millisecond)
	assert.Assert(t, end.Sub(start) < 11*time.Second)
}
