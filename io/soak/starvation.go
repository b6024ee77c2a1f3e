package soak

import (
	"time"

	"lavenderpond/core/job"
	"lavenderpond/platform/standin"
)

const (
	// starvationLimit is how long a job of an account that stays within its weight may wait for
	// its first start while later jobs of other accounts start. Leases of unreachable VMs, on
	// which it may have been started, expire after 10 s.
	starvationLimit = 20 * time.Second
	// weightWindow is the period over which an account may use its weight unevenly.
	weightWindow = 5 * time.Second
)

// accountUsage records when an account submitted more jobs than its weight allows.
type accountUsage struct {
	// recent are the times of the submissions within weightWindow.
	recent       []time.Time
	lastExceeded time.Time
}

// countSubmission counts a job of an account.
func (c *Checker) countSubmission(name job.AccountName) {
	now := c.now()
	u := c.usage[name]
	if u == nil {
		u = &accountUsage{}
		c.usage[name] = u
	}
	for len(u.recent) > 0 && now.Sub(u.recent[0]) > weightWindow {
		u.recent = u.recent[1:]
	}
	u.recent = append(u.recent, now)
	if float64(len(u.recent)) > standin.Weight(name)*weightWindow.Seconds() {
		u.lastExceeded = now
	}
}

// checkStarvation checks, at the start of a task, that no job of another account has been
// starved by jobs that were accepted later.
func (c *Checker) checkStarvation(starting *submittedJob, t job.TaskID) {
	for id, waiting := range c.jobs {
		if c.isStarved(waiting) && waiting.account != starting.account && starting.acceptedAt.After(waiting.acceptedAt) {
			c.violationf("%v of account %s starts while %s of account %s, within its weight, has waited for %s", t, starting.account, id, waiting.account, c.now().Sub(waiting.acceptedAt))
			waiting.started = true
		}
	}
}

// isStarved reports whether the job has waited too long for its first start, although its
// account stayed within its weight.
func (c *Checker) isStarved(j *submittedJob) bool {
	waits := j.accepted && !j.started && !j.cancelled && j.finalState == ""
	return waits && c.now().Sub(j.acceptedAt) > starvationLimit && j.acceptedAt.Sub(c.usage[j.account].lastExceeded) > starvationLimit
}
