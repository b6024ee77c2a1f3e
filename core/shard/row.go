// Package shard decides which entry of a zone has the right to decide about a
// request id.
//
// The ids of a zone are split into shards. A row of the platform's table names
// each shard's holder, its one successor and an epoch. The holder keeps its right
// by evidence that no other entry can have taken over, so it needs the table only
// for changes. docs/design/shards.md gives the rule and what was weighed.
package shard

import (
	"time"

	"lavenderpond/core"
)

// Row is a shard's row, stored at table.ShardKey. A row that doesn't exist is the
// zero Row with version 0.
type Row struct {
	Holder core.EntryID `json:"holder"`
	// Epoch counts the holders.
	Epoch core.Epoch `json:"epoch"`
	// Successor is the one entry that may take over from a silent holder.
	Successor core.EntryID `json:"successor,omitempty"`
	// Horizon parts the ids that a former holder may have started from those that
	// it can't have. Zero: there is no such id.
	Horizon time.Time `json:"horizon,omitzero"`
	// Announced is the entry that announces its take-over.
	Announced core.EntryID `json:"announced,omitempty"`
	// InSync says that Successor knows every start of Holder.
	InSync bool `json:"in_sync,omitempty"`
	// Former is the holder of the epoch before.
	Former core.EntryID `json:"former,omitempty"`
	// Mirrored says that Holder knew every start of Former when its epoch began.
	Mirrored bool `json:"mirrored,omitempty"`
	// Released is the last holder that handed the shard over because it stops.
	Released core.EntryID `json:"released,omitempty"`
}

// VersionedRow is a shard's row as read from the table.
type VersionedRow struct {
	Shard   core.ShardIndex
	Version core.Version
	Row     Row
}
