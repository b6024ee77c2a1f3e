package key

import (
	"maps"
	"time"

	"lavenderpond/core"
)

// Summary is what an entry tells a peer of its ring, beside the rows: its evidence
// and the withdrawals that aren't in the table yet.
type Summary struct {
	// Complete is the evidence by the table, on the teller's clock.
	Complete time.Time
	// Contacts are the zones that the teller heard, on its clock.
	Contacts map[core.ZoneID]time.Time
	// Joined is true if the teller speaks for its zone.
	Joined      bool
	Withdrawals []Withdrawal
}

// Summary returns what to tell a peer.
func (r *Ring) Summary() Summary {
	return Summary{Complete: r.tableReadAt, Contacts: maps.Clone(r.zoneContacts), Joined: r.joined, Withdrawals: r.Unrecorded()}
}

// Merge takes in a peer's summary, and returns the digests that ended with it. The
// peer's evidence counts only if every row that the peer had was applied first, and
// is dated back by the clock skew bound.
func (r *Ring) Merge(s Summary, caughtUp bool, skew time.Duration) []core.KeyDigest {
	ended := r.Withdraw(s.Withdrawals...)
	if !caughtUp {
		return ended
	}
	if !s.Complete.IsZero() {
		r.tableReadAt = latest(r.tableReadAt, s.Complete.Add(-skew))
	}
	for z, at := range s.Contacts {
		if z != r.Zone {
			put(&r.zoneContacts, z, latest(r.zoneContacts[z], at.Add(-skew)))
		}
	}
	r.tryJoin()
	return ended
}
