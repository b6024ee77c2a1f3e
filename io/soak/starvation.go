package soak

import (
	"time"

	"lavenderpond/core/job"
	"lavenderpond/platform/standin"
)

const (
	// starvationLimit is how long an account that stays within its weight may have a waiting job
	// and no start while later jobs of other accounts start. Leases of unreachable VMs, on which
	// its jobs may have been started, expire after 10 s. A single job that is too late to be of
	// use may wait for longer; it must finish by the end.
	starvationLimit = 20 * time.Second
	// weightWindow is the period over which an account may use its weight unevenly.
	weightWindow = 5 * time.Second
)

// accountUsage records when an account submitted more jobs than its weight allows, and when
// one of its tasks last started.
type accountUsage struct {
	// recent are the times of the submissions within weightWindow.
	recent                  []time.Time
	lastExceeded, lastStart time.Time
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

// checkStarvation checks, at the start of a task, that no other account has been starved by jobs
// that were accepted later than one of its own.
func (c *Checker) checkStarvation(starting *submittedJob, t job.TaskID) {
	c.usage[starting.account].lastStart = c.now()
	for id, waiting := range c.jobs {
		if c.isStarved(waiting) && waiting.account != starting.account && starting.acceptedAt.After(waiting.acceptedAt) {
			c.violationf("%v of account %s starts while %s of account %s, within its weight, has waited for %s", t, starting.account, id, waiting.account, c.now().Sub(waiting.acceptedAt))
			// One violation a period is enough.
			c.usage[waiting.account].lastStart = c.now()
		}
	}
}

// isStarved reports whether the job and its account have waited too long for a start, although
// the account stayed within its weight.
func (c *Checker) isStarved(j *submittedJob) bool {
	u, now := c.usage[j.account], c.now()
	waits := j.accepted && !j.started && !j.cancelled && j.finalState == ""
	return waits && now.Sub(j.acceptedAt) > starvationLimit && now.Sub(u.lastStart) > starvationLimit &&
		j.acceptedAt.Sub(u.lastExceeded) > starvationLimit
}
