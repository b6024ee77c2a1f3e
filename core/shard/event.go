package shard

import (
	"time"

	"lavenderpond/core"
)

// Event is what a Keeper is told: RowsRead, SwapSettled, Received, Listed,
// Refused, Releasing or Tick.
type Event interface{ isEvent() }

// RowsRead is the reply to a read of all shard rows of the zone.
type RowsRead struct {
	// SentAt is when the read was sent: the rows may have changed right after.
	SentAt time.Time
	// Rows are the rows that changed since the read before, or all of them. Every
	// row left out is as it was at the read before.
	Rows []VersionedRow
}

// Outcome is how a swap ended.
type Outcome int

// The outcomes of a swap.
const (
	// SwapApplied: the row was written.
	SwapApplied Outcome = iota
	// SwapConflict: the row had another version; this send wrote nothing.
	SwapConflict
	// SwapUnknown: the answer was lost; the write may take effect even later.
	SwapUnknown
	// SwapDown: the table was not reached; this send wrote nothing.
	SwapUnreachable
)

// SwapSettled is the outcome of a SwapRow.
type SwapSettled struct {
	Shard core.ShardIndex
	// Version is the one that the swap checked.
	Version core.Version
	SentAt  time.Time
	Outcome Outcome
}

// Received is a message from another entry of the zone.
type Received struct {
	From    core.EntryID
	Message Message
}

// EntriesListed is the platform's list of live entries of the zone, as far as it is to
// be believed: Gone holds entries that have ended for certain.
type EntriesListed struct {
	// Live are the entries that take work, without those that are leaving.
	Live []core.EntryID
	// Gone are all entries that a row may name and that have ended, not only those
	// that ended since the list before.
	Gone []core.EntryID
}

// Refused says that nothing listens at an entry's address. It is no proof of
// death: a restarting listener, or a device on the way, refuses for an entry
// that lives. It only makes the Keeper look sooner.
type Refused struct{ Entry core.EntryID }

// ShuttingDown says that this entry stops: hand over every shard, with the mirror
// complete if that succeeds before By, else with a horizon.
type ShuttingDown struct{ HandOverBy time.Time }

// Tick lets time pass. Send one at least every eighth of the lease.
type Tick struct{}

func (RowsRead) isEvent()      {}
func (SwapSettled) isEvent()   {}
func (Received) isEvent()      {}
func (EntriesListed) isEvent() {}
func (Refused) isEvent()       {}
func (ShuttingDown) isEvent()  {}
func (Tick) isEvent()          {}
