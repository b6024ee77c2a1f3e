package core

import "time"

// Request is a caller's request as the system carries it from the entry that
// took it to its home. All times are deadlines or instants, never durations.
type Request struct {
	Key       RequestKey
	KeyDigest KeyDigest
	Attempt   Attempt
	// Deadline is the same on every attempt. No work starts after it.
	Deadline time.Time
	// FirstSent is when the caller first sent the request, the same on every
	// attempt. Zero if the caller doesn't say.
	FirstSent time.Time
	Queue     QueueID
	// Idempotent requests may run more than once.
	Idempotent bool
	// Urgent requests go before others of their team.
	Urgent bool
	// DeclaredRun is the run time that the caller declares: a size, not a deadline.
	// Often far off; used as a hint until run times are measured.
	DeclaredRun time.Duration
	Body        []byte
}
