// Package shard determines which entry of a zone may decide about a request id.
//
// The ids of a zone are split into shards. For each shard, a row of the platform's
// table names the holder, its only successor and an epoch. The holder keeps its
// lease as long as it has evidence that no other entry can have taken over, so it
// needs the table only for changes. docs/design/shards.md describes the protocol
// and the alternatives.
package shard

import (
	"time"

	"lavenderpond/core"
)

// Row is a shard's row, stored at table.ShardKey. A row that doesn't exist is
// represented by the zero Row with version 0.
type Row struct {
	Holder core.EntryID `json:"holder"`
	// Epoch is incremented whenever the holder changes.
	Epoch core.Epoch `json:"epoch"`
	// Successor is the only entry that may take over from a silent holder.
	Successor core.EntryID `json:"successor,omitempty"`
	// Horizon bounds the ids that a former holder may have started without Holder
	// knowing: they were first sent at Horizon or earlier. It is zero if there are no
	// such ids.
	Horizon time.Time `json:"horizon,omitzero"`
	// Announced is the entry that has announced its takeover.
	Announced core.EntryID `json:"announced,omitempty"`
	// InSync reports whether Successor knows every start of Holder.
	InSync bool `json:"in_sync,omitempty"`
	// Former is the holder of the previous epoch.
	Former core.EntryID `json:"former,omitempty"`
	// Mirrored reports whether Holder knew every start of Former when its epoch
	// began.
	Mirrored bool `json:"mirrored,omitempty"`
	// Released is the last holder that handed the shard over because it was shutting
	// down.
	Released core.EntryID `json:"released,omitempty"`
}

// VersionedRow is a shard's row as read from the table.
type VersionedRow struct {
	Shard   core.ShardIndex
	Version core.Version
	Row     Row
}
