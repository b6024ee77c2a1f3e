package operator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/fleet"
	"lavenderpond/core/table"
	"lavenderpond/io/platform"
)

// SyncBudgets brings the budgets in the pools' rows of state in line with the
// configuration in force at now, with its defaults and exceptions, which begin and
// end without a change of the pool. The maintenance controller calls it.
//
// It reads the table, not the entry's view, and each write checks the head row: an
// entry with an old view would otherwise bring back a budget that was replaced.
func SyncBudgets(ctx context.Context, t platform.Table, now time.Time) error {
	head, err := t.Read(ctx, table.ConfigHead)
	if err != nil {
		return err
	}
	rows, _, err := t.Scan(ctx, table.PrefixConfig)
	if err != nil {
		return err
	}
	var v config.View
	if _, err := v.Apply(config.Delta{Rows: rows}, config.FromTable); err != nil {
		return err
	}
	for _, id := range v.Pools() {
		pool, _ := v.Pool(now, id)
		if err := syncBudget(ctx, t, head, id, pool); err != nil && !errors.Is(err, table.ErrConflict) {
			return err
		}
	}
	return nil
}

func syncBudget(ctx context.Context, t platform.Table, head table.Row, id core.PoolID, pool config.Pool) error {
	row, err := t.Read(ctx, table.PoolStateKey(id))
	if err != nil {
		return err
	}
	state, err := fleet.DecodePool(row)
	if err != nil {
		return err
	}
	set, err := fleet.SetPool(state, pool.MaxUnavailable, pool.Spare)
	if err != nil || len(set.Writes) == 0 {
		return err
	}
	set.Check(head)
	return t.Transact(ctx, set)
}
