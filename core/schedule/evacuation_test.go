package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// addReadyVMIn brings up a VM in an availability zone and returns the commands that follow.
func (h *harness) addReadyVMIn(zone job.ZoneName, id string) []Command {
	h.listVMInZone(id, zone)
	h.advance(0)
	h.answerHold(id, nil)
	return h.advance(30 * time.Millisecond)
}

// Guards against starts in an evacuated zone, including starts on VMs that are listed there
// after the evacuation.
func TestNothingStartsInAnEvacuatedZone(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMIn("east", "one")
	h.s.SetEvacuatedZones([]job.ZoneName{"east"})
	h.addReadyVMIn("east", "two")
	h.addJob("j", "free", smallStep)
	assert.Equal(t, len(commandsOfType[Start](h.advance(time.Second))), 0)
	assert.Equal(t, onlyCommand[Start](h, h.addReadyVMIn("west", "three")).VM, job.VMID("three"))
	h.s.SetEvacuatedZones(nil)
	h.addJob("k", "free", job.Step{Count: 1, Resources: job.Resources{CPU: 8000, MemMB: 100}})
	assert.Equal(t, len(commandsOfType[Start](h.advance(0))), 1, "no start after the evacuation ended")
}

// Guards against sending a start that was planned before the evacuation and waits for its save.
func TestPlannedStartIsNotSentIntoAnEvacuatedZone(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMIn("east", "one")
	h.addJob("j", "free", smallStep)
	h.s.Tick(h.now)
	h.s.Assign(h.now, h.now)
	commands := h.s.TakeCommands()
	assert.Equal(t, len(commandsOfType[Start](commands)), 0, "start sent before its save is stored")
	h.s.SetEvacuatedZones([]job.ZoneName{"east"})
	for _, c := range commands {
		h.store(c)
	}
	assert.Equal(t, len(commandsOfType[Start](h.advance(0))), 0)
	assert.Equal(t, onlyCommand[Start](h, h.addReadyVMIn("west", "two")).VM, job.VMID("two"))
}

// Guards against long-running tasks that stay in an evacuated zone, that are stopped before
// there is capacity elsewhere, or that are stopped beyond the disruption budget of their step.
func TestLongRunningTasksLeaveEvacuatedZone(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMIn("east", "one")
	h.addReadyVMIn("east", "two")
	h.addJob("l", "free", job.Step{
		Count: 2, Resources: job.Resources{CPU: 6000, MemMB: 100}, LongRunning: true, MaxPerVM: 1, DisruptionBudget: 1, HasDisruptionBudget: true,
	})
	starts := commandsOfType[Start](h.advance(0))
	assert.Equal(t, len(starts), 2)
	for _, c := range starts {
		h.confirm(c)
		h.answerHold(string(c.VM), []job.RunningTask{runningTask(c, 100)})
	}
	h.s.SetEvacuatedZones([]job.ZoneName{"east"})
	assert.Equal(t, len(commandsOfType[Stop](h.advance(100*time.Millisecond))), 0, "task stopped although no VM elsewhere has room")
	h.addReadyVMIn("west", "three")
	h.addReadyVMIn("west", "four")
	first := h.stoppingRuns()
	assert.Equal(t, len(first), 1, "want one task stopped at a time")
	h.advance(300 * time.Millisecond)
	h.answerHold(string(first[0].vm.id), nil, job.End{Number: 1, Task: first[0].task, Attempt: first[0].attempt, How: job.EndedStopped})
	h.answerProbe(onlyCommand[Hold](h, h.advance(0)))
	again := onlyCommand[Start](h, h.advance(0))
	assert.Assert(t, again.VM == "three" || again.VM == "four", again.VM)
	h.confirm(again)
	h.answerHold(string(again.VM), []job.RunningTask{runningTask(again, 40)})
	h.advance(50 * time.Millisecond)
	assert.Equal(t, len(h.stoppingRuns()), 0, "second task stopped before the first is fully running")
	h.answerHold(string(again.VM), []job.RunningTask{runningTask(again, 100)})
	h.advance(50 * time.Millisecond)
	assert.Equal(t, len(h.stoppingRuns()), 1)
}

// stoppingRuns returns the runs that were ordered to stop.
func (h *harness) stoppingRuns() []*run {
	var out []*run
	for _, v := range h.s.vms.All() {
		for _, r := range v.runs.All() {
			if r.stopping {
				out = append(out, r)
			}
		}
	}
	return out
}

// Guards against counting VMs of an evacuated zone as capacity, and against moving its
// machines, which adds none.
func TestEvacuatedZoneAddsNoCapacity(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMIn("east", "one")
	h.addReadyVMIn("west", "two")
	h.s.MachinesListed(h.now, []job.Machine{
		{ID: "m-one", Pool: poolA, State: job.MachineUp, Zone: "east", VM: "one", Capacity: job.Resources{CPU: 8000}},
		{ID: "m-two", Pool: poolA, State: job.MachineUp, Zone: "west", VM: "two", Capacity: job.Resources{CPU: 8000}},
		{ID: "m-off-east", Pool: poolOff, State: job.MachineUp, Zone: "east", Capacity: job.Resources{CPU: 8000}},
		{ID: "m-off-west", Pool: poolOff, State: job.MachineUp, Zone: "west", Capacity: job.Resources{CPU: 8000}},
	})
	h.s.SetEvacuatedZones([]job.ZoneName{"east"})
	capacity := h.s.poolCapacity(h.now)
	assert.Equal(t, capacity.available[poolA], int64(8000))
	h.addJob("j", "free", job.Step{Count: 40, Resources: job.Resources{CPU: 1000, MemMB: 10}, Estimate: time.Second})
	var moved []job.MachineID
	for range 10 {
		for _, m := range commandsOfType[Move](h.advance(100 * time.Millisecond)) {
			moved = append(moved, m.Machine)
		}
	}
	assert.DeepEqual(t, moved, []job.MachineID{"m-off-west"})
}
