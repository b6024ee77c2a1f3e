package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// fourTasks starts a step of four tasks, each on its own VM.
func fourTasks(t *testing.T) (*harness, []Start) {
	h := newHarness(t)
	h.ready("one", "two", "three", "four", "five")
	wide := small
	wide.Count, wide.Resources.CPU = 4, 8000
	h.job("j", "free", wide)
	starts := only[Start](h.step(10 * time.Millisecond))
	assert.Equal(t, len(starts), 4)
	for _, c := range starts {
		h.confirm(c)
	}
	return h, starts
}

// Guards against a job that ends many seconds late because of one slow VM. One of four tasks
// has done a tenth of what the others have, which are half done. It must be stopped and start
// on another VM, and the slow VM must get no more tasks for a while.
func TestTaskOfSlowRunMovesElsewhere(t *testing.T) {
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

// Guards against a task that makes no progress between two lists while its VM answers.
func TestTaskOfStalledRunMovesElsewhere(t *testing.T) {
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

// Guards against stopping a run that is only longer than its siblings. The run times of a
// step differ: a task that takes 2.7 times as long as the others may be on a healthy VM,
// and a stop would lose its work.
func TestLongerRunContinues(t *testing.T) {
	h, starts := fourTasks(t)
	h.step(500 * time.Millisecond)
	for _, c := range starts[1:] {
		h.lists(string(c.VM), []job.RunningTask{running(c, 60)})
	}
	h.lists(string(starts[0].VM), []job.RunningTask{running(starts[0], 22)})
	assert.Equal(t, len(only[Stop](h.step(time.Millisecond))), 0)
}

// Guards against stopping a slow run that ends sooner where it is.
func TestSlowRunNearItsEndContinues(t *testing.T) {
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

// Guards against runs that are stopped as slow after a takeover. A new owner finds runs that
// are half done. Measured from the takeover, their siblings would seem to take no time at
// all.
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
