package shard

import (
	"time"

	"lavenderpond/core"
)

// Verdict is what a Keeper says of a request id: Run, NotHolder, Wait, Unknown or
// Refuse.
type Verdict interface{ isVerdict() }

// Run says that this entry may start the request, after Keeper.Start allows it.
type Run struct {
	// StartBy is when the right ends, or the request's deadline if that is earlier.
	StartBy time.Time
	// Mirrored says that the start waits for the successor's ack.
	Mirrored bool
}

// NotHolder says that Holder decides.
type NotHolder struct{ Holder core.EntryID }

// Wait says that nobody is known to have the right now. It proves nothing about
// the request: "not run" is true only of a first attempt that was sent nowhere.
type Wait struct{ ComeBackAt time.Time }

// Unknown says that the request may have been started before and won't be again.
type Unknown struct{ Code core.Code }

// Refuse says that no holder started the request and none will. Code says why.
type Refuse struct{ Code core.Code }

func (Run) isVerdict()       {}
func (NotHolder) isVerdict() {}
func (Wait) isVerdict()      {}
func (Unknown) isVerdict()   {}
func (Refuse) isVerdict()    {}
