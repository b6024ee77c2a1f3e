package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// Guards against a task that never runs again after its VM lost power. As far as the owner
// knows, the VM may still execute each hold sent to it. If those holds extended the lease, it
// would never expire.
func TestLeaseOfSilentVMExpires(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one", "two")
	h.addJob("j", "free", smallStep)
	start := onlyCommand[Start](h, h.advance(0))
	h.confirm(start)
	other := map[job.VMID]string{"one": "two", "two": "one"}[start.VM]
	freed := false
	h.s.HoldAnswered(h.now, Hold{VM: start.VM}, Unanswered, job.Report{})
	for range 100 {
		commands := h.advance(100 * time.Millisecond)
		for _, c := range commandsOfType[Hold](commands) {
			if c.VM == start.VM {
				h.s.HoldAnswered(h.now, c, Unanswered, job.Report{})
			}
		}
		h.answerHold(other, nil)
		if again := commandsOfType[Start](commands); len(again) > 0 {
			freed = true
			assert.Assert(t, again[0].Order.Attempt > start.Order.Attempt)
			break
		}
	}
	assert.Assert(t, freed)
	assert.Assert(t, h.now.Sub(startTime) > 6*time.Second, "freed after %s, before its lease has certainly expired", h.now.Sub(startTime))
}

// Guards against a second run of a task whose start had no answer. Only a report that the VM
// made after the start's deadline, and that doesn't list the run, proves that the task doesn't
// run.
func TestUnansweredStartIsFreedByListAfterItsDeadline(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one", "two")
	h.addJob("j", "free", smallStep)
	start := onlyCommand[Start](h, h.advance(0))
	h.s.StartAnswered(h.now, start, Unanswered, job.Report{})
	h.advance(100 * time.Millisecond)
	h.answerHold(string(start.VM), nil)
	assert.Equal(t, len(commandsOfType[Start](h.advance(0))), 0)
	h.advance(700 * time.Millisecond)
	h.answerHold(string(start.VM), nil)
	again := onlyCommand[Start](h, h.advance(0))
	assert.Assert(t, again.Order.Attempt > start.Order.Attempt)
}

// Guards against a start that a restarted VM executes late. The unanswered start was
// freed, and the VM then restarted under the same ID. The new clock is behind the start's
// deadline, so the run must be stopped explicitly.
func TestLostStartIsStoppedOnRestartedVM(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.addJob("j", "free", smallStep)
	start := onlyCommand[Start](h, h.advance(0))
	h.s.StartAnswered(h.now, start, Unanswered, job.Report{})
	h.advance(700 * time.Millisecond)
	h.answerHold("one", nil)
	h.advance(0)
	h.s.HoldAnswered(h.now, Hold{VM: "one"}, Answered, job.Report{Clock: 3, Born: 2, Lists: true})
	stops := commandsOfType[Stop](h.advance(0))
	assert.Assert(t, len(stops) > 0)
	assert.Equal(t, stops[0].Attempt, start.Order.Attempt)
}

// Guards against a second run of all tasks of a job. The feed that delivers jobs may, when
// resumed, repeat a job that has ended and been dropped from memory.
func TestEndedJobIsNotRunAgain(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.addJob("j", "free", smallStep)
	start := onlyCommand[Start](h, h.advance(0))
	h.confirm(start)
	h.advance(time.Second)
	h.answerHold("one", nil, job.End{Number: 1, Task: start.Order.Task, Attempt: start.Order.Attempt, How: job.EndedDone})
	save := commandsOfType[Save](h.advance(0))
	assert.Equal(t, save[len(save)-1].Progress.State, job.Completed)
	h.addJob("j", "free", smallStep)
	assert.Equal(t, len(commandsOfType[Start](h.advance(time.Second))), 0)
}

// Guards against an end that is lost because the owner that read it dies. A VM deletes
// acknowledged ends, so an end is acknowledged only once it is stored.
func TestEndIsStoredBeforeItIsAcknowledged(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.addJob("j", "free", smallStep)
	start := onlyCommand[Start](h, h.advance(0))
	h.confirm(start)
	h.now = h.now.Add(time.Second)
	h.answerHold("one", nil, job.End{Number: 1, Task: start.Order.Task, Attempt: start.Order.Attempt, How: job.EndedDone})
	h.now = h.now.Add(time.Second)
	h.s.Tick(h.now)
	commands := h.s.TakeCommands()
	assert.Equal(t, onlyCommand[Hold](h, commands).Order.Noted, int64(0))
	for _, c := range commands {
		h.store(c)
	}
	h.answerHold("one", nil)
	assert.Equal(t, onlyCommand[Hold](h, h.advance(30*time.Millisecond)).Order.Noted, int64(1))
}

// Guards against a lease that expires under a task started during a hold. The start's own
// deadline passes long before the next hold, so the hold must have extended the lease
// when it was sent.
func TestHoldOfIdleVMExtendsLease(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.answerHold("one", nil)
	hold := onlyCommand[Hold](h, h.advance(30*time.Millisecond))
	assert.Assert(t, hold.Order.Deadline >= h.clock()+5000, "%+v", hold.Order)
}

// Guards against maintenance of a machine whose VM a new owner hasn't reached. What runs
// there isn't known, so the machine must not be maintained, however empty the VM seems.
func TestMachineOfUnreportedVMIsNotMaintained(t *testing.T) {
	h := newHarness(t)
	h.s.AddInheritedVM(RosterVM{ID: "one", Address: "one", Pool: poolA, Machine: "m-one"})
	h.listVM("one")
	h.s.MachinesListed(h.now, []job.Machine{{ID: "m-one", Pool: poolA, State: job.MachineUp, VM: "one"}})
	h.s.AddWave(h.now, job.Wave{Number: 1, Machines: []job.MachineID{"m-one"}, MaxConcurrent: 1}, job.WaveProgress{})
	for range 80 {
		commands := h.advance(100 * time.Millisecond)
		assert.Equal(t, len(commandsOfType[Maintain](commands)), 0)
		for range commandsOfType[Hold](commands) {
			h.s.HoldAnswered(h.now, Hold{VM: "one"}, Unanswered, job.Report{})
		}
	}
	h.answerHold("one", nil)
	assert.Equal(t, len(commandsOfType[Maintain](h.advance(100*time.Millisecond))), 1)
}

// Guards against an outdated machine list that ends a maintenance. The list was requested
// before the order was answered and still shows the machine as up. The next machine may be
// maintained only once a later list shows that.
func TestOlderMachineListDoesNotEndMaintenance(t *testing.T) {
	h := newHarness(t)
	list := func(requestedAt time.Time, state job.MachineState) {
		h.s.MachinesListed(requestedAt, []job.Machine{
			{ID: "m-1", Pool: poolOff, State: state}, {ID: "m-2", Pool: poolOff, State: job.MachineUp},
		})
	}
	list(h.now, job.MachineUp)
	h.s.AddWave(h.now, job.Wave{Number: 1, Machines: []job.MachineID{"m-1", "m-2"}, MaxConcurrent: 1}, job.WaveProgress{})
	first := onlyCommand[Maintain](h, h.advance(100*time.Millisecond))
	requestedAt := h.now
	h.now = h.now.Add(10 * time.Millisecond)
	h.s.MaintainAnswered(h.now, first, Answered, job.MachineAccepted)
	h.now = h.now.Add(3 * time.Second)
	list(requestedAt, job.MachineUp)
	assert.Equal(t, len(commandsOfType[Maintain](h.advance(10*time.Millisecond))), 0)
	list(h.now, job.MachineUp)
	second := onlyCommand[Maintain](h, h.advance(10*time.Millisecond))
	assert.Assert(t, second.Machine != first.Machine)
}

// Guards against exceeding a wave's limit. A machine refuses an order as busy because an
// earlier order, whose answer was lost, is being executed. It counts as in maintenance.
func TestBusyMachineCountsAsInMaintenance(t *testing.T) {
	h := newHarness(t)
	h.s.MachinesListed(h.now, []job.Machine{
		{ID: "m-1", Pool: poolOff, State: job.MachineUp}, {ID: "m-2", Pool: poolOff, State: job.MachineUp},
	})
	h.s.AddWave(h.now, job.Wave{Number: 1, Machines: []job.MachineID{"m-1", "m-2"}, MaxConcurrent: 1}, job.WaveProgress{})
	first := onlyCommand[Maintain](h, h.advance(100*time.Millisecond))
	h.s.MaintainAnswered(h.now, first, Unanswered, job.MachineAccepted)
	again := onlyCommand[Maintain](h, h.advance(time.Second))
	assert.Equal(t, again.Machine, first.Machine)
	h.s.MaintainAnswered(h.now, again, Answered, job.MachineBusy)
	assert.Equal(t, len(commandsOfType[Maintain](h.advance(time.Second))), 0)
}

// Guards against more unavailable tasks than the disruption budget of a long-running step
// allows. One task's VM is silent, so the maintenance of the other's VM has to wait.
func TestMaintenanceWaitsWhileTaskIsUnavailable(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one", "two")
	h.addJob("j", "free", job.Step{
		Count: 2, Resources: job.Resources{CPU: 1000}, LongRunning: true, MaxPerVM: 1, DisruptionBudget: 1, HasDisruptionBudget: true,
	})
	starts := commandsOfType[Start](h.advance(0))
	assert.Equal(t, len(starts), 2)
	for _, c := range starts {
		h.confirm(c)
		h.answerHold(string(c.VM), []job.RunningTask{runningTask(c, 100)})
	}
	h.s.MachinesListed(h.now, []job.Machine{{ID: "m-one", Pool: poolA, State: job.MachineUp, VM: "one"}})
	for _, c := range commandsOfType[Hold](h.advance(time.Second)) {
		if c.VM == "two" {
			h.s.HoldAnswered(h.now, Hold{VM: "two"}, Unanswered, job.Report{})
		}
	}
	h.s.AddWave(h.now, job.Wave{Number: 1, Machines: []job.MachineID{"m-one"}, MaxConcurrent: 1}, job.WaveProgress{})
	assert.Equal(t, len(commandsOfType[Stop](h.advance(100*time.Millisecond))), 0)
	for _, c := range starts {
		if c.VM == "two" {
			h.answerHold("two", []job.RunningTask{runningTask(c, 100)})
		}
	}
	assert.Equal(t, len(commandsOfType[Stop](h.advance(100*time.Millisecond))), 1)
}

// Guards against a start that is sent before it is stored that the job may run on the VM.
// A new owner that can't reach the VM must know that it has to wait.
func TestPossibleVMIsStoredBeforeStart(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.addJob("j", "free", smallStep)
	h.s.Assign(h.now, h.now)
	commands := h.s.TakeCommands()
	assert.Equal(t, len(commandsOfType[Start](commands)), 0)
	save := onlyCommand[Save](h, commands)
	assert.DeepEqual(t, save.Progress.VMs, []job.VMID{"one"})
	h.s.SavesStored(h.now, save.Sequence)
	onlyCommand[Start](h, h.s.TakeCommands())
}

// Guards against jobs that wait without need. A new owner can't reach a VM. Only jobs that
// may run there wait until its lease has expired.
func TestOnlyJobsThatMayRunOnUnreportedVMsWait(t *testing.T) {
	h := newHarness(t)
	h.s.AddInheritedVM(RosterVM{ID: "unreported", Address: "unreported", Pool: poolA})
	h.addReadyVMs("one")
	add := func(id string, vms ...job.VMID) {
		j := job.Job{ID: job.ID(id), Terms: job.Terms{Queue: "q", Pool: poolA}, Body: job.Body{Steps: []job.Step{smallStep}}}
		h.s.AddJob(h.now, j, &job.Progress{State: job.Running, VMs: vms}, true)
	}
	add("there", "unreported")
	add("elsewhere", "one")
	start := onlyCommand[Start](h, h.advance(0))
	assert.Equal(t, start.Order.Task.Job, job.ID("elsewhere"))
	h.now = h.now.Add(11 * time.Second)
	h.answerHold("one", []job.RunningTask{runningTask(start, 10)})
	start = onlyCommand[Start](h, h.advance(0))
	assert.Equal(t, start.Order.Task.Job, job.ID("there"))
}

// Guards against exceeding an account's quota. Its tasks on VMs that have not reported to a
// new owner count until they have certainly ended.
func TestTasksOnUnreportedVMsCountAgainstQuota(t *testing.T) {
	h := newHarness(t)
	h.s.AddInheritedVM(RosterVM{ID: "unreported", Address: "unreported", Pool: poolA})
	h.addReadyVMs("one")
	wide := job.Step{Count: 4, Resources: job.Resources{CPU: 1000}, Estimate: time.Second}
	j := job.Job{ID: "there", Terms: job.Terms{Queue: "q", Pool: poolA, Account: "capped"}, Body: job.Body{Steps: []job.Step{wide}}}
	h.s.AddJob(h.now, j, &job.Progress{State: job.Running, VMs: []job.VMID{"unreported"}}, true)
	h.addJob("new", "capped", wide)
	assert.Equal(t, len(commandsOfType[Start](h.advance(0))), 1, "4 of 5 cores may be in use already")
}

// Guards against exceeding an account's quota. A former owner is cut off from the table but
// not from its VMs. It has seen the end of a step that the new owner hasn't, and starts the
// next, wider step. So all later steps count as well, not only those that the new owner
// knows to be next.
func TestLaterStepsOnUnreportedVMsCountAgainstQuota(t *testing.T) {
	h := newHarness(t)
	h.s.AddInheritedVM(RosterVM{ID: "unreported", Address: "unreported", Pool: poolA})
	h.addReadyVMs("one")
	resources := job.Resources{CPU: 1000}
	j := job.Job{ID: "there", Terms: job.Terms{Queue: "q", Pool: poolA, Account: "capped"}, Body: job.Body{Steps: []job.Step{
		{Count: 1, Resources: resources, Estimate: time.Second},
		{Count: 4, Resources: resources, Estimate: time.Second, After: []int{0}},
	}}}
	h.s.AddJob(h.now, j, &job.Progress{State: job.Running, VMs: []job.VMID{"unreported"}}, true)
	h.addJob("new", "capped", job.Step{Count: 4, Resources: resources, Estimate: time.Second})
	assert.Equal(t, len(commandsOfType[Start](h.advance(0))), 1, "4 of 5 cores may be in use already")
}

// Guards against two owners that both move long-running tasks for the same maintenance,
// which would exceed the disruption budget of a step. An owner that hasn't reached the
// table for a second moves none. New tasks still start.
func TestNoLongRunningTaskMovesWithoutRightToOrderMachines(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one", "two")
	longRunning := job.Step{Count: 1, Resources: job.Resources{CPU: 1000}, LongRunning: true, DisruptionBudget: 1, HasDisruptionBudget: true}
	h.addJob("j", "free", longRunning)
	start := onlyCommand[Start](h, h.advance(0))
	h.confirm(start)
	h.answerHold(string(start.VM), []job.RunningTask{runningTask(start, 100)})
	h.listMachinesOf("one", "two")
	h.s.AddWave(h.now, job.Wave{Number: 1, Machines: []job.MachineID{job.MachineID("m-" + start.VM)}, MaxConcurrent: 1}, job.WaveProgress{})
	h.s.SetRights(Rights{StartTasks: true, ExtendLeases: true})
	assert.Equal(t, len(commandsOfType[Stop](h.advance(time.Second))), 0)
	h.addJob("new", "free", smallStep)
	assert.Equal(t, len(commandsOfType[Start](h.advance(0))), 1)
	h.s.SetRights(Rights{OrderMachines: true, StartTasks: true, ExtendLeases: true})
	assert.Equal(t, len(commandsOfType[Stop](h.advance(0))), 1)
}

// Guards against orders from two owners to the same machine in quick succession. The
// second owner waits until the first one's orders are old enough, but not for other
// machines.
func TestMachineOrderedByFormerOwnerWaits(t *testing.T) {
	h := newHarness(t)
	h.s = New(Settings{
		Fence: 5, TakeoverTime: startTime, MachineLease: 3 * time.Second, OrderIssuer: "here",
		FormerOrders: []MachineOrder{{Machine: "m-1", Issuer: "there"}},
	})
	h.s.SetRights(Rights{OrderMachines: true, StartTasks: true, ExtendLeases: true})
	h.s.MachinesListed(h.now, []job.Machine{{ID: "m-1", State: job.MachineUp}, {ID: "m-2", State: job.MachineUp}})
	h.s.AddWave(h.now, job.Wave{Number: 1, Machines: []job.MachineID{"m-1", "m-2"}, MaxConcurrent: 2}, job.WaveProgress{})
	assert.Equal(t, onlyCommand[Maintain](h, h.advance(time.Second)).Machine, job.MachineID("m-2"))
	assert.Equal(t, len(commandsOfType[Maintain](h.advance(3*time.Second))), 0)
	assert.Equal(t, onlyCommand[Maintain](h, h.advance(time.Second)).Machine, job.MachineID("m-1"))
}

// Guards against a failed run that counts twice because its end is listed again after a
// takeover. A job whose attempts are used up must end as failed.
func TestFailedRunsAreCountedOnce(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one", "two")
	h.addJob("j", "free", smallStep)
	start := onlyCommand[Start](h, h.advance(0))
	h.confirm(start)
	end := job.End{Number: 1, Task: start.Order.Task, Attempt: start.Order.Attempt, How: job.EndedFailed}
	h.answerHold(string(start.VM), nil, end)
	end.Number = 2
	h.answerHold(string(start.VM), nil, end)
	second := onlyCommand[Start](h, h.advance(time.Second))
	assert.Assert(t, second.VM != start.VM, "a task avoids the VM where it failed")
	h.confirm(second)
	h.answerHold(string(second.VM), nil, job.End{Number: 1, Task: second.Order.Task, Attempt: second.Order.Attempt, How: job.EndedFailed})
	saves := commandsOfType[Save](h.advance(0))
	assert.Equal(t, saves[len(saves)-1].Progress.State, job.Failed)
}

// Guards against runs that survive the cancellation of their job. Stops are repeated
// until the runs are gone, and nothing of the job starts.
func TestCancelStopsRuns(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.addJob("j", "free", job.Step{Count: 2, Resources: job.Resources{CPU: 5000}})
	start := onlyCommand[Start](h, h.advance(0))
	h.confirm(start)
	h.s.Cancel(h.now, "j")
	assert.Equal(t, onlyCommand[Stop](h, h.advance(0)).Attempt, start.Order.Attempt)
	assert.Equal(t, onlyCommand[Stop](h, h.advance(700*time.Millisecond)).Attempt, start.Order.Attempt)
	h.answerHold("one", nil, job.End{Number: 1, Task: start.Order.Task, Attempt: start.Order.Attempt, How: job.EndedStopped})
	commands := h.advance(time.Second)
	assert.Equal(t, len(commandsOfType[Stop](commands))+len(commandsOfType[Start](commands)), 0)
}

// Guards against stopping two tasks of a step whose disruption budget is one. A former
// owner has ordered a long-running task's end. Until it has stopped, the VM lists the task
// as available, and the new owner doesn't know of the order.
func TestMaintenanceWaitsForStopsOfFormerOwner(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one", "two")
	longRunning := job.Step{Count: 2, Resources: job.Resources{CPU: 1000}, LongRunning: true, MaxPerVM: 1, DisruptionBudget: 1, HasDisruptionBudget: true}
	j := job.Job{ID: "j", Terms: job.Terms{Queue: "q", Pool: poolA}, Body: job.Body{Steps: []job.Step{longRunning}}}
	h.s.AddJob(h.now, j, &job.Progress{State: job.Running, VMs: []job.VMID{"one", "two"}}, true)
	h.s.MachinesListed(h.now, []job.Machine{{ID: "m-one", Pool: poolA, State: job.MachineUp, VM: "one"}})
	h.s.AddWave(h.now, job.Wave{Number: 1, Machines: []job.MachineID{"m-one"}, MaxConcurrent: 1}, job.WaveProgress{})
	list := func(ended ...job.End) {
		h.answerHold("one", []job.RunningTask{{Task: job.TaskID{Job: "j"}, Attempt: 7, Percent: 100}})
		var there []job.RunningTask
		if len(ended) == 0 {
			there = []job.RunningTask{{Task: job.TaskID{Job: "j", Index: 1}, Attempt: 7, Percent: 100}}
		}
		h.answerHold("two", there, ended...)
	}
	list()
	assert.Equal(t, len(commandsOfType[Stop](h.advance(100*time.Millisecond))), 0)
	list(job.End{Number: 1, Task: job.TaskID{Job: "j", Index: 1}, Attempt: 7, How: job.EndedStopped})
	assert.Equal(t, len(commandsOfType[Stop](h.advance(2*time.Second))), 0, "the other task is unavailable")
}

// Guards against job rows that are never deleted, all of which each new owner would read.
// Until they are deleted, a repeated submission must be recognized.
func TestEndedJobsAreDeletedEventually(t *testing.T) {
	h := newHarness(t)
	h.s.AddEndedJob(h.now, "old")
	assert.Equal(t, len(commandsOfType[DeleteJob](h.advance(5*time.Minute))), 0)
	assert.Equal(t, onlyCommand[DeleteJob](h, h.advance(7*time.Minute)).Job, job.ID("old"))
	assert.Equal(t, len(commandsOfType[DeleteJob](h.advance(7*time.Minute))), 0)
}

// Guards against a long-running task that never runs because its pool has too few VMs. Two
// tasks must not share a VM, and their pool has only one while another pool has idle
// machines. A machine must be moved.
func TestPoolGetsVMsForLongRunningTasks(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.s.MachinesListed(h.now, []job.Machine{
		{ID: "m-one", Pool: poolA, State: job.MachineUp, VM: "one", Capacity: job.Resources{CPU: 8000}},
		{ID: "m-off", Pool: poolOff, State: job.MachineUp, Capacity: job.Resources{CPU: 8000}},
	})
	h.addJob("j", "free", job.Step{Count: 2, Resources: job.Resources{CPU: 1000}, LongRunning: true, MaxPerVM: 1})
	commands := h.advance(0)
	assert.Equal(t, len(commandsOfType[Start](commands)), 1)
	assert.Equal(t, onlyCommand[Move](h, commands), Move{Machine: "m-off", Pool: poolA})
}

// Guards against a serving task that responds slowly for seconds on end because a spare-CPU
// task uses its VM. The serving task fits only there. As its tail latency nears the target, the
// spare-CPU task is slowed down and then halted. It is sped up again once the latency has
// fallen.
func TestSpareCPUTaskIsSlowedForServingTask(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.addJob("spare", "free", job.Step{Count: 1, Resources: job.Resources{CPU: 4000}, SpareCPU: true, Estimate: time.Minute})
	spareCPU := onlyCommand[Start](h, h.advance(0))
	h.confirm(spareCPU)
	h.addJob("serve", "free", job.Step{Count: 1, Resources: job.Resources{CPU: 1000}, LongRunning: true, TailLatencyTarget: 100 * time.Millisecond})
	serve := onlyCommand[Start](h, h.advance(0))
	h.confirm(serve)
	for _, x := range []struct {
		tail    int64
		percent int
	}{{75, 50}, {80, 25}, {95, 0}, {20, 20}, {20, 40}} {
		busy := runningTask(serve, 100)
		busy.Load = x.tail
		h.now = h.now.Add(600 * time.Millisecond)
		h.answerHold("one", []job.RunningTask{busy, runningTask(spareCPU, 10)})
		assert.Equal(t, onlyCommand[Pace](h, h.advance(0)).Percent, x.percent)
	}
}

// Guards against spare-CPU tasks that are placed beside a serving one.
func TestSpareCPUTaskIsNotPlacedBesideServingTask(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.addJob("serve", "free", job.Step{Count: 1, Resources: job.Resources{CPU: 1000}, LongRunning: true, TailLatencyTarget: 100 * time.Millisecond})
	h.confirm(onlyCommand[Start](h, h.advance(0)))
	h.addJob("spare", "free", job.Step{Count: 1, Resources: job.Resources{CPU: 4000}, SpareCPU: true})
	assert.Equal(t, len(commandsOfType[Start](h.advance(0))), 0)
}

// Guards against freeing a run that may still be in progress. A report from the same
// millisecond in which the VM accepted the stop doesn't prove that the run is gone, even if it
// doesn't list the run, which may have begun in between.
func TestListFromSameMillisecondAsStopFreesNoRun(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.addJob("j", "free", smallStep)
	start := onlyCommand[Start](h, h.advance(0))
	h.s.StartAnswered(h.now, start, Unanswered, job.Report{})
	h.s.Cancel(h.now, "j")
	stop := onlyCommand[Stop](h, h.advance(0))
	h.s.StopAnswered(h.now, stop, Answered, job.Report{Clock: h.clock(), Born: 1})
	h.answerHold("one", nil)
	assert.Equal(t, h.s.vms.Get("one").runs.Len(), 1)
	h.now = h.now.Add(time.Millisecond)
	h.answerHold("one", nil)
	assert.Equal(t, h.s.vms.Get("one").runs.Len(), 0)
}
