package key

import (
	"maps"
	"time"

	"lavenderpond/core"
)

// Summary describes an entry's keyring to a peer, in addition to the rows. It states how
// current the keyring is, and contains the withdrawals that aren't in the table yet.
type Summary struct {
	// Complete is the time of the latest table read, on the sender's clock.
	Complete time.Time
	// Contacts maps each zone to the sender's latest contact with it, on the sender's
	// clock.
	Contacts map[core.ZoneID]time.Time
	// Joined is true if the sender represents its zone.
	Joined      bool
	Withdrawals []Withdrawal
}

// Summary returns the data to send to a peer.
func (r *Keyring) Summary() Summary {
	return Summary{Complete: r.tableReadAt, Contacts: maps.Clone(r.zoneContacts), Joined: r.joined, Withdrawals: r.Unrecorded()}
}

// Merge adds a peer's summary and returns the digests of the keys that it withdraws.
// The peer's times are used only if every row that the peer had was applied first, and
// they are reduced by the maximum clock skew.
func (r *Keyring) Merge(s Summary, caughtUp bool, skew time.Duration) []core.KeyDigest {
	withdrawn := r.Withdraw(s.Withdrawals...)
	if !caughtUp {
		return withdrawn
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
	return withdrawn
}
