package core

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"
	"time"
)

// TeamID names a team, the unit that keys, shares and limits belong to.
type TeamID string

// RequestID is the caller's own, opaque name for a request. It is unique within
// its team. An id of the form "zone~rest" has its home in that zone.
type RequestID string

// ZoneID names an availability zone.
type ZoneID string

// EntryID names one run of a daemon on an entry VM: the configured name, "#" and
// the start time in Unix milliseconds. A restarted daemon has a new EntryID, so
// nothing its predecessor held is taken for its own.
type EntryID string

// VMID names a target VM.
type VMID string

// PoolID names a pool of target VMs.
type PoolID string

// QueueID names a queue of requests. Each queue is served by one pool.
type QueueID string

// RackID names a rack, the failure domain below the availability zone.
type RackID string

// ChangeID names an operator's change, chosen by the operator's command. Sending
// the same change twice applies it once.
type ChangeID string

// KeyDigest is the hex SHA-256 of a team key. Keys themselves are never stored.
type KeyDigest string

// Epoch counts the holders of a right. A higher epoch replaces a lower one.
type Epoch uint64

// Version counts the writes of one row of the platform's table. Zero means that
// the row doesn't exist.
type Version uint64

// Slots counts slots of target VMs, the unit of running work and of limits.
type Slots int

// Attempt numbers a caller's tries of one request, starting at 1.
type Attempt uint32

// ShardIndex numbers the shards of a zone, starting at 0.
type ShardIndex uint32

// RequestKey identifies a request across the system.
type RequestKey struct {
	Team TeamID
	ID   RequestID
}

// String returns the key as "team/id".
func (k RequestKey) String() string { return string(k.Team) + "/" + string(k.ID) }

// zoneSeparator parts the home zone from the rest of a RequestID.
const zoneSeparator = "~"

// Home returns the zone that decides about k: the one the id names, if it is one
// of zones, else the one its hash falls on. All entries must be given the same
// zones in the same order.
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

// Shard returns the shard of the home zone that k falls on, of n.
func (k RequestKey) Shard(n ShardIndex) ShardIndex {
	if n == 0 {
		return 0
	}
	// The low bits choose the zone; the high bits choose the shard.
	return ShardIndex((k.hash() >> 32) % uint64(n))
}

// hash spreads keys evenly, those of numbered ids included: with FNV-1a, whose high
// bits hardly depend on the last characters, 120 ids in a row fell on one entry.
func (k RequestKey) hash() uint64 {
	sum := sha256.Sum256([]byte(string(k.Team) + "\x00" + string(k.ID)))
	return binary.BigEndian.Uint64(sum[:])
}

// Digest returns the digest under which key is stored and compared.
func Digest(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(hex.EncodeToString(sum[:]))
}

// startSeparator parts an entry's name from its start time.
const startSeparator = "#"

// NewEntryID returns the id of the run of an entry that began at started.
func NewEntryID(name string, started time.Time) EntryID {
	return EntryID(name + startSeparator + strconv.FormatInt(started.UnixMilli(), 10))
}

// Name returns the configured name of the entry, without its start time.
func (e EntryID) Name() string {
	name, _, _ := strings.Cut(string(e), startSeparator)
	return name
}

// Started returns when the run began, to the millisecond; zero if e doesn't say.
func (e EntryID) Started() time.Time {
	_, millis, _ := strings.Cut(string(e), startSeparator)
	n, err := strconv.ParseInt(millis, 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.UnixMilli(n)
}
