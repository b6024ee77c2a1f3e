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

// TestSyncBudgets checks that a sync follows the beginning and the end of an exception,
// and that it never overwrites a newer budget. An operator lowers the budget while a sync
// is in progress. Without the check of the head row, the sync restores the old budget,
// which permits one drain too many.
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
		// Set another budget in the state row, so that the next round has one to write.
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
	assert.Equal(t, finalBudget(true), 4, "the test must fail without the check of the head row")
}

// TestSyncBudgetsCost bounds the table calls of a sync. With hundreds of pools and a
// change every 20 s, a controller that reads all configuration and pools for each change
// would use up the table's read capacity. A round without a difference reads nothing,
// also after a change of a team. The beginning and the end of an exception on a pool each
// cost one read and one write of that pool.
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

// TestSyncBudgetsStaleCache checks a sync while the entry's view or its cache of pools
// lags behind the table. With a view that isn't complete up to a head row, the sync does
// nothing. A stale cache costs a read and no write.
func TestSyncBudgetsStaleCache(t *testing.T) {
	h := newHistory(1, &Server{})
	h.t.faultless = true
	replica := &replicatedTable{faultyTable: h.t}
	sync := replica.newSync(false)
	incomplete := config.Delta{Base: 1, Version: 9, Rows: h.t.rows.Scan(table.PrefixConfig)}
	_, err := replica.view.Apply(incomplete, config.FromPeer)
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

// TestSyncBudgetsBadRow checks that a pool row that can't be decoded doesn't block the
// other pools. Otherwise their VMs would wait for a drain permit until somebody repairs
// an unrelated row.
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

// replicatedTable is a table together with an entry's view of the configuration and its
// cache of pools, as of the last call of replicate. It counts reads and writes. If
// beforeRead is set, the next Read calls it once, after the budgets were compared.
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

// replicate brings the view and the cache of pools up to date with the table.
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
