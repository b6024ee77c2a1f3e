package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
	"lavenderpond/core/lease"
)

// Guards against a second run of a task that its VM started after a restart. Answers to starts
// don't say whether the VM gave them before or after the restart, and the directory may show
// the restart before an answer to a hold does.
func TestRunConfirmedByRestartedVMIsNotFreed(t *testing.T) {
	h := newHarness(t)
	h.now = h.now.Add(20 * time.Second)
	h.addReadyVMs("one", "two")
	h.addJob("j", "free", smallStep)
	start := onlyCommand[Start](h, h.advance(0))
	h.s.StartAnswered(h.now, start, Answered, job.Report{Clock: 50})
	h.now = h.now.Add(300 * time.Millisecond)
	h.s.VMListed(h.now, job.VMRecord{
		ID: start.VM, Pool: poolA, Address: string(start.VM), Capacity: job.Resources{CPU: 8000, MemMB: 8000},
		Machine: job.MachineID("m-" + string(start.VM)), Born: 2,
	})
	assert.Equal(t, len(commandsOfType[Start](h.advance(0))), 0, "the restarted VM may be running the task or have completed it")
	h.s.HoldAnswered(h.now, Hold{VM: start.VM}, Answered, job.Report{
		Clock: 400, Born: 2, Lists: true, Finished: []job.End{newEnd(1, start, job.EndedDone)},
	})
	assert.Equal(t, len(commandsOfType[Start](h.advance(100*time.Millisecond))), 0)
	assert.Assert(t, !h.s.jobs.Has("j"), "the job is completed and stored")
}

// Guards against a lease that lasts longer than the owner assumes. A restarted VM that
// executes a start grants a full lease from then on, although the deadlines of the orders to
// its previous life pass earlier.
func TestLeaseOfRestartedVMCountsFromStartOfTask(t *testing.T) {
	h := newHarness(t)
	h.now = h.now.Add(20 * time.Second)
	h.addReadyVMs("one", "two")
	h.now = h.now.Add(2 * time.Second)
	h.addJob("j", "free", smallStep)
	start := onlyCommand[Start](h, h.advance(0))
	h.s.StartAnswered(h.now, start, Answered, job.Report{Clock: 50})
	leaseEnd := h.now.Add(6 * time.Second)
	other := map[job.VMID]string{"one": "two", "two": "one"}[start.VM]
	h.s.HoldAnswered(h.now, Hold{VM: start.VM}, Unanswered, job.Report{})
	for h.now.Before(leaseEnd) {
		commands := h.advance(100 * time.Millisecond)
		for _, c := range commandsOfType[Hold](commands) {
			if c.VM == start.VM {
				h.s.HoldAnswered(h.now, c, Unanswered, job.Report{})
			}
		}
		h.answerHold(other, nil)
		assert.Equal(t, len(commandsOfType[Start](commands)), 0, "%s before the lease expires", leaseEnd.Sub(h.now))
	}
}

// Guards against a restarted VM that deletes its first ends because a probe acknowledges ends
// of its previous life. Probes go to a VM that leaves a start unanswered, long before its hold
// fails and it counts as silent.
func TestProbeAcknowledgesNoEnd(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.addJob("j", "free", smallStep)
	first := onlyCommand[Start](h, h.advance(0))
	h.confirm(first)
	h.answerHold("one", nil, newEnd(1, first, job.EndedDone))
	h.advance(0)
	h.answerHold("one", nil)
	assert.Equal(t, acknowledgedAt(h.advance(30*time.Millisecond), "one"), int64(1))
	h.addJob("k", "free", smallStep)
	onlyCommand[Start](h, h.advance(0))
	probe := probes(h.advance(startAnswerTimeout + 10*time.Millisecond))
	assert.Equal(t, len(probe), 1)
	assert.Equal(t, probe[0].Order.Noted, int64(0))
}

// Guards against a start that a restarted VM executes late while the task runs elsewhere. The
// owner must remember the start of an unlisted VM for maxOrderDelay, longer than it otherwise
// keeps the VM's state.
func TestLostStartIsStoppedOnRestartedVMAfterItWasUnlisted(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.addJob("j", "free", smallStep)
	start := onlyCommand[Start](h, h.advance(0))
	h.s.SetRights(Rights{ExtendLeases: true})
	h.s.StartAnswered(h.now, start, Unanswered, job.Report{})
	h.advance(700 * time.Millisecond)
	h.answerHold("one", nil)
	h.s.VMUnlisted(h.now, "one")
	for range 8 {
		for _, c := range commandsOfType[Hold](h.advance(time.Second)) {
			h.s.HoldAnswered(h.now, c, Unanswered, job.Report{})
		}
	}
	assert.Assert(t, h.now.Sub(startTime) < maxOrderDelay)
	h.s.VMListed(h.now, job.VMRecord{ID: "one", Pool: poolA, Address: "one", Machine: "m-one", Born: 2})
	h.s.HoldAnswered(h.now, Hold{VM: "one"}, Answered, job.Report{Clock: 3, Born: 2, Lists: true})
	stops := commandsOfType[Stop](h.advance(0))
	assert.Assert(t, len(stops) > 0)
	assert.Equal(t, stops[0].Attempt, start.Order.Attempt)
}

// Guards against a second run of a task whose end is missing from a report because a report
// lists a limited number of ends.
func TestIncompleteListOfEndsFreesNoRun(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one", "two")
	h.addJob("j", "free", smallStep)
	start := onlyCommand[Start](h, h.advance(0))
	h.confirm(start)
	h.advance(time.Second)
	var ends []job.End
	for n := range int64(500) {
		ends = append(ends, job.End{Number: n + 1, Task: job.TaskID{Job: "other", Index: int(n)}, How: job.EndedDone})
	}
	h.answerHold(string(start.VM), nil, ends...)
	assert.Equal(t, len(commandsOfType[Start](h.advance(100*time.Millisecond))), 0, "the next list may contain its end")
	h.answerHold(string(start.VM), nil, newEnd(501, start, job.EndedDone))
	assert.Equal(t, len(commandsOfType[Start](h.advance(100*time.Millisecond))), 0)
	assert.Assert(t, !h.s.jobs.Has("j"), "the job is completed and stored")
}

// Guards against start deadlines that are too far in the future because a VM's clock reading
// from before its restart is taken for one of its new clock. The answer to a start arrives
// after the directory showed the restart.
func TestLateAnswerOfPreviousLifeIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.now = h.now.Add(20 * time.Second)
	h.addReadyVMs("one")
	h.addJob("j", "free", smallStep)
	start := onlyCommand[Start](h, h.advance(0))
	h.s.VMListed(h.now, job.VMRecord{ID: "one", Pool: poolA, Address: "one", Machine: "m-one", Born: 2, Capacity: job.Resources{CPU: 8000, MemMB: 8000}})
	h.s.StartAnswered(h.now, start, Answered, job.Report{Clock: h.clock()})
	born := h.now
	clock := func() job.VMClock { return job.VMClock(h.now.Sub(born).Milliseconds()) + 5 }
	h.s.HoldAnswered(h.now, Hold{VM: "one"}, Unanswered, job.Report{})
	var again []Start
	for range 30 {
		commands := h.advance(100 * time.Millisecond)
		again = append(again, commandsOfType[Start](commands)...)
		for _, c := range commandsOfType[Stop](commands) {
			h.s.StopAnswered(h.now, c, Answered, job.Report{Clock: clock()})
		}
		for _, c := range commandsOfType[Hold](commands) {
			h.s.HoldAnswered(h.now, c, Answered, job.Report{Clock: clock(), Born: 2, Lists: true})
		}
	}
	assert.Assert(t, len(again) > 0, "the task is never started again")
	assert.Assert(t, again[0].Order.Deadline < 5000, "deadline %d is not on the clock of the restarted VM", again[0].Order.Deadline)
}

// Guards against a second run of a task that a former owner started on a restarted VM without
// knowing of the restart. The stored roster still gives the boot time from before the restart.
func TestRestartedInheritedVMMustReportFirst(t *testing.T) {
	h := newHarness(t)
	h.s.AddInheritedVM(RosterVM{ID: "one", Address: "one", Pool: poolA, Machine: "m-one", Born: 1})
	h.addReadyVMs("two")
	j := job.Job{ID: "j", Body: job.Body{Spec: "x", Steps: []job.Step{smallStep}}, Terms: job.Terms{Queue: "q", Pool: poolA, Account: "free"}}
	h.s.AddJob(h.now, j, &job.Progress{State: job.Running, VMs: []job.VMID{"one"}}, true)
	h.s.VMListed(h.now, job.VMRecord{ID: "one", Pool: poolA, Address: "one", Machine: "m-one", Born: 2})
	assert.Equal(t, len(commandsOfType[Start](h.advance(30*time.Millisecond))), 0, "the task may be running there")
	h.s.HoldAnswered(h.now, Hold{VM: "one"}, Answered, job.Report{Clock: 900, Born: 2, Lists: true})
	assert.Equal(t, len(commandsOfType[Start](h.advance(0))), 1)
}

// Guards against a second run of a task whose end doesn't fit into the first report that a new
// owner gets from its VM.
func TestVMCountsAsReportedOnceItListsAllEnds(t *testing.T) {
	h := newHarness(t)
	h.s.AddInheritedVM(RosterVM{ID: "one", Address: "one", Pool: poolA, Machine: "m-one", Born: 1})
	h.addReadyVMs("two")
	h.listVM("one")
	j := job.Job{ID: "j", Body: job.Body{Spec: "x", Steps: []job.Step{smallStep}}, Terms: job.Terms{Queue: "q", Pool: poolA, Account: "free"}}
	h.s.AddJob(h.now, j, &job.Progress{State: job.Running, VMs: []job.VMID{"one"}}, true)
	var ends []job.End
	for n := range int64(500) {
		ends = append(ends, job.End{Number: n + 1, Task: job.TaskID{Job: "other", Index: int(n)}, How: job.EndedDone})
	}
	h.answerHold("one", nil, ends...)
	assert.Equal(t, len(commandsOfType[Start](h.advance(100*time.Millisecond))), 0, "the next list may contain its end")
	h.answerHold("one", nil)
	assert.Equal(t, len(commandsOfType[Start](h.advance(100*time.Millisecond))), 1)
}

// Guards against a run that is never freed. A stop that the VM accepted before it restarted
// has no effect after the restart.
func TestStopAcceptedByPreviousLifeIsSentAgain(t *testing.T) {
	h := newHarness(t)
	h.now = h.now.Add(20 * time.Second)
	h.addReadyVMs("one")
	h.addJob("j", "free", smallStep)
	start := onlyCommand[Start](h, h.advance(0))
	h.s.StartAnswered(h.now, start, Unanswered, job.Report{})
	h.s.Cancel(h.now, "j")
	stop := onlyCommand[Stop](h, h.roundWithoutStoring(0))
	h.s.VMListed(h.now, job.VMRecord{ID: "one", Pool: poolA, Address: "one", Machine: "m-one", Born: 2})
	h.s.StopAnswered(h.now, stop, Answered, job.Report{Clock: h.clock()})
	again := commandsOfType[Stop](h.advance(stopRetryDelay))
	assert.Assert(t, len(again) > 0)
	h.s.StopAnswered(h.now, again[0], Answered, job.Report{Clock: 700})
	h.s.HoldAnswered(h.now, Hold{VM: "one"}, Answered, job.Report{Clock: 800, Born: 2, Lists: true})
	assert.Equal(t, h.s.vms.Get("one").runs.Len(), 0)
}

// Guards against orders to a VM's previous life that arrive late and are executed after the
// restart: a start, or a hold that acknowledges ends. Orders to the restarted VM carry a
// higher fencing token, after which the VM refuses the earlier ones.
func TestOrdersToRestartedVMCarryRaisedFence(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.s.RaiseFence(9)
	h.answerHold("one", nil)
	assert.Equal(t, onlyCommand[Hold](h, h.advance(100*time.Millisecond)).Order.Fence, job.Fence(5))
	h.s.HoldAnswered(h.now, Hold{VM: "one"}, Answered, job.Report{Clock: 10, Born: 2, Lists: true})
	h.s.VMListed(h.now, entryOf("one", 8000, 2))
	assert.Equal(t, onlyCommand[Hold](h, h.advance(100*time.Millisecond)).Order.Fence, job.Fence(9))
	h.addJob("j", "free", smallStep)
	start := onlyCommand[Start](h, h.advance(0))
	assert.Equal(t, start.Order.Fence, job.Fence(9))
	h.s.Cancel(h.now, "j")
	assert.Equal(t, onlyCommand[Stop](h, h.roundWithoutStoring(startAnswerTimeout)).Fence, job.Fence(9))
}

// Guards against a task that never starts again: its VM restarts with the start unanswered, and is
// lost before it answers.
func TestStartOnRestartedVMThatIsLostIsFreed(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.addJob("j", "free", smallStep)
	start := onlyCommand[Start](h, h.advance(0))
	h.s.StartAnswered(h.now, start, Unanswered, job.Report{})
	h.s.VMListed(h.now, job.VMRecord{ID: "one", Pool: poolA, Address: "one", Machine: "m-one", Born: 2})
	h.s.VMUnlisted(h.now, "one")
	h.addReadyVMs("two")
	end := h.now.Add(maxOrderDelay + lease.Longest(h.s.settings.LeaseMax))
	var again []Start
	for h.now.Before(end.Add(time.Second)) {
		again = append(again, commandsOfType[Start](h.advance(100*time.Millisecond))...)
		h.answerHold("two", nil)
		h.s.HoldAnswered(h.now, Hold{VM: "one"}, Unanswered, job.Report{})
		assert.Assert(t, len(again) == 0 || h.now.Sub(startTime) > maxOrderDelay, "the VM may still execute the first start")
	}
	assert.Equal(t, len(again), 1)
}

// Guards against a second run: a restarted VM answers once, before it executes a start late, and is
// cut off.
func TestStartOnRestartedVMThatAnsweredOnceIsAwaited(t *testing.T) {
	h := newHarness(t)
	h.now = h.now.Add(20 * time.Second)
	h.addReadyVMs("one")
	h.addJob("j", "free", smallStep)
	start := onlyCommand[Start](h, h.advance(0))
	ordered := h.now
	h.s.StartAnswered(h.now, start, Unanswered, job.Report{})
	h.now = h.now.Add(500 * time.Millisecond)
	h.s.HoldAnswered(h.now, Hold{VM: "one"}, Answered, job.Report{Clock: 50, Born: 2})
	h.addReadyVMs("two")
	for h.now.Sub(ordered) < maxOrderDelay+lease.Longest(h.s.settings.LeaseMax)-100*time.Millisecond {
		commands := h.advance(100 * time.Millisecond)
		assert.Equal(t, len(commandsOfType[Start](commands)), 0, "%s after the order", h.now.Sub(ordered))
		h.answerHold("two", nil)
		for _, c := range commandsOfType[Hold](commands) {
			if c.VM == "one" {
				h.s.HoldAnswered(h.now, c, Unanswered, job.Report{})
			}
		}
	}
}
