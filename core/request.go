package core

import "time"

// Request is a caller's request, as the entry that received it forwards it to the
// request's home. Its time limits are points in time, never remaining durations.
type Request struct {
	Key       RequestKey
	KeyDigest KeyDigest
	Attempt   Attempt
	// Deadline is the time after which no work starts. It is the same on every
	// attempt.
	Deadline time.Time
	// FirstSent is when the caller first sent the request. It is the same on every
	// attempt, and zero if the caller doesn't specify it.
	FirstSent time.Time
	Queue     QueueID
	// Idempotent requests may run more than once.
	Idempotent bool
	// Urgent requests run before other requests of their team.
	Urgent bool
	// DeclaredRun is the run time declared by the caller. It is an estimate, not a
	// limit, and often far off; it serves as a hint until run times are measured.
	DeclaredRun time.Duration
	Body        []byte
}
