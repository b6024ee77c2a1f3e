package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
	"lavenderpond/core/lease"
)

// Guards against late starts after a takeover because the new owner sends holds to hundreds of
// VMs that are gone before those that exist. No task starts on a VM before its first hold is
// answered.
func TestListedVMsAreHeldFirst(t *testing.T) {
	h := newHarness(t)
	h.s.AddInheritedVM(RosterVM{ID: "gone", Address: "gone", Pool: poolA, Machine: "m-gone"})
	h.s.AddInheritedVM(RosterVM{ID: "there", Address: "there", Pool: poolA, Machine: "m-there"})
	h.listVM("there")
	assert.Equal(t, string(onlyCommand[Hold](h, h.advance(0)).VM), "there")
	h.answerHold("there", nil)
	held := map[string]bool{}
	for _, c := range commandsOfType[Hold](h.advance(unlistedHoldDelay)) {
		held[string(c.VM)] = true
	}
	assert.Assert(t, held["gone"], "unlisted VM is never held, although it may still run tasks")
}

// Guards against a machine that gets orders from two owners within its lease because the first
// owner's order was sent late, after a slow save to the table, and against a machine that is
// blocked for longer than necessary.
func TestMachineOrderAgeCountsFromSending(t *testing.T) {
	h := newHarness(t)
	h.s.MachinesListed(h.now, []job.Machine{{ID: "m-1", Pool: poolOff, State: job.MachineUp}})
	h.s.AddWave(h.now, job.Wave{Number: 1, Machines: []job.MachineID{"m-1"}, MaxConcurrent: 1}, job.WaveProgress{})
	h.s.Tick(h.now)
	saves := h.s.TakeCommands()
	h.now = h.now.Add(4 * time.Second)
	for _, c := range saves {
		h.store(c)
	}
	onlyCommand[Maintain](h, h.s.TakeCommands())
	h.now = h.now.Add(h.s.recentOrderPeriod() - time.Second)
	h.s.pruneOrders(h.now)
	assert.Assert(t, h.s.recentOrders.Has("m-1"))
	h.now = h.now.Add(2 * time.Second)
	h.s.pruneOrders(h.now)
	assert.Assert(t, !h.s.recentOrders.Has("m-1"))
}

// Guards against a second run of a task. A machine list that lags behind shows the VM that the
// machine hosted before the one on which a former owner started the task.
func TestOutdatedMachineListFreesNoRun(t *testing.T) {
	old := job.Machine{ID: "m-one", Pool: poolA, State: job.MachineUp, VM: "former"}
	for name, order := range map[string][]string{
		"machine list before the directory": {"machines", "directory"},
		"machine list after the directory":  {"directory", "machines"},
	} {
		h := newHarness(t)
		h.s.AddInheritedVM(RosterVM{ID: "one", Address: "one", Pool: poolA, Machine: "m-one"})
		h.addReadyVMs("two")
		j := job.Job{ID: "j", Body: job.Body{Spec: "x", Steps: []job.Step{smallStep}}, Terms: job.Terms{Queue: "q", Pool: poolA, Account: "free"}}
		h.s.AddJob(h.now, j, &job.Progress{State: job.Running, VMs: []job.VMID{"one"}}, true)
		for _, what := range order {
			h.now = h.now.Add(100 * time.Millisecond)
			if what == "machines" {
				h.s.MachinesListed(h.now, []job.Machine{old})
			} else {
				h.listVM("one")
			}
			h.now = h.now.Add(100 * time.Millisecond)
		}
		assert.Equal(t, len(commandsOfType[Start](h.advance(0))), 0, name)
	}
}

// Guards against a job that waits for the end of a VM's lease although the VM's machine already
// hosts a newer VM.
func TestNewVMOnSameMachineFreesRunsOfPreviousVM(t *testing.T) {
	h := newHarness(t)
	h.s.AddInheritedVM(RosterVM{ID: "one", Address: "one", Pool: poolA, Machine: "m-one", Born: 1})
	h.addReadyVMs("two")
	j := job.Job{ID: "j", Body: job.Body{Spec: "x", Steps: []job.Step{smallStep}}, Terms: job.Terms{Queue: "q", Pool: poolA, Account: "free"}}
	h.s.AddJob(h.now, j, &job.Progress{State: job.Running, VMs: []job.VMID{"one"}}, true)
	h.listVM("one")
	h.s.VMListed(h.now, job.VMRecord{ID: "next", Pool: poolA, Address: "next", Machine: "m-one", Born: 2, Capacity: job.Resources{CPU: 8000, MemMB: 8000}})
	assert.Equal(t, len(commandsOfType[Start](h.advance(0))), 0)
	h.now = h.now.Add(100 * time.Millisecond)
	h.s.MachinesListed(h.now, []job.Machine{{ID: "m-one", Pool: poolA, State: job.MachineUp, VM: "next"}})
	assert.Equal(t, len(commandsOfType[Start](h.advance(0))), 1)
}

// Guards against a job that waits for a silent VM's lease without a sign of it in the log or the
// status.
func TestBlockedJobIsReported(t *testing.T) {
	h := newHarness(t)
	o := &decisionRecorder{}
	h.s.settings.Observer = o
	h.s.AddInheritedVM(RosterVM{ID: "lost", Address: "lost", Pool: poolA})
	h.addReadyVMs("one")
	j := job.Job{ID: "j", Terms: job.Terms{Queue: "q", Pool: poolA}, Body: job.Body{Steps: []job.Step{smallStep}}}
	h.s.AddJob(h.now, j, &job.Progress{State: job.Running, VMs: []job.VMID{"lost"}}, true)
	h.now = h.now.Add(unlistedHoldDelay)
	h.advance(0)
	h.s.HoldAnswered(h.now, Hold{VM: "lost"}, Unanswered, job.Report{})
	h.advance(0)
	wait := lease.InheritedLeaseEnd(startTime, h.s.settings.LeaseMax).Sub(h.now)
	silent, blocked := o.only(t, VMSilent), o.only(t, JobBlocked)
	assert.Equal(t, silent.Wait, wait)
	assert.Equal(t, silent.Age, time.Duration(0))
	assert.Equal(t, blocked.VM, job.VMID("lost"))
	st := h.s.Status(h.now, h.now)
	assert.Equal(t, st.Blocked, 1)
	assert.DeepEqual(t, st.Silent, []SilentVM{{VM: "lost", Unreported: true, LeaseOver: h.now.Add(wait)}})
}

// Guards against a second run on a VM that answers a new owner once and is silent before its lease
// is extended: the former owner's lease still lasts.
func TestFormerLeaseLastsOnVMThatAnsweredOnce(t *testing.T) {
	h := newHarness(t)
	h.s.AddInheritedVM(RosterVM{ID: "one", Address: "one", Pool: poolA, Machine: "m-one", Born: 1})
	h.s.SetRights(Rights{OrderMachines: true, StartTasks: true})
	h.addReadyVMs("two")
	j := job.Job{ID: "j", Terms: job.Terms{Queue: "q", Pool: poolA, Account: "free"}, Body: job.Body{Steps: []job.Step{smallStep}}}
	h.s.AddJob(h.now, j, &job.Progress{State: job.Running, VMs: []job.VMID{"one"}}, true)
	h.listVM("one")
	h.answerHold("one", []job.RunningTask{{Task: job.TaskID{Job: "j"}, Attempt: 3}})
	h.s.SetRights(Rights{OrderMachines: true, StartTasks: true, ExtendLeases: true})
	h.s.HoldAnswered(h.now, Hold{VM: "one"}, Unanswered, job.Report{})
	answered := h.now
	for h.now.Sub(answered) < h.s.formerLease() {
		h.answerHold("two", nil)
		assert.Equal(t, len(commandsOfType[Start](h.advance(100*time.Millisecond))), 0, "after %s", h.now.Sub(answered))
	}
}

// Guards against a task that runs twice: a start of a former owner reaches a VM that has just
// restarted, which then grants its longest lease.
func TestRestartedVMMayHoldLongestLease(t *testing.T) {
	h := newHarness(t)
	h.s.settings.LeaseMax, h.s.settings.FormerLease = 10*time.Second, 6*time.Second
	h.s.AddInheritedVM(RosterVM{ID: "one", Address: "one", Pool: poolA, Machine: "m-one", Born: 1})
	h.listVM("one")
	before := h.s.vms.Get("one").inheritedUntil
	h.s.VMListed(h.now, job.VMRecord{ID: "one", Pool: poolA, Address: "one", Machine: "m-one", Born: 2})
	assert.Assert(t, h.s.vms.Get("one").inheritedUntil.Sub(before) > 4*time.Second)
}

// Guards against leases that keep tasks away for as long as VMs allow, when a VM is lost.
func TestOwnerGrantsBoundedLeases(t *testing.T) {
	h := newHarness(t)
	h.s.settings.LeaseMax = 10 * time.Second
	h.addReadyVMs("one")
	h.answerHold("one", nil)
	hold := onlyCommand[Hold](h, h.advance(50*time.Millisecond))
	assert.Assert(t, hold.Order.Deadline <= h.clock()+6000, "deadline %d at %d", hold.Order.Deadline, h.clock())
}

// Guards against a machine that two owners order within its lease: the first one forgets the order
// while it waits for its save, and sends it afterwards.
func TestOrderThatWaitsForItsSaveIsNotForgotten(t *testing.T) {
	h := newHarness(t)
	h.s.MachinesListed(h.now, []job.Machine{{ID: "m-1", Pool: poolOff, State: job.MachineUp}})
	h.s.AddWave(h.now, job.Wave{Number: 1, Machines: []job.MachineID{"m-1"}, MaxConcurrent: 1}, job.WaveProgress{})
	h.s.Tick(h.now)
	saves := h.s.TakeCommands()
	for end := h.now.Add(2 * h.s.recentOrderPeriod()); h.now.Before(end); {
		h.now = h.now.Add(200 * time.Millisecond)
		h.s.Tick(h.now)
		assert.Equal(t, len(commandsOfType[DropOrder](h.s.TakeCommands())), 0)
	}
	for _, c := range saves {
		h.store(c)
	}
	assert.Equal(t, len(commandsOfType[Maintain](h.s.TakeCommands())), 1)
}
