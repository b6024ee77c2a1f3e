package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// Guards against a start that each VM rejects, is repeated unchanged, and keeps other tasks from one VM after another.
func TestRejectedStartStopsOnlyItsTask(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("v1")
	step := job.Step{Count: 1, Resources: job.Resources{CPU: 1000}, Estimate: time.Second}
	h.addJob("rejected", "free", step)
	h.s.StartAnswered(h.now, onlyCommand[Start](h, h.advance(0)), Rejected, job.Report{})
	h.addJob("other", "free", step)
	other := onlyCommand[Start](h, h.advance(0))
	assert.Equal(t, other.Order.Task.Job, job.ID("other"))
	h.confirm(other)
	starts := 0
	for range 20 {
		h.now = h.now.Add(500 * time.Millisecond)
		h.answerHold("v1", []job.RunningTask{runningTask(other, 50)})
		for _, c := range commandsOfType[Start](h.advance(0)) {
			h.s.StartAnswered(h.now, c, Rejected, job.Report{})
			starts++
		}
	}
	assert.Equal(t, starts, 1, "one more start in ten seconds")
}

// Guards against an order for a machine that is rejected and repeated unchanged in each round.
func TestRejectedMaintenanceIsRepeatedRarely(t *testing.T) {
	h := newHarness(t)
	h.listStandby(map[job.MachineID]job.MachineState{"m": job.MachineUp})
	h.s.AddWave(h.now, job.Wave{Number: 1, Machines: []job.MachineID{"m"}, MaxConcurrent: 1}, job.WaveProgress{})
	orders := 0
	for range 40 {
		for _, c := range commandsOfType[Maintain](h.advance(500 * time.Millisecond)) {
			h.s.MaintainAnswered(h.now, c, Rejected, job.MachineAccepted)
			orders++
		}
	}
	assert.Equal(t, orders, 2, "two orders in twenty seconds")
}
