package shard

import (
	"time"

	"lavenderpond/core"
)

// Event is an input to a LeaseManager: RowsRead, SwapSettled, Received,
// EntriesListed, Refused, ShuttingDown or Tick.
type Event interface{ isEvent() }

// RowsRead is the reply to a read of the zone's shard rows.
type RowsRead struct {
	// SentAt is when the read was sent. The rows may have changed right after.
	SentAt time.Time
	// Rows are the rows that changed since the previous read, or all rows. A row
	// that is left out is the same as at the previous read.
	Rows []VersionedRow
}

// Outcome is the outcome of a swap.
type Outcome int

// Outcomes of a swap.
const (
	// SwapApplied: the row was written.
	SwapApplied Outcome = iota
	// SwapConflict: the row had another version; this attempt wrote nothing.
	SwapConflict
	// SwapUnknown: the answer was lost; the write may still take effect later.
	SwapUnknown
	// SwapUnreachable: the table was not reached; this attempt wrote nothing.
	SwapUnreachable
)

// SwapSettled reports the outcome of a SwapRow.
type SwapSettled struct {
	Shard core.ShardIndex
	// Version is the row version that the swap checked.
	Version core.Version
	SentAt  time.Time
	Outcome Outcome
}

// Received delivers a message from another entry of the zone.
type Received struct {
	From    core.EntryID
	Message Message
}

// EntriesListed carries the platform's list of the zone's live entries, as far as
// it can be trusted: Ended holds only entries that have certainly ended.
type EntriesListed struct {
	// Live are the entries that accept work, excluding those that are leaving.
	Live []core.EntryID
	// Ended are all entries that a row may name and that have ended, not only those
	// that have ended since the previous list.
	Ended []core.EntryID
}

// Refused reports that connections to an entry's address are refused. This doesn't
// prove that the entry has ended: a restarting listener or a network device may
// refuse connections to a live entry. It only makes the LeaseManager read the rows
// earlier and avoid the entry for a while.
type Refused struct{ Entry core.EntryID }

// ShuttingDown reports that this entry stops and has to hand over every shard:
// with a complete mirror if that succeeds before HandOverBy, otherwise with a
// horizon.
type ShuttingDown struct{ HandOverBy time.Time }

// Tick triggers time-dependent work. Send one at least every eighth of the lease.
type Tick struct{}

func (RowsRead) isEvent()      {}
func (SwapSettled) isEvent()   {}
func (Received) isEvent()      {}
func (EntriesListed) isEvent() {}
func (Refused) isEvent()       {}
func (ShuttingDown) isEvent()  {}
func (Tick) isEvent()          {}
