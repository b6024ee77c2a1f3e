package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// listStandby lists machines without VMs in the given states.
func (h *harness) listStandby(states map[job.MachineID]job.MachineState) {
	var list []job.Machine
	for id, state := range states {
		list = append(list, job.Machine{ID: id, Pool: poolOff, State: state})
	}
	h.s.MachinesListed(h.now, list)
}

// maintain answers an order as accepted and lists its machine in maintenance.
func (h *harness) maintain(c Maintain) {
	h.s.MaintainAnswered(h.now, c, Answered, job.MachineAccepted)
	h.now = h.now.Add(100 * time.Millisecond)
	h.listStandby(map[job.MachineID]job.MachineState{c.Machine: job.MachineMaintenance})
}

// published returns the last state of the wave among the commands, or -1 if there is none.
func published(commands []Command, wave int64) job.WaveState {
	state := job.WaveState(-1)
	for _, c := range commandsOfType[PublishWave](commands) {
		if c.Wave == wave {
			state = c.State
		}
	}
	return state
}

// Guards against a wave that is published as completed although a machine was only in maintenance for another wave.
func TestMaintenanceForOneWaveCompletesNoOther(t *testing.T) {
	h := newHarness(t)
	up := map[job.MachineID]job.MachineState{"m": job.MachineUp}
	h.listStandby(up)
	h.s.AddWave(h.now, job.Wave{Number: 1, Machines: []job.MachineID{"m"}, MaxConcurrent: 1}, job.WaveProgress{})
	h.maintain(onlyCommand[Maintain](h, h.advance(0)))
	h.s.AddWave(h.now, job.Wave{Number: 2, Machines: []job.MachineID{"m"}, MaxConcurrent: 1}, job.WaveProgress{})
	h.advance(100 * time.Millisecond)
	h.now = h.now.Add(2 * time.Second)
	h.listStandby(up)
	commands := h.advance(10 * time.Millisecond)
	assert.Equal(t, published(commands, 1), job.WaveCompleted)
	assert.Equal(t, published(commands, 2), job.WaveState(-1))
	second := onlyCommand[Maintain](h, commands)
	assert.Equal(t, second.Wave, int64(2))
	h.maintain(second)
	h.now = h.now.Add(2 * time.Second)
	h.listStandby(up)
	assert.Equal(t, published(h.advance(10*time.Millisecond), 2), job.WaveCompleted)
}

// Guards against the answer to one wave's order that is taken for that of another.
func TestMachineOfTwoWavesHasOneOrderAtATime(t *testing.T) {
	h := newHarness(t)
	h.listStandby(map[job.MachineID]job.MachineState{"m": job.MachineUp})
	for wave := range int64(2) {
		h.s.AddWave(h.now, job.Wave{Number: wave + 1, Machines: []job.MachineID{"m"}, MaxConcurrent: 1}, job.WaveProgress{})
	}
	first := onlyCommand[Maintain](h, h.advance(0))
	h.s.MaintainAnswered(h.now, first, Unanswered, job.MachineAccepted)
	for range 5 {
		for _, c := range commandsOfType[Maintain](h.advance(time.Second)) {
			assert.Equal(t, c, first, "the order is repeated until its outcome is known")
			h.s.MaintainAnswered(h.now, c, Unanswered, job.MachineAccepted)
		}
	}
}

// Guards against a refusal that is forgotten because another wave orders the machine meanwhile.
func TestRefusedMaintenanceIsOrderedAgain(t *testing.T) {
	h := newHarness(t)
	h.listStandby(map[job.MachineID]job.MachineState{"m": job.MachineUp})
	h.s.AddWave(h.now, job.Wave{Number: 1, Machines: []job.MachineID{"m"}, MaxConcurrent: 1}, job.WaveProgress{})
	first := onlyCommand[Maintain](h, h.advance(0))
	h.s.MaintainAnswered(h.now, first, Answered, job.MachineBusy)
	h.s.AddWave(h.now, job.Wave{Number: 2, Machines: []job.MachineID{"m"}, MaxConcurrent: 1}, job.WaveProgress{})
	waves := map[int64]bool{}
	for range 10 {
		h.now = h.now.Add(time.Second)
		h.listStandby(map[job.MachineID]job.MachineState{"m": job.MachineUp})
		commands := h.advance(10 * time.Millisecond)
		for _, wave := range []int64{1, 2} {
			assert.Assert(t, published(commands, wave) != job.WaveCompleted || waves[wave], "wave %d", wave)
		}
		for _, c := range commandsOfType[Maintain](commands) {
			waves[c.Wave] = true
			h.s.MaintainAnswered(h.now, c, Answered, job.MachineAccepted)
		}
	}
	assert.DeepEqual(t, waves, map[int64]bool{1: true, 2: true})
}

// Guards against a new owner that exceeds a wave's limit, or repeats a maintenance, since it doesn't know for which wave a machine is in maintenance.
func TestNewOwnerContinuesStoredMaintenance(t *testing.T) {
	h := newHarness(t)
	wave := job.Wave{Number: 1, Machines: []job.MachineID{"m-1", "m-2"}, MaxConcurrent: 1}
	h.s.AddWave(h.now, wave, job.WaveProgress{Ordered: []job.MachineID{"m-1"}})
	h.s.AddWave(h.now, job.Wave{Number: 2, Machines: []job.MachineID{"m-1"}, MaxConcurrent: 1}, job.WaveProgress{})
	h.advance(0)
	h.listStandby(map[job.MachineID]job.MachineState{"m-1": job.MachineMaintenance, "m-2": job.MachineUp})
	assert.Equal(t, len(commandsOfType[Maintain](h.advance(time.Second))), 0)
	h.listStandby(map[job.MachineID]job.MachineState{"m-1": job.MachineUp, "m-2": job.MachineUp})
	repeated := onlyCommand[Maintain](h, h.advance(10*time.Millisecond))
	assert.Equal(t, repeated, Maintain{Machine: "m-1", Wave: 1}, "only its answer tells for which wave the machine was away")
	h.s.MaintainAnswered(h.now, repeated, Answered, job.MachineAccepted)
	assert.Equal(t, len(commandsOfType[Maintain](h.advance(time.Second))), 0)
	h.now = h.now.Add(machineListLagMax)
	h.listStandby(map[job.MachineID]job.MachineState{"m-1": job.MachineUp, "m-2": job.MachineUp})
	orders := commandsOfType[Maintain](h.advance(10 * time.Millisecond))
	assert.DeepEqual(t, orders, []Maintain{{Machine: "m-2", Wave: 1}, {Machine: "m-1", Wave: 2}})
}

// Guards against a stored order that was never sent, or is executed late, and is taken for a complete maintenance.
func TestNewOwnerRepeatsUncertainMaintenance(t *testing.T) {
	h := newHarness(t)
	h.s.AddWave(h.now, job.Wave{Number: 1, Machines: []job.MachineID{"m-1", "m-2"}, MaxConcurrent: 1}, job.WaveProgress{Ordered: []job.MachineID{"m-1"}})
	h.listStandby(map[job.MachineID]job.MachineState{"m-1": job.MachineUp, "m-2": job.MachineUp})
	order := onlyCommand[Maintain](h, h.advance(time.Second))
	assert.Equal(t, order.Machine, job.MachineID("m-1"))
	h.s.MaintainAnswered(h.now, order, NotDone, job.MachineAccepted)
	assert.Equal(t, len(commandsOfType[Maintain](h.advance(time.Second))), 0, "the former owner's order may still be executed")
	h.listStandby(map[job.MachineID]job.MachineState{"m-1": job.MachineUp, "m-2": job.MachineUp})
	assert.Equal(t, onlyCommand[Maintain](h, h.advance(time.Second)).Machine, job.MachineID("m-1"))
}

// Guards against a wave's limit that is exceeded, or a wave that is completed, by a machine whose maintenance nobody has stored.
func TestUnattributedMaintenanceCountsAndCompletesNothing(t *testing.T) {
	h := newHarness(t)
	for wave := range int64(2) {
		h.s.AddWave(h.now, job.Wave{Number: wave + 1, Machines: []job.MachineID{"m-1", "m-2"}, MaxConcurrent: 1}, job.WaveProgress{})
	}
	h.listStandby(map[job.MachineID]job.MachineState{"m-1": job.MachineMaintenance, "m-2": job.MachineUp})
	assert.Equal(t, len(commandsOfType[Maintain](h.advance(time.Second))), 0)
	h.listStandby(map[job.MachineID]job.MachineState{"m-1": job.MachineUp, "m-2": job.MachineUp})
	orders := commandsOfType[Maintain](h.advance(time.Second))
	assert.DeepEqual(t, orders, []Maintain{{Machine: "m-1", Wave: 1}, {Machine: "m-2", Wave: 2}})
}

// Guards against an order that is sent before the next owner can know of it.
func TestMaintenanceIsStoredBeforeItsOrder(t *testing.T) {
	h := newHarness(t)
	h.listStandby(map[job.MachineID]job.MachineState{"m": job.MachineUp})
	h.s.AddWave(h.now, job.Wave{Number: 3, Machines: []job.MachineID{"m"}, MaxConcurrent: 1}, job.WaveProgress{})
	h.s.Tick(h.now)
	commands := h.s.TakeCommands()
	assert.Equal(t, len(commandsOfType[Maintain](commands)), 0)
	save := onlyCommand[SaveWave](h, commands)
	assert.DeepEqual(t, save.Progress.Ordered, []job.MachineID{"m"})
	h.store(save)
	order := onlyCommand[Maintain](h, h.s.TakeCommands())
	h.maintain(order)
	h.now = h.now.Add(2 * time.Second)
	h.listStandby(map[job.MachineID]job.MachineState{"m": job.MachineUp})
	save = onlyCommand[SaveWave](h, h.advance(10*time.Millisecond))
	assert.DeepEqual(t, save.Progress, job.WaveProgress{Done: []job.MachineID{"m"}})
}
