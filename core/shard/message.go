package shard

import (
	"time"

	"lavenderpond/core"
)

// Message is a message between entries of a zone: Ping, PingAck, MirrorStart,
// StartAck, MirrorCopy or CopyAck.
type Message interface{ isMessage() }

// Held identifies a shard and the epoch in which the sender or receiver of a message
// holds it.
type Held struct {
	Shard core.ShardIndex
	Epoch core.Epoch
}

// Ping is a holder's heartbeat to a possible successor. One ping covers all shards
// that the two share.
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
	// FirstSent is zero if the caller doesn't provide it.
	FirstSent time.Time
	// VM is the chosen target, which can be asked how the request ended.
	VM core.VMID
}

// MirrorStart asks the successor to record a start before it is dispatched.
type MirrorStart struct {
	Held
	// Round identifies the copy that the start is added to.
	Round uint64
	Start Start
}

// StartAck confirms that the successor has recorded a start.
type StartAck struct {
	Held
	Round uint64
	Key   core.RequestKey
}

// MirrorCopy sends the successor all starts of a shard that have not expired.
type MirrorCopy struct {
	Held
	Round  uint64
	Starts []Start
}

// CopyAck confirms that the successor has recorded a copy, or refuses the copy.
type CopyAck struct {
	Held
	Round uint64
	// Refused reports that the successor is stopping. Starts then continue without
	// being mirrored.
	Refused bool
}

func (Ping) isMessage()        {}
func (PingAck) isMessage()     {}
func (MirrorStart) isMessage() {}
func (StartAck) isMessage()    {}
func (MirrorCopy) isMessage()  {}
func (CopyAck) isMessage()     {}
