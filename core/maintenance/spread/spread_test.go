package spread_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sim "lavenderpond/core/experiment/maintenance"
	"lavenderpond/core/fleet"
	"lavenderpond/core/maintenance"
	"lavenderpond/core/maintenance/spread"
	"lavenderpond/core/table"
)

var testStart = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

// result sums up what the simulated world recorded over some seeds.
type result struct {
	breaches, stops, broken, halted, finished int
	// overBudget counts observations of a pool with more VMs missing than its budget
	// allows, and sameRack those of a rack with two VMs out for planned stops.
	overBudget, sameRack int
}

// runMaintenance simulates one zone of five pools until its maintenance ends, for at most
// six hours. prepare injects faults before the start.
func runMaintenance(t *testing.T, seed uint64, rule string, maxNotBack int, prepare func(*sim.World)) result {
	t.Helper()
	size := sim.Size{Zones: 1, Pools: 4, PoolVMs: 10, SpareVMs: 8, RackVMs: 4, MaxUnavailable: 2}
	w := sim.NewWorld(seed, testStart, size, size.MaxUnavailable)
	w.RebootTime, w.DrainTime, w.DetectionDelay = time.Minute, time.Minute, 30*time.Second
	z := &sim.Zone{World: w, ID: "z0", Planner: spread.WithoutRule(rule)}
	prepare(w)
	for _, build := range []func(maintenance.WaveRow) (table.Transaction, error){
		func(r maintenance.WaveRow) (table.Transaction, error) {
			return maintenance.Plan(testStart, r, maintenance.OperatorChange{Change: "plan"}, testStart.Add(48*time.Hour), maxNotBack)
		},
		func(r maintenance.WaveRow) (table.Transaction, error) {
			return maintenance.Start(r, maintenance.OperatorChange{Change: "start"})
		},
	} {
		assert.NilError(t, z.ApplyOperatorChange(build))
	}
	var r result
	for range 6 * 60 * 6 {
		w.Advance(10 * time.Second)
		assert.NilError(t, z.Tick())
		r.observe(w)
		if z.Wave().Status != maintenance.Running {
			break
		}
	}
	r.breaches, r.stops = len(w.Breaches), w.Stops
	for _, m := range w.VMs() {
		if !m.Up && m.Planned {
			r.broken++
		}
	}
	switch z.Wave().Status {
	case maintenance.Halted:
		r.halted = 1
	case maintenance.Finished:
		r.finished = 1
	}
	return r
}

func (r *result) observe(w *sim.World) {
	racks := make(map[string]int)
	for _, m := range w.VMs() {
		if s := w.Row(m.Ref).VM.State; s != fleet.Serving && s != fleet.Failed {
			racks[string(m.Rack)]++
		}
	}
	for _, n := range racks {
		if n > 1 {
			r.sameRack++
		}
	}
	for _, p := range w.Pools() {
		if p.Pool.Headroom() < 0 {
			r.overBudget++
		}
	}
}

func (r *result) add(o result) {
	r.breaches += o.breaches
	r.stops += o.stops
	r.broken += o.broken
	r.halted += o.halted
	r.finished += o.finished
	r.overBudget += o.overBudget
	r.sameRack += o.sameRack
}

const seeds = 10

func runSeeds(t *testing.T, rule string, maxNotBack int, prepare func(*sim.World)) result {
	t.Helper()
	var sum result
	for seed := range uint64(seeds) {
		r := runMaintenance(t, seed, rule, maxNotBack, prepare)
		assert.Equal(t, r.breaches, 0, "seed %d: a planned stop exceeded a budget", seed)
		sum.add(r)
	}
	t.Logf("with rule %q disabled: %+v in %d seeds", rule, sum, seeds)
	return sum
}

// TestWaveHaltsAutomatically guards against a reboot that breaks every VM, as a bad
// image does. The wave must start with one VM and halt after a bounded number of losses.
// Without the halt or the ramp-up, more VMs are lost.
func TestWaveHaltsAutomatically(t *testing.T) {
	breakReboots := func(w *sim.World) { w.Faults.NotBackShare = 1 }
	with := runSeeds(t, "", 2, breakReboots)
	assert.Equal(t, with.halted, seeds)
	assert.Assert(t, with.broken <= 4*seeds, "on average, at most 4 VMs per seed may break with max_not_back 2")
	assert.Assert(t, runSeeds(t, "halt", 2, breakReboots).broken > with.broken)
	assert.Assert(t, runSeeds(t, "ramp", 2, breakReboots).broken > with.broken)
}

// TestFailedVMsAreReplacedBySpares covers a pool whose budget of two is used up by two
// VMs that failed permanently. The pool allows no planned stop until spare VMs have
// replaced the failed ones.
// Without the repair, the pool's other VMs miss their maintenance.
func TestFailedVMsAreReplacedBySpares(t *testing.T) {
	spendBudget := func(w *sim.World) { w.FailAll(w.VMs()[:2], 100*time.Hour) }
	// The two failed VMs can't be maintained. The others must be.
	with := runSeeds(t, "", 2, spendBudget)
	without := runSeeds(t, "repair", 2, spendBudget)
	assert.Equal(t, without.stops, 38*seeds, "the pool's other 8 VMs must not be stopped, and all VMs of other pools must be")
	assert.Equal(t, with.stops, 46*seeds)
}

// TestReserveAbsorbsFailures lets VMs fail at many times the usual rate during the wave.
// Without the reserve, pools exceed their budgets far more often.
func TestReserveAbsorbsFailures(t *testing.T) {
	raiseFailureRate := func(w *sim.World) { w.Faults.FailuresPerVMDay = 2 }
	with, without := runSeeds(t, "", 10, raiseFailureRate), runSeeds(t, "reserve", 10, raiseFailureRate)
	assert.Assert(t, without.overBudget > 2*with.overBudget, fmt.Sprintf("budgets exceeded in %d observations without the reserve, in %d with it", without.overBudget, with.overBudget))
}

// TestOneStopPerRack checks that a rack never has two VMs out for planned stops at the
// same time.
func TestOneStopPerRack(t *testing.T) {
	noFaults := func(*sim.World) {}
	with := runSeeds(t, "", 2, noFaults)
	assert.Equal(t, with.sameRack, 0)
	assert.Equal(t, with.finished, seeds)
	assert.Assert(t, runSeeds(t, "racks", 2, noFaults).sameRack > 0)
}
