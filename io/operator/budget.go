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

// BudgetSync keeps the disruption budgets in the state rows of pools equal to the
// configuration in force. That includes defaults and exceptions, which change a pool's
// budget without a change of the pool's own settings. Every controller may run a
// BudgetSync.
//
// It compares data that the entry replicates in any case, so only a pool whose budget
// differs costs a read. Reading all of the configuration and all pools each time would
// cost a zone 6 KB/s at 4,300 changes a day.
type BudgetSync struct {
	Table platform.Table
	// View calls f with the entry's view of the configuration, as platform.Configuration
	// does.
	View func(f func(v *config.View))
	// Pool returns the entry's replicated copy of a pool's state, as
	// platform.FleetWatcher does.
	Pool func(id core.PoolID) (fleet.Pool, bool)

	// noHeadCheck is set by tests only, to show that the check of the head row is needed.
	noHeadCheck bool
}

// poolBudget is the budget that the configuration in force gives a pool.
type poolBudget struct {
	id    core.PoolID
	value config.Pool
}

// Round writes each budget that differs at now from the configuration in force. An error
// with one pool doesn't keep Round from the others, unless the table can't be reached or
// lost an answer. Round returns the first error.
func (b *BudgetSync) Round(ctx context.Context, now time.Time) error {
	var firstErr error
	head, outdated := b.outdatedBudgets(now)
	for _, p := range outdated {
		err := b.sync(ctx, head, p)
		switch {
		case err == nil, errors.Is(err, table.ErrConflict):
		case errors.Is(err, table.ErrUnreachable), errors.Is(err, table.ErrOutcomeUnknown):
			return err
		case firstErr == nil:
			firstErr = errors.Wrapf(err, "sync budget of pool %s", p.id)
		}
	}
	return firstErr
}

// outdatedBudgets compares the entry's view of the configuration with its cache of pool
// states. It returns the budgets to write and the head row of the view. It returns no
// budgets while the view isn't complete up to a head row.
func (b *BudgetSync) outdatedBudgets(now time.Time) (table.Row, []poolBudget) {
	var head table.Row
	var outdated []poolBudget
	b.View(func(v *config.View) {
		if head = v.Head(); head.Version == 0 {
			return
		}
		for _, id := range v.Pools() {
			wanted, _ := v.Pool(now, id)
			state, ok := b.Pool(id)
			if !ok || state.MaxUnavailable != wanted.MaxUnavailable || state.Spare != wanted.Spare {
				outdated = append(outdated, poolBudget{id, wanted})
			}
		}
	})
	return head, outdated
}

// sync writes one budget.
//
// The transaction checks the head row. The entry's view may be older than the table, and
// without the check the write could restore a budget that has been replaced since. The
// pool's row is read from the table because the cache may be stale as well.
func (b *BudgetSync) sync(ctx context.Context, head table.Row, p poolBudget) error {
	row, err := b.Table.Read(ctx, table.PoolStateKey(p.id))
	if err != nil {
		return err
	}
	state, err := fleet.DecodePool(row)
	if err != nil {
		return err
	}
	tx, err := fleet.SetPool(state, p.value.MaxUnavailable, p.value.Spare)
	if err != nil || len(tx.Writes) == 0 {
		return err
	}
	if !b.noHeadCheck {
		tx.Check(head)
	}
	return b.Table.Transact(ctx, tx)
}
