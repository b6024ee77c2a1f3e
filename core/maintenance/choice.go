package maintenance

import (
	"time"

	"lavenderpond/core"
)

// offerAfter is how long an entry that is better spared has held the lease when it
// offers it to the others.
const offerAfter = time.Minute

// Move is what an entry does with its zone's lease now.
type Move int

// The moves. LeaveLease changes nothing.
const (
	LeaveLease Move = iota
	// TakeLease takes or renews the lease, if no other entry holds it.
	TakeLease
	// OfferLease gives the lease up, so that another entry may take it at once.
	OfferLease
)

// Choice leaves a zone's lease to an entry that is not the zone's relay, where
// there is one. The relay is the first of the zone's entries by id (io/peer), and is
// often the first that started and took the lease: with both roles it passed the
// bytes that a daemon may spend (docs/CAPACITY.md).
//
// A zone is not left without a controller by this. The relay takes a free lease too,
// only later than the others would, and offers its own once: if no other entry takes
// it, the relay does again, and keeps it until another has held it. Its zero value
// works. It is not safe for concurrent use.
type Choice struct {
	// waitUntil is until when an offered lease is left to the others.
	waitUntil time.Time
	heldSince time.Time
	offered   bool
}

// Next decides for self. entries are those of the zone that are known to run, in
// any order; patience is the time in which another of them would take a free lease.
func (c *Choice) Next(now time.Time, l Lease, self core.EntryID, entries []core.EntryID, patience time.Duration) Move {
	if l.Holder != self {
		c.heldSince = time.Time{}
		if now.Before(l.Until) {
			c.offered = false
			return LeaveLease
		}
	}
	if !isRelay(self, entries) {
		return c.take(now)
	}
	switch {
	case l.Holder != self && now.Before(l.Until.Add(patience)), now.Before(c.waitUntil):
		return LeaveLease
	case l.Holder == self && !c.offered && !c.heldSince.IsZero() && !now.Before(c.heldSince.Add(offerAfter)):
		c.offered, c.heldSince, c.waitUntil = true, time.Time{}, now.Add(patience)
		return OfferLease
	}
	return c.take(now)
}

func (c *Choice) take(now time.Time) Move {
	if c.heldSince.IsZero() {
		c.heldSince = now
	}
	return TakeLease
}

// isRelay reports whether self is the first of several entries.
func isRelay(self core.EntryID, entries []core.EntryID) bool {
	others := false
	for _, e := range entries {
		if e < self {
			return false
		}
		others = others || e != self
	}
	return others
}
