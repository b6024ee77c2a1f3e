package entry

import (
	"context"
	"time"

	"lavenderpond/io/operator"
	"lavenderpond/io/supervisor"
)

// budgetSyncInterval is the time between two comparisons of the pools' disruption
// budgets with the configuration in force. A comparison that finds no difference makes
// no calls to the table.
const budgetSyncInterval = 5 * time.Second

// syncBudgets writes configured exceptions and defaults to the pools' rows while this
// entry is the controller of its zone.
func (d *Daemon) syncBudgets(ctx context.Context) error {
	sync := operator.BudgetSync{Table: d.platform, View: d.config.View, Pool: d.fleet.Pool}
	return supervisor.Every(ctx, budgetSyncInterval, func(ctx context.Context) {
		if !d.controller.State().HoldsLease {
			return
		}
		if err := sync.Round(ctx, d.now()); err != nil {
			d.log.Debug().Err(err).Msg("failed to sync the pool budgets")
		}
	})
}
