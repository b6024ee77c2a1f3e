package platform

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/fleet"
	"lavenderpond/core/table"
)

// slowTable answers a poll with what stood there before during was called.
type slowTable struct {
	Table
	during func()
}

func (s *slowTable) Changes(ctx context.Context, prefix string, since table.Revision) ([]table.Row, table.Revision, error) {
	rows, revision, err := s.Table.Changes(ctx, prefix, since)
	if s.during != nil {
		s.during()
		s.during = nil
	}
	return rows, revision, err
}

// A controller decides on a row that it has itself replaced: a VM that it just
// withdrew looks cordoned again, and its pool short of one. The watcher's poll is
// under way while the controller writes; the answer is from before the write and
// arrives after it. Versions tell which one is newer.
func TestFleetRowsKeepWriteOverOldAnswer(t *testing.T) {
	s := newSession(t, 1, faults{})
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
	slow.during = func() {
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
	assert.Equal(t, again, vm, "the same version again is no change")
}

// Callers' work goes to a VM for as long as the table is down, although this very
// entry took the VM out of service: its controller wrote the row, and then the
// table went. The watcher hands on what the shared rows know, also without a poll.
func TestWatcherSeesControllersWrite(t *testing.T) {
	s := newSession(t, 1, faults{})
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
	assert.Equal(t, len(w.Targets()), all-1, "the wave began with one VM")
}
