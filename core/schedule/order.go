package schedule

import (
	"cmp"
	"slices"
	"time"
)

// rank sorts jobs into groups, the first served first.
type rank int

const (
	// rankLasting: tasks that serve users or run for long must be back at work
	// within seconds of any end.
	rankLasting rank = iota
	// rankInTime: the job can be complete by its objective.
	rankInTime
	// rankLate: it can only be complete late, at a small part of its worth.
	rankLate
	// rankExcess: its account has handed in more than its share.
	rankExcess
	// rankUseless: nobody waits for it any more, but it was accepted.
	rankUseless
)

// String returns the rank in snake case.
func (r rank) String() string {
	return [...]string{"lasting", "in_time", "late", "excess", "useless"}[r]
}

// candidate is a job that has tasks to start.
type candidate struct {
	job  *jobState
	rank rank
	// density is the worth of completing the job for each core-second that it
	// still needs.
	density float64
}

const (
	// worthBase and worthOfWork make up a job's worth: a part for the job and a
	// part in proportion to its work against the mean of its queue.
	worthBase   = 0.3
	worthOfWork = 0.7
	// leastWork keeps the density of nearly finished jobs finite, in core-seconds.
	leastWork = 0.05
)

// candidates returns the jobs of a pool in the order in which they get room.
// When not all can be in time, those come first that bring the most for the
// room that they still need; late ones come after all that are in time.
func (s *Scheduler) candidates(now time.Time, jobs []*jobState) []candidate {
	out := make([]candidate, 0, len(jobs))
	for _, j := range jobs {
		out = append(out, s.rate(now, j))
	}
	slices.SortFunc(out, compareCandidates)
	return out
}

func compareCandidates(a, b candidate) int {
	switch {
	case a.rank != b.rank:
		return cmp.Compare(a.rank, b.rank)
	case a.job.Terms.Priority != b.job.Terms.Priority:
		return cmp.Compare(a.job.Terms.Priority, b.job.Terms.Priority)
	case a.density != b.density:
		return cmp.Compare(b.density, a.density)
	}
	return cmp.Or(a.job.arrived.Compare(b.job.arrived), cmp.Compare(a.job.ID, b.job.ID))
}

// rateEvery is how often a job's place in the order is worked out anew if none of its
// tasks has ended.
const rateEvery = 50 * time.Millisecond

// rate returns the job's place in the order, which may be as old as rateEvery.
func (s *Scheduler) rate(now time.Time, j *jobState) candidate {
	if j.ratedAt.IsZero() || now.Sub(j.ratedAt) >= rateEvery {
		j.objective, j.lateLimit = s.objective(j)
		j.rating, j.ratedAt = s.candidate(now, j), now
	}
	return j.rating
}

func (s *Scheduler) candidate(now time.Time, j *jobState) candidate {
	c := candidate{job: j, rank: rankLasting}
	if j.lasting {
		return c
	}
	left, all := s.work(j)
	mean := s.queue(j.Terms.Queue).meanWork
	relative := 1.0
	if mean > 0 {
		relative = all / mean
	}
	c.density = (worthBase + worthOfWork*relative) / max(left, leastWork)
	ready := now.Add(s.chain(j, j.current()))
	switch {
	case !ready.After(j.objective):
		c.rank = rankInTime
	case !ready.After(j.lateLimit):
		c.rank = rankLate
	default:
		c.rank = rankUseless
	}
	if j.beyondShare {
		c.rank = max(c.rank, rankExcess)
	}
	return c
}

// current returns the first occurrence that isn't complete.
func (j *jobState) current() *occurrence {
	for _, o := range j.occurrences {
		if o.done < len(o.steps) {
			return o
		}
	}
	return j.occurrences[len(j.occurrences)-1]
}
