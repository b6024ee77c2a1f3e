package operator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/fleet"
	"lavenderpond/core/table"
	pb "lavenderpond/io/gen/lavenderpond/v1"
)

// TestSyncBudgets: an exception raises a pool's budget and ends. While the
// controller syncs, an operator lowers the budget. The lowered one stays; without
// the check of the head row, the sync brings the old one back and a drain too many
// is permitted.
func TestSyncBudgets(t *testing.T) {
	finalBudget := func(noHeadCheck bool) int {
		h := newHistory(1, &Server{})
		h.t.faultless = true
		h.change(&pb.ApplyChangeRequest{Change: &pb.ApplyChangeRequest_AddException{AddException: &pb.AddException{
			Id: "festival", Scope: "config/pool/frames", Value: map[string]int32{"max_unavailable": 3}, Reason: "spring festival",
			End: toTimestamp(startTime.Add(time.Hour)),
		}}})
		replica := &replicatedTable{faultyTable: h.t}
		sync := replica.newSync(noHeadCheck)
		replica.replicate(t)
		assert.NilError(t, sync.Round(context.Background(), startTime))
		assert.Equal(t, h.maxUnavailable(t), 3)
		replica.replicate(t)
		assert.NilError(t, sync.Round(context.Background(), startTime.Add(2*time.Hour)))
		assert.Equal(t, h.maxUnavailable(t), 1)
		h.change(&pb.ApplyChangeRequest{Change: &pb.ApplyChangeRequest_SetPool{SetPool: &pb.SetPool{Pool: "frames", MaxUnavailable: ptr(4)}}})
		h.change(&pb.ApplyChangeRequest{Change: &pb.ApplyChangeRequest_RetireException{
			RetireException: &pb.RetireException{Id: "festival", Reason: "over"}}})
		row := h.t.rows.Read(table.PoolStateKey("frames"))
		var p fleet.Pool
		assert.NilError(t, row.Decode(&p))
		p.MaxUnavailable = 1
		var tx table.Transaction
		assert.NilError(t, tx.Set(row.Key, p))
		assert.NilError(t, h.t.rows.Transact(tx))
		replica.replicate(t)
		replica.beforeRead = func() {
			h.change(&pb.ApplyChangeRequest{Change: &pb.ApplyChangeRequest_SetPool{SetPool: &pb.SetPool{Pool: "frames", MaxUnavailable: ptr(2)}}})
		}
		assert.NilError(t, sync.Round(context.Background(), startTime))
		return h.maxUnavailable(t)
	}
	assert.Equal(t, finalBudget(false), 2)
	assert.Equal(t, finalBudget(true), 4, "red: the safeguard is not needed")
}

// TestSyncBudgetsCost: with hundreds of pools and a change every 20 s, a controller
// that reads configuration and pools for each change takes the table's reads from
// others. A round without a difference reads nothing, also after a change of a team;
// an exception on a pool, and its end, cost a read and a write of that pool.
func TestSyncBudgetsCost(t *testing.T) {
	h := newHistory(1, &Server{})
	h.t.faultless = true
	for i := range 20 {
		h.change(&pb.ApplyChangeRequest{Change: &pb.ApplyChangeRequest_SetPool{
			SetPool: &pb.SetPool{Pool: fmt.Sprint("pool", i), MaxUnavailable: ptr(1)}}})
	}
	replica := &replicatedTable{faultyTable: h.t}
	sync := replica.newSync(false)
	cost := func(now time.Time) [2]int {
		replica.replicate(t)
		replica.reads, replica.writes = 0, 0
		assert.NilError(t, sync.Round(context.Background(), now))
		return [2]int{replica.reads, replica.writes}
	}
	assert.Equal(t, cost(startTime), [2]int{0, 0})
	h.change(&pb.ApplyChangeRequest{Change: &pb.ApplyChangeRequest_SetTeam{SetTeam: &pb.SetTeam{Team: "imaging", Share: ptr(2)}}})
	assert.Equal(t, cost(startTime), [2]int{0, 0})
	h.change(&pb.ApplyChangeRequest{Change: &pb.ApplyChangeRequest_AddException{AddException: &pb.AddException{
		Id: "festival", Scope: "config/pool/pool7", Value: map[string]int32{"max_unavailable": 3}, Reason: "spring festival",
		End: toTimestamp(startTime.Add(time.Hour)),
	}}})
	assert.Equal(t, cost(startTime), [2]int{1, 1})
	assert.Equal(t, cost(startTime), [2]int{0, 0})
	assert.Equal(t, cost(startTime.Add(2*time.Hour)), [2]int{1, 1})
}

// TestSyncBudgetsOldCache: the entry's view and its cache of pools lag behind the
// table each in its own way. A view that isn't complete up to a head writes nothing,
// and an old cache costs a read but changes nothing.
func TestSyncBudgetsStaleCache(t *testing.T) {
	h := newHistory(1, &Server{})
	h.t.faultless = true
	replica := &replicatedTable{faultyTable: h.t}
	sync := replica.newSync(false)
	gap := config.Delta{Base: 1, Version: 9, Rows: h.t.rows.Scan(table.PrefixConfig)}
	_, err := replica.view.Apply(gap, config.FromPeer)
	assert.NilError(t, err)
	assert.NilError(t, sync.Round(context.Background(), startTime))
	assert.Equal(t, replica.reads, 0)
	replica.replicate(t)
	replica.pools = map[core.PoolID]fleet.Pool{"frames": {MaxUnavailable: 9}}
	assert.NilError(t, sync.Round(context.Background(), startTime))
	assert.Equal(t, replica.reads, 1)
	assert.Equal(t, replica.writes, 0)
	assert.Equal(t, h.maxUnavailable(t), 1)
}

// TestSyncBudgetsBadRow: one pool's row can't be read. The exception on another pool is
// carried over all the same; else its VMs would wait for a permit until somebody mends
// a row that has nothing to do with them.
func TestSyncBudgetsBadRow(t *testing.T) {
	h := newHistory(1, &Server{})
	h.t.faultless = true
	h.change(&pb.ApplyChangeRequest{Change: &pb.ApplyChangeRequest_SetPool{SetPool: &pb.SetPool{Pool: "bad", MaxUnavailable: ptr(1)}}})
	replica := &replicatedTable{faultyTable: h.t}
	replica.replicate(t)
	delete(replica.pools, "bad")
	replica.pools["frames"] = fleet.Pool{MaxUnavailable: 9}
	for pool, value := range map[core.PoolID]string{"bad": `[]`, "frames": `{"max_unavailable":9}`} {
		row := table.Write{Key: table.PoolStateKey(pool), Value: []byte(value)}
		assert.NilError(t, h.t.rows.Transact(table.Transaction{Writes: []table.Write{row}}))
	}
	assert.ErrorContains(t, replica.newSync(false).Round(context.Background(), startTime), "pool/bad")
	assert.Equal(t, h.maxUnavailable(t), 1)
}

// replicatedTable is a table and what an entry follows of it: as it was when it was
// followed last. Race lets an operator in once, after the budgets were compared.
type replicatedTable struct {
	*faultyTable
	beforeRead    func()
	view          config.View
	pools         map[core.PoolID]fleet.Pool
	reads, writes int
}

func (t *replicatedTable) newSync(noHeadCheck bool) *BudgetSync {
	return &BudgetSync{
		Table: t, View: func(f func(v *config.View)) { f(&t.view) }, noHeadCheck: noHeadCheck,
		Pool: func(id core.PoolID) (fleet.Pool, bool) {
			p, ok := t.pools[id]
			return p, ok
		},
	}
}

// replicate takes in what the table has.
func (t *replicatedTable) replicate(tt *testing.T) {
	tt.Helper()
	var head config.Head
	assert.NilError(tt, t.rows.Read(table.ConfigHead).Decode(&head))
	_, err := t.view.Apply(config.Delta{Version: head.Version, Rows: t.rows.Scan(table.PrefixConfig)}, config.FromTable)
	assert.NilError(tt, err)
	t.pools = map[core.PoolID]fleet.Pool{}
	for _, row := range t.rows.Scan(table.PrefixPool) {
		p, err := fleet.DecodePool(row)
		assert.NilError(tt, err)
		t.pools[p.ID] = p.Pool
	}
}

// Read implements platform.Table.
func (t *replicatedTable) Read(ctx context.Context, key table.Key) (table.Row, error) {
	if t.beforeRead != nil {
		hook := t.beforeRead
		t.beforeRead = nil
		hook()
	}
	t.reads++
	return t.faultyTable.Read(ctx, key)
}

// Transact implements platform.Table.
func (t *replicatedTable) Transact(ctx context.Context, x table.Transaction) error {
	t.writes++
	return t.faultyTable.Transact(ctx, x)
}

func (h *history) maxUnavailable(t *testing.T) int {
	t.Helper()
	p, err := fleet.DecodePool(h.t.rows.Read(table.PoolStateKey("frames")))
	assert.NilError(t, err)
	return p.Pool.MaxUnavailable
}
