package shard

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// Command is what a Keeper wants done: Send, ReadRows, SwapRow, StartAllowed,
// StartDenied, Lost or Inherited.
type Command interface{ isCommand() }

// Send sends a message to another entry. Messages may be lost, late or crossed.
type Send struct {
	To      core.EntryID
	Message Message
}

// ReadRows asks for a read of the zone's shard rows.
type ReadRows struct{}

// SwapRow replaces a shard's row if it still has Version.
type SwapRow struct {
	Shard   core.ShardIndex
	Version core.Version
	Row     Row
}

// Transaction returns the swap as a transaction of the platform's table.
func (c SwapRow) Transaction(zone core.ZoneID) (table.Transaction, error) {
	key := table.ShardKey(zone, c.Shard)
	var t table.Transaction
	t.Check(table.Row{Key: key, Version: c.Version})
	return t, t.Set(key, c.Row)
}

// StartAllowed says that a start, held back by Keeper.Start, may be dispatched.
// StartBy is the deadline to check right before the write to the target, and the
// one that the target enforces.
type StartAllowed struct {
	Shard   core.ShardIndex
	Key     core.RequestKey
	StartBy time.Time
}

// StartDenied says that a start won't be allowed. This entry did not start it;
// Verdict says what is known of it now. It is never a Run.
type StartDenied struct {
	Shard   core.ShardIndex
	Key     core.RequestKey
	Verdict Verdict
}

// Lost says that another entry decides about the shard now. Home may not say "not
// run" of the requests that it still queues: a retry may have run there.
type Lost struct {
	Shard  core.ShardIndex
	Holder core.EntryID
}

// Inherited reports, once after a take-over, the starts of former holders that
// are known: home answers them as outcome_unknown or by asking the target.
type Inherited struct {
	Shard  core.ShardIndex
	Former core.EntryID
	Starts []Start
}

func (Send) isCommand()         {}
func (ReadRows) isCommand()     {}
func (SwapRow) isCommand()      {}
func (StartAllowed) isCommand() {}
func (StartDenied) isCommand()  {}
func (Lost) isCommand()         {}
func (Inherited) isCommand()    {}
