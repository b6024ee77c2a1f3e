package soak

import (
	"slices"

	"lavenderpond/core/job"
	"lavenderpond/platform"
	"lavenderpond/platform/standin"
)

// waveCompleted is the state of a completed wave in its status row.
const waveCompleted = "completed"

// trackedWave is a maintenance wave as operators and machines see it.
type trackedWave struct {
	// definition is the definition in force, and limit the highest limit of any so far, since
	// maintenance that began under a former definition may go on.
	definition standin.WaveBody
	limit      int
	// begun are the machines whose maintenance for the wave has begun, and away those of them that
	// aren't back.
	begun, away map[job.MachineID]bool
	// state is the state that operators are shown.
	state string
	// reported are the machines that were missing when the wave was shown as completed.
	reported map[job.MachineID]bool
}

// wave returns a wave, which may have no definition yet. c.mu must be held.
func (c *Checker) wave(number int64) *trackedWave {
	w := c.waves[number]
	if w == nil {
		w = &trackedWave{begun: map[job.MachineID]bool{}, away: map[job.MachineID]bool{}, reported: map[job.MachineID]bool{}}
		c.waves[number] = w
	}
	return w
}

// MachineArrived records that a machine exists from now on.
func (c *Checker) MachineArrived(id job.MachineID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines[id] = true
}

// MachineLeft records that a machine has left for good.
func (c *Checker) MachineLeft(id job.MachineID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.machines, id)
	for _, w := range c.waves {
		delete(w.away, id)
	}
}

// MaintenanceBegan checks that the limit of the wave allows the maintenance of one more machine.
func (c *Checker) MaintenanceBegan(id job.MachineID, number int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.wave(number)
	w.begun[id], w.away[id] = true, true
	if len(w.away) > w.limit {
		c.violationf("LIMIT: maintenance of %s begins while %d machines of wave %d are in theirs, of %d allowed", id, len(w.away)-1, number, w.limit)
	}
}

// MaintenanceEnded records that a machine is back.
func (c *Checker) MaintenanceEnded(id job.MachineID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.waves {
		delete(w.away, id)
	}
}

// RowChanged follows the definitions and states of waves in the table. It checks that a wave is
// shown as completed only once the maintenance of all its machines that exist has begun.
func (c *Checker) RowChanged(r platform.Row) {
	number, ok := standin.WaveNumber(r.RowKey)
	if !ok || r.Removed {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.Table {
	case platform.OperatorTable:
		d, err := standin.DecodeWave(r.Value)
		if err != nil {
			c.violationf("wave %d has no valid definition: %v", number, err)
			return
		}
		w := c.wave(number)
		w.definition, w.limit = d, max(w.limit, d.Cap)
		w.reported = map[job.MachineID]bool{}
	case platform.StatusTable:
		c.waveShown(number, r.Value)
	}
}

// waveShown handles a state of a wave that operators are shown.
func (c *Checker) waveShown(number int64, value []byte) {
	state, err := standin.DecodeWaveState(value)
	if err != nil {
		c.violationf("wave %d has no valid state: %v", number, err)
		return
	}
	w := c.wave(number)
	w.state = state
	if state != waveCompleted {
		return
	}
	for _, id := range c.missing(w) {
		if !w.reported[id] {
			w.reported[id] = true
			c.violationf("MIXED: wave %d is shown as completed, but the maintenance of %s hasn't begun", number, id)
		}
	}
}

// missing returns the machines of a wave that exist and whose maintenance hasn't begun.
func (c *Checker) missing(w *trackedWave) []job.MachineID {
	return slices.DeleteFunc(slices.Clone(w.definition.Machines), func(id job.MachineID) bool { return !c.machines[id] || w.begun[id] })
}
