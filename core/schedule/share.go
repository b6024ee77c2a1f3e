package schedule

import (
	"time"

	"lavenderpond/core/job"
)

// shareWindow is the period over which an account may use its share unevenly. Callers
// send jobs in bursts of some seconds.
const shareWindow = 5 * time.Second

// shares tracks which jobs exceed their accounts' shares. Such jobs come last when
// capacity is short, and run like any other job otherwise. Without this, an account that
// sends many times its usual load would make the jobs of all other accounts late, because
// its own jobs arrive first. With fair shares of room (fairness.go) no job is marked.
type shares map[job.AccountName]*tokenBucket

// tokenBucket holds one token for each job that an account may still submit within its share.
type tokenBucket struct {
	tokens    float64
	updatedAt time.Time
}

// exceeds counts a job of the account and reports whether it exceeds the account's share.
// An account without a weight has no share to exceed.
func (s shares) exceeds(now time.Time, a *job.Account) bool {
	if a == nil || a.Weight <= 0 {
		return false
	}
	capacity := max(1, a.Weight*shareWindow.Seconds())
	x := s[a.Name]
	if x == nil {
		x = &tokenBucket{tokens: capacity, updatedAt: now}
		s[a.Name] = x
	}
	x.tokens = min(capacity, x.tokens+a.Weight*now.Sub(x.updatedAt).Seconds())
	x.updatedAt = now
	if x.tokens < 1 {
		return true
	}
	x.tokens--
	return false
}
