// Package retry bounds retries, so that a failing pool doesn't double its load.
package retry

import "time"

// Budget allows retries as a share of first attempts. Implementations are pure
// and not safe for concurrent use.
type Budget interface {
	// First counts a first attempt.
	First(now time.Time)
	// Allow takes a retry from the budget, if one is left.
	Allow(now time.Time) bool
	// Backoff returns when retry number n (from 1) may start, with jitter.
	Backoff(now time.Time, n int) time.Time
}
