package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// fourTasks starts a step of four tasks, each on a VM of its own.
func fourTasks(t *testing.T) (*harness, []Start) {
	h := newHarness(t)
	h.ready("one", "two", "three", "four", "five")
	wide := small
	wide.Count, wide.Room.CPU = 4, 8000
	h.job("j", "free", wide)
	starts := only[Start](h.step(10 * time.Millisecond))
	assert.Equal(t, len(starts), 4)
	for _, c := range starts {
		h.confirm(c)
	}
	return h, starts
}

// A VM turns slow: one of four tasks is at a tenth when the others are half done.
// The job would end when that one does, many seconds late. The task is stopped and
// begins on another VM, and the slow one gets no more for a while.
func TestSlowRunGoesElsewhere(t *testing.T) {
	h, starts := fourTasks(t)
	h.step(500 * time.Millisecond)
	for _, c := range starts[1:] {
		h.lists(string(c.VM), []job.RunningTask{running(c, 50)})
	}
	slow := starts[0]
	h.lists(string(slow.VM), []job.RunningTask{running(slow, 5)})
	stop := one[Stop](h, h.step(time.Millisecond))
	assert.Equal(t, stop.VM, slow.VM)
	h.lists(string(slow.VM), nil, job.End{Number: 1, Task: slow.Order.Task, Attempt: slow.Order.Attempt, How: job.EndedStopped})
	again := one[Start](h, h.step(time.Millisecond))
	assert.Assert(t, again.VM != slow.VM)
	h.job("k", "free", small)
	for range 3 {
		for _, c := range only[Start](h.step(100 * time.Millisecond)) {
			assert.Assert(t, c.VM != slow.VM)
		}
	}
}

// A task stands still while its VM answers: its progress doesn't move between two lists.
func TestRunThatStandsStillGoesElsewhere(t *testing.T) {
	h, starts := fourTasks(t)
	h.step(500 * time.Millisecond)
	for _, c := range starts {
		h.lists(string(c.VM), []job.RunningTask{running(c, 40)})
	}
	h.step(500 * time.Millisecond)
	for _, c := range starts[1:] {
		h.lists(string(c.VM), []job.RunningTask{running(c, 80)})
	}
	h.lists(string(starts[0].VM), []job.RunningTask{running(starts[0], 40)})
	assert.Equal(t, one[Stop](h, h.step(time.Millisecond)).VM, starts[0].VM)
}

// The run times of a step differ. A task that takes 2.7 times as long as the others
// may be on a sound VM, and giving it up would throw its work away.
func TestLongerRunGoesOn(t *testing.T) {
	h, starts := fourTasks(t)
	h.step(500 * time.Millisecond)
	for _, c := range starts[1:] {
		h.lists(string(c.VM), []job.RunningTask{running(c, 60)})
	}
	h.lists(string(starts[0].VM), []job.RunningTask{running(starts[0], 22)})
	assert.Equal(t, len(only[Stop](h.step(time.Millisecond))), 0)
}

// A slow run that is nearly done ends sooner where it is.
func TestSlowRunNearItsEndGoesOn(t *testing.T) {
	h, starts := fourTasks(t)
	h.step(500 * time.Millisecond)
	for _, c := range starts {
		h.lists(string(c.VM), []job.RunningTask{running(c, 50)})
	}
	h.step(300 * time.Millisecond)
	h.lists(string(starts[0].VM), []job.RunningTask{running(starts[0], 90)})
	h.step(300 * time.Millisecond)
	h.lists(string(starts[0].VM), []job.RunningTask{running(starts[0], 94)})
	assert.Equal(t, len(only[Stop](h.step(time.Millisecond))), 0)
}

// A new owner finds runs half done, a moment after it took over. Reckoned from then
// their siblings would seem to take no time at all, and what runs at its usual pace
// would be given up as slow.
func TestAdoptedRunsAreNotCompared(t *testing.T) {
	h := newHarness(t)
	h.ready("one", "two", "three", "four")
	wide := small
	wide.Count = 4
	h.job("j", "free", wide)
	found := func(i int, percent int) job.RunningTask {
		return job.RunningTask{Task: job.TaskID{Job: "j", Index: i}, Attempt: 3, Percent: percent}
	}
	ids := []string{"one", "two", "three", "four"}
	for at := range 3 {
		for i, id := range ids {
			h.lists(id, []job.RunningTask{found(i, 60+5*at)})
		}
		assert.Equal(t, len(only[Stop](h.step(400*time.Millisecond))), 0)
	}
}
