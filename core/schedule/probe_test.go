package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// probes returns the probes among the commands.
func probes(commands []Command) []Hold {
	var out []Hold
	for _, h := range commandsOfType[Hold](commands) {
		if h.Probe {
			out = append(out, h)
		}
	}
	return out
}

// answerProbe answers a probe with the given running tasks.
func (h *harness) answerProbe(c Hold, running ...job.RunningTask) {
	h.s.HoldAnswered(h.now, c, Answered, job.Report{Clock: h.clock(), Born: 1, Lists: true, Running: running})
}

// Guards against a job that is late because a VM delays a start by seconds. Waiting for the
// start's timeout, its deadline and the VM's next report would take about a second, too long
// for a job that is due in two seconds. Instead the owner probes the VM and stops the start,
// and the task starts elsewhere within a few rounds.
func TestTaskOfUnansweredStartStartsElsewhereSoon(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one", "two")
	h.addJob("j", "free", smallStep)
	lost := onlyCommand[Start](h, h.advance(10*time.Millisecond))
	commands := h.advance(startAnswerTimeout + 10*time.Millisecond)
	probe := probes(commands)
	assert.Equal(t, len(probe), 1)
	assert.Equal(t, probe[0].Order.Deadline, job.VMClock(0), "a probe does not extend the lease")
	h.answerProbe(probe[0])
	stop := onlyCommand[Stop](h, h.advance(time.Millisecond))
	assert.Equal(t, stop.Attempt, lost.Order.Attempt)
	assert.Equal(t, len(commandsOfType[Start](h.advance(time.Millisecond))), 0, "the VM may still execute the first start")
	h.s.StopAnswered(h.now, stop, Answered, job.Report{Clock: h.clock(), Born: 1})
	probe = probes(h.advance(probeInterval))
	assert.Equal(t, len(probe), 1)
	h.answerProbe(probe[0])
	again := onlyCommand[Start](h, h.advance(time.Millisecond))
	assert.Assert(t, again.Order.Attempt > lost.Order.Attempt)
}

// Guards against stopping a run because the answer to its start was lost. The VM's answer to a
// probe lists the run.
func TestRunIsNotStoppedWhenItsStartAnswerIsLost(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.addJob("j", "free", smallStep)
	start := onlyCommand[Start](h, h.advance(10*time.Millisecond))
	probe := probes(h.advance(startAnswerTimeout + 10*time.Millisecond))
	assert.Equal(t, len(probe), 1)
	h.answerProbe(probe[0], runningTask(start, 10))
	commands := h.advance(time.Millisecond)
	assert.Equal(t, len(commandsOfType[Stop](commands)), 0)
	assert.Equal(t, h.s.jobs.Get("j").state, job.Running)
}

// Guards against further starts on a VM that has become unreachable. Each would occupy
// its task for the whole lease and make the job late. After the first unanswered start
// the VM gets no more until it answers.
func TestSilentVMGetsNoMoreStarts(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.addJob("j", "free", smallStep)
	first := onlyCommand[Start](h, h.advance(10*time.Millisecond))
	h.advance(startAnswerTimeout + 10*time.Millisecond)
	h.addJob("k", "free", smallStep)
	assert.Equal(t, len(commandsOfType[Start](h.advance(50*time.Millisecond))), 0)
	h.answerHold("one", []job.RunningTask{runningTask(first, 10)})
	assert.Equal(t, len(commandsOfType[Start](h.advance(time.Millisecond))), 1)
}

// Guards against an ended run that counts as running again. The answer to a probe arrives
// before that to an earlier hold, whose report is older and still lists the run.
func TestOlderListIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.addJob("j", "free", smallStep)
	start := onlyCommand[Start](h, h.advance(10*time.Millisecond))
	h.confirm(start)
	older := h.clock()
	h.advance(100 * time.Millisecond)
	end := job.End{Number: 1, Task: start.Order.Task, Attempt: start.Order.Attempt, How: job.EndedFailed}
	h.answerHold("one", nil, end)
	h.s.HoldAnswered(h.now, Hold{VM: "one"}, Answered, job.Report{
		Clock: older, Born: 1, Lists: true, Running: []job.RunningTask{runningTask(start, 50)},
	})
	assert.Equal(t, h.s.vms.Get("one").runs.Len(), 0)
}

// Guards against a long-running task that starts on a lost VM and can't start elsewhere for
// maxOrderDelay, because the VM wasn't found silent yet.
func TestLongRunningTaskStartsOnVMThatAnswers(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one", "two")
	h.now = h.now.Add(time.Second)
	h.addJob("l", "free", job.Step{Count: 1, Resources: job.Resources{CPU: 1000, MemMB: 100}, LongRunning: true})
	lost := onlyCommand[Hold](h, h.advance(0))
	assert.Assert(t, lost.Probe && !lost.Direct, "the path of the start counts")
	h.s.HoldAnswered(h.now, lost, Unanswered, job.Report{})
	commands := h.advance(0)
	assert.Equal(t, len(commandsOfType[Start](commands)), 0)
	found := onlyCommand[Hold](h, commands)
	assert.Assert(t, found.VM != lost.VM)
	h.answerProbe(found)
	assert.Equal(t, onlyCommand[Start](h, h.advance(0)).VM, found.VM)
}

// Guards against a long-running task that never starts because its VM's answer was recent only until
// the start was stored.
func TestStartIsProbedForAgainAfterSlowSave(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.addJob("l", "free", job.Step{Count: 1, Resources: job.Resources{CPU: 1000, MemMB: 100}, LongRunning: true})
	h.s.Tick(h.now)
	h.s.Assign(h.now, h.now)
	saves := h.s.TakeCommands()
	assert.Equal(t, len(commandsOfType[Start](saves)), 0)
	h.now = h.now.Add(time.Second)
	for _, c := range saves {
		h.store(c)
	}
	probe := onlyCommand[Hold](h, h.advance(0))
	assert.Assert(t, probe.Probe)
	h.answerProbe(probe)
	assert.Equal(t, len(commandsOfType[Start](h.advance(0))), 1)
}

// Guards against a VM that is paused because it left a probe unanswered for which nothing waits.
func TestFailedProbeWithoutPlannedStartPausesNoVM(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.now = h.now.Add(time.Second)
	h.addJob("l", "free", job.Step{Count: 1, Resources: job.Resources{CPU: 1000, MemMB: 100}, LongRunning: true})
	probe := onlyCommand[Hold](h, h.advance(0))
	h.s.Cancel(h.now, "l")
	h.s.HoldAnswered(h.now, probe, Unanswered, job.Report{})
	assert.Assert(t, h.s.usable(h.now, h.s.vms.Get("one")))
}
