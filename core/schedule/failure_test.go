package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// A VM loses power and never answers again. Each hold that is sent to it may
// still be carried out for all its owner knows. If those holds extended the
// lease, it would never run out, and the task would never run again.
func TestLeaseOfSilentVMRunsOut(t *testing.T) {
	h := newHarness(t)
	h.ready("one", "two")
	h.job("j", "free", small)
	start := one[Start](h, h.step(0))
	h.confirm(start)
	other := map[job.VMID]string{"one": "two", "two": "one"}[start.VM]
	freed := false
	h.s.HoldAnswered(h.now, Hold{VM: start.VM}, Unanswered, job.Report{})
	for range 100 {
		commands := h.step(100 * time.Millisecond)
		for _, c := range only[Hold](commands) {
			if c.VM == start.VM {
				h.s.HoldAnswered(h.now, c, Unanswered, job.Report{})
			}
		}
		h.lists(other, nil)
		if again := only[Start](commands); len(again) > 0 {
			freed = true
			assert.Assert(t, again[0].Order.Attempt > start.Order.Attempt)
			break
		}
	}
	assert.Assert(t, freed)
	assert.Assert(t, h.now.Sub(begin) > 6*time.Second, "freed after %s, while its lease may last", h.now.Sub(begin))
}

// A start gets no answer. Its task may run until a list that was taken after the
// start's deadline lacks it; an earlier list proves nothing.
func TestUnansweredStartIsFreedByALaterList(t *testing.T) {
	h := newHarness(t)
	h.ready("one", "two")
	h.job("j", "free", small)
	start := one[Start](h, h.step(0))
	h.s.StartAnswered(h.now, start, Unanswered, job.Report{})
	h.step(100 * time.Millisecond)
	h.lists(string(start.VM), nil)
	assert.Equal(t, len(only[Start](h.step(0))), 0)
	h.step(700 * time.Millisecond)
	h.lists(string(start.VM), nil)
	again := one[Start](h, h.step(0))
	assert.Assert(t, again.Order.Attempt > start.Order.Attempt)
}

// A start gets no answer and is freed; then its VM crashes and lives anew under
// the same ID. The order may still arrive there, and the new life's clock is
// behind its deadline: it is barred by name.
func TestLostStartIsStoppedAtANewLife(t *testing.T) {
	h := newHarness(t)
	h.ready("one")
	h.job("j", "free", small)
	start := one[Start](h, h.step(0))
	h.s.StartAnswered(h.now, start, Unanswered, job.Report{})
	h.step(700 * time.Millisecond)
	h.lists("one", nil)
	h.step(0)
	h.s.HoldAnswered(h.now, Hold{VM: "one"}, Answered, job.Report{Clock: 3, Born: 2, Lists: true})
	stops := only[Stop](h.step(0))
	assert.Assert(t, len(stops) > 0)
	assert.Equal(t, stops[0].Attempt, start.Order.Attempt)
}

// A feed that resumes tells again of a job that has been run and forgotten since.
// Running it anew would run every task of it twice.
func TestEndedJobIsNotRunAgain(t *testing.T) {
	h := newHarness(t)
	h.ready("one")
	h.job("j", "free", small)
	start := one[Start](h, h.step(0))
	h.confirm(start)
	h.step(time.Second)
	h.lists("one", nil, job.End{Number: 1, Task: start.Order.Task, Attempt: start.Order.Attempt, How: job.EndedDone})
	save := only[Save](h.step(0))
	assert.Equal(t, save[len(save)-1].Progress.State, job.Completed)
	h.job("j", "free", small)
	assert.Equal(t, len(only[Start](h.step(time.Second))), 0)
}

// An end is noted at its VM only once it is stored: a VM forgets noted ends, and
// an owner that dies in between would leave nobody who knows.
func TestEndIsStoredBeforeItIsNoted(t *testing.T) {
	h := newHarness(t)
	h.ready("one")
	h.job("j", "free", small)
	start := one[Start](h, h.step(0))
	h.confirm(start)
	h.now = h.now.Add(time.Second)
	h.lists("one", nil, job.End{Number: 1, Task: start.Order.Task, Attempt: start.Order.Attempt, How: job.EndedDone})
	h.now = h.now.Add(time.Second)
	h.s.Tick(h.now)
	commands := h.s.TakeCommands()
	assert.Equal(t, one[Hold](h, commands).Order.Noted, int64(0))
	for _, c := range commands {
		h.store(c)
	}
	h.lists("one", nil)
	assert.Equal(t, one[Hold](h, h.step(30*time.Millisecond)).Order.Noted, int64(1))
}

// A start goes to a VM whose hold is still waiting. The hold must have extended
// the lease when it was sent: the start's own deadline is over long before the
// next hold.
func TestIdleVMIsHeldWithADeadline(t *testing.T) {
	h := newHarness(t)
	h.ready("one")
	h.lists("one", nil)
	hold := one[Hold](h, h.step(30*time.Millisecond))
	assert.Assert(t, hold.Order.Deadline >= h.clock()+5000, "%+v", hold.Order)
}

// A new owner can't reach a VM. What runs there isn't known: the VM's machine
// must not have its upkeep, however empty it looks.
func TestUnheardVMIsNotTakenAway(t *testing.T) {
	h := newHarness(t)
	h.s.AddInheritedVM(RosterVM{ID: "one", Address: "one", Pool: poolA, Machine: "m-one"})
	h.seen("one")
	h.s.Machines(h.now, []job.Machine{{ID: "m-one", Pool: poolA, State: job.MachineUp, VM: "one"}})
	h.s.AddWave(h.now, job.Wave{Number: 1, Machines: []job.MachineID{"m-one"}, AtOnce: 1}, nil)
	for range 80 {
		commands := h.step(100 * time.Millisecond)
		assert.Equal(t, len(only[Upkeep](commands)), 0)
		for range only[Hold](commands) {
			h.s.HoldAnswered(h.now, Hold{VM: "one"}, Unanswered, job.Report{})
		}
	}
	h.lists("one", nil)
	assert.Equal(t, len(only[Upkeep](h.step(100*time.Millisecond))), 1)
}

// The machines list was asked for before the order for an upkeep was answered. It
// still shows the machine as up; the next one may go only when a later list does.
func TestOlderListDoesNotEndAnUpkeep(t *testing.T) {
	h := newHarness(t)
	list := func(asked time.Time, state job.MachineState) {
		h.s.Machines(asked, []job.Machine{
			{ID: "m-1", Pool: off, State: state}, {ID: "m-2", Pool: off, State: job.MachineUp},
		})
	}
	list(h.now, job.MachineUp)
	h.s.AddWave(h.now, job.Wave{Number: 1, Machines: []job.MachineID{"m-1", "m-2"}, AtOnce: 1}, nil)
	first := one[Upkeep](h, h.step(100*time.Millisecond))
	asked := h.now
	h.now = h.now.Add(10 * time.Millisecond)
	h.s.UpkeepAnswered(h.now, first, Answered, job.MachineAccepted)
	h.now = h.now.Add(3 * time.Second)
	list(asked, job.MachineUp)
	assert.Equal(t, len(only[Upkeep](h.step(10*time.Millisecond))), 0)
	list(h.now, job.MachineUp)
	second := one[Upkeep](h, h.step(10*time.Millisecond))
	assert.Assert(t, second.Machine != first.Machine)
}

// An order is refused as busy since an earlier one, whose answer was lost, is
// being carried out. The machine is away and counts against the wave's bound.
func TestBusyMachineCountsAsAway(t *testing.T) {
	h := newHarness(t)
	h.s.Machines(h.now, []job.Machine{
		{ID: "m-1", Pool: off, State: job.MachineUp}, {ID: "m-2", Pool: off, State: job.MachineUp},
	})
	h.s.AddWave(h.now, job.Wave{Number: 1, Machines: []job.MachineID{"m-1", "m-2"}, AtOnce: 1}, nil)
	first := one[Upkeep](h, h.step(100*time.Millisecond))
	h.s.UpkeepAnswered(h.now, first, Unanswered, job.MachineAccepted)
	again := one[Upkeep](h, h.step(time.Second))
	assert.Equal(t, again.Machine, first.Machine)
	h.s.UpkeepAnswered(h.now, again, Answered, job.MachineBusy)
	assert.Equal(t, len(only[Upkeep](h.step(time.Second))), 0)
}

// A lasting step may miss one task. One runs on a VM that has fallen silent, so
// the upkeep of another one's VM has to wait.
func TestUpkeepWaitsWhileATaskIsAway(t *testing.T) {
	h := newHarness(t)
	h.ready("one", "two")
	h.job("j", "free", job.Step{
		Count: 2, Room: job.Room{CPU: 1000}, Lasting: true, MaxPerVM: 1, MayMiss: 1, HasMayMiss: true,
	})
	starts := only[Start](h.step(0))
	assert.Equal(t, len(starts), 2)
	for _, c := range starts {
		h.confirm(c)
		h.lists(string(c.VM), []job.RunningTask{running(c, 100)})
	}
	h.s.Machines(h.now, []job.Machine{{ID: "m-one", Pool: poolA, State: job.MachineUp, VM: "one"}})
	for _, c := range only[Hold](h.step(time.Second)) {
		if c.VM == "two" {
			h.s.HoldAnswered(h.now, Hold{VM: "two"}, Unanswered, job.Report{})
		}
	}
	h.s.AddWave(h.now, job.Wave{Number: 1, Machines: []job.MachineID{"m-one"}, AtOnce: 1}, nil)
	assert.Equal(t, len(only[Stop](h.step(100*time.Millisecond))), 0)
	for _, c := range starts {
		if c.VM == "two" {
			h.lists("two", []job.RunningTask{running(c, 100)})
		}
	}
	assert.Equal(t, len(only[Stop](h.step(100*time.Millisecond))), 1)
}

// The first start on a VM is sent only once it is stored that the job may run
// there: a new owner that can't reach the VM must know that it has to wait.
func TestPlaceIsStoredBeforeTheStart(t *testing.T) {
	h := newHarness(t)
	h.ready("one")
	h.job("j", "free", small)
	h.s.Assign(h.now, h.now)
	commands := h.s.TakeCommands()
	assert.Equal(t, len(only[Start](commands)), 0)
	save := one[Save](h, commands)
	assert.DeepEqual(t, save.Progress.VMs, []job.VMID{"one"})
	h.s.SavesStored(h.now, save.Sequence)
	one[Start](h, h.s.TakeCommands())
}

// A new owner knows that a job may run on a VM out of reach, and that another may
// not. Only the first waits.
func TestOnlyJobsThatMayRunUnheardWait(t *testing.T) {
	h := newHarness(t)
	h.s.AddInheritedVM(RosterVM{ID: "dark", Address: "dark", Pool: poolA})
	h.ready("one")
	add := func(id string, vms ...job.VMID) {
		j := job.Job{ID: job.ID(id), Terms: job.Terms{Queue: "q", Pool: poolA}, Body: job.Body{Steps: []job.Step{small}}}
		h.s.AddJob(h.now, j, &job.Progress{State: job.Running, VMs: vms}, true)
	}
	add("there", "dark")
	add("elsewhere", "one")
	start := one[Start](h, h.step(0))
	assert.Equal(t, start.Order.Task.Job, job.ID("elsewhere"))
	h.now = h.now.Add(11 * time.Second)
	h.lists("one", []job.RunningTask{running(start, 10)})
	start = one[Start](h, h.step(0))
	assert.Equal(t, start.Order.Task.Job, job.ID("there"))
}

// An account has tasks on VMs that a new owner hasn't heard. They count against
// its cap until it is certain that they are over.
func TestUnheardTasksCountAgainstTheCap(t *testing.T) {
	h := newHarness(t)
	h.s.AddInheritedVM(RosterVM{ID: "dark", Address: "dark", Pool: poolA})
	h.ready("one")
	wide := job.Step{Count: 4, Room: job.Room{CPU: 1000}, Estimate: time.Second}
	j := job.Job{ID: "there", Terms: job.Terms{Queue: "q", Pool: poolA, Account: "capped"}, Body: job.Body{Steps: []job.Step{wide}}}
	h.s.AddJob(h.now, j, &job.Progress{State: job.Running, VMs: []job.VMID{"dark"}}, true)
	h.job("new", "capped", wide)
	assert.Equal(t, len(only[Start](h.step(0))), 1, "4 of 5 cores may be in use already")
}

// A former owner is cut off from the table but not from its VMs. It has seen the end of
// a step that the new owner hasn't, and starts the next one, which is wider. An account
// would have more running than it may if only the steps counted that the new owner
// knows to be next.
func TestLaterUnheardStepsCountAgainstTheCap(t *testing.T) {
	h := newHarness(t)
	h.s.AddInheritedVM(RosterVM{ID: "dark", Address: "dark", Pool: poolA})
	h.ready("one")
	room := job.Room{CPU: 1000}
	j := job.Job{ID: "there", Terms: job.Terms{Queue: "q", Pool: poolA, Account: "capped"}, Body: job.Body{Steps: []job.Step{
		{Count: 1, Room: room, Estimate: time.Second},
		{Count: 4, Room: room, Estimate: time.Second, After: []int{0}},
	}}}
	h.s.AddJob(h.now, j, &job.Progress{State: job.Running, VMs: []job.VMID{"dark"}}, true)
	h.job("new", "capped", job.Step{Count: 4, Room: room, Estimate: time.Second})
	assert.Equal(t, len(only[Start](h.step(0))), 1, "4 of 5 cores may be in use already")
}

// An owner doesn't reach the table for a second; another may have taken over and move
// lasting tasks for the same upkeep. If both did, more tasks of a step would be away
// than it may miss. What is to start still starts.
func TestOldProofMovesNoLastingTask(t *testing.T) {
	h := newHarness(t)
	h.ready("one", "two")
	lasting := job.Step{Count: 1, Room: job.Room{CPU: 1000}, Lasting: true, MayMiss: 1, HasMayMiss: true}
	h.job("j", "free", lasting)
	start := one[Start](h, h.step(0))
	h.confirm(start)
	h.lists(string(start.VM), []job.RunningTask{running(start, 100)})
	h.listMachinesOf("one", "two")
	h.s.AddWave(h.now, job.Wave{Number: 1, Machines: []job.MachineID{job.MachineID("m-" + start.VM)}, AtOnce: 1}, nil)
	h.s.SetRights(Rights{Start: true, Hold: true})
	assert.Equal(t, len(only[Stop](h.step(time.Second))), 0)
	h.job("new", "free", small)
	assert.Equal(t, len(only[Start](h.step(0))), 1)
	h.s.SetRights(Rights{Order: true, Start: true, Hold: true})
	assert.Equal(t, len(only[Stop](h.step(0))), 1)
}

// The same machine gets orders from two owners in a row. The second one waits
// until the first one's orders are long enough ago; other machines don't wait.
func TestMachineOfAFormerHolderWaits(t *testing.T) {
	h := newHarness(t)
	h.s = New(Settings{
		Fence: 5, TookOver: begin, MachineLease: 3 * time.Second, Holder: "here",
		FormerOrders: []MachineOrder{{Machine: "m-1", Holder: "there"}},
	})
	h.s.SetRights(Rights{Order: true, Start: true, Hold: true})
	h.s.Machines(h.now, []job.Machine{{ID: "m-1", State: job.MachineUp}, {ID: "m-2", State: job.MachineUp}})
	h.s.AddWave(h.now, job.Wave{Number: 1, Machines: []job.MachineID{"m-1", "m-2"}, AtOnce: 2}, nil)
	assert.Equal(t, one[Upkeep](h, h.step(time.Second)).Machine, job.MachineID("m-2"))
	assert.Equal(t, len(only[Upkeep](h.step(3*time.Second))), 0)
	assert.Equal(t, one[Upkeep](h, h.step(time.Second)).Machine, job.MachineID("m-1"))
}

// Jobs that fail use up their attempts and are shown as failed; an end that is
// listed again after a take-over counts once.
func TestFailedRunsAreCountedOnce(t *testing.T) {
	h := newHarness(t)
	h.ready("one", "two")
	h.job("j", "free", small)
	start := one[Start](h, h.step(0))
	h.confirm(start)
	end := job.End{Number: 1, Task: start.Order.Task, Attempt: start.Order.Attempt, How: job.EndedFailed}
	h.lists(string(start.VM), nil, end)
	end.Number = 2
	h.lists(string(start.VM), nil, end)
	second := one[Start](h, h.step(time.Second))
	assert.Assert(t, second.VM != start.VM, "the VM where it failed is shunned")
	h.confirm(second)
	h.lists(string(second.VM), nil, job.End{Number: 1, Task: second.Order.Task, Attempt: second.Order.Attempt, How: job.EndedFailed})
	saves := only[Save](h.step(0))
	assert.Equal(t, saves[len(saves)-1].Progress.State, job.Failed)
}

// A cancelled job's runs are stopped, again and again until they are gone, and
// nothing of it starts.
func TestCancelStopsWhatRuns(t *testing.T) {
	h := newHarness(t)
	h.ready("one")
	h.job("j", "free", job.Step{Count: 2, Room: job.Room{CPU: 5000}})
	start := one[Start](h, h.step(0))
	h.confirm(start)
	h.s.Cancel(h.now, "j")
	assert.Equal(t, one[Stop](h, h.step(0)).Attempt, start.Order.Attempt)
	assert.Equal(t, one[Stop](h, h.step(700*time.Millisecond)).Attempt, start.Order.Attempt)
	h.lists("one", nil, job.End{Number: 1, Task: start.Order.Task, Attempt: start.Order.Attempt, How: job.EndedStopped})
	commands := h.step(time.Second)
	assert.Equal(t, len(only[Stop](commands))+len(only[Start](commands)), 0)
}

// A former owner has ordered a lasting task's end and is gone. Until it has
// stopped, the VM lists the task as at work, and the new owner doesn't know of the
// order. Another task of its step must not be stopped meanwhile.
func TestUpkeepWaitsForStopsOfAFormerOwner(t *testing.T) {
	h := newHarness(t)
	h.ready("one", "two")
	lasting := job.Step{Count: 2, Room: job.Room{CPU: 1000}, Lasting: true, MaxPerVM: 1, MayMiss: 1, HasMayMiss: true}
	j := job.Job{ID: "j", Terms: job.Terms{Queue: "q", Pool: poolA}, Body: job.Body{Steps: []job.Step{lasting}}}
	h.s.AddJob(h.now, j, &job.Progress{State: job.Running, VMs: []job.VMID{"one", "two"}}, true)
	h.s.Machines(h.now, []job.Machine{{ID: "m-one", Pool: poolA, State: job.MachineUp, VM: "one"}})
	h.s.AddWave(h.now, job.Wave{Number: 1, Machines: []job.MachineID{"m-one"}, AtOnce: 1}, nil)
	list := func(ended ...job.End) {
		h.lists("one", []job.RunningTask{{Task: job.TaskID{Job: "j"}, Attempt: 7, Percent: 100}})
		var there []job.RunningTask
		if len(ended) == 0 {
			there = []job.RunningTask{{Task: job.TaskID{Job: "j", Index: 1}, Attempt: 7, Percent: 100}}
		}
		h.lists("two", there, ended...)
	}
	list()
	assert.Equal(t, len(only[Stop](h.step(100*time.Millisecond))), 0)
	list(job.End{Number: 1, Task: job.TaskID{Job: "j", Index: 1}, Attempt: 7, How: job.EndedStopped})
	assert.Equal(t, len(only[Stop](h.step(2*time.Second))), 0, "the other task is away")
}

// Rows of jobs that ended long ago go away, or each new owner would read all jobs
// that there ever were. Until then a repeated submission is still the same job.
func TestEndedJobsAreForgottenInTheEnd(t *testing.T) {
	h := newHarness(t)
	h.s.AddEndedJob(h.now, "old")
	assert.Equal(t, len(only[Forget](h.step(5*time.Minute))), 0)
	assert.Equal(t, one[Forget](h, h.step(7*time.Minute)).Job, job.ID("old"))
	assert.Equal(t, len(only[Forget](h.step(7*time.Minute))), 0)
}

// Two lasting tasks may not share a VM. Their pool has one; the other one's VMs
// stand idle. A machine comes, or one task would never run.
func TestPoolGetsVMsForLastingTasks(t *testing.T) {
	h := newHarness(t)
	h.ready("one")
	h.s.Machines(h.now, []job.Machine{
		{ID: "m-one", Pool: poolA, State: job.MachineUp, VM: "one", Room: job.Room{CPU: 8000}},
		{ID: "m-off", Pool: off, State: job.MachineUp, Room: job.Room{CPU: 8000}},
	})
	h.job("j", "free", job.Step{Count: 2, Room: job.Room{CPU: 1000}, Lasting: true, MaxPerVM: 1})
	commands := h.step(0)
	assert.Equal(t, len(only[Start](commands)), 1)
	assert.Equal(t, one[Move](h, commands), Move{Machine: "m-off", Pool: poolA})
}

// A serving task finds room only beside a filling one. As its tail nears its
// target the filling task is slowed, then halted, and sped up again once there is
// room, before users have waited too long for seconds on end.
func TestFillingTaskGivesWay(t *testing.T) {
	h := newHarness(t)
	h.ready("one")
	h.job("fill", "free", job.Step{Count: 1, Room: job.Room{CPU: 4000}, Fills: true, Estimate: time.Minute})
	fill := one[Start](h, h.step(0))
	h.confirm(fill)
	h.job("serve", "free", job.Step{Count: 1, Room: job.Room{CPU: 1000}, Lasting: true, TailTarget: 100 * time.Millisecond})
	serve := one[Start](h, h.step(0))
	h.confirm(serve)
	for _, x := range []struct {
		tail    int64
		percent int
	}{{75, 50}, {80, 25}, {95, 0}, {20, 20}, {20, 40}} {
		busy := running(serve, 100)
		busy.Load = x.tail
		h.now = h.now.Add(600 * time.Millisecond)
		h.lists("one", []job.RunningTask{busy, running(fill, 10)})
		assert.Equal(t, one[Pace](h, h.step(0)).Percent, x.percent)
	}
}

// Tasks that fill are not placed beside one that serves.
func TestFillingTaskKeepsAway(t *testing.T) {
	h := newHarness(t)
	h.ready("one")
	h.job("serve", "free", job.Step{Count: 1, Room: job.Room{CPU: 1000}, Lasting: true, TailTarget: 100 * time.Millisecond})
	h.confirm(one[Start](h, h.step(0)))
	h.job("fill", "free", job.Step{Count: 1, Room: job.Room{CPU: 4000}, Fills: true})
	assert.Equal(t, len(only[Start](h.step(0))), 0)
}

// Guards against a run that is freed by a list of the very millisecond in which its VM took the stop: it may have begun in between.
func TestListOfTheStopsMillisecondFreesNothing(t *testing.T) {
	h := newHarness(t)
	h.ready("one")
	h.job("j", "free", small)
	start := one[Start](h, h.step(0))
	h.s.StartAnswered(h.now, start, Unanswered, job.Report{})
	h.s.Cancel(h.now, "j")
	stop := one[Stop](h, h.step(0))
	h.s.StopAnswered(h.now, stop, Answered, job.Report{Clock: h.clock(), Born: 1})
	h.lists("one", nil)
	assert.Equal(t, h.s.vms.Get("one").runs.Len(), 1)
	h.now = h.now.Add(time.Millisecond)
	h.lists("one", nil)
	assert.Equal(t, h.s.vms.Get("one").runs.Len(), 0)
}
