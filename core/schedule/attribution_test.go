package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// startBesideOthers starts a step of four tasks, each on its own VM, and beside each of them a
// task of a second step whose other tasks run elsewhere. Of the queue's runs, 3 in 100 are
// known to take seven times as long as their siblings.
func startBesideOthers(t *testing.T) (h *harness, step, beside []Start) {
	h = newHarness(t)
	h.s.settings.Policy.RunTimeForecast = true
	f := h.s.queueForecast("q")
	for i := range 100 {
		ratio := 1.0
		if i >= 97 {
			ratio = 7
		}
		h.s.addSample(h.now, &f.Ratios, ratio)
	}
	h.addReadyVMs("one", "two", "three", "four", "five")
	wide := smallStep
	wide.Count, wide.Resources.CPU = 4, 5000
	h.addJob("j", "free", wide)
	step = commandsOfType[Start](h.advance(10 * time.Millisecond))
	wide.Resources.CPU = 3000
	h.addJob("k", "free", wide)
	beside = commandsOfType[Start](h.advance(10 * time.Millisecond))
	assert.Equal(t, len(step), 4)
	assert.Equal(t, len(beside), 4)
	for _, c := range append(step, beside...) {
		h.confirm(c)
	}
	h.advance(500 * time.Millisecond)
	return h, step, beside
}

// report lets all VMs list their runs. The run of slow has progressed by 7%, and so has the one
// beside it if besideSlow is set; all others have progressed by usual percent.
func (h *harness) report(slow Start, besideSlow bool, usual int, starts ...Start) {
	runs := map[job.VMID][]job.RunningTask{}
	for _, c := range starts {
		percent := usual
		if c.Order.Task == slow.Order.Task || (besideSlow && c.VM == slow.VM) {
			percent = 7
		}
		runs[c.VM] = append(runs[c.VM], runningTask(c, percent))
	}
	for id, list := range runs {
		if id != slow.VM {
			h.answerHold(string(id), list)
		}
	}
	h.answerHold(string(slow.VM), runs[slow.VM])
}

// Guards against stopping a long task that takes as long anywhere, and against pausing its VM:
// the run beside it progresses as usual.
func TestLongTaskContinuesAndItsVMTakesTasks(t *testing.T) {
	h, step, beside := startBesideOthers(t)
	h.report(step[0], false, 50, append(step, beside...)...)
	assert.Equal(t, len(commandsOfType[Stop](h.advance(time.Millisecond))), 0)
	assert.Assert(t, !h.s.vms.Get(step[0].VM).slow(h.now))
	_, _, _, task := h.s.task(step[0].Order.Task)
	assert.Assert(t, task.long)
}

// Guards against taking a slow VM for one with long tasks: the run beside the slow one is as
// slow against its own siblings.
func TestSlowVMIsFoundInSpiteOfHeavyTail(t *testing.T) {
	h, step, beside := startBesideOthers(t)
	h.report(step[0], true, 50, append(step, beside...)...)
	stops := commandsOfType[Stop](h.advance(time.Millisecond))
	assert.Equal(t, len(stops), 2)
	for _, c := range stops {
		assert.Equal(t, c.VM, step[0].VM)
	}
	assert.Assert(t, h.s.vms.Get(step[0].VM).slow(h.now))
}

// Guards against waiting for a task that stands still as if it were long.
func TestStalledTaskMovesInSpiteOfHeavyTail(t *testing.T) {
	h, step, beside := startBesideOthers(t)
	all := append(step, beside...)
	h.report(step[0], false, 40, all...)
	assert.Equal(t, len(commandsOfType[Stop](h.advance(500*time.Millisecond))), 0)
	h.report(step[0], false, 90, all...)
	assert.Equal(t, onlyCommand[Stop](h, h.advance(time.Millisecond)).Task, step[0].Order.Task)
}

// Guards against stopping a long task since its progress is reported in whole percents: its
// siblings take ten seconds, it takes seventy, and between two lists it advances by less than one.
func TestLongTaskContinuesBetweenTwoPercents(t *testing.T) {
	h, step, beside := startBesideOthers(t)
	h.advance(500 * time.Millisecond)
	all := append(step, beside...)
	h.report(step[0], false, 10, all...)
	h.advance(400 * time.Millisecond)
	h.report(step[0], false, 14, all...)
	assert.Equal(t, len(commandsOfType[Stop](h.advance(time.Millisecond))), 0)
}

// Guards against a run that is taken for a long one and then stands still for good: its stops as
// slow are spent, and runs of its length are known.
func TestLongTaskThatStandsStillMoves(t *testing.T) {
	h, step, _ := startBesideOthers(t)
	_, _, _, task := h.s.task(step[0].Order.Task)
	task.slowStops, task.long = maxSlowStops, true
	for range 100 {
		h.s.addSample(h.now, &h.s.queueForecast("q").Ratios, 200)
	}
	for _, c := range step[1:] {
		h.answerHold(string(c.VM), nil, job.End{Number: 1, Task: c.Order.Task, Attempt: c.Order.Attempt, How: job.EndedDone})
	}
	again := h.waitForRestart(step[0], 10*time.Second)
	assert.Assert(t, again.VM != step[0].VM)
}

// Guards against giving up a job as late because one of its tasks is long: its caller's
// objective allows for the time that the task takes on a healthy VM.
func TestObjectiveAllowsForLongTask(t *testing.T) {
	h := newHarness(t)
	after := wideStep
	after.After = []int{0}
	j := h.newJob("j", wideStep, after)
	j.occurrences[0].steps[0].task(3).long = true
	before, _ := h.s.predictObjective(j)
	h.completeStep(j, 0, time.Second, time.Second, time.Second, 7*time.Second)
	due, _ := h.s.predictObjective(j)
	assert.Assert(t, due.Sub(before) > 9*time.Second, "%s", due.Sub(before))
}

// startPair starts a step of two tasks, each on its own VM, in a queue whose runs take a second.
// Of its steps, 3 in 100 are known to take ten times as long. After half a second the tasks have
// progressed by the given percentages.
func startPair(t *testing.T, percents ...int) (*harness, []Start) {
	h := newHarness(t)
	h.s.settings.Policy.RunTimeForecast = true
	q := h.s.queueStats("q")
	q.runs, q.firstRunAt = minSamples, h.now.Add(-time.Minute)
	f := h.s.queueForecast("q")
	for i := range 100 {
		size := 1.0
		if i >= 97 {
			size = 10
		}
		h.s.addSample(h.now, &f.Sizes, size)
	}
	h.addReadyVMs("one", "two", "three")
	wide := pairStep
	wide.Resources.CPU = 5000
	h.addJob("j", "free", wide)
	starts := commandsOfType[Start](h.advance(10 * time.Millisecond))
	assert.Equal(t, len(starts), 2)
	for _, c := range starts {
		h.confirm(c)
	}
	h.advance(500 * time.Millisecond)
	for i, c := range starts {
		h.answerHold(string(c.VM), []job.RunningTask{runningTask(c, percents[i])})
	}
	return h, starts
}

// Guards against stopping all tasks of a job that is ten times as large as others, and against
// giving it up as late: they are as slow on each VM.
func TestLargeJobContinues(t *testing.T) {
	h, starts := startPair(t, 5, 5)
	assert.Equal(t, len(commandsOfType[Stop](h.advance(time.Millisecond))), 0)
	for _, c := range starts {
		assert.Assert(t, !h.s.vms.Get(c.VM).slow(h.now))
	}
	due, _ := h.s.predictObjective(h.s.jobs.Get("j"))
	assert.Assert(t, due.Sub(h.now) > 10*time.Second, "%s", due.Sub(h.now))
}

// Guards against taking the run on a slow VM for one of a large job: the run of the same step on
// another VM progresses as usual.
func TestSlowVMIsFoundInSpiteOfLargeJobs(t *testing.T) {
	h, starts := startPair(t, 60, 5)
	assert.Equal(t, onlyCommand[Stop](h, h.advance(time.Millisecond)).VM, starts[1].VM)
	assert.Assert(t, h.s.vms.Get(starts[1].VM).slow(h.now))
}
