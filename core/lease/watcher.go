package lease

import "time"

// Observation is what a reading of the table said of the owner.
type Observation struct {
	// Sent and Received bracket the reading.
	Sent, Received time.Time
	// Owner and Renewal are the versions of the owner's rows; 0 if there are none.
	Owner, Renewal uint64
	// Vacant is set when the owner has given its right back.
	Vacant bool
	// PreviousRun is set when the owner is a former life of this very process.
	PreviousRun bool
}

// lowCapacityDelay is how much longer a weak entry VM waits before it takes over: two
// readings of a strong one, which are 300 ms apart, and its attempt.
const lowCapacityDelay = 700 * time.Millisecond

// Watcher follows the owner's renewals. Its zero value works.
type Watcher struct {
	// LowCapacity is set on an entry VM that has too little processor time for the owner of
	// a large fleet. It leaves the take-over to a strong one, if there is any: an
	// owner that is too slow answers nobody in time, and yet renews its right.
	LowCapacity bool

	owner, renewal uint64
	takeoverAt     time.Time
}

// TakeoverDue takes in a reading and tells whether to try to take over. The attempt must
// expect both versions to be unchanged, so that a renewal in between wins.
func (w *Watcher) TakeoverDue(s Observation) bool {
	unowned := s.Owner == 0 || s.Vacant || s.PreviousRun
	if unowned && !w.LowCapacity {
		return true
	}
	if s.Owner != w.owner || s.Renewal != w.renewal || w.takeoverAt.IsZero() {
		w.owner, w.renewal = s.Owner, s.Renewal
		w.takeoverAt = s.Received.Add(w.waitPeriod(unowned))
		return false
	}
	return !s.Sent.Before(w.takeoverAt)
}

// waitPeriod returns how long the rows must stand still.
func (w *Watcher) waitPeriod(nobody bool) time.Duration {
	d := time.Duration(0)
	if !nobody {
		d += takeoverSilence
	}
	if w.LowCapacity {
		d += lowCapacityDelay
	}
	return d
}
