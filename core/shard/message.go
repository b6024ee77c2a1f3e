package shard

import (
	"time"

	"lavenderpond/core"
)

// Message is what entries of a zone tell one another: Ping, PingAck, MirrorStart,
// StartAck, MirrorCopy or CopyAck.
type Message interface{ isMessage() }

// Held is a shard and the epoch in which its holder speaks.
type Held struct {
	Shard core.ShardIndex
	Epoch core.Epoch
}

// Ping is a holder's sign of life to a possible successor, for all the shards
// between the two.
type Ping struct {
	SentAt time.Time
	Held   []Held
}

// PingAck grants the pinging holder a lease that counts from the ping's SentAt.
type PingAck struct {
	SentAt time.Time
	Held   []Held
}

// Start is one dispatch of a non-idempotent request.
type Start struct {
	Key      core.RequestKey
	Deadline time.Time
	// FirstSent is zero if the caller doesn't say.
	FirstSent time.Time
	// VM is the target chosen, which can be asked how the request ended.
	VM core.VMID
}

// MirrorStart asks the successor to remember a start before it happens.
type MirrorStart struct {
	Held
	// Round is that of the copy which the start comes on top of.
	Round uint64
	Start Start
}

// StartAck says that the successor remembers a start.
type StartAck struct {
	Held
	Round uint64
	Key   core.RequestKey
}

// MirrorCopy carries all starts of a shard that matter yet to the successor.
type MirrorCopy struct {
	Held
	Round  uint64
	Starts []Start
}

// CopyAck says that the successor remembers a copy, or that it takes none.
type CopyAck struct {
	Held
	Round uint64
	// Refused: the successor is stopping. Starts go on unmirrored.
	Refused bool
}

func (Ping) isMessage()        {}
func (PingAck) isMessage()     {}
func (MirrorStart) isMessage() {}
func (StartAck) isMessage()    {}
func (MirrorCopy) isMessage()  {}
func (CopyAck) isMessage()     {}
