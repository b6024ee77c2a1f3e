package platform

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sim "lavenderpond/core/experiment/maintenance"
	"lavenderpond/core/fleet"
	"lavenderpond/core/maintenance"
	"lavenderpond/core/route"
	"lavenderpond/core/table"
)

// simulationTotals sums up the results of some simulations.
type simulationTotals struct{ breaches, cutOff, finished, halted, stops, moves int }

func runSimulations(t *testing.T, seeds uint64, f faults, setup func(*zoneSimulation)) simulationTotals {
	t.Helper()
	var totals simulationTotals
	for seed := range seeds {
		s := newZoneSimulation(t, seed, f)
		if setup != nil {
			setup(s)
		}
		w := s.run()
		totals.stops += s.world.Stops
		totals.moves += s.moves
		if len(s.world.Breaches) > 0 {
			totals.breaches++
		}
		if len(s.world.Interruptions) > 0 {
			totals.cutOff++
		}
		switch w.Status {
		case maintenance.Finished:
			totals.finished++
		case maintenance.Halted:
			totals.halted++
		}
		assert.NilError(t, s.checkPools(), "seed %d", seed)
		if setup == nil {
			assert.Assert(t, len(s.world.Breaches)+len(s.world.Interruptions) == 0, "seed %d: %v %v", seed, s.world.Breaches, s.world.Interruptions)
		}
	}
	return totals
}

var allFaults = faults{
	lostAnswers: 0.05, tableDown: 0.03, omittedVMs: 0.05, pauses: 0.01, listLag: 20 * time.Second, staleEntry: true, rackFails: true, moves: 0.02,
	vms: sim.Faults{FailuresPerVMDay: 0.5},
}

// Planned stops must not exceed a pool's budget or cut off running requests under any of
// these faults: two controllers work at the same time, each is paused between a decision and
// its effect, answers are lost after the write took effect, the table fails, the live list
// lags, a rack fails during the wave, an operator moves VMs, and one entry dispatches by the
// view that it had at the start. The rows, the VM's own refusal and the reboot's deadline
// prevent both.
func TestSimulations(t *testing.T) {
	const seeds = 60
	totals := runSimulations(t, seeds, allFaults, nil)
	t.Logf("%+v of %d simulations", totals, seeds)
	assert.Assert(t, totals.finished > seeds/2, "too few simulations finished the maintenance: %+v", totals)
}

// If VMs don't refuse work, requests from the entry with the stale view run at the time of a
// reboot and are cut off.
func TestSimulationsWithoutRefusal(t *testing.T) {
	const seeds = 10
	totals := runSimulations(t, seeds, allFaults, func(s *zoneSimulation) { s.ignoreDrain = true })
	t.Logf("VMs accept work while they drain: %+v of %d simulations", totals, seeds)
	assert.Assert(t, totals.cutOff > 0)
}

// An entry must stop sending work to a leaving VM as soon as one source reports it, while
// the other sources fail. An outage of the table must leave the view unchanged.
func TestFleetWatcher(t *testing.T) {
	s := newZoneSimulation(t, 1, faults{})
	s.advance()
	changes := 0
	w := &FleetWatcher{
		Zone: "z0", Table: s, Live: s, Now: func() time.Time { return s.world.Now },
		Probe:    func(context.Context, fleet.VMRow) bool { return true },
		OnChange: func([]route.Target) { changes++ },
	}
	ctx := context.Background()
	assert.NilError(t, w.Poll(ctx))
	all := len(w.Targets())
	assert.Equal(t, all, len(s.world.VMs()))

	w.Refused("vm00000")
	assert.Equal(t, len(w.Targets()), all-1, "refused")
	s.world.Fail(s.world.VMs()[1], time.Hour)
	s.advance()
	s.faults.tableDown = 1
	assert.Assert(t, w.Poll(ctx) != nil)
	assert.Equal(t, len(w.Targets()), all-1, "one VM accepted a probe, another is no longer listed")
	_, known := w.VM("vm00002")
	assert.Assert(t, known, "an unreachable table must not empty the view")
	pool, ok := w.Pool("pool000")
	assert.Assert(t, ok && pool.Headroom() == 2)
	assert.Equal(t, changes, 4)
}

// Guards against a wave that finishes without a VM whose row this version can't read.
func TestWaveWaitsForUnreadableVM(t *testing.T) {
	s := newZoneSimulation(t, 1, faults{})
	ref := s.world.VMs()[0].Ref
	row := s.world.Table.Read(ref.Key())
	s.writeVM(ref, map[string]string{"state": "hibernated"})
	for range 1000 {
		s.advance()
		s.tick(0)
	}
	assert.Equal(t, s.wave().Status, maintenance.Running)
	progress := s.controllers[0].State().Progress
	assert.Equal(t, progress.Total-progress.Maintained, 1)

	s.writeVM(ref, row.Value)
	assert.Equal(t, s.run().Status, maintenance.Finished)
	assert.Equal(t, s.world.VM(ref).Reboots, 1)
}

// writeVM replaces a VM's row without a check.
func (s *zoneSimulation) writeVM(ref fleet.Ref, value any) {
	var tx table.Transaction
	assert.NilError(s.t, tx.Set(ref.Key(), value))
	assert.NilError(s.t, s.world.Table.Transact(tx))
}
