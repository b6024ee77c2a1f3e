package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// comesBefore states the order of candidates in its simplest form.
func comesBefore(a, b candidate) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	if a.job.Terms.Priority != b.job.Terms.Priority {
		return a.job.Terms.Priority < b.job.Terms.Priority
	}
	if a.density != b.density {
		return a.density > b.density
	}
	if !a.job.arrived.Equal(b.job.arrived) {
		return a.job.arrived.Before(b.job.arrived)
	}
	return a.job.ID < b.job.ID
}

// Guards against errors in the sort order of candidates. It must match a selection that
// repeatedly picks the job that comes before all others.
func TestCandidateOrderMatchesNaiveSelection(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for round := range 50 {
		h := newHarness(t)
		var jobs []*jobState
		for i := range 20 {
			h.now = h.now.Add(time.Duration(rng.IntN(300)) * time.Millisecond)
			id := fmt.Sprintf("j%02d", i)
			h.addJob(id, "free", job.Step{
				Count: 1 + rng.IntN(9), Resources: job.Resources{CPU: rng.Int64N(4000)}, LongRunning: rng.IntN(8) == 0,
				Estimate: time.Duration(rng.IntN(3000)) * time.Millisecond,
			})
			j := h.s.jobs.Get(job.ID(id))
			j.Terms.Priority = rng.IntN(2)
			j.beyondShare = rng.IntN(4) == 0
			jobs = append(jobs, j)
		}
		h.now = h.now.Add(time.Duration(rng.IntN(4000)) * time.Millisecond)
		sorted := h.s.candidates(h.now, jobs)
		remaining := jobs
		for _, got := range sorted {
			best := 0
			for i := range remaining {
				if comesBefore(h.s.newCandidate(h.now, remaining[i]), h.s.newCandidate(h.now, remaining[best])) {
					best = i
				}
			}
			assert.Equal(t, got.job.ID, remaining[best].ID, "round %d", round)
			remaining = append(remaining[:best:best], remaining[best+1:]...)
		}
	}
}

// Guards against jobs that become late because they wait for one that is late anyway. A job
// that can no longer be in time comes after all that can, however little work it needs.
func TestLateJobsComeLast(t *testing.T) {
	h := newHarness(t)
	h.addJob("late", "free", smallStep)
	late := h.s.jobs.Get("late")
	h.now = h.now.Add(3 * time.Second)
	h.addJob("fresh", "free", job.Step{Count: 9, Resources: job.Resources{CPU: 1000}, Estimate: time.Second})
	out := h.s.candidates(h.now, []*jobState{late, h.s.jobs.Get("fresh")})
	assert.Equal(t, out[0].job.ID, job.ID("fresh"))
	assert.Equal(t, out[1].rank, rankLate)
}
