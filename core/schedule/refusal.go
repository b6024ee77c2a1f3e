package schedule

import (
	"time"

	"lavenderpond/core/job"
)

// refusals holds when callers were first refused who may submit their jobs again. The zero value
// holds none.
type refusals map[job.ID]time.Time

// take returns when the caller of a job that arrives now began to wait: at its first refusal, if it
// was refused. The job then doesn't rank before the jobs of callers who have waited for less.
func (r refusals) take(now time.Time, id job.ID) time.Time {
	at, refused := r[id]
	if !refused {
		return now
	}
	delete(r, id)
	return at
}

// JobRefused records that an entry VM has refused a job, whose caller may submit it again.
func (s *Scheduler) JobRefused(now time.Time, id job.ID) {
	if s.refusals == nil {
		s.refusals = refusals{}
	}
	if _, known := s.refusals[id]; !known {
		s.refusals[id] = now
	}
}

// ForgetRefusal forgets the refusal of a job that was not submitted again.
func (s *Scheduler) ForgetRefusal(id job.ID) { delete(s.refusals, id) }
