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
	// valueBase and worthOfWork make up a job's worth: a part for the job and a
	// part in proportion to its work against the mean of its queue.
	valueBase            = 0.3
	valuePerRelativeWork = 0.7
	// minRemainingWork keeps the density of nearly finished jobs finite, in core-seconds.
	minRemainingWork = 0.05
)

// candidates returns the jobs of a pool in the order in which they get room.
// When not all can be in time, those come first that bring the most for the
// room that they still need; late ones come after all that are in time.
func (s *Scheduler) candidates(now time.Time, jobs []*jobState) []candidate {
	out := make([]candidate, 0, len(jobs))
	for _, j := range jobs {
		out = append(out, s.rateJob(now, j))
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

// ratingInterval is how often a job's place in the order is worked out anew if none of its
// tasks has ended.
const ratingInterval = 50 * time.Millisecond

// rateJob returns the job's place in the order, which may be as old as rateEvery.
func (s *Scheduler) rateJob(now time.Time, j *jobState) candidate {
	if j.ratedAt.IsZero() || now.Sub(j.ratedAt) >= ratingInterval {
		j.objective, j.late = s.objective(j)
		j.rating, j.ratedAt = s.newCandidate(now, j), now
	}
	return j.rating
}

func (s *Scheduler) newCandidate(now time.Time, j *jobState) candidate {
	c := candidate{job: j, rank: rankLasting}
	if j.lasting {
		return c
	}
	left, all := s.work(j)
	mean := s.queueStats(j.Terms.Queue).meanWork
	relative := 1.0
	if mean > 0 {
		relative = all / mean
	}
	c.density = (valueBase + valuePerRelativeWork*relative) / max(left, minRemainingWork)
	ready := now.Add(s.remainingTime(j, j.currentOccurrence()))
	switch {
	case !ready.After(j.objective):
		c.rank = rankInTime
	case !ready.After(j.late):
		c.rank = rankLate
	default:
		c.rank = rankUseless
	}
	if j.excess {
		c.rank = max(c.rank, rankExcess)
	}
	return c
}

// currentOccurrence returns the first occurrence that isn't complete.
func (j *jobState) currentOccurrence() *occurrence {
	for _, o := range j.occurrences {
		if o.done < len(o.steps) {
			return o
		}
	}
	return j.occurrences[len(j.occurrences)-1]
}
