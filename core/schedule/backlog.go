package schedule

import (
	"time"

	"lavenderpond/core/job"
)

// backlogInterval is how often the backlog is counted.
const backlogInterval = 100 * time.Millisecond

// Backlog returns the number of jobs in each queue that have not begun. The result may be up to
// backlogInterval old and must not be modified.
func (s *Scheduler) Backlog(now time.Time) map[job.QueueName]int {
	if s.backlog != nil && now.Before(s.backlogExpires) {
		return s.backlog
	}
	s.backlog, s.backlogExpires = s.countBacklog(), now.Add(backlogInterval)
	return s.backlog
}

// countBacklog counts the jobs of each queue that have not begun.
func (s *Scheduler) countBacklog() map[job.QueueName]int {
	out := map[job.QueueName]int{}
	for _, j := range s.jobs.All() {
		if !j.over() && !j.begun {
			out[j.Terms.Queue]++
		}
	}
	return out
}
