package limit

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// Event is an input of a Ledger: Limits, RowsRead, Polled, Moved, EntryGone, ZoneDown,
// Members, Tick or Stop.
type Event interface{ isEvent() }

// Limits reports the limits in force. Teams without a row have limit 0.
type Limits struct {
	// Head is the configuration's head row for which the limits were computed. It is
	// empty if the view isn't complete up to the head; the entry then takes no slots.
	Head table.Row
	// Limits contains every team returned by Ledger.Teams. If Head is the same as in
	// the previous event, teams with an unchanged limit may be omitted.
	Limits map[core.TeamID]core.Slots
}

// RowsRead reports both allotment rows of a team, obtained by a read sent at Sent.
type RowsRead struct {
	Sent time.Time
	Team core.TeamID
	// TeamRow and ZoneRow have Version 0 if they don't exist.
	TeamRow table.Row
	ZoneRow table.Row
}

// Polled reports the allotment rows that changed since the previous poll, obtained by a
// read sent at Sent. First is true for the first poll.
type Polled struct {
	Sent  time.Time
	First bool
	Rows  []table.Row
}

// Result is the outcome of a transaction.
type Result int

// The results of a transaction.
const (
	// ResultUnknown means that the answer was lost. The writes may have taken effect or
	// may still do so.
	ResultUnknown Result = iota
	ResultApplied
	// ResultConflict means that a check failed and this attempt wrote nothing.
	ResultConflict
	// ResultNotSent means that the table was unreachable and nothing was written.
	ResultNotSent
)

// Moved reports the outcome of one attempt to send a Move.
type Moved struct {
	ID     MoveID
	Result Result
}

// EntryGone reports that an entry's process has certainly ended. Entries of other zones
// are ignored.
type EntryGone struct{ Entry core.EntryID }

// ZoneDown reports that an operator attested a zone to be down since the given time, or
// that the attestation was withdrawn.
type ZoneDown struct {
	Zone  core.ZoneID
	Down  bool
	Since time.Time
}

// Members reports the entries of the own zone according to their table rows, sorted and
// including this one, and all zones. Entries that have ended may be included.
type Members struct {
	Entries []core.EntryID
	Zones   []core.ZoneID
}

// Tick reports that time has passed.
type Tick struct{}

// Stop reports that the entry is shutting down. The entry takes no more slots and gives
// back the slots that aren't in use.
type Stop struct{}

func (Limits) isEvent()    {}
func (RowsRead) isEvent()  {}
func (Polled) isEvent()    {}
func (Moved) isEvent()     {}
func (EntryGone) isEvent() {}
func (ZoneDown) isEvent()  {}
func (Members) isEvent()   {}
func (Tick) isEvent()      {}
func (Stop) isEvent()      {}

// MoveID identifies a move of one Ledger.
type MoveID uint64

// Command is a request from a Ledger to its driver: ReadRows or Move.
type Command interface{ isCommand() }

// ReadRows requests a RowsRead event for Team.
type ReadRows struct{ Team core.TeamID }

// Move requests that a transaction is sent and its outcome reported as Moved. The same
// move may be sent again to resolve a lost answer.
type Move struct {
	ID          MoveID
	Team        core.TeamID
	Transaction table.Transaction
}

func (ReadRows) isCommand() {}
func (Move) isCommand()     {}
