package maintenance_test

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
	"lavenderpond/core/maintenance"
	"lavenderpond/core/table"
)

// TestNoRebootWhenBudgetIsExceeded guards against a planned reboot that takes out one
// VM more than the budget allows. The answer to the first reboot was lost, so the VM's row
// still says stopped. The VM is back, and then two other VMs of its pool fail. The first
// VM must return to service without another reboot, and stay due for maintenance.
func TestNoRebootWhenBudgetIsExceeded(t *testing.T) {
	ref := fleet.Ref{Zone: "z", VM: "v0"}
	pool := fleet.Pool{MaxUnavailable: 2, Size: 10, Members: 10, Out: []fleet.OutVM{
		{Ref: ref, Planned: true}, {Ref: fleet.Ref{Zone: "z", VM: "v1"}}, {Ref: fleet.Ref{Zone: "z", VM: "v2"}},
	}}
	rebootBy := testStart.Add(time.Minute)
	vm, err := fleet.DecodeVM(table.MustRow(ref.Key(), 3, fleet.VM{
		Pool: "p", State: fleet.Stopped, RebootBy: rebootBy, BackBy: testStart.Add(time.Hour),
	}))
	assert.NilError(t, err)
	seen := &maintenance.Observation{Up: true, RefusesUntil: testStart.Add(time.Hour)}
	next := func() maintenance.Step {
		row, err := fleet.DecodePool(table.MustRow(table.PoolStateKey("p"), 7, pool))
		assert.NilError(t, err)
		step, err := maintenance.Driver{}.Next(testStart, vm, map[core.PoolID]fleet.PoolRow{"p": row}, seen)
		assert.NilError(t, err)
		return step
	}
	step := next()
	assert.Assert(t, !step.Reboot)
	var after fleet.VM
	assert.NilError(t, json.Unmarshal(step.Transaction.Writes[0].Value, &after))
	assert.Equal(t, after.State, fleet.Failed)
	assert.Assert(t, after.RebootBy.Equal(rebootBy), "a delayed reboot request may still take effect until then")

	pool.Out = pool.Out[:2]
	assert.Assert(t, next().Reboot, "the reboot must be requested again within the budget")
}

// Guards against a wave that counts a VM as maintained that an operator returned before the
// platform accepted its reboot.
func TestReturnWithoutRebootIsNoMaintenance(t *testing.T) {
	ref := fleet.Ref{Zone: "z", VM: "v0"}
	pool, err := fleet.DecodePool(table.MustRow(table.PoolStateKey("p"), 7, fleet.Pool{
		MaxUnavailable: 2, Size: 10, Members: 10, Out: []fleet.OutVM{{Ref: ref, Planned: true}},
	}))
	assert.NilError(t, err)
	vm := fleet.VM{Pool: "p", State: fleet.Stopped, RebootBy: testStart.Add(time.Minute), BackBy: testStart.Add(time.Hour)}
	apply := func(tx table.Transaction, err error) {
		assert.NilError(t, err)
		vm = fleet.VM{}
		assert.NilError(t, json.Unmarshal(tx.Writes[0].Value, &vm))
	}
	row := func() fleet.VMRow {
		r, err := fleet.DecodeVM(table.MustRow(ref.Key(), 3, vm))
		assert.NilError(t, err)
		return r
	}
	apply(fleet.Rules{}.Verify(testStart, row(), testStart.Add(time.Hour)))
	step, err := maintenance.Driver{}.Next(testStart.Add(2*time.Minute), row(), map[core.PoolID]fleet.PoolRow{"p": pool}, &maintenance.Observation{Up: true})
	apply(step.Transaction, err)
	assert.Equal(t, vm.State, fleet.Serving)
	progress := maintenance.ProgressOf(testStart.Add(2*time.Minute), "z", maintenance.Wave{PlannedAt: testStart}, []fleet.VMRow{row()})
	assert.Equal(t, progress.Maintained, 0)
}
