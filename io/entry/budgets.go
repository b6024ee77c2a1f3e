package entry

import (
	"context"
	"time"

	"lavenderpond/io/operator"
	"lavenderpond/io/supervisor"
)

// budgetSyncInterval is the time between two comparisons of pools' budgets with the
// configuration in force. One that finds nothing costs no message.
const budgetSyncInterval = 5 * time.Second

// syncBudgets carries exceptions and defaults over into the pools' rows while this
// entry is its zone's controller.
func (d *Daemon) syncBudgets(ctx context.Context) error {
	sync := operator.BudgetSync{Table: d.platform, View: d.config.View, Pool: d.fleet.Pool}
	return supervisor.Every(ctx, budgetSyncInterval, func(ctx context.Context) {
		if !d.controller.State().Holds {
			return
		}
		if err := sync.Round(ctx, d.now()); err != nil {
			d.log.Debug().Err(err).Msg("budgets not carried over")
		}
	})
}
