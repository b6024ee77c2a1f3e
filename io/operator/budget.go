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
	return budgetSync{table: t}.run(ctx, now)
}

type budgetSync struct {
	table platform.Table
	// noHeadCheck is switched on in tests only, to see the safeguard fail.
	noHeadCheck bool
}

func (b budgetSync) run(ctx context.Context, now time.Time) error {
	t := b.table
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
		if err := b.sync(ctx, head, id, pool); err != nil && !errors.Is(err, table.ErrConflict) {
			return err
		}
	}
	return nil
}

func (b budgetSync) sync(ctx context.Context, head table.Row, id core.PoolID, pool config.Pool) error {
	row, err := b.table.Read(ctx, table.PoolStateKey(id))
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
	if !b.noHeadCheck {
		set.Check(head)
	}
	return b.table.Transact(ctx, set)
}
