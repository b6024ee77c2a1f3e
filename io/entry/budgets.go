package entry

import (
	"context"
	"time"

	"lavenderpond/core"
	"lavenderpond/io/operator"
	"lavenderpond/io/supervisor"
)

// Pace of carrying budgets over.
const (
	budgetsInterval = 5 * time.Second
	// budgetsAnyway is how often it is done although no change was accepted: an
	// exception may have begun or ended.
	budgetsAnyway = time.Minute
)

// keepBudgets carries exceptions and defaults over into the pools' rows. Every
// controller may do it: each write checks the head row, so an old view changes
// nothing. It reads all of the configuration, 17 KB/s a zone at the two-year size
// if done every 10 s, so it waits for a change.
func (d *Daemon) keepBudgets(ctx context.Context) error {
	var done core.Version
	var again time.Time
	return supervisor.Every(ctx, budgetsInterval, func(ctx context.Context) {
		version := d.config.Version()
		if !d.control.State().Holds || version == done && d.now().Before(again) {
			return
		}
		if err := operator.SyncBudgets(ctx, d.platform, d.now()); err != nil {
			d.log.Debug().Err(err).Msg("budgets not carried over")
			return
		}
		done, again = version, d.now().Add(budgetsAnyway)
	})
}
