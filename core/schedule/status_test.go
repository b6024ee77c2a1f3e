package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// Guards against a status that hides who waits: behind a quota, behind a full pool, or for a
// step, next to jobs that wait for nothing but their due time.
func TestStatusShowsWhoWaits(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	wide := smallStep
	wide.Count = 7
	arrived := h.now
	h.addJob("quota", "capped", wide)
	h.advance(0)
	h.now = h.now.Add(10 * time.Millisecond)
	h.addJob("room", "free", wide, smallStep)
	h.addJob("more", "free", smallStep)
	repeated := job.Job{ID: "later", Body: job.Body{Steps: []job.Step{smallStep}, Occurrences: 1, FirstDue: h.now.Add(time.Minute)}}
	repeated.Terms = job.Terms{Queue: "q", Pool: poolA, Account: "free"}
	h.s.AddJob(h.now, repeated, nil, false)
	h.advance(0)
	st := h.s.Status(h.now, h.now)
	assert.Assert(t, st.AsOf.Equal(h.now))
	assert.Equal(t, len(st.Waiting), 2)
	capped, free := st.Waiting[0], st.Waiting[1]
	assert.Assert(t, capped.OldestArrival.Equal(arrived) && free.OldestArrival.Equal(arrived.Add(10*time.Millisecond)))
	capped.OldestArrival, free.OldestArrival = time.Time{}, time.Time{}
	assert.DeepEqual(t, capped, WaitingGroup{Account: "capped", Queue: "q", Pool: poolA, Jobs: 1, Tasks: 2, JobsByRank: map[string]int{"in_time": 1}})
	assert.DeepEqual(t, free.JobsByRank, map[string]int{"in_time": free.Jobs})
	assert.DeepEqual(t, st.Accounts, []AccountUsage{
		{Account: "capped", Usage: job.Resources{CPU: 5000, MemMB: 500}, Quota: job.Resources{CPU: 5000}},
		{Account: "free", Usage: job.Resources{CPU: 3000, MemMB: 300}},
	})
}

// Guards against a status that changes how jobs are served: none of them is rated by it.
func TestStatusRatesNoJob(t *testing.T) {
	h := newHarness(t)
	h.addJob("first", "free", smallStep)
	assert.DeepEqual(t, h.s.Status(h.now, h.now).Waiting[0].JobsByRank, map[string]int{unranked: 1})
	assert.Assert(t, h.s.jobs.Get("first").ratedAt.IsZero())
}

// BenchmarkStatus measures the status on a full fleet with waiting jobs.
func BenchmarkStatus(b *testing.B) {
	h := newFullFleetHarness(b, 350, 3000)
	for b.Loop() {
		h.s.Status(h.now, h.now)
	}
}
