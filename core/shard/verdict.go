package shard

import (
	"time"

	"lavenderpond/core"
)

// Verdict is a LeaseManager's decision about a request id: Run, NotHolder, Wait,
// Unknown or Refuse.
type Verdict interface{ isVerdict() }

// Run means that this entry may start the request once LeaseManager.Start allows
// it.
type Run struct {
	// StartBy is when the lease expires, or the request's deadline if that is
	// earlier.
	StartBy time.Time
	// Mirrored reports whether the start has to wait for the successor's ack.
	Mirrored bool
}

// NotHolder means that Holder decides.
type NotHolder struct{ Holder core.EntryID }

// Wait means that no entry is known to hold a lease on the shard. It proves nothing
// about the request: only a first attempt that was sent nowhere else may be answered
// with "not run".
type Wait struct{ ComeBackAt time.Time }

// Unknown means that the request may have been started before and will not be
// started again.
type Unknown struct{ Code core.Code }

// Refuse means that no holder started the request and none will. Code is the
// reason.
type Refuse struct{ Code core.Code }

func (Run) isVerdict()       {}
func (NotHolder) isVerdict() {}
func (Wait) isVerdict()      {}
func (Unknown) isVerdict()   {}
func (Refuse) isVerdict()    {}
