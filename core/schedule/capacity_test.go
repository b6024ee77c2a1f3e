package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// entryOf returns the directory entry of a VM with the given CPU.
func entryOf(id string, cpu int64, born job.Born) job.VMRecord {
	return job.VMRecord{
		ID: job.VMID(id), Pool: poolA, Address: id, Capacity: job.Resources{CPU: cpu, MemMB: 8000},
		Machine: job.MachineID("m-" + id), Born: born,
	}
}

// resize updates the directory entry of a VM whose capacity has changed.
func (h *harness) resize(id string, cpu int64) { h.s.VMListed(h.now, entryOf(id, cpu, 1)) }

// Guards against sending a planned start after the VM has shrunk while the save was pending.
func TestPlannedStartIsSentOnlyIfItFits(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.addJob("j", "free", smallStep)
	saves := h.roundWithoutStoring(0)
	h.resize("one", 500)
	for _, c := range saves {
		h.store(c)
	}
	assert.Equal(t, len(commandsOfType[Start](h.s.TakeCommands())), 0)
	assert.Equal(t, len(commandsOfType[Start](h.advance(0))), 0)
	h.resize("one", 8000)
	onlyCommand[Start](h, h.advance(0))
}

// Guards against starting tasks beside a run of an unknown job. The run's reservation is
// unknown, so nothing may start on the VM until the run has ended.
func TestRunOfUnknownJobBlocksStarts(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	unknown := job.RunningTask{Task: job.TaskID{Job: "unknown"}, Attempt: 7}
	h.answerHold("one", []job.RunningTask{unknown})
	onlyCommand[Stop](h, h.advance(0))
	h.addJob("j", "free", smallStep)
	assert.Equal(t, len(commandsOfType[Start](h.advance(0))), 0)
	h.now = h.now.Add(100 * time.Millisecond)
	h.answerHold("one", nil, job.End{Number: 1, Task: unknown.Task, Attempt: 7, How: job.EndedStopped})
	onlyCommand[Start](h, h.advance(0))
}

// Guards against starts that rely on the capacity and labels that a VM had before it restarted.
func TestRestartedVMAcceptsTasksOnceListed(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.now = h.now.Add(time.Second)
	restarted := job.Report{Clock: 10, Born: 2, Lists: true}
	h.s.HoldAnswered(h.now, Hold{VM: "one"}, Answered, restarted)
	h.addJob("j", "free", smallStep)
	assert.Equal(t, len(commandsOfType[Start](h.advance(0))), 0)
	h.resize("one", 8000)
	assert.Equal(t, len(commandsOfType[Start](h.advance(0))), 0, "task started although the directory entry is from before the restart")
	h.s.VMListed(h.now, entryOf("one", 8000, 2))
	onlyCommand[Start](h, h.advance(0))
}

// Guards against starts that are refused again and again because the owner learns late that a
// VM has shrunk.
func TestRefusedStartsBackOff(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.addJob("j", "free", smallStep)
	refused := 0
	for range 100 {
		for _, c := range commandsOfType[Start](h.advance(100 * time.Millisecond)) {
			refused++
			h.s.StartAnswered(h.now, c, Answered, job.Report{Clock: h.clock(), Born: 1, Refused: job.RefusedCapacity})
		}
	}
	assert.Assert(t, refused <= 10, "%d starts refused within 10 s", refused)
	h.resize("one", 4000)
	onlyCommand[Start](h, h.advance(0))
}

// listRunningAndStandbyMachine lists the machine of the VM "one" and a machine that is off.
func (h *harness) listRunningAndStandbyMachine() {
	h.s.MachinesListed(h.now, []job.Machine{
		{ID: "m-one", Pool: poolA, State: job.MachineUp, VM: "one", Capacity: job.Resources{CPU: 8000}},
		{ID: "m-off", Pool: poolOff, State: job.MachineUp, Capacity: job.Resources{CPU: 8000}},
	})
}

// Guards against a pool that gets no machine although one of its long-running tasks finds no
// capacity. The step doesn't limit its tasks per VM, so only the waiting task shows the need.
func TestPoolGetsVMForLongRunningTaskWithoutPerVMLimit(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.listRunningAndStandbyMachine()
	h.addJob("j", "free", job.Step{Count: 2, Resources: job.Resources{CPU: 5000}, LongRunning: true})
	h.confirm(onlyCommand[Start](h, h.advance(0)))
	assert.Equal(t, onlyCommand[Move](h, h.advance(longRunningWaitThreshold+sizingInterval)).Machine, job.MachineID("m-off"))
}

// Guards against a pool that gets no machine although a long-running task fits on none of its
// VMs since they have shrunk.
func TestPoolGetsVMWhenItsOwnVMsHaveShrunk(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.listRunningAndStandbyMachine()
	h.resize("one", 1000)
	h.addJob("j", "free", job.Step{Count: 1, Resources: job.Resources{CPU: 2000}, LongRunning: true})
	assert.Equal(t, onlyCommand[Move](h, h.advance(longRunningWaitThreshold+sizingInterval)).Machine, job.MachineID("m-off"))
}

// Guards against planning moves with the capacity in the machine list, which lags behind the
// capacity that the VM has.
func TestIdleMachineCapacityComesFromItsVM(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.s.MachinesListed(h.now, []job.Machine{
		{ID: "m-one", Pool: poolA, State: job.MachineUp, VM: "one", Capacity: job.Resources{CPU: 1000}},
	})
	idle := h.s.idleMachines(h.now)
	assert.Equal(t, len(idle), 1)
	assert.Equal(t, idle[0].CPU, int64(8000))
	h.resize("one", 0)
	assert.Equal(t, len(h.s.idleMachines(h.now)), 0, "machine without capacity counts as idle")
}

// Guards against starts on VMs that may have shrunk since the directory was last read.
func TestOutdatedDirectoryAllowsStartsOnlyIfCapacityIsEnforced(t *testing.T) {
	for _, enforced := range []bool{false, true} {
		h := newHarness(t)
		h.s.settings.ShrinkNotice = 3 * time.Second
		h.s.config.Pool(poolA).EnforcesCapacity = enforced
		h.addReadyVMs("one")
		h.s.DirectoryRead(h.now)
		h.addJob("j", "free", smallStep)
		onlyCommand[Start](h, h.advance(0))
		h.now = h.now.Add(2500 * time.Millisecond)
		h.answerHold("one", nil)
		h.addJob("k", "free", smallStep)
		assert.Equal(t, len(commandsOfType[Start](h.advance(0))) > 0, enforced)
		h.addJob("l", "free", smallStep)
		h.s.DirectoryRead(h.now)
		assert.Assert(t, len(commandsOfType[Start](h.advance(0))) > 0)
	}
}

// Guards against a large task that every VM refuses and that keeps small ones waiting.
func TestSmallTasksStartWhereLargeOneIsRefused(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one", "two")
	h.addJob("large", "free", job.Step{Count: 2, Resources: job.Resources{CPU: 8000, MemMB: 100}, Estimate: time.Second})
	submitted := map[job.ID]time.Time{}
	ends := map[job.VMID]int64{}
	for i := range 200 {
		if i%4 == 0 {
			id := job.ID(fmt.Sprintf("small-%d", i))
			submitted[id] = h.now
			h.addJob(string(id), "free", job.Step{Count: 1, Resources: job.Resources{CPU: 10, MemMB: 1}, Estimate: time.Minute})
		}
		for _, c := range commandsOfType[Start](h.advance(50 * time.Millisecond)) {
			if c.Order.Task.Job == "large" {
				h.s.StartAnswered(h.now, c, Answered, job.Report{Clock: h.clock(), Born: 1, Refused: job.RefusedCapacity})
				continue
			}
			waited := h.now.Sub(submitted[c.Order.Task.Job])
			assert.Assert(t, waited <= 200*time.Millisecond, "%s waited for %s", c.Order.Task.Job, waited)
			ends[c.VM]++
			h.confirm(c)
			h.answerHold(string(c.VM), nil, job.End{Number: ends[c.VM], Task: c.Order.Task, Attempt: c.Order.Attempt, How: job.EndedDone})
		}
	}
}
