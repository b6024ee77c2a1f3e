package platform

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/fleet"
	"lavenderpond/core/table"
)

// slowTable reads the reply to a poll before it calls duringPoll, and returns it afterwards.
type slowTable struct {
	Table
	duringPoll func()
}

func (s *slowTable) Changes(ctx context.Context, prefix string, since table.Revision) ([]table.Row, table.Revision, error) {
	rows, revision, err := s.Table.Changes(ctx, prefix, since)
	if s.duringPoll != nil {
		s.duringPoll()
		s.duringPoll = nil
	}
	return rows, revision, err
}

// A controller must not decide on a row that it has already replaced: a VM whose permit it
// just withdrew would look cordoned again, and its pool would seem to be short of one VM. The
// controller writes while the watcher's poll is under way, so that the poll's answer is older
// than the write and arrives after it. The versions show which row is newer.
func TestFleetRowsKeepWriteOverOldAnswer(t *testing.T) {
	s := newZoneSimulation(t, 1, faults{})
	key := s.world.VMs()[0].Ref.Key()
	slow, rows, ctx := &slowTable{Table: s}, &FleetRows{}, t.Context()
	write := func(build func(vm fleet.VMRow, pool fleet.PoolRow) (table.Transaction, error)) {
		vm, _ := rows.VM(key)
		tx, err := build(*vm, rows.Pools()[vm.VM.Pool])
		assert.NilError(t, err)
		assert.NilError(t, s.world.Transact(tx))
		rows.Apply(tx)
	}
	assert.NilError(t, rows.Poll(ctx, slow, "z0"))
	write(func(vm fleet.VMRow, pool fleet.PoolRow) (table.Transaction, error) {
		return fleet.Rules{}.Permit(s.world.Now, vm, pool, fleet.Permit{Change: "own"})
	})
	slow.duringPoll = func() {
		write(func(vm fleet.VMRow, pool fleet.PoolRow) (table.Transaction, error) {
			return fleet.Rules{}.Withdraw(s.world.Now, vm, pool)
		})
	}
	assert.NilError(t, rows.Poll(ctx, slow, "z0"))
	vm, ok := rows.VM(key)
	assert.Assert(t, ok)
	assert.Equal(t, vm.VM.State, fleet.Serving)
	assert.Equal(t, len(rows.Pools()[vm.VM.Pool].Pool.Out), 0)

	assert.NilError(t, rows.Poll(ctx, s, "z0"))
	again, _ := rows.VM(key)
	assert.Equal(t, again, vm, "a row with the same version must not replace the cached one")
}

// An entry's controller takes a VM out of service, and then the table becomes unreachable.
// The entry's watcher must still stop sending work to the VM: it processes the changes in the
// shared rows even if its poll fails.
func TestWatcherSeesControllerWrites(t *testing.T) {
	s := newZoneSimulation(t, 1, faults{})
	rows := &FleetRows{}
	w := &FleetWatcher{Zone: "z0", Table: s, Live: s, Now: func() time.Time { return s.world.Now }, Rows: rows}
	c := s.controllers[0]
	c.Rows = rows
	s.advance()
	assert.NilError(t, w.Poll(t.Context()))
	all := len(w.Targets())
	assert.NilError(t, c.Tick(t.Context()))
	s.faults.tableDown = 1
	assert.ErrorIs(t, w.Poll(t.Context()), table.ErrUnreachable)
	assert.Equal(t, len(w.Targets()), all-1, "the wave takes one VM out first")
}
