package core

import "time"

// Answer is the final result of a request: Done, NotRun or OutcomeUnknown. A
// caller that doesn't wait for the result may receive Pending instead.
type Answer interface{ isAnswer() }

// Done carries the complete answer of the target that ran the request.
type Done struct {
	VM   VMID
	Body []byte
}

// NotRun reports that no target has started the request and that none will.
type NotRun struct {
	Code Code
	// ComeBackAt is the earliest time at which a new attempt may succeed. It is
	// zero if a new attempt can't succeed.
	ComeBackAt time.Time
	// Detail explains to a person what to change. It never contains a key.
	Detail string
}

// OutcomeUnknown reports that the request may have run. The request won't be
// sent to a target again.
type OutcomeUnknown struct {
	Code       Code
	ComeBackAt time.Time
	Detail     string
}

// Pending reports that the request is queued or running.
type Pending struct {
	Running bool
}

func (Done) isAnswer()           {}
func (NotRun) isAnswer()         {}
func (OutcomeUnknown) isAnswer() {}
func (Pending) isAnswer()        {}

// CodeOf returns the result code of a.
func CodeOf(a Answer) Code {
	switch a := a.(type) {
	case Done:
		return CodeDone
	case NotRun:
		return a.Code
	case OutcomeUnknown:
		return a.Code
	case Pending:
		return CodePending
	default:
		return CodeInternal
	}
}

// RefusalAnswer returns the answer for a request that is refused without access to
// its record. For a first attempt it is the refusal itself. For a later attempt it
// is an OutcomeUnknown with the same code, because an earlier attempt may have run.
func RefusalAnswer(attempt Attempt, refusal NotRun) Answer {
	if attempt <= 1 {
		return refusal
	}
	return OutcomeUnknown(refusal)
}
