package schedule

import (
	"cmp"
	"slices"
	"time"
)

// rank divides jobs into groups. The group with the lowest value is served first.
type rank int

const (
	// rankLongRunning: a long-running task serves users or runs for long, and must be running
	// again within seconds of any end.
	rankLongRunning rank = iota
	// rankInTime: the job can complete by its objective.
	rankInTime
	// rankLate: the job can only complete after its objective but before its late limit, when
	// its result is worth only a fraction of its value.
	rankLate
	// rankBeyondShare: the job's account has submitted more than its share.
	rankBeyondShare
	// rankTooLate: the job can only complete after its late limit. Nobody waits for it any
	// more, but it was accepted and still has to run.
	rankTooLate
)

// String returns the rank in snake case.
func (r rank) String() string {
	return [...]string{"lasting", "in_time", "late", "excess", "useless"}[r]
}

// candidate is a job that has tasks to start.
type candidate struct {
	job  *jobState
	rank rank
	// density is the value of completing the job per core-second that it still needs.
	density float64
}

const (
	// A job's value is valueBase, plus valuePerRelativeWork times its work divided by the mean
	// work of its queue.
	valueBase            = 0.3
	valuePerRelativeWork = 0.7
	// minRemainingWork, in core-seconds, keeps the density of nearly finished jobs finite.
	minRemainingWork = 0.05
)

// candidates returns the jobs of a pool in the order in which they get capacity. If not all can
// be in time, those with the highest value per core-second that they still need come first.
// Late jobs come after all that can be in time.
func (s *Scheduler) candidates(now time.Time, jobs []*jobState) []candidate {
	out := make([]candidate, 0, len(jobs))
	for _, j := range jobs {
		out = append(out, s.rateJob(now, j))
	}
	slices.SortFunc(out, compareCandidates)
	return out
}

// compareCandidates orders candidates by rank, priority, density and arrival.
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

// ratingInterval is how often the rating of a job is recomputed if none of its tasks has ended.
const ratingInterval = 50 * time.Millisecond

// rateJob returns the rating of the job, which may be up to ratingInterval old.
func (s *Scheduler) rateJob(now time.Time, j *jobState) candidate {
	if j.ratedAt.IsZero() || now.Sub(j.ratedAt) >= ratingInterval {
		j.objective, j.lateLimit = s.predictObjective(j)
		j.rating, j.ratedAt = s.newCandidate(now, j), now
	}
	return j.rating
}

// newCandidate computes the rank and density of a job.
func (s *Scheduler) newCandidate(now time.Time, j *jobState) candidate {
	c := candidate{job: j, rank: rankLongRunning}
	if j.longRunning {
		return c
	}
	remaining, total := s.predictWork(j)
	mean := s.queueStats(j.Terms.Queue).meanWork
	relative := 1.0
	if mean > 0 {
		relative = total / mean
	}
	c.density = (valueBase + valuePerRelativeWork*relative) / max(remaining, minRemainingWork)
	ready := now.Add(s.remainingTime(j, j.currentOccurrence()))
	switch {
	case !ready.After(j.objective):
		c.rank = rankInTime
	case !ready.After(j.lateLimit):
		c.rank = rankLate
	default:
		c.rank = rankTooLate
	}
	if j.beyondShare && !s.settings.Policy.FairShares {
		c.rank = max(c.rank, rankBeyondShare)
	}
	return c
}

// currentOccurrence returns the first occurrence that isn't complete, or nil if none is due.
func (j *jobState) currentOccurrence() *occurrence {
	for _, o := range j.occurrences {
		if o.doneSteps < len(o.steps) {
			return o
		}
	}
	if len(j.occurrences) > 0 {
		return j.occurrences[len(j.occurrences)-1]
	}
	return nil
}
