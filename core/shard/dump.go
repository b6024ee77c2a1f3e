package shard

import (
	"time"

	"lavenderpond/core"
)

// Dump is a LeaseManager's state for operators. It contains no request bodies.
type Dump struct {
	Self    core.EntryID   `json:"self"`
	Live    []core.EntryID `json:"live"`
	TableOK bool           `json:"table_ok"`
	Shards  []StateDump    `json:"shards"`
}

// StateDump is the state of one shard in a Dump.
type StateDump struct {
	Shard   core.ShardIndex `json:"shard"`
	Version core.Version    `json:"version"`
	Row     Row             `json:"row"`
	// LeaseExpiry is when this entry's lease on the shard ends; zero if it has
	// none.
	LeaseExpiry time.Time `json:"right_until,omitzero"`
	Mirroring   bool      `json:"mirroring,omitempty"`
	Starts      int       `json:"starts,omitempty"`
	Waiting     int       `json:"waiting,omitempty"`
	Mirrored    int       `json:"mirrored,omitempty"`
	// SwapPending reports whether a change of the row is not settled yet.
	SwapPending bool `json:"open,omitempty"`
}

// Dump returns the state of all shards whose row has been read.
func (lm *LeaseManager) Dump(now time.Time) Dump {
	d := Dump{Self: lm.params.Self, Live: lm.live, TableOK: lm.tableOK}
	for i := range lm.shards {
		s := &lm.shards[i]
		if !s.rowKnown {
			continue
		}
		sd := StateDump{
			Shard: s.index, Version: s.version, Row: s.row, LeaseExpiry: lm.LeaseExpiry(now, s.index),
			Starts: len(s.starts), Waiting: len(s.waiting), Mirrored: len(s.mirror.starts), SwapPending: s.pendingSwap != nil,
		}
		if s.isHeldBy(lm.params.Self) {
			sd.Mirroring = lm.mustMirror(now, s)
		}
		d.Shards = append(d.Shards, sd)
	}
	return d
}
