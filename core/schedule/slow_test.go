package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// startFourTasks starts a step of four tasks, each on its own VM.
func startFourTasks(t *testing.T) (*harness, []Start) {
	h := newHarness(t)
	h.addReadyVMs("one", "two", "three", "four", "five")
	wide := smallStep
	wide.Count, wide.Resources.CPU = 4, 8000
	h.addJob("j", "free", wide)
	starts := commandsOfType[Start](h.advance(10 * time.Millisecond))
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
	h, starts := startFourTasks(t)
	h.advance(500 * time.Millisecond)
	for _, c := range starts[1:] {
		h.answerHold(string(c.VM), []job.RunningTask{runningTask(c, 50)})
	}
	slow := starts[0]
	h.answerHold(string(slow.VM), []job.RunningTask{runningTask(slow, 5)})
	stop := onlyCommand[Stop](h, h.advance(time.Millisecond))
	assert.Equal(t, stop.VM, slow.VM)
	h.answerHold(string(slow.VM), nil, job.End{Number: 1, Task: slow.Order.Task, Attempt: slow.Order.Attempt, How: job.EndedStopped})
	again := onlyCommand[Start](h, h.advance(time.Millisecond))
	assert.Assert(t, again.VM != slow.VM)
	h.addJob("k", "free", smallStep)
	for range 3 {
		for _, c := range commandsOfType[Start](h.advance(100 * time.Millisecond)) {
			assert.Assert(t, c.VM != slow.VM)
		}
	}
}

// Guards against a stalled run that is never stopped because its VM still answers. Two reports
// of the VM show the same progress, while the other runs of the step advance.
func TestTaskOfStalledRunMovesElsewhere(t *testing.T) {
	h, starts := startFourTasks(t)
	h.advance(500 * time.Millisecond)
	for _, c := range starts {
		h.answerHold(string(c.VM), []job.RunningTask{runningTask(c, 40)})
	}
	h.advance(500 * time.Millisecond)
	for _, c := range starts[1:] {
		h.answerHold(string(c.VM), []job.RunningTask{runningTask(c, 80)})
	}
	h.answerHold(string(starts[0].VM), []job.RunningTask{runningTask(starts[0], 40)})
	assert.Equal(t, onlyCommand[Stop](h, h.advance(time.Millisecond)).VM, starts[0].VM)
}

// Guards against stopping a run that is only longer than its siblings. The run times of a
// step differ: a task that takes 2.7 times as long as the others may be on a healthy VM,
// and a stop would lose its work.
func TestLongerRunContinues(t *testing.T) {
	h, starts := startFourTasks(t)
	h.advance(500 * time.Millisecond)
	for _, c := range starts[1:] {
		h.answerHold(string(c.VM), []job.RunningTask{runningTask(c, 60)})
	}
	h.answerHold(string(starts[0].VM), []job.RunningTask{runningTask(starts[0], 22)})
	assert.Equal(t, len(commandsOfType[Stop](h.advance(time.Millisecond))), 0)
}

// Guards against stopping a slow run that ends sooner where it is.
func TestSlowRunNearItsEndContinues(t *testing.T) {
	h, starts := startFourTasks(t)
	h.advance(500 * time.Millisecond)
	for _, c := range starts {
		h.answerHold(string(c.VM), []job.RunningTask{runningTask(c, 50)})
	}
	h.advance(300 * time.Millisecond)
	h.answerHold(string(starts[0].VM), []job.RunningTask{runningTask(starts[0], 90)})
	h.advance(300 * time.Millisecond)
	h.answerHold(string(starts[0].VM), []job.RunningTask{runningTask(starts[0], 94)})
	assert.Equal(t, len(commandsOfType[Stop](h.advance(time.Millisecond))), 0)
}

// Guards against runs that are stopped as slow after a takeover. A new owner finds runs that
// are half done. Measured from the takeover, their siblings would seem to take no time at
// all.
func TestAdoptedRunsAreNotStoppedAsSlow(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one", "two", "three", "four")
	wide := smallStep
	wide.Count = 4
	h.addJob("j", "free", wide)
	found := func(i int, percent int) job.RunningTask {
		return job.RunningTask{Task: job.TaskID{Job: "j", Index: i}, Attempt: 3, Percent: percent}
	}
	ids := []string{"one", "two", "three", "four"}
	for at := range 3 {
		for i, id := range ids {
			h.answerHold(id, []job.RunningTask{found(i, 60+5*at)})
		}
		assert.Equal(t, len(commandsOfType[Stop](h.advance(400*time.Millisecond))), 0)
	}
}

// Guards against a task that never ends: both its stops as slow are spent, and its run on a third
// VM stands still. With and without a forecast it must be stopped, and start on another VM.
func TestStalledTaskMovesAfterItsStopsAreSpent(t *testing.T) {
	for _, forecast := range []bool{false, true} {
		h, starts := startFourTasks(t)
		h.s.settings.Policy.RunTimeForecast = forecast
		stalled := starts[0]
		_, _, _, task := h.s.task(stalled.Order.Task)
		task.slowStops = maxSlowStops
		h.advance(500 * time.Millisecond)
		for _, c := range starts[1:] {
			h.answerHold(string(c.VM), nil, job.End{Number: 1, Task: c.Order.Task, Attempt: c.Order.Attempt, How: job.EndedDone})
		}
		again := h.waitForRestart(stalled, 10*time.Second)
		assert.Assert(t, again.VM != stalled.VM)
	}
}

// waitForRestart lets a VM report a run that stands still at 40% until the run is stopped and its
// task starts again.
func (h *harness) waitForRestart(stalled Start, within time.Duration) Start {
	h.t.Helper()
	for end := h.now.Add(within); h.now.Before(end); {
		h.answerHold(string(stalled.VM), []job.RunningTask{runningTask(stalled, 40)})
		if len(commandsOfType[Stop](h.advance(500*time.Millisecond))) == 0 {
			continue
		}
		h.answerHold(string(stalled.VM), nil, job.End{Number: 1, Task: stalled.Order.Task, Attempt: stalled.Order.Attempt, How: job.EndedStopped})
		return onlyCommand[Start](h, h.advance(time.Millisecond))
	}
	h.t.Fatalf("the run isn't stopped within %s", within)
	return Start{}
}

// Guards against a task that never ends because it stands still and nothing is known of the
// queue's run times.
func TestStalledTaskOfUnknownQueueMoves(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one", "two")
	h.addJob("j", "free", smallStep)
	stalled := onlyCommand[Start](h, h.advance(10*time.Millisecond))
	h.confirm(stalled)
	again := h.waitForRestart(stalled, 10*time.Second)
	assert.Assert(t, again.VM != stalled.VM)
}
