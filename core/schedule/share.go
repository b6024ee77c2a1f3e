package schedule

import (
	"time"

	"lavenderpond/core/job"
)

// shareWindow is the period over which an account may use its share unevenly: callers
// come in bursts of some seconds.
const shareWindow = 5 * time.Second

// shares tells which jobs are beyond their accounts' shares. When all is full these
// come last: an account that sends many times its usual would else make the jobs of all
// others late, since its own arrive first. While there is room they run like any other.
type shares map[job.AccountName]*share

// share is the jobs that an account may still hand in, as a token bucket.
type share struct {
	tokens float64
	at     time.Time
}

// exceeds takes in a job of the account and tells whether it is beyond its share. An
// account without a weight has no share that could be exceeded.
func (s shares) exceeds(now time.Time, a *job.Account) bool {
	if a == nil || a.Weight <= 0 {
		return false
	}
	most := max(1, a.Weight*shareWindow.Seconds())
	x := s[a.Name]
	if x == nil {
		x = &share{tokens: most, at: now}
		s[a.Name] = x
	}
	x.tokens = min(most, x.tokens+a.Weight*now.Sub(x.at).Seconds())
	x.at = now
	if x.tokens < 1 {
		return true
	}
	x.tokens--
	return false
}
