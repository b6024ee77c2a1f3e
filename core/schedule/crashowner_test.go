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
		assert.Equal(t, !h.s.jobs.Get("j").occurrences[0].steps[0].tasks[0].crashes.any(), c.forgotten, name)
	}
}
