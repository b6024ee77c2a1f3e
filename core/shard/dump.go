package shard

import (
	"time"

	"lavenderpond/core"
)

// Dump is a Keeper's state for people to read. It holds no request bodies.
type Dump struct {
	Self    core.EntryID   `json:"self"`
	Live    []core.EntryID `json:"live"`
	TableOK bool           `json:"table_ok"`
	Shards  []StateDump    `json:"shards"`
}

// StateDump is one shard of a Dump.
type StateDump struct {
	Shard   core.ShardIndex `json:"shard"`
	Version core.Version    `json:"version"`
	Row     Row             `json:"row"`
	// RightUntil is when this entry's right ends; zero if it has none.
	RightUntil time.Time `json:"right_until,omitzero"`
	Mirroring  bool      `json:"mirroring,omitempty"`
	Starts     int       `json:"starts,omitempty"`
	Waiting    int       `json:"waiting,omitempty"`
	Mirrored   int       `json:"mirrored,omitempty"`
	// Open says that a change of the row is not settled yet.
	Open bool `json:"open,omitempty"`
}

// Dump returns the state of all shards that are known.
func (k *Keeper) Dump(now time.Time) Dump {
	d := Dump{Self: k.p.Self, Live: k.live, TableOK: k.tableOK}
	for i := range k.shards {
		s := &k.shards[i]
		if !s.read {
			continue
		}
		sd := StateDump{
			Shard: s.index, Version: s.version, Row: s.row, RightUntil: k.RightUntil(now, s.index),
			Starts: len(s.starts), Waiting: len(s.waiting), Mirrored: len(s.mirror.starts), Open: s.pending != nil,
		}
		if s.holds(k.p.Self) {
			sd.Mirroring = k.mirroring(now, s)
		}
		d.Shards = append(d.Shards, sd)
	}
	return d
}
