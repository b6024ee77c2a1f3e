package maintenance

import (
	"time"

	"lavenderpond/core"
)

// releaseAfter is how long an entry that is better spared has held the lease when it
// offers it to the others.
const releaseAfter = time.Minute

// LeaseAction is what an entry does with its zone's lease now.
type LeaseAction int

// The moves. LeaveLease changes nothing.
const (
	LeaseNoAction LeaseAction = iota
	// LeaseAcquire takes or renews the lease, if no other entry holds it.
	LeaseAcquire
	// LeaseRelease gives the lease up, so that another entry may take it at once.
	LeaseRelease
)

// LeasePolicy leaves a zone's lease to an entry that is not the zone's relay, where
// there is one. The relay is the first of the zone's entries by id (io/peer), and is
// often the first that started and took the lease: with both roles it passed the
// bytes that a daemon may spend (docs/CAPACITY.md).
//
// A zone is not left without a controller by this. The relay takes a free lease too,
// only later than the others would, and offers its own once: if no other entry takes
// it, the relay does again, and keeps it until another has held it. Its zero value
// works. It is not safe for concurrent use.
type LeasePolicy struct {
	// waitUntil is until when an offered lease is left to the others.
	waitUntil time.Time
	heldSince time.Time
	released  bool
}

// Next decides for self. entries are those of the zone that are known to run, in
// any order; patience is the time in which another of them would take a free lease.
func (p *LeasePolicy) Next(now time.Time, l Lease, self core.EntryID, entries []core.EntryID, takeoverDelay time.Duration) LeaseAction {
	if l.Holder != self {
		p.heldSince = time.Time{}
		if now.Before(l.Until) {
			p.released = false
			return LeaseNoAction
		}
	}
	if !isRelay(self, entries) {
		return p.acquire(now)
	}
	switch {
	case l.Holder != self && now.Before(l.Until.Add(takeoverDelay)), now.Before(p.waitUntil):
		return LeaseNoAction
	case l.Holder == self && !p.released && !p.heldSince.IsZero() && !now.Before(p.heldSince.Add(releaseAfter)):
		p.released, p.heldSince, p.waitUntil = true, time.Time{}, now.Add(takeoverDelay)
		return LeaseRelease
	}
	return p.acquire(now)
}

func (p *LeasePolicy) acquire(now time.Time) LeaseAction {
	if p.heldSince.IsZero() {
		p.heldSince = now
	}
	return LeaseAcquire
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
