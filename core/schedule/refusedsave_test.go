package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// saveOf returns the last save of a job's progress.
func saveOf(h *harness, commands []Command, id job.ID) Save {
	h.t.Helper()
	var last Save
	for _, c := range commandsOfType[Save](commands) {
		if c.Job == id {
			last = c
		}
	}
	assert.Equal(h.t, last.Job, id, "no save of the job")
	return last
}

// round runs one round and stores its saves, but for those of the refused job.
func (h *harness) round(refused job.ID) []Command {
	h.s.Tick(h.now)
	h.s.Assign(h.now, h.now)
	commands := h.s.TakeCommands()
	for _, c := range commands {
		if x, ok := c.(Save); ok && x.Job == refused {
			h.s.SaveRefused(h.now, c)
		}
	}
	for _, c := range commands {
		h.store(c)
	}
	return append(commands, h.s.TakeCommands()...)
}

// Guards against starting a task that the next owner doesn't know of, and against a refused job that keeps others waiting.
func TestRefusedSaveStopsOnlyItsJob(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("v1", "v2")
	step := job.Step{Count: 1, Resources: job.Resources{CPU: 1000}, Estimate: time.Second}
	h.addJob("refused", "free", step)
	h.addJob("other", "free", step)
	var starts []Start
	for range 4 {
		starts = append(starts, commandsOfType[Start](h.round("refused"))...)
	}
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Task.Job, job.ID("other"))

	h.now = h.now.Add(minRefusedSaveDelay)
	h.answerHold("v1", nil)
	h.answerHold("v2", nil)
	starts = nil
	for range 4 {
		starts = append(starts, commandsOfType[Start](h.round(""))...)
	}
	assert.Equal(t, len(starts), 1, "the job starts once it is stored")
	assert.Equal(t, starts[0].Order.Task.Job, job.ID("refused"))
}

// Guards against acknowledging an end that isn't stored, after which the next owner runs the task again.
func TestEndOfRefusedJobIsNotAcknowledged(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("v1")
	h.addJob("j", "free", job.Step{Count: 2, Resources: job.Resources{CPU: 1000}, Estimate: time.Second})
	starts := commandsOfType[Start](h.advance(0))
	assert.Equal(t, len(starts), 2)
	h.now = h.now.Add(time.Second)
	h.confirm(starts[0])
	h.confirm(starts[1])
	h.answerHold("v1", []job.RunningTask{runningTask(starts[1], 50)}, job.End{Number: 1, Task: starts[0].Order.Task, Attempt: starts[0].Order.Attempt, How: job.EndedDone})
	assert.Equal(t, len(saveOf(h, h.round("j"), "j").Progress.Done), 1)
	assert.Equal(t, h.s.vms.Get("v1").acknowledgedEnd, int64(0))
	h.now = h.now.Add(minRefusedSaveDelay)
	h.round("")
	assert.Equal(t, h.s.vms.Get("v1").acknowledgedEnd, int64(1), "the end is acknowledged once it is stored")
}

// Guards against a write that is repeated in each round although the table refuses it for good.
func TestRefusedSaveIsRepeatedWithGrowingPauses(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("v1")
	h.addJob("j", "free", job.Step{Count: 1, Resources: job.Resources{CPU: 1000}, Estimate: time.Second})
	const period = time.Minute
	saves := 0
	for end := h.now.Add(period); h.now.Before(end); h.now = h.now.Add(50 * time.Millisecond) {
		h.answerHold("v1", nil)
		for _, c := range h.round("j") {
			if _, ok := c.(Save); ok {
				saves++
			}
		}
	}
	// Pauses of 2, 4, 8, 16 and 32 s fit into the period.
	assert.Assert(t, saves <= 6, "%d saves", saves)
}

// Guards against tasks on a VM that the next owner wouldn't know of.
func TestVMWithRefusedEntryGetsNoTasks(t *testing.T) {
	h := newHarness(t)
	h.listVM("v1")
	h.s.Tick(h.now)
	for _, c := range h.s.TakeCommands() {
		if _, ok := c.(SaveVM); ok {
			h.s.SaveRefused(h.now, c)
		}
		h.store(c)
	}
	h.answerHold("v1", nil)
	h.addJob("j", "free", job.Step{Count: 1, Resources: job.Resources{CPU: 1000}, Estimate: time.Second})
	commands := h.advance(30 * time.Millisecond)
	assert.Equal(t, len(commandsOfType[Start](commands)), 0)
	assert.Equal(t, onlyCommand[Hold](h, commands).Order.Deadline, job.VMClock(0), "its lease isn't extended")
}

// Guards against an order for a machine of which the next owner wouldn't know.
func TestMachineOrderWithRefusedSaveIsWithdrawn(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("v1")
	h.s.MachinesListed(h.now, []job.Machine{{ID: "m-v1", Pool: poolA, State: job.MachineUp, VM: "v1"}})
	h.s.AddWave(h.now, job.Wave{Number: 1, Machines: []job.MachineID{"m-v1"}, MaxConcurrent: 1}, job.WaveProgress{})
	h.s.Tick(h.now)
	commands := h.s.TakeCommands()
	order := onlyCommand[SaveOrder](h, commands)
	h.s.SaveRefused(h.now, order)
	for _, c := range commands {
		h.store(c)
	}
	assert.Equal(t, len(commandsOfType[Maintain](h.s.TakeCommands())), 0)
	assert.Equal(t, len(h.s.pendingOrders), 0)
}
