package maintenance_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"lavenderpond/core"
	sim "lavenderpond/core/experiment/maintenance"
	"lavenderpond/core/fleet"
	"lavenderpond/core/maintenance"
	"lavenderpond/core/maintenance/spread"
	"lavenderpond/core/table"
)

var testStart = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

func newZone(seed uint64) *sim.Zone {
	size := sim.Size{Zones: 1, Pools: 2, PoolVMs: 6, SpareVMs: 4, RackVMs: 4, MaxUnavailable: 2}
	w := sim.NewWorld(seed, testStart, size, size.MaxUnavailable)
	w.RebootTime, w.DrainTime, w.DetectionDelay = time.Minute, time.Minute, time.Minute
	return &sim.Zone{World: w, ID: "z0", Planner: spread.Planner{RepairAfter: 5 * time.Minute, StopTime: 5 * time.Minute}}
}

func submitChange(t *testing.T, z *sim.Zone, change string) {
	t.Helper()
	o := maintenance.OperatorChange{Author: "op", Reason: "kernel", Change: core.ChangeID(change)}
	operation, _, _ := strings.Cut(change, "-")
	assert.NilError(t, z.ApplyOperatorChange(func(r maintenance.WaveRow) (table.Transaction, error) {
		switch operation {
		case "plan":
			return maintenance.Plan(z.World.Now, r, o, testStart.Add(24*time.Hour), 1)
		case "start":
			return maintenance.Start(r, o)
		}
		return maintenance.Pause(r, o)
	}))
}

// recorder logs every change of the rows of the wave and the VMs, as an operator would
// see it.
type recorder struct {
	strings.Builder
	zone *sim.Zone
	last map[fleet.Ref]string
	wave string
}

func (r *recorder) record() {
	at := r.zone.World.Now.Format("15:04:05")
	if w := r.zone.Wave(); fmt.Sprint(w.Status, w.Number, w.Reason) != r.wave {
		r.wave = fmt.Sprint(w.Status, w.Number, w.Reason)
		_, _ = fmt.Fprintf(r, "%s wave %d %s: %s\n", at, w.Number, w.Status, w.Reason)
	}
	for _, m := range r.zone.World.VMs() {
		vm := r.zone.World.Row(m.Ref).VM
		current := fmt.Sprintf("%s in %s", vm.State, vm.Pool)
		if r.last[m.Ref] == "" {
			r.last[m.Ref] = current
		}
		if r.last[m.Ref] != current {
			pool := r.zone.World.Pools()[vm.Pool].Pool
			_, _ = fmt.Fprintf(r, "%s %s %s, up %t, pool lacks %d of %d\n", at, m.Ref, current, m.Up, pool.Unavailable(), pool.Size)
			r.last[m.Ref] = current
		}
	}
}

// TestSession runs a whole maintenance. An operator plans, starts, pauses and
// resumes it. A rack fails during the wave and uses up two budgets, which the spare pool
// repairs. Reboots break VMs until the wave halts automatically. An operator starts it
// again, and the VMs that recover move to the spare pool.
func TestSession(t *testing.T) {
	z := newZone(7)
	r := &recorder{zone: z, last: make(map[fleet.Ref]string)}
	submitChange(t, z, "plan-1")
	submitChange(t, z, "start-1")
	for n := 0; n < 6*60*6 && z.Wave().Status != maintenance.Finished; n++ {
		switch n {
		case 30:
			submitChange(t, z, "pause-1")
		case 60:
			submitChange(t, z, "start-2")
			submitChange(t, z, "start-2") // A repetition after a lost answer must change nothing.
		case 90:
			z.World.FailAll(z.World.Rack(1), 40*time.Minute)
		case 70:
			z.World.Faults.NotBackShare = 1
		case 300:
			z.World.Faults.NotBackShare = 0
			for _, m := range z.World.VMs() {
				m.RecoversAt = z.World.Now
			}
			if z.Wave().Status == maintenance.Halted {
				submitChange(t, z, "start-3")
			}
		}
		z.World.Advance(10 * time.Second)
		assert.NilError(t, z.Tick())
		r.record()
	}
	assert.Equal(t, len(z.World.Breaches)+len(z.World.Interruptions), 0)
	golden.Assert(t, r.String(), "session.txt")
}

// TestOperatorChangesRefused checks that an operator's change that doesn't fit the status
// or has invalid values is refused with the right error code.
func TestOperatorChangesRefused(t *testing.T) {
	z := newZone(1)
	try := func(build func(maintenance.WaveRow, maintenance.OperatorChange) (table.Transaction, error)) core.Code {
		return core.ErrorCode(z.ApplyOperatorChange(func(r maintenance.WaveRow) (table.Transaction, error) {
			return build(r, maintenance.OperatorChange{Change: "other"})
		}))
	}
	plan := func(deadline time.Time, maxNotBack int) func(maintenance.WaveRow, maintenance.OperatorChange) (table.Transaction, error) {
		return func(r maintenance.WaveRow, o maintenance.OperatorChange) (table.Transaction, error) {
			return maintenance.Plan(testStart, r, o, deadline, maxNotBack)
		}
	}
	assert.Equal(t, try(maintenance.Start), core.CodeConflict)
	assert.Equal(t, try(maintenance.Pause), core.CodeConflict)
	assert.Equal(t, try(plan(testStart, 1)), core.CodeInvalidSetting)
	assert.Equal(t, try(plan(testStart.Add(time.Hour), -1)), core.CodeInvalidSetting)
	submitChange(t, z, "plan-1")
	submitChange(t, z, "start-1")
	assert.Equal(t, try(plan(testStart.Add(time.Hour), 1)), core.CodeConflict)
}

// Guards against a wave that counts a VM as maintained that was rebooted before the wave was
// planned and came back after.
func TestRebootBeforePlanIsNoMaintenance(t *testing.T) {
	z := newZone(7)
	submitChange(t, z, "plan-1")
	submitChange(t, z, "start-1")
	verifying := func() bool {
		return slices.ContainsFunc(z.World.VMs(), func(m *sim.SimulatedVM) bool { return z.World.Row(m.Ref).VM.State == fleet.Verifying })
	}
	for n := 0; n < 360 && !verifying(); n++ {
		z.World.Advance(10 * time.Second)
		assert.NilError(t, z.Tick())
	}
	z.World.Advance(time.Second)
	assert.Assert(t, verifying())
	for _, change := range []string{"pause-1", "plan-2", "start-2"} {
		submitChange(t, z, change)
	}
	reboots := make(map[fleet.Ref]int)
	for _, m := range z.World.VMs() {
		reboots[m.Ref] = m.Reboots
	}
	for n := 0; n < 6*360 && z.Wave().Status == maintenance.Running; n++ {
		z.World.Advance(10 * time.Second)
		assert.NilError(t, z.Tick())
	}
	assert.Equal(t, z.Wave().Status, maintenance.Finished)
	for _, m := range z.World.VMs() {
		assert.Assert(t, m.Reboots > reboots[m.Ref], "%s wasn't rebooted after the plan", m.Ref)
	}
}
