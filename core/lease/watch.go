package lease

import "time"

// Sight is what a reading of the table said of the owner.
type Sight struct {
	// Sent and Received bracket the reading.
	Sent, Received time.Time
	// Owner and Renewal are the versions of the owner's rows; 0 if there are none.
	Owner, Renewal uint64
	// Vacant is set when the owner has given its right back.
	Vacant bool
	// FormerLife is set when the owner is a former life of this very process.
	FormerLife bool
}

// weakPeriod is how much longer a weak entry VM waits before it takes over: two
// readings of a strong one, which are 300 ms apart, and its attempt.
const weakPeriod = 700 * time.Millisecond

// Watch follows the owner's renewals. Its zero value works.
type Watch struct {
	// Weak is set on an entry VM that has too little processor time for the owner of
	// a large fleet. It leaves the take-over to a strong one, if there is any: an
	// owner that is too slow answers nobody in time, and yet renews its right.
	Weak bool

	owner, renewal uint64
	dueFrom        time.Time
}

// Due takes in a reading and tells whether to try to take over. The attempt must
// expect both versions to be unchanged, so that a renewal in between wins.
func (w *Watch) Due(s Sight) bool {
	nobody := s.Owner == 0 || s.Vacant || s.FormerLife
	if nobody && !w.Weak {
		return true
	}
	if s.Owner != w.owner || s.Renewal != w.renewal || w.dueFrom.IsZero() {
		w.owner, w.renewal = s.Owner, s.Renewal
		w.dueFrom = s.Received.Add(w.wait(nobody))
		return false
	}
	return !s.Sent.Before(w.dueFrom)
}

// wait returns how long the rows must stand still.
func (w *Watch) wait(nobody bool) time.Duration {
	d := time.Duration(0)
	if !nobody {
		d += silencePeriod
	}
	if w.Weak {
		d += weakPeriod
	}
	return d
}
