package emulator

import (
	"time"

	"lavenderpond/core/job"
)

// Service counts what callers got of their jobs. Jobs that callers cancelled of their own
// accord and jobs with tasks that always fail don't count.
type Service struct {
	// InTime are the jobs that completed within their latency target. Late are those that
	// completed later but were still of use. Useless are all others, accepted or not.
	InTime, Late, Useless int
}

const (
	// lateLimitFactor is how many times its latency target a job may take and still be of use.
	lateLimitFactor = 3
	// inTimeGoal is the share of jobs in time at which an overload is over. The share is that of
	// the jobs submitted within a recoveryWindow; a new window starts each recoveryStep.
	inTimeGoal     = 0.9
	recoveryWindow = 2 * time.Second
	recoveryStep   = 100 * time.Millisecond
	// NotRecovered is the recovery time of a run in which the share of jobs in time remains
	// below the goal.
	NotRecovered time.Duration = -1
)

// share returns the share of the jobs that were in time, or 0 without jobs.
func (s Service) share() float64 {
	return float64(s.InTime) / float64(max(1, s.InTime+s.Late+s.Useless))
}

// add counts a job.
func (s *Service) add(t *trackedJob) {
	took := t.completedAt.Sub(t.submittedAt)
	switch {
	case t.completedAt.IsZero() || took > lateLimitFactor*t.latencyTarget():
		s.Useless++
	case took > t.latencyTarget():
		s.Late++
	default:
		s.InTime++
	}
}

// counts reports whether the job counts as one that its caller wants and that can complete.
func (t *trackedJob) counts() bool {
	cancelled := !t.cancelledAt.IsZero() && !t.abandoned
	return !t.Body.LongRunning() && !t.allTasksFail && t.failingTask == noTask && t.crashingTask == noTask && !cancelled
}

// countService counts the jobs of all accounts and queues.
func (w *World) countService() {
	accounts, queues := map[job.AccountName]Service{}, map[job.QueueName]Service{}
	for _, t := range w.jobs {
		if !t.counts() {
			continue
		}
		a, q := accounts[t.Terms.Account], queues[t.Terms.Queue]
		a.add(t)
		q.add(t)
		accounts[t.Terms.Account], queues[t.Terms.Queue] = a, q
	}
	w.Stats.Accounts, w.Stats.Queues = accounts, queues
}

// overloadEnd returns when the last surge or fault ends, from the end of the lead time.
func (sc *Scenario) overloadEnd() time.Duration {
	end := time.Duration(0)
	for i := range sc.Load.Surges {
		end = max(end, sc.Load.Surges[i].end())
	}
	for _, f := range sc.Faults {
		end = max(end, f.At+f.Duration)
	}
	return end
}

// recovery returns the time from the end of the overload to the first period in which enough
// jobs are submitted that complete in time.
func (w *World) recovery(sc Scenario) time.Duration {
	end := epoch.Add(leadTime + sc.overloadEnd())
	last := epoch.Add(leadTime + sc.Length - recoveryWindow)
	for from := end; !from.After(last); from = from.Add(recoveryStep) {
		if w.serviceBetween(from, from.Add(recoveryWindow)).share() > inTimeGoal {
			return from.Sub(end)
		}
	}
	return NotRecovered
}

// serviceBetween counts the jobs that were first submitted in a period.
func (w *World) serviceBetween(from, to time.Time) Service {
	var s Service
	for _, t := range w.jobs {
		if t.counts() && !t.submittedAt.Before(from) && t.submittedAt.Before(to) {
			s.add(t)
		}
	}
	return s
}
