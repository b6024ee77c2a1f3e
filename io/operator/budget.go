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

// BudgetSync brings the budgets in the pools' rows of state in line with the
// configuration in force, with its defaults and exceptions, which begin and end
// without a change of the pool. Every controller may run one.
//
// It compares what the entry follows anyway, so that only a pool that differs costs
// a read. Read whole each time, configuration and pools cost a zone 6 KB/s at 4,300
// changes a day.
type BudgetSync struct {
	Table platform.Table
	// View calls f with the entry's view, as platform.Configuration does.
	View func(f func(v *config.View))
	// Pool returns a pool's state as last followed, as platform.FleetWatcher does.
	Pool func(id core.PoolID) (fleet.Pool, bool)

	// noHeadCheck is switched on in tests only, to see the safeguard fail.
	noHeadCheck bool
}

// poolBudget is what a pool's row of state should say.
type poolBudget struct {
	id    core.PoolID
	value config.Pool
}

// Round writes the budgets that differ at now from what is in force. It returns the
// first error, after it tried the other pools if the table can be reached.
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
			firstErr = errors.Wrapf(err, "budget of pool %s", p.id)
		}
	}
	return firstErr
}

// outdatedBudgets returns the budgets that the entry's view and its cache of pools disagree
// on, and the head row of the view: none while the view isn't complete up to a head.
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
// The write checks the head row: the entry's view may be older than the table, and
// would otherwise bring back a budget that was replaced since. The pool's row is read
// anew, since the cache lags too.
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
