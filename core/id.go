package core

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"
	"time"
)

// TeamID identifies a team, which is a client account. Keys, shares and limits
// belong to a team.
type TeamID string

// RequestID is an opaque id that the caller chooses for a request. It is unique
// within its team. An id of the form "zone~rest" has its home in that zone, if the
// zone exists.
type RequestID string

// ZoneID identifies an availability zone.
type ZoneID string

// EntryID identifies one run of a daemon on an entry VM. It consists of the
// configured name, "#" and the start time in Unix milliseconds. A restarted daemon
// has a new EntryID, so that it isn't mistaken for the holder of anything that the
// previous run held.
type EntryID string

// VMID identifies a target VM.
type VMID string

// PoolID identifies a pool of target VMs.
type PoolID string

// QueueID identifies a queue of requests. Each queue is served by one pool.
type QueueID string

// RackID identifies a rack, the failure domain below the availability zone.
type RackID string

// ChangeID identifies an operator's change and is chosen by the operator's command.
// A change that is sent twice under the same id is applied once.
type ChangeID string

// KeyDigest is the hex-encoded SHA-256 of a team key. Keys themselves are never
// stored.
type KeyDigest string

// Epoch numbers the successive holders of a lease, such as the lease on a shard. A
// higher epoch supersedes a lower one.
type Epoch uint64

// Version is the number of writes to one row of the platform's table. Zero means
// that the row doesn't exist.
type Version uint64

// Slots is a number of slots on target VMs. Running work and limits are measured in
// slots.
type Slots int

// Attempt numbers a caller's attempts at one request, starting at 1. The home also
// numbers its dispatches of a request with it.
type Attempt uint32

// ShardIndex numbers the shards of a zone, starting at 0.
type ShardIndex uint32

// RequestKey identifies a request throughout the system.
type RequestKey struct {
	Team TeamID
	ID   RequestID
}

// String returns the key as "team/id".
func (k RequestKey) String() string { return string(k.Team) + "/" + string(k.ID) }

// zoneSeparator separates the home zone from the rest of a RequestID.
const zoneSeparator = "~"

// Home returns the zone that is responsible for k. This is the zone named by the
// id if it is one of zones, and otherwise a zone selected by the key's hash. All
// entries must use the same zones in the same order.
func (k RequestKey) Home(zones []ZoneID) ZoneID {
	prefix, _, named := strings.Cut(string(k.ID), zoneSeparator)
	if named {
		for _, z := range zones {
			if string(z) == prefix {
				return z
			}
		}
	}
	if len(zones) == 0 {
		return ""
	}
	return zones[k.hash()%uint64(len(zones))]
}

// Shard returns the shard of the home zone that k belongs to, out of n shards.
func (k RequestKey) Shard(n ShardIndex) ShardIndex {
	if n == 0 {
		return 0
	}
	// The low bits select the zone and the high bits select the shard.
	return ShardIndex((k.hash() >> 32) % uint64(n))
}

// hash distributes keys evenly, including those of sequentially numbered ids. FNV-1a
// is unsuitable because its high bits hardly depend on the last characters: with it,
// 120 consecutive ids mapped to the same entry.
func (k RequestKey) hash() uint64 {
	sum := sha256.Sum256([]byte(string(k.Team) + "\x00" + string(k.ID)))
	return binary.BigEndian.Uint64(sum[:])
}

// Digest returns the digest that is stored and compared in place of key.
func Digest(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(sum[:]))
}

// startSeparator separates an entry's name from its start time.
const startSeparator = "#"

// NewEntryID returns the id of the run of the named entry that began at started.
func NewEntryID(name string, started time.Time) EntryID {
	return EntryID(name + startSeparator + strconv.FormatInt(started.UnixMilli(), 10))
}

// Name returns the configured name of the entry, without its start time.
func (e EntryID) Name() string {
	name, _, _ := strings.Cut(string(e), startSeparator)
	return name
}

// Started returns the start time of the run, with millisecond precision. It returns
// the zero time if e contains no valid start time.
func (e EntryID) Started() time.Time {
	_, millis, _ := strings.Cut(string(e), startSeparator)
	n, err := strconv.ParseInt(millis, 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.UnixMilli(n)
}
