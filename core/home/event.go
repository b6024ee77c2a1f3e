package home

import (
	"lavenderpond/core"
	"lavenderpond/core/shard"
)

// Waiter names a caller that waits for an answer, chosen by the caller's side.
type Waiter uint64

// Event is something that happened to requests at their home.
type Event interface{ isEvent() }

// Submit is an attempt of a request.
type Submit struct {
	Request core.Request
	Waiter  Waiter
	// NoWait asks for an answer as soon as the request is recorded.
	NoWait bool
}

// Fetch asks for the answer of a request.
type Fetch struct {
	Key    core.RequestKey
	Waiter Waiter
}

// Cancel gives a request up.
type Cancel struct {
	Key    core.RequestKey
	Waiter Waiter
}

// Abandon says that a waiter has gone. Its request goes on.
type Abandon struct {
	Key    core.RequestKey
	Waiter Waiter
}

// StartAllowed says that the start of Key, announced through Rights.Start, is
// mirrored and may be dispatched.
type StartAllowed struct{ Key core.RequestKey }

// StartDenied says that the start of Key may not be dispatched. Verdict says what
// is known of the id now; nil: nothing new.
type StartDenied struct {
	Key     core.RequestKey
	Verdict shard.Verdict
}

// Inherited reports a start that a former holder announced before it was taken
// over from.
type Inherited struct{ Start shard.Start }

// Ended says how a dispatch ended.
type Ended struct {
	Key    core.RequestKey
	Number core.Attempt
	End    End
}

// Asked is the reply to an AskTarget command.
type Asked struct {
	Key     core.RequestKey
	Finding Finding
}

// KeyWithdrawn says that a team key stopped working.
type KeyWithdrawn struct{ Digest core.KeyDigest }

// HandedOver says that this entry lost a shard, of Shards, to another holder.
type HandedOver struct {
	Shard  core.ShardIndex
	Shards core.ShardIndex
}

// Changed says that targets, limits or configuration changed.
type Changed struct{}

// Stopping says that the entry shuts down: nothing new is taken.
type Stopping struct{}

// Tick lets deadlines take effect.
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
func (HandedOver) isEvent()   {}
func (Changed) isEvent()      {}
func (Stopping) isEvent()     {}
func (Tick) isEvent()         {}
