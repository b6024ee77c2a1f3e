package core

import "time"

// Answer is the final word about a request: Done, NotRun or OutcomeUnknown, or,
// to a caller that doesn't wait, Pending.
type Answer interface{ isAnswer() }

// Done carries the whole answer of the target that ran the request.
type Done struct {
	VM   VMID
	Body []byte
}

// NotRun says that no target started the request and that none will.
type NotRun struct {
	Code Code
	// ComeBackAt is when a new attempt has a chance. Zero: there is no point.
	ComeBackAt time.Time
	// Detail tells a person what to change. It never holds a key.
	Detail string
}

// OutcomeUnknown says that the request may have run, and that it won't be sent
// to a target again.
type OutcomeUnknown struct {
	Code       Code
	ComeBackAt time.Time
	Detail     string
}

// Pending says that the request is queued or running.
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

// RefusalAnswer returns refusal for a first attempt. For a later attempt it returns an
// OutcomeUnknown with the same code: whoever refuses without knowing the id's
// record can't know whether an earlier attempt ran.
func RefusalAnswer(attempt Attempt, refusal NotRun) Answer {
	if attempt <= 1 {
		return refusal
	}
	return OutcomeUnknown(refusal)
}
