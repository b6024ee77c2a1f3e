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
)

// verdict is what came out of some sessions.
type verdict struct{ breaches, cutOff, finished, halted, stops, moves int }

func runSessions(t *testing.T, seeds uint64, f faults, alter func(*session)) verdict {
	t.Helper()
	var v verdict
	for seed := range seeds {
		s := newSession(t, seed, f)
		if alter != nil {
			alter(s)
		}
		w := s.run()
		v.stops += s.world.Stops
		v.moves += s.moves
		if len(s.world.Breaches) > 0 {
			v.breaches++
		}
		if len(s.world.CutOff) > 0 {
			v.cutOff++
		}
		switch w.Status {
		case maintenance.Finished:
			v.finished++
		case maintenance.Halted:
			v.halted++
		}
		assert.NilError(t, s.checkPools(), "seed %d", seed)
		if alter == nil {
			assert.Assert(t, len(s.world.Breaches)+len(s.world.CutOff) == 0, "seed %d: %v %v", seed, s.world.Breaches, s.world.CutOff)
		}
	}
	return v
}

var hard = faults{
	lostAnswers: 0.05, tableDown: 0.03, partialLooks: 0.05, pauses: 0.01, listLag: 20 * time.Second, staleEntry: true, rackFails: true, moves: 0.02,
	vms: sim.Faults{FailuresPerVMDay: 0.5},
}

// A pool's callers lose more VMs than its budget allows, or a running request is
// cut off. Two controllers work at once, each is paused between any decision and
// its effect, answers are lost after the write took effect, the table fails, the
// list lags, a rack fails within the wave, an operator moves VMs, and one entry dispatches on the view
// that it had at the start. Rows, the VM's own refusal and the reboot's deadline
// hold: what the World saw of planned stops shows no breach and nothing cut off.
func TestSessions(t *testing.T) {
	const seeds = 60
	v := runSessions(t, seeds, hard, nil)
	t.Logf("%+v of %d sessions", v, seeds)
	assert.Assert(t, v.finished > seeds/2, "the maintenance must also get done: %+v", v)
}

// Without the VM's own refusal, the cut-off entry's work is there at the reboot.
func TestSessionsWithoutRefusal(t *testing.T) {
	const seeds = 10
	v := runSessions(t, seeds, hard, func(s *session) { s.deaf = true })
	t.Logf("VM takes work while it drains: %+v of %d sessions", v, seeds)
	assert.Assert(t, v.cutOff > 0)
}

// A watcher's entry stops sending work to a leaving VM whichever source tells it
// first, while the others fail; and the table's outage leaves its view as it is.
func TestFleetWatcher(t *testing.T) {
	s := newSession(t, 1, faults{})
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
	assert.Equal(t, len(w.Targets()), all-1, "one is back by its probe, one is no longer listed")
	_, known := w.VM("vm00002")
	assert.Assert(t, known, "an unreachable table must not empty the view")
	pool, ok := w.Pool("pool000")
	assert.Assert(t, ok && pool.Headroom() == 2)
	assert.Equal(t, changes, 4)
}
