package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// loseOrderRight removes the right to order machines. Only an owner that has recently confirmed
// its ownership has that right.
func (h *harness) loseOrderRight() { h.s.SetRights(Rights{StartTasks: true, ExtendLeases: true}) }

// Guards against a former owner that starts a task again elsewhere because the lease of its
// unreachable VM has expired. The present owner may have reached the VM and acknowledged the
// task's end, which the VM then deleted.
func TestFormerOwnerRestartsNoTaskAfterLeaseExpiry(t *testing.T) {
	c := newCrashHarness(t, "one", "two")
	c.addJob("j", "free", smallStep)
	o, ok := c.startOf(job.TaskID{Job: "j"})
	assert.Assert(t, ok)
	c.confirm(o)
	c.advance(30 * time.Millisecond)
	c.full = true
	c.silence(o.VM, 5*time.Second)
	c.loseOrderRight()
	c.full = false
	for range 20 {
		c.answerAllHolds(o.VM)
		assert.Equal(t, len(commandsOfType[Start](c.advance(100*time.Millisecond))), 0)
	}
	c.s.SetRights(Rights{OrderMachines: true, StartTasks: true, ExtendLeases: true})
	c.answerAllHolds(o.VM)
	assert.Equal(t, len(commandsOfType[Start](c.advance(100*time.Millisecond))), 1)
}

// Guards against a former owner that starts a task again because its VM has restarted. The
// present owner may have read the task's end before the restart.
func TestFormerOwnerRestartsNoTaskOfRestartedVM(t *testing.T) {
	c := newCrashHarness(t, "one", "two")
	c.addJob("j", "free", smallStep)
	o, ok := c.startOf(job.TaskID{Job: "j"})
	assert.Assert(t, ok)
	c.confirm(o)
	c.loseOrderRight()
	c.crash(o.VM)
	for range 20 {
		assert.Equal(t, len(commandsOfType[Start](c.advance(100*time.Millisecond))), 0)
	}
	c.s.SetRights(Rights{OrderMachines: true, StartTasks: true, ExtendLeases: true})
	assert.Equal(t, len(commandsOfType[Start](c.advance(100*time.Millisecond))), 1)
}

// Guards against a former owner that starts a job's tasks elsewhere because it concludes that
// all leases on a VM that it never reached have expired. The present owner may have found the
// tasks there.
func TestFormerOwnerStartsNoTaskThatMayRunOnUnreportedVM(t *testing.T) {
	h := newHarness(t)
	h.s.AddInheritedVM(RosterVM{ID: "unreported", Address: "unreported", Pool: poolA})
	h.addReadyVMs("one")
	j := job.Job{ID: "there", Terms: job.Terms{Queue: "q", Pool: poolA}, Body: job.Body{Steps: []job.Step{smallStep}}}
	h.s.AddJob(h.now, j, &job.Progress{State: job.Running, VMs: []job.VMID{"unreported"}}, true)
	h.loseOrderRight()
	for range 110 {
		h.answerHold("one", nil)
		commands := h.advance(100 * time.Millisecond)
		assert.Equal(t, len(commandsOfType[Start](commands)), 0)
		for _, c := range commandsOfType[Hold](commands) {
			if c.VM == "unreported" {
				h.s.HoldAnswered(h.now, c, Unanswered, job.Report{})
			}
		}
	}
	h.s.SetRights(Rights{OrderMachines: true, StartTasks: true, ExtendLeases: true})
	h.answerHold("one", nil)
	assert.Equal(t, len(commandsOfType[Start](h.advance(100*time.Millisecond))), 1)
}
