package soak

import (
	"strconv"
	"time"

	"lavenderpond/core/job"
)

// Answered checks the answer to a call: a refusal must say when to come back. It returns the time
// to wait.
func (c *Checker) Answered(id job.ID, status int, retryAfter string) time.Duration {
	if status != 429 && status != 503 {
		return 0
	}
	seconds, err := strconv.Atoi(retryAfter)
	if err != nil || seconds < 1 {
		c.Reportf("a call for %s was refused with status %d and Retry-After %q", id, status, retryAfter)
	}
	return time.Duration(seconds) * time.Second
}
