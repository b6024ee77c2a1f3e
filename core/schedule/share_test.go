package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// newSharesHarness returns a harness with two accounts, each with a share of two jobs a
// second.
func newSharesHarness(t testing.TB) *harness {
	h := newHarness(t)
	c := &job.Configuration{
		Version:  2,
		Queues:   []job.Queue{{Name: "q", Pool: poolA, MaxAttempts: 2, Stretch: 1.6, LatencyAllowance: time.Second}},
		Pools:    []job.Pool{{Name: poolA}},
		Accounts: []job.Account{{Name: "hot", Weight: 2}, {Name: "quiet", Weight: 2}},
	}
	c.Index()
	h.s.Configure(c)
	return h
}

// Guards against an account that delays the jobs of others. One account sends forty jobs
// together, another a single job a moment later, and the VM takes eight tasks at a time.
// The single job must start when the first tasks end. In order of arrival it would wait
// for four rounds and be late.
func TestAccountBeyondShareDoesNotDelayOthers(t *testing.T) {
	h := newSharesHarness(t)
	h.addReadyVMs("one")
	for i := range 40 {
		h.addJob(fmt.Sprintf("hot%02d", i), "hot", smallStep)
	}
	first := commandsOfType[Start](h.advance(0))
	assert.Equal(t, len(first), 8)
	h.addJob("single", "quiet", smallStep)
	for _, c := range first {
		h.confirm(c)
	}
	h.advance(time.Second)
	var ends []job.End
	for i, c := range first {
		ends = append(ends, job.End{Number: int64(i + 1), Task: c.Order.Task, Attempt: c.Order.Attempt, How: job.EndedDone})
	}
	h.answerHold("one", nil, ends...)
	next := commandsOfType[Start](h.advance(0))
	assert.Equal(t, len(next), 8, "all capacity is used")
	position := -1
	for i, c := range next {
		if c.Order.Task.Job == "single" {
			position = i
		}
	}
	assert.Assert(t, position >= 0, "%v", next)
}

// Guards against jobs beyond an account's share that are held back while capacity is
// free.
func TestJobsBeyondShareRunWhileCapacityIsFree(t *testing.T) {
	h := newSharesHarness(t)
	h.addReadyVMs("one", "two", "three", "four", "five")
	for i := range 40 {
		h.addJob(fmt.Sprintf("hot%02d", i), "hot", smallStep)
	}
	assert.Equal(t, len(commandsOfType[Start](h.advance(0))), 40)
}

// Guards against an account that gets more or less than its share over a long time, whatever
// the spacing of its jobs. Only the initial burst may exceed the share.
func TestShareIsBoundedOverTime(t *testing.T) {
	a := &job.Account{Name: "a", Weight: 3}
	for _, pause := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, 330 * time.Millisecond, time.Second} {
		s := shares{}
		within, n := 0, 0
		for at := time.Duration(0); at < time.Minute; at += pause {
			n++
			if !s.exceeds(startTime.Add(at), a) {
				within++
			}
		}
		most := int(a.Weight * (time.Minute + shareWindow).Seconds())
		assert.Assert(t, within <= most, "%d of %d jobs are within the share", within, n)
		assert.Assert(t, within >= min(n, most-2), "%d of %d jobs are within the share", within, n)
	}
}

// Guards against inherited jobs that count against their accounts' shares. A new owner
// reads hundreds of jobs together, but they were submitted over a long time.
func TestInheritedJobsExceedNoShare(t *testing.T) {
	h := newSharesHarness(t)
	for i := range 100 {
		j := job.Job{ID: job.ID(fmt.Sprintf("j%02d", i)), Body: job.Body{Steps: []job.Step{smallStep}}}
		j.Terms = job.Terms{Queue: "q", Pool: poolA, Account: "hot"}
		h.s.AddJob(h.now, j, nil, true)
		assert.Assert(t, !h.s.jobs.Get(j.ID).beyondShare)
	}
}
