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
func TestProofCountsFromItsSending(t *testing.T) {
	var r lease.Right
	r.Prove(start, start)
	woken := start.Add(4 * time.Second)
	assert.Assert(t, !r.MayOrder(woken))
	assert.Assert(t, !r.MayStart(woken))
	assert.Assert(t, !r.MayHold(woken))
}

// Machines know no fence, so that nobody may order them any more once another can take
// over. Starts go on: VMs fence them. Holds outlast them, since what was started must
// be held.
func TestRightsEndInTurn(t *testing.T) {
	var r lease.Right
	assert.Assert(t, !r.MayOrder(start) && !r.MayStart(start) && !r.MayHold(start), "the zero value holds no right")
	r.Prove(start, start)
	var w lease.Watch
	s := lease.Sight{Sent: start, Received: start, Owner: 7, Renewal: 7}
	assert.Assert(t, !w.Due(s))
	for s.Sent = start; !w.Due(s); s.Sent = s.Sent.Add(time.Millisecond) {
		assert.Assert(t, r.MayStart(s.Sent))
	}
	assert.Assert(t, !r.MayOrder(s.Sent))
	for at := start; at.Before(start.Add(5 * time.Second)); at = at.Add(10 * time.Millisecond) {
		assert.Assert(t, !r.MayStart(at) || r.MayHold(at))
	}
	assert.Assert(t, !r.MayHold(start.Add(5*time.Second)))
}

// A renewal is carried out and its answer lost. Its repetition is told so 0.9 s later.
// The others have seen the renewal stand still all the while and take over at any
// moment: no machine may be ordered, though this process was the owner just now.
func TestRepeatedRenewalCountsFromTheFirst(t *testing.T) {
	var r lease.Right
	asked := start.Add(900 * time.Millisecond)
	r.Prove(start, asked)
	assert.Assert(t, !r.MayOrder(asked))
	assert.Assert(t, r.MayStart(asked.Add(2*time.Second)))
}

// An older proof that is answered late doesn't shorten the right.
func TestOlderProofChangesNothing(t *testing.T) {
	var r lease.Right
	r.Prove(start.Add(time.Second), start.Add(time.Second))
	r.Prove(start, start)
	assert.Assert(t, r.MayOrder(start.Add(1600*time.Millisecond)))
	assert.Assert(t, r.MayStart(start.Add(3600*time.Millisecond)))
}

// A watcher reads the same renewal again and again. It takes over only once that
// has stood still for longer than the owner may start tasks after it.
func TestTakeOverAfterSilence(t *testing.T) {
	var w lease.Watch
	sight := func(at time.Duration, renewal uint64) lease.Sight {
		sent := start.Add(at)
		return lease.Sight{Sent: sent, Received: sent.Add(5 * time.Millisecond), Owner: 7, Renewal: renewal}
	}
	assert.Assert(t, !w.Due(sight(0, 7)))
	assert.Assert(t, !w.Due(sight(800*time.Millisecond, 7)))
	assert.Assert(t, !w.Due(sight(900*time.Millisecond, 9)), "a renewal starts the wait anew")
	assert.Assert(t, !w.Due(sight(1700*time.Millisecond, 9)))
	assert.Assert(t, w.Due(sight(1900*time.Millisecond, 9)))
}

func TestTakeOverAtOnce(t *testing.T) {
	for name, s := range map[string]lease.Sight{
		"no owner":    {},
		"vacant":      {Owner: 3, Renewal: 4, Vacant: true},
		"former life": {Owner: 3, Renewal: 4, FormerLife: true},
	} {
		var w lease.Watch
		assert.Assert(t, w.Due(s), name)
	}
}

// All entry VMs see that there is no owner. A weak one would get the fleet as
// often as a strong one and then fall behind; it waits, and a strong one is first.
// If there is no strong one it takes over all the same.
func TestWeakEntryVMWaits(t *testing.T) {
	for name, c := range map[string]struct {
		sight lease.Sight
		due   time.Duration
	}{
		"no owner":     {due: 700 * time.Millisecond},
		"vacant":       {sight: lease.Sight{Owner: 3, Renewal: 4, Vacant: true}, due: 700 * time.Millisecond},
		"silent owner": {sight: lease.Sight{Owner: 3, Renewal: 4}, due: 1650 * time.Millisecond},
	} {
		w := lease.Watch{Weak: true}
		at := func(d time.Duration) lease.Sight {
			s := c.sight
			s.Sent, s.Received = start.Add(d), start.Add(d)
			return s
		}
		assert.Assert(t, !w.Due(at(0)), name)
		assert.Assert(t, !w.Due(at(c.due-time.Millisecond)), name)
		assert.Assert(t, w.Due(at(c.due)), name)
	}
}

// A VM's clock runs up to 2% slow. Its lease is over for sure only when the
// slowest clock has passed the deadline.
func TestClockEarliest(t *testing.T) {
	var c lease.Clock
	assert.Assert(t, !c.Known())
	c.Read(5000, start)
	later := start.Add(10 * time.Second)
	assert.Equal(t, c.Earliest(later), job.VMClock(14_800))
	assert.Equal(t, c.Likely(later), job.VMClock(15_000))
}

// A new owner waits for a VM out of reach until the former one's last hold, the
// longest lease on a slow clock and a start on its way are over.
func TestInheritedEnd(t *testing.T) {
	end := lease.InheritedEnd(start, 6*time.Second)
	assert.Assert(t, end.Sub(start) > 3*time.Second+6122*time.Millisecond)
	assert.Assert(t, end.Sub(start) < 11*time.Second)
}
