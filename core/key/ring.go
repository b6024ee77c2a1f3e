// Package key decides whether a team key is good: which digests belong to which
// team, which are withdrawn, and whether this entry's list is fresh enough to say.
package key

import (
	"sort"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/table"
)

// DefaultMaxStaleness is how long the list is trusted after its last evidence, unless
// Ring.Trust says otherwise. docs/design/keys.md weighs it.
const DefaultMaxStaleness = 10 * time.Second

// MaxStalenessLimit is the greatest value of Ring.Trust.
const MaxStalenessLimit = 15 * time.Minute

// Withdrawal is the fact that a key ended. Facts are only ever added, and adding
// one twice changes nothing, so they may be told in any order and any number of
// times.
type Withdrawal struct {
	Digest core.KeyDigest `json:"digest"`
	Team   core.TeamID    `json:"team"`
	Author string         `json:"author"`
	Reason string         `json:"reason,omitempty"`
}

// Ring is an entry's list of team keys. Its zero value knows no key and trusts
// nothing. Not safe for concurrent use.
type Ring struct {
	// Zone is the entry's own zone.
	Zone core.ZoneID
	// Zones are all zones of the fleet, the own one included.
	Zones []core.ZoneID
	// MaxStaleness is how long the list is trusted after its last evidence. Zero means
	// DefaultTrust.
	MaxStaleness time.Duration
	// Started is when this run of the entry began, by its own clock. Zero: only the
	// entry's own contact with the table lets it join.
	Started time.Time

	teams map[core.KeyDigest]core.TeamID
	// withdrawn only grows. Unrecorded ones were told by an operator or a peer and
	// haven't been read from the table yet.
	withdrawn  map[core.KeyDigest]bool
	unrecorded map[core.KeyDigest]Withdrawal
	// tableReadAt is the send time of the last contact with the table, own or a peer's,
	// whose withdrawals this ring holds.
	tableReadAt  time.Time
	zoneContacts map[core.ZoneID]time.Time
	// joined is true once the ring surely held what its zone had been told before this
	// run began. A restarted entry has forgotten it, and speaks for its zone only then.
	joined bool

	// Switched on in tests only, to see the safeguards fail.
	disabled disabledSafeguards
}

// unsafe names the safeguards that a test switches off.
type disabledSafeguards struct {
	alwaysFresh       bool
	forgetWithdrawals bool
	joinImmediately   bool
	acceptSingleZone  bool
}

// Apply takes in rows under "key/" and returns the digests that ended with them.
// Other rows are ignored. The caller has made sure by row version that no row is
// older than one applied before; a withdrawal holds in any case.
func (r *Ring) Apply(rows []table.Row) []core.KeyDigest {
	var ended []core.KeyDigest
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
			ended = append(ended, d)
		}
	}
	return ended
}

// Withdraw takes in withdrawals told by an operator or a peer, which may not have
// reached the table, and returns the digests that ended with them.
func (r *Ring) Withdraw(withdrawals ...Withdrawal) []core.KeyDigest {
	var ended []core.KeyDigest
	for _, w := range withdrawals {
		if r.markWithdrawn(w.Digest) {
			put(&r.unrecorded, w.Digest, w)
			ended = append(ended, w.Digest)
		}
	}
	return ended
}

// Unrecorded returns the withdrawals that weren't read from the table yet, by
// digest: they have to be written there and told to peers.
func (r *Ring) Unrecorded() []Withdrawal {
	list := make([]Withdrawal, 0, len(r.unrecorded))
	for _, w := range r.unrecorded {
		list = append(list, w)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Digest < list[j].Digest })
	return list
}

// Withdrawn reports whether the key of digest d ended. Queued requests that came
// with it are refused, running ones finish.
func (r *Ring) Withdrawn(d core.KeyDigest) bool { return r.withdrawn[d] }

// Complete tells that the ring holds every withdrawal that the table held when this
// entry's own read left, at sent.
func (r *Ring) Complete(sent time.Time) {
	r.tableReadAt = latest(r.tableReadAt, sent)
	r.joined = true
}

// RecordZoneContact tells of an answer from an entry of zone z, which has joined, to a message
// that left here at sent. All that it told was taken in before.
func (r *Ring) RecordZoneContact(z core.ZoneID, sent time.Time) {
	put(&r.zoneContacts, z, latest(r.zoneContacts[z], sent))
	if z == r.Zone && !r.Started.IsZero() && !sent.Before(r.Started) {
		r.joined = true
	}
	r.tryJoin()
}

// tryJoin lets the ring speak for its zone if what it was told by others covers the
// time before this run began.
func (r *Ring) tryJoin() {
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

// CompleteAsOf returns the instant up to which the ring surely holds all accepted
// withdrawals: the later of the table's word and that of a majority of zones. A
// withdrawal is accepted once the table and a majority of zones have it, or all
// zones, so each kind of evidence meets it. Demanding every zone instead would let
// the loss of one zone during a table outage stop all the others.
func (r *Ring) CompleteAsOf() time.Time { return latest(r.tableReadAt, r.zoneMajorityAt()) }

// zoneMajorityAt returns the latest instant since which a majority of zones was heard,
// or zero. The own zone counts without being heard once the ring has joined.
func (r *Ring) zoneMajorityAt() time.Time {
	needed := len(r.Zones)/2 + 1
	if r.joined {
		needed--
	}
	if r.disabled.acceptSingleZone {
		needed = min(needed, 1)
	}
	var heard []time.Time
	for _, z := range r.Zones {
		if z != r.Zone && !r.zoneContacts[z].IsZero() {
			heard = append(heard, r.zoneContacts[z])
		}
	}
	if needed == 0 || len(heard) < needed {
		return time.Time{}
	}
	sort.Slice(heard, func(i, j int) bool { return heard[i].After(heard[j]) })
	return heard[needed-1]
}

// FreshUntil returns when the list stops being trusted, if nothing is heard.
func (r *Ring) FreshUntil() time.Time {
	evidence := r.CompleteAsOf()
	if evidence.IsZero() {
		return time.Time{}
	}
	trust := r.MaxStaleness
	if trust == 0 {
		trust = DefaultMaxStaleness
	}
	return evidence.Add(min(trust, MaxStalenessLimit))
}

// Fresh reports whether the list is trusted at now. In a fleet of one zone an entry
// that has joined is told everything directly.
func (r *Ring) Fresh(now time.Time) bool {
	alone := r.joined && len(r.Zones) == 1
	return alone || r.disabled.alwaysFresh || now.Before(r.FreshUntil())
}

// Check decides whether a request of team may be accepted under the digest of the
// key that came with it. The code is CodeKeyWithdrawn, CodeKeysStale (another entry
// or a later try may do better) or CodeBadKey.
func (r *Ring) Check(now time.Time, team core.TeamID, d core.KeyDigest) (core.Code, bool) {
	if r.withdrawn[d] {
		return core.CodeKeyWithdrawn, false
	}
	if !r.Fresh(now) {
		// Without this, an entry that is cut off from the table and from other zones
		// would accept a withdrawn key until the cut heals.
		return core.CodeKeysStale, false
	}
	if owner, ok := r.teams[d]; !ok || owner != team {
		return core.CodeBadKey, false
	}
	return core.CodeDone, true
}

// Team returns the team of a known digest.
func (r *Ring) Team(d core.KeyDigest) (core.TeamID, bool) {
	t, ok := r.teams[d]
	return t, ok
}

// Len returns how many digests the ring knows, and how many of them ended.
func (r *Ring) Len() (known, withdrawn int) { return len(r.teams), len(r.withdrawn) }

func (r *Ring) markWithdrawn(d core.KeyDigest) bool {
	if r.withdrawn[d] {
		return false
	}
	put(&r.withdrawn, d, true)
	return true
}

// applyGrant does nothing: a row without the mark may be older than a withdrawal that
// was told directly, so it never ends one. The test's switch shows what would
// happen.
func (r *Ring) applyGrant(d core.KeyDigest) {
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
