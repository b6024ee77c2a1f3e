// Package key decides whether a team key is valid. It tracks which key digests belong
// to which team, which of them are withdrawn, and whether this entry's list of keys is
// fresh enough to decide.
package key

import (
	"sort"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/table"
)

// DefaultMaxStaleness is the maximum age of the list of keys unless Keyring.MaxStaleness
// is set. See docs/design/keys.md for the trade-off.
const DefaultMaxStaleness = 10 * time.Second

// MaxStalenessLimit is the largest effective value of Keyring.MaxStaleness.
const MaxStalenessLimit = 15 * time.Minute

// Withdrawal records that a key was withdrawn. Withdrawals are only ever added, and
// adding a withdrawal is idempotent, so withdrawals may be delivered in any order and any
// number of times.
type Withdrawal struct {
	Digest core.KeyDigest `json:"digest"`
	Team   core.TeamID    `json:"team"`
	Author string         `json:"author"`
	Reason string         `json:"reason,omitempty"`
}

// Keyring is an entry's list of team keys. The zero value knows no keys and is never
// fresh. A Keyring is not safe for concurrent use.
type Keyring struct {
	// Zone is the entry's own zone.
	Zone core.ZoneID
	// Zones lists all zones of the fleet, including the own one.
	Zones []core.ZoneID
	// MaxStaleness is how long the list stays fresh after the time up to which it is
	// known to be complete. Zero means DefaultMaxStaleness.
	MaxStaleness time.Duration
	// Started is when this process of the entry started, by its own clock. If it is
	// zero, the keyring joins its zone only after a table read by the entry itself.
	Started time.Time

	teams map[core.KeyDigest]core.TeamID
	// withdrawn only grows. unrecorded holds the withdrawals that were received from an
	// operator or a peer and haven't been read from the table yet.
	withdrawn  map[core.KeyDigest]bool
	unrecorded map[core.KeyDigest]Withdrawal
	// tableReadAt is the send time of the latest table read, by this entry or a peer,
	// whose withdrawals this keyring holds.
	tableReadAt  time.Time
	zoneContacts map[core.ZoneID]time.Time
	// joined is true once the keyring certainly holds everything that its zone had
	// received before this process started. A restarted entry has lost that state and
	// represents its zone only after joining.
	joined bool

	// disabled is set by tests only, to show that each safeguard is needed.
	disabled disabledSafeguards
}

// disabledSafeguards selects the safeguards that a test disables.
type disabledSafeguards struct {
	alwaysFresh       bool
	forgetWithdrawals bool
	joinImmediately   bool
	acceptSingleZone  bool
}

// Apply adds the rows under "key/" and returns the digests of the keys that they
// withdraw. Other rows are ignored. The caller must ensure by row version that no row
// is older than one applied before. A withdrawal takes effect regardless of the order.
func (r *Keyring) Apply(rows []table.Row) []core.KeyDigest {
	var withdrawn []core.KeyDigest
	for _, row := range rows {
		d, ok := digestFromKey(row.Key)
		if !ok {
			continue
		}
		var k config.Key
		if row.Version == 0 || row.Decode(&k) != nil {
			continue
		}
		put(&r.teams, d, k.Team)
		if !k.Withdrawn {
			r.applyGrant(d)
			continue
		}
		delete(r.unrecorded, d)
		if r.markWithdrawn(d) {
			withdrawn = append(withdrawn, d)
		}
	}
	return withdrawn
}

// Withdraw adds withdrawals received from an operator or a peer, which may not be in
// the table yet, and returns the digests of the keys that weren't withdrawn before.
func (r *Keyring) Withdraw(withdrawals ...Withdrawal) []core.KeyDigest {
	var withdrawn []core.KeyDigest
	for _, w := range withdrawals {
		if r.markWithdrawn(w.Digest) {
			put(&r.unrecorded, w.Digest, w)
			withdrawn = append(withdrawn, w.Digest)
		}
	}
	return withdrawn
}

// Unrecorded returns the withdrawals that haven't been read from the table yet, sorted
// by digest. They must be written to the table and sent to peers.
func (r *Keyring) Unrecorded() []Withdrawal {
	list := make([]Withdrawal, 0, len(r.unrecorded))
	for _, w := range r.unrecorded {
		list = append(list, w)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Digest < list[j].Digest })
	return list
}

// Withdrawn reports whether the key with digest d is withdrawn. Queued requests that
// were submitted with it are refused; running ones finish.
func (r *Keyring) Withdrawn(d core.KeyDigest) bool { return r.withdrawn[d] }

// RecordTableRead records that the keyring holds every withdrawal that was in the table
// when this entry's own read was sent, at sent.
func (r *Keyring) RecordTableRead(sent time.Time) {
	r.tableReadAt = latest(r.tableReadAt, sent)
	r.joined = true
}

// RecordZoneContact records that an entry of zone z, which has joined, answered a
// message sent by this entry at sent. The contents of the answer must have been added
// to the keyring before.
func (r *Keyring) RecordZoneContact(z core.ZoneID, sent time.Time) {
	put(&r.zoneContacts, z, latest(r.zoneContacts[z], sent))
	if z == r.Zone && !r.Started.IsZero() && !sent.Before(r.Started) {
		r.joined = true
	}
	r.tryJoin()
}

// tryJoin lets the keyring represent its zone if the data received from others covers the
// time before this process started.
func (r *Keyring) tryJoin() {
	if r.joined || r.Started.IsZero() {
		return
	}
	r.joined = r.disabled.joinImmediately || !r.tableReadAt.Before(r.Started) || !r.zoneMajorityAt().Before(r.Started)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// CompleteAsOf returns the time up to which the keyring certainly holds all accepted
// withdrawals: the later of the latest table read and the latest contact with a
// majority of zones. A withdrawal is accepted once the table and a majority of zones
// have it, or once all zones have it, so each of the two covers every accepted withdrawal.
// If every zone were required, the loss of one zone during a table outage would stop
// all others.
func (r *Keyring) CompleteAsOf() time.Time { return latest(r.tableReadAt, r.zoneMajorityAt()) }

// zoneMajorityAt returns the latest time since which a majority of zones has been
// contacted, or the zero time if there is none. The entry's own zone counts without a
// contact once the keyring has joined.
func (r *Keyring) zoneMajorityAt() time.Time {
	needed := len(r.Zones)/2 + 1
	if r.joined {
		needed--
	}
	if r.disabled.acceptSingleZone {
		needed = min(needed, 1)
	}
	var contacts []time.Time
	for _, z := range r.Zones {
		if z != r.Zone && !r.zoneContacts[z].IsZero() {
			contacts = append(contacts, r.zoneContacts[z])
		}
	}
	if needed == 0 || len(contacts) < needed {
		return time.Time{}
	}
	sort.Slice(contacts, func(i, j int) bool { return contacts[i].After(contacts[j]) })
	return contacts[needed-1]
}

// FreshUntil returns when the list becomes stale if no further data is received.
func (r *Keyring) FreshUntil() time.Time {
	completeAsOf := r.CompleteAsOf()
	if completeAsOf.IsZero() {
		return time.Time{}
	}
	maxStaleness := r.MaxStaleness
	if maxStaleness == 0 {
		maxStaleness = DefaultMaxStaleness
	}
	return completeAsOf.Add(min(maxStaleness, MaxStalenessLimit))
}

// Fresh reports whether the list is fresh at now. In a fleet with a single zone, the
// list of an entry that has joined is always fresh, because the entry receives every
// withdrawal directly.
func (r *Keyring) Fresh(now time.Time) bool {
	singleZone := r.joined && len(r.Zones) == 1
	return singleZone || r.disabled.alwaysFresh || now.Before(r.FreshUntil())
}

// Check decides whether a request of team may be accepted with a key of digest d. If
// not, the code is CodeKeyWithdrawn, CodeKeysStale (another entry or a later attempt
// may succeed) or CodeBadKey.
func (r *Keyring) Check(now time.Time, team core.TeamID, d core.KeyDigest) (core.Code, bool) {
	if r.withdrawn[d] {
		return core.CodeKeyWithdrawn, false
	}
	if !r.Fresh(now) {
		// Without this check, an entry cut off from the table and from other zones
		// would accept a withdrawn key until the connection is restored.
		return core.CodeKeysStale, false
	}
	if owner, ok := r.teams[d]; !ok || owner != team {
		return core.CodeBadKey, false
	}
	return core.CodeDone, true
}

// Team returns the team to which a known digest belongs.
func (r *Keyring) Team(d core.KeyDigest) (core.TeamID, bool) {
	t, ok := r.teams[d]
	return t, ok
}

// Counts returns the number of known digests and the number of withdrawn ones.
func (r *Keyring) Counts() (known, withdrawn int) { return len(r.teams), len(r.withdrawn) }

func (r *Keyring) markWithdrawn(d core.KeyDigest) bool {
	if r.withdrawn[d] {
		return false
	}
	put(&r.withdrawn, d, true)
	return true
}

// applyGrant does nothing in production. A row that isn't marked as withdrawn may be
// older than a withdrawal received directly, so it never reverts a withdrawal. Tests
// disable this rule to show its effect.
func (r *Keyring) applyGrant(d core.KeyDigest) {
	if r.disabled.forgetWithdrawals {
		delete(r.withdrawn, d)
	}
}

func digestFromKey(key table.Key) (core.KeyDigest, bool) {
	if len(key) <= len(table.PrefixKey) || key[:len(table.PrefixKey)] != table.PrefixKey {
		return "", false
	}
	return core.KeyDigest(key[len(table.PrefixKey):]), true
}

func put[K comparable, T any](m *map[K]T, key K, value T) {
	if *m == nil {
		*m = make(map[K]T)
	}
	(*m)[key] = value
}
