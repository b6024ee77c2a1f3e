package limit

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// Event is what a Ledger is told: Limits, RowsRead, Polled, Moved, Gone, ZoneDown,
// Members, Tick or Stop.
type Event interface{ isEvent() }

// Limits tells the upper limits in force. Teams without a row have limit 0.
type Limits struct {
	// Head is the row of the configuration's head that the limits were computed at,
	// or an empty row if the view isn't complete up to it: nothing is taken then.
	Head table.Row
	// Limits holds an entry for every team of Ledger.Teams. With the Head of the event
	// before, teams whose limit is the same may be left out.
	Limits map[core.TeamID]core.Slots
}

// RowsRead tells a team's two allotment rows, by a read that left at Sent.
type RowsRead struct {
	Sent time.Time
	Team core.TeamID
	// TeamRow and ZoneRow have Version 0 if they don't exist.
	TeamRow table.Row
	ZoneRow table.Row
}

// Polled tells the allotment rows that changed since the poll before, by a read
// that left at Sent. First is true if there was no poll before.
type Polled struct {
	Sent  time.Time
	First bool
	Rows  []table.Row
}

// Result is how a transaction ended.
type Result int

// The results of a transaction.
const (
	// ResultUnknown: the answer was lost; the writes may have taken or take effect.
	ResultUnknown Result = iota
	ResultApplied
	// ResultConflict: a check failed and nothing was written by this sending.
	ResultConflict
	// ResultNotSent: the table was not reached and nothing was written.
	ResultNotSent
)

// Moved tells how a sending of a Move ended.
type Moved struct {
	ID     MoveID
	Result Result
}

// EntryGone tells that an entry's process has certainly ended. Entries of other zones
// are ignored.
type EntryGone struct{ Entry core.EntryID }

// ZoneDown tells an operator's attestation about a zone, since an instant, or that
// it was taken back.
type ZoneDown struct {
	Zone  core.ZoneID
	Down  bool
	Since time.Time
}

// Members tells the own zone's entries as their rows name them, sorted, with this one
// among them, and all zones. Entries that have ended may be among them.
type Members struct {
	Entries []core.EntryID
	Zones   []core.ZoneID
}

// Tick lets time pass.
type Tick struct{}

// Stop tells that the entry shuts down: it takes nothing any more and gives back
// all that doesn't run.
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

// MoveID numbers the moves of one Ledger.
type MoveID uint64

// Command is what a Ledger asks for: ReadRows or Move.
type Command interface{ isCommand() }

// ReadRows asks for a RowsRead of Team.
type ReadRows struct{ Team core.TeamID }

// Move asks to send a transaction and to tell how it ended. The same move may be
// sent again to settle a lost answer.
type Move struct {
	ID          MoveID
	Team        core.TeamID
	Transaction table.Transaction
}

func (ReadRows) isCommand() {}
func (Move) isCommand()     {}
