package home

import (
	"lavenderpond/core"
	"lavenderpond/core/shard"
)

// Waiter identifies a caller that waits for an answer. The submitting side chooses
// it.
type Waiter uint64

// Event is an input to a Home.
type Event interface{ isEvent() }

// Submit is one attempt of a request.
type Submit struct {
	Request core.Request
	Waiter  Waiter
	// NoWait asks for an answer as soon as the request is recorded.
	NoWait bool
}

// Fetch asks for the answer to a request that was submitted earlier.
type Fetch struct {
	Key    core.RequestKey
	Waiter Waiter
}

// Cancel cancels a request.
type Cancel struct {
	Key    core.RequestKey
	Waiter Waiter
}

// Abandon reports that a waiter has disconnected. Its request continues.
type Abandon struct {
	Key    core.RequestKey
	Waiter Waiter
}

// StartAllowed reports that the start of Key, requested with ShardLeases.Start, is
// mirrored and may be dispatched.
type StartAllowed struct{ Key core.RequestKey }

// StartDenied reports that the start of Key may not be dispatched. Verdict is what
// is known about the id at this point. It is nil if nothing new is known.
type StartDenied struct {
	Key     core.RequestKey
	Verdict shard.Verdict
}

// Inherited reports a start that a former holder had mirrored to this entry before
// this entry took over.
type Inherited struct{ Start shard.Start }

// Ended reports how a dispatch ended.
type Ended struct {
	Key            core.RequestKey
	DispatchNumber core.Attempt
	End            End
}

// Asked is the reply to an AskTarget command.
type Asked struct {
	Key     core.RequestKey
	Finding Finding
}

// KeyWithdrawn reports that a team key has been withdrawn.
type KeyWithdrawn struct{ Digest core.KeyDigest }

// ShardLost reports that this entry lost Shard to another holder. Shards is the zone's
// number of shards.
type ShardLost struct {
	Shard  core.ShardIndex
	Shards core.ShardIndex
}

// Changed reports that targets, limits or the configuration changed.
type Changed struct{}

// Stopping reports that the entry is shutting down and accepts no new requests.
type Stopping struct{}

// Tick triggers time-dependent work, such as deadlines.
type Tick struct{}

func (Submit) isEvent()       {}
func (Fetch) isEvent()        {}
func (Cancel) isEvent()       {}
func (Abandon) isEvent()      {}
func (StartAllowed) isEvent() {}
func (StartDenied) isEvent()  {}
func (Inherited) isEvent()    {}
func (Ended) isEvent()        {}
func (Asked) isEvent()        {}
func (KeyWithdrawn) isEvent() {}
func (ShardLost) isEvent()    {}
func (Changed) isEvent()      {}
func (Stopping) isEvent()     {}
func (Tick) isEvent()         {}
