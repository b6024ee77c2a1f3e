package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

var speculativeStep = job.Step{Count: 1, Resources: job.Resources{CPU: 5000, MemMB: 100}, Estimate: time.Second, Speculative: true}

// silenceVM lets a VM's holds fail until it counts as silent.
func (h *harness) silenceVM(id job.VMID) []Command {
	var out []Command
	for range 20 {
		h.s.HoldAnswered(h.now, Hold{VM: id}, Unanswered, job.Report{})
		out = append(out, h.advance(300*time.Millisecond)...)
		if h.s.vms.Get(id).silent {
			return out
		}
	}
	h.t.Fatalf("%s isn't silent", id)
	return nil
}

// newSecondRunHarness returns a harness with two VMs, in which second runs are permitted.
func newSecondRunHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.s.settings.Policy.SecondRuns = true
	h.addReadyVMs("one", "two")
	return h
}

// startRun starts a task of the step as a job of its own.
func (h *harness) startRun(st job.Step) Start {
	h.addJob("j", "free", st)
	c := onlyCommand[Start](h, h.advance(10*time.Millisecond))
	h.confirm(c)
	return c
}

// startOnSilentVM starts a task of the step, whose VM then becomes silent. It returns that start
// and those that follow.
func startOnSilentVM(t *testing.T, st job.Step) (h *harness, first Start, more []Start) {
	h = newSecondRunHarness(t)
	first = h.startRun(st)
	return h, first, commandsOfType[Start](h.silenceVM(first.VM))
}

// Guards against a job that is late because its VM is cut off: until the lease ends, nothing is
// known of the run. The step allows a second one, whose end counts, and no third one starts.
func TestSilentVMGetsSecondRun(t *testing.T) {
	h, first, more := startOnSilentVM(t, speculativeStep)
	assert.Equal(t, len(more), 1)
	assert.Assert(t, more[0].VM != first.VM)
	assert.Assert(t, more[0].Order.Attempt > first.Order.Attempt)
	h.confirm(more[0])
	assert.Equal(t, len(commandsOfType[Start](h.advance(time.Second))), 0)
	h.answerHold(string(more[0].VM), nil, job.End{Number: 1, Task: first.Order.Task, Attempt: more[0].Order.Attempt, How: job.EndedDone})
	stop := onlyCommand[Stop](h, h.advance(time.Millisecond))
	assert.Equal(t, stop.VM, first.VM)
	assert.Assert(t, h.s.jobs.Get("j").over())
}

// Guards against two runs of a task whose step doesn't allow them.
func TestNoSecondRunUnlessStepAllowsIt(t *testing.T) {
	st := speculativeStep
	st.Speculative = false
	_, _, more := startOnSilentVM(t, st)
	assert.Equal(t, len(more), 0)
}

// Guards against second runs that take capacity from jobs that can be in time. One waits for a
// whole VM, and the second run would find room on the only VM that will be empty soon.
func TestNoSecondRunWhileInTimeJobWaits(t *testing.T) {
	for _, waits := range []bool{false, true} {
		h := newSecondRunHarness(t)
		start := func(on, other job.VMID, id string, st job.Step) {
			h.s.vms.Get(other).fullUntil = h.now.Add(time.Hour)
			h.addJob(id, "free", st)
			c := onlyCommand[Start](h, h.advance(10*time.Millisecond))
			assert.Equal(t, c.VM, on)
			h.confirm(c)
			h.s.vms.Get(other).fullUntil = time.Time{}
		}
		start("two", "one", "small", smallStep)
		start("one", "two", "j", speculativeStep)
		if waits {
			whole := smallStep
			whole.Resources.CPU, whole.Estimate = 8000, 20*time.Second
			h.addJob("whole", "free", whole)
		}
		assert.Equal(t, len(commandsOfType[Start](h.silenceVM("one"))) == 0, waits)
	}
}

// Guards against second runs that take capacity from a gang that can be in time. Its two members
// need a VM each, and one VM has room.
func TestNoSecondRunWhileInTimeGangWaits(t *testing.T) {
	h := newSecondRunHarness(t)
	c := h.startRun(speculativeStep)
	gang := pairStep
	gang.Resources.CPU, gang.Estimate, gang.Gang = 8000, 20*time.Second, true
	h.addJob("gang", "free", gang)
	assert.Equal(t, len(commandsOfType[Start](h.silenceVM(c.VM))), 0)
}

// Guards against a task that crashes two VMs at a time.
func TestTaskThatCrashedVMGetsNoSecondRun(t *testing.T) {
	h := newSecondRunHarness(t)
	first := h.startRun(speculativeStep)
	_, _, _, task := h.s.task(first.Order.Task)
	task.crashes.attempts = []job.Attempt{1}
	assert.Equal(t, len(commandsOfType[Start](h.silenceVM(first.VM))), 0)
}

// Guards against a second run of a task whose step doesn't allow one: a VM reports a run of a
// former owner while the owner's own start waits until it is stored.
func TestPlannedStartIsDroppedIfAnotherRunIsFound(t *testing.T) {
	h := newSecondRunHarness(t)
	h.addJob("j", "free", smallStep)
	h.s.Assign(h.now, h.now)
	planned := h.s.plannedStarts
	assert.Equal(t, len(planned), 1)
	other := map[job.VMID]string{"one": "two", "two": "one"}[planned[0].vm.id]
	h.answerHold(other, []job.RunningTask{{Task: planned[0].task, Attempt: 3, Percent: 10}})
	assert.Equal(t, len(commandsOfType[Start](h.advance(10*time.Millisecond))), 0)
}

// Guards against starts beyond the attempts of the queue: each failed run counts, also beside one
// that is out of reach.
func TestFailedSecondRunsUseUpAttempts(t *testing.T) {
	h, first, more := startOnSilentVM(t, speculativeStep)
	for n := int64(1); n <= 2; n++ {
		second := more[0]
		h.confirm(second)
		h.answerHold(string(second.VM), nil, job.End{Number: n, Task: first.Order.Task, Attempt: second.Order.Attempt, How: job.EndedFailed})
		more = commandsOfType[Start](h.advance(100 * time.Millisecond))
		assert.Equal(t, len(more), int(2-n))
	}
	assert.Equal(t, h.s.jobs.Get("j").state, job.Failed)
}

// Guards against a third run after a takeover: the new owner finds two runs of the task, one of
// whose VMs then becomes silent. The first end counts, and the other run is stopped.
func TestTakeoverFindsBothRuns(t *testing.T) {
	h := newHarness(t)
	h.s.settings.Policy.SecondRuns = true
	h.s.AddInheritedVM(RosterVM{ID: "one", Address: "one", Pool: poolA, Born: 1, Machine: "m-one"})
	h.s.AddInheritedVM(RosterVM{ID: "two", Address: "two", Pool: poolA, Born: 1, Machine: "m-two"})
	j := job.Job{ID: "j", Body: job.Body{Spec: "x", Steps: []job.Step{speculativeStep}}, Terms: job.Terms{Queue: "q", Pool: poolA, Account: "free", MaxAttempts: 2}}
	h.s.AddJob(h.now, j, &job.Progress{State: job.Running, VMs: []job.VMID{"one", "two"}}, true)
	for _, id := range []string{"one", "two", "three"} {
		h.listVM(id)
	}
	h.advance(0)
	task := job.TaskID{Job: "j"}
	h.answerHold("one", []job.RunningTask{{Task: task, Attempt: 3, Percent: 10}})
	h.answerHold("two", []job.RunningTask{{Task: task, Attempt: 4, Percent: 10}})
	h.answerHold("three", nil)
	commands := append(h.advance(30*time.Millisecond), h.silenceVM("one")...)
	assert.Equal(t, len(commandsOfType[Start](commands))+len(commandsOfType[Stop](commands)), 0)
	h.answerHold("two", nil, job.End{Number: 1, Task: task, Attempt: 4, How: job.EndedDone})
	commands = h.advance(time.Millisecond)
	assert.Equal(t, onlyCommand[Stop](h, commands).VM, job.VMID("one"))
	assert.Equal(t, len(commandsOfType[Start](commands)), 0)
}
