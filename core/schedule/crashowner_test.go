package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// Guards against a long-running task that is given up because no owner sees it run long enough.
func TestStableLongRunningTaskResetsCrashCountsDespiteOwnerChanges(t *testing.T) {
	const tenure, tenures = 4 * time.Second, 5
	c := newCrashHarness(t, "one", "two", "three")
	step := job.Step{Count: 1, Resources: smallStep.Resources, LongRunning: true}
	c.addJob("j", "free", step)
	for n := range 8 {
		o, ok := c.startOf(job.TaskID{Job: "j"})
		assert.Assert(t, ok, "the task doesn't run again after %d crashes, each after %s of running", n, tenures*tenure)
		c.confirm(o)
		for range tenures {
			for end := c.now.Add(tenure); c.now.Before(end); {
				c.advance(500 * time.Millisecond)
				c.answerAllHolds(o.VM)
				c.answerHold(o.VM, []job.RunningTask{runningTask(o, 100)})
			}
			c.takeOver("j", step)
		}
		c.advance(0)
		c.answerAllHolds(o.VM)
		c.answerHold(o.VM, []job.RunningTask{runningTask(o, 100)})
		c.crash(o.VM)
	}
}

// Guards against a crash that is forgotten because of a record without a time or of another VM life.
func TestRecordMakesRunStableOnlyByClockOfSameLife(t *testing.T) {
	const passed, later = 1500, 60_000
	for name, c := range map[string]struct {
		record    job.TaskStart
		forgotten bool
	}{
		"time passed":    {record: job.TaskStart{Born: 1, StableAt: passed}, forgotten: true},
		"time to come":   {record: job.TaskStart{Born: 1, StableAt: later}},
		"no time":        {record: job.TaskStart{Born: 1}},
		"unknown life":   {record: job.TaskStart{StableAt: passed}},
		"different life": {record: job.TaskStart{Born: 2, StableAt: passed}},
	} {
		h := newHarness(t)
		h.now = h.now.Add(time.Second)
		c.record.Attempt, c.record.VM = 7, "one"
		p := job.Progress{
			State: job.Running, VMs: []job.VMID{"one"}, Started: []job.TaskStart{c.record},
			Crashed: []job.TaskCrashes{{Attempts: []job.Attempt{3}}},
		}
		h.s.AddInheritedVM(RosterVM{ID: "one", Address: "one", Pool: poolA, Machine: "m-one", Born: 1})
		h.s.AddJob(h.now, newTestJob("j", job.Step{Count: 1, Resources: smallStep.Resources, LongRunning: true}), &p, true)
		h.answerHold("one", []job.RunningTask{{Task: job.TaskID{Job: "j"}, Attempt: 7, Percent: 100}})
		assert.Equal(t, !h.s.jobs.Get("j").occurrences[0].steps[0].task(0).crashes.any(), c.forgotten, name)
	}
}

// Guards against a long-running task that never starts again because each owner waits anew for lost VMs.
func TestRunsOfLostVMsAreForgottenDespiteOwnerChanges(t *testing.T) {
	const tenure, maxAbsence = 4 * time.Second, 45 * time.Second
	task := job.TaskID{Job: "j"}
	vms := []string{"one", "two", "three", "four", "five", "six", "seven"}
	c := newCrashHarness(t, vms...)
	step := job.Step{Count: 1, Resources: smallStep.Resources, LongRunning: true}
	c.addJob("j", "free", step)
	for n := range vms {
		o, ok := c.startOf(task)
		for end := c.now.Add(maxAbsence); !ok && c.now.Before(end); o, ok = c.startWithin(task, tenure) {
			c.takeOver("j", step)
		}
		assert.Assert(t, ok, "the task stays away after %d lost VMs", n)
		c.confirm(o)
		c.lose(o.VM)
	}
}

// Guards against a lost VM that is remembered for longer than stored, or not at all without a time.
func TestExpiredRunIsForgottenAtStoredTime(t *testing.T) {
	for name, c := range map[string]struct{ stored, want time.Duration }{
		"stored time":  {stored: 2 * time.Second, want: 2 * time.Second},
		"past time":    {stored: -time.Second},
		"without time": {want: expiredRunRetention},
	} {
		h := newHarness(t)
		start := job.TaskStart{Attempt: 7, VM: "one", Born: 1, LeaseExpired: true}
		if c.stored != 0 {
			start.ForgetAt = h.now.Add(c.stored)
		}
		p := job.Progress{State: job.Running, VMs: []job.VMID{"one"}, Started: []job.TaskStart{start}}
		h.s.AddInheritedVM(RosterVM{ID: "one", Address: "one", Pool: poolA, Machine: "m-one", Born: 1})
		h.s.AddJob(h.now, newTestJob("j", smallStep), &p, true)
		task := h.s.jobs.Get("j").occurrences[0].steps[0].task(0)
		h.advance(c.want)
		assert.Equal(t, len(task.expiredRuns) > 0, c.want > 0, name)
		h.advance(100 * time.Millisecond)
		assert.Equal(t, len(task.expiredRuns), 0, name)
	}
}

// lose makes a VM leave for good without a word.
func (c *crashHarness) lose(vm job.VMID) {
	delete(c.lives, vm)
	c.s.VMUnlisted(c.now, vm)
}

// startWithin returns the start of a task, or false if there is none within d. VMs that have left
// don't answer.
func (c *crashHarness) startWithin(task job.TaskID, d time.Duration) (Start, bool) {
	for end := c.now.Add(d); c.now.Before(end); {
		for _, o := range commandsOfType[Start](c.advance(100 * time.Millisecond)) {
			if o.Order.Task == task {
				return o, true
			}
		}
		c.answerAllHolds()
		for id := range c.s.vms.All() {
			if c.lives[id] == nil {
				c.s.HoldAnswered(c.now, Hold{VM: id}, Unanswered, job.Report{})
			}
		}
	}
	return Start{}, false
}

// Guards against a crash that the next owner doesn't count, because the record of the run's start was dropped when this owner found it.
func TestRecordOfStartOutlastsOwnerThatFindsTheRun(t *testing.T) {
	h := newHarness(t)
	record := job.TaskStart{Attempt: 7, VM: "one", Born: 1}
	p := job.Progress{State: job.Running, VMs: []job.VMID{"one"}, Started: []job.TaskStart{record}}
	h.s.AddInheritedVM(RosterVM{ID: "one", Address: "one", Pool: poolA, Machine: "m-one", Born: 1})
	step := smallStep
	step.Count = 2
	h.s.AddJob(h.now, newTestJob("j", step), &p, true)
	h.listVM("one")
	h.advance(0)
	found := []job.RunningTask{{Task: job.TaskID{Job: "j"}, Attempt: 7, Percent: 50}, {Task: job.TaskID{Job: "j", Index: 1}, Attempt: 8, Percent: 50}}
	h.answerHold("one", found)
	h.now = h.now.Add(time.Second)
	h.answerHold("one", found[:1], job.End{Number: 1, Task: found[1].Task, Attempt: 8, How: job.EndedDone})
	saves := commandsOfType[Save](h.advance(0))
	assert.Assert(t, len(saves) > 0)
	started := saves[len(saves)-1].Progress.Started
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0].Attempt, job.Attempt(7))
}
