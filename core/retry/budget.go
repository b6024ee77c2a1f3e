// Package retry limits retries, so that a failing pool doesn't receive twice its normal
// load.
package retry

import "time"

// Budget limits retries to a share of first attempts. Implementations do no I/O and
// aren't safe for concurrent use.
type Budget interface {
	// First records a first attempt.
	First(now time.Time)
	// Allow takes a retry from the budget and reports whether one was available.
	Allow(now time.Time) bool
	// Backoff returns the time at which retry number n (starting at 1) may start,
	// including jitter.
	Backoff(now time.Time, n int) time.Time
}
