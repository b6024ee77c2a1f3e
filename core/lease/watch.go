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

// Watch follows the owner's renewals. Its zero value works.
type Watch struct {
	owner, renewal uint64
	silentFrom     time.Time
}

// Due takes in a reading and tells whether to try to take over. The attempt must
// expect both versions to be unchanged, so that a renewal in between wins.
func (w *Watch) Due(s Sight) bool {
	if s.Owner == 0 || s.Vacant || s.FormerLife {
		return true
	}
	if s.Owner != w.owner || s.Renewal != w.renewal || w.silentFrom.IsZero() {
		w.owner, w.renewal = s.Owner, s.Renewal
		w.silentFrom = s.Received.Add(silencePeriod)
		return false
	}
	return !s.Sent.Before(w.silentFrom)
}
