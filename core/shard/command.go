package shard

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// Command is an action that a LeaseManager requests: Send, ReadRows, SwapRow,
// StartAllowed, StartDenied, Lost or Inherited.
type Command interface{ isCommand() }

// Send sends a message to another entry. Messages may be lost, delayed or
// reordered.
type Send struct {
	To      core.EntryID
	Message Message
}

// ReadRows requests a read of the zone's shard rows.
type ReadRows struct{}

// SwapRow replaces a shard's row if the row still has Version.
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

// StartAllowed reports that a start which LeaseManager.Start held back may be
// dispatched. StartBy is the latest start time: the sender checks it right before
// the write to the target, and the target enforces it.
type StartAllowed struct {
	Shard   core.ShardIndex
	Key     core.RequestKey
	StartBy time.Time
}

// StartDenied reports that a start will not be allowed. This entry did not start
// the request. Verdict is what is known about the request at this point; it is
// never a Run.
type StartDenied struct {
	Shard   core.ShardIndex
	Key     core.RequestKey
	Verdict Verdict
}

// Lost reports that another entry holds the shard. No caller may be told "not run"
// for a request of the shard that is still queued here, because a retry may have run
// at the new holder. The home ends such requests with CodeEntryStopping, so that
// they are forwarded to the new holder.
type Lost struct {
	Shard  core.ShardIndex
	Holder core.EntryID
}

// Inherited reports, once after a takeover, the known starts of former holders.
// The home answers them with outcome_unknown or asks the target.
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
