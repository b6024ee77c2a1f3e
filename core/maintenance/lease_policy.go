package maintenance

import (
	"time"

	"lavenderpond/core"
)

// releaseAfter is how long the zone's relay holds the lease before it releases it to
// the other entries.
const releaseAfter = time.Minute

// LeaseAction is what an entry should do with its zone's lease.
type LeaseAction int

// The lease actions. LeaseNoAction leaves the lease as it is.
const (
	LeaseNoAction LeaseAction = iota
	// LeaseAcquire takes or renews the lease, unless another entry holds it.
	LeaseAcquire
	// LeaseRelease ends the lease, so that another entry can take it immediately.
	LeaseRelease
)

// LeasePolicy decides which entry of a zone holds the controller lease. It prefers an
// entry that is not the zone's relay. The relay is the entry with the lowest id (see
// io/peer), and it often starts first and takes the lease. An entry with both roles
// exceeds the byte budget of a daemon (docs/CAPACITY.md).
//
// The policy doesn't leave a zone without a controller. The relay takes a free lease
// too, but later than the other entries would. It releases its own lease only once: if
// no other entry takes it, the relay takes it back and keeps it until another entry has
// held it.
//
// The zero value is ready to use. A LeasePolicy is not safe for concurrent use.
type LeasePolicy struct {
	// waitUntil is the time until which a released lease is left to the other entries.
	waitUntil time.Time
	heldSince time.Time
	released  bool
}

// Next returns the action of the entry self. entries are the zone's entries that are
// known to run, in any order. takeoverDelay is the time within which another of them
// would take a free lease.
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

// isRelay reports whether self has the lowest id among several entries. An entry that
// runs alone doesn't count as a relay.
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
