package platform

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/key"
	"lavenderpond/core/table"
	"lavenderpond/io/supervisor"
)

// DefaultHeadInterval is the time between two polls of the configuration's head row.
const DefaultHeadInterval = 2 * time.Second

// unnamedOperator is the author that is recorded for a withdrawal that an operator sent
// to entries without a name while the table was down.
const unnamedOperator = "operator, told to an entry"

// ConfigWatcher keeps a Configuration up to date with the table. It polls the head row,
// and reads the changed rows only if the head moved.
type ConfigWatcher struct {
	Table  Table
	Config *Configuration
	Now    func() time.Time
	Log    zerolog.Logger
	// Interval is the time between polls; 0 means DefaultHeadInterval.
	Interval time.Duration

	// configRevision and keyRevision are the revisions up to which the rows were read.
	// baseVersion is the configuration version that these rows contain.
	configRevision, keyRevision table.Revision
	baseVersion                 core.Version
	loaded                      bool
}

// Child returns the supervised goroutine that polls.
func (w *ConfigWatcher) Child() supervisor.Child {
	return supervisor.Child{Name: "watcher", Run: func(ctx context.Context) error {
		return supervisor.Every(ctx, w.interval(), func(ctx context.Context) {
			if err := w.Poll(ctx); err != nil {
				w.Log.Debug().Err(err).Msg("failed to poll the configuration")
			}
		})
	}}
}

// Poll reads the head row and, if it moved, the changed rows. It then writes to the table
// the withdrawals that entries received while the table was down.
func (w *ConfigWatcher) Poll(ctx context.Context) error {
	sentAt := w.Now()
	row, err := w.Table.Read(ctx, table.ConfigHead)
	if err != nil {
		return err
	}
	var head config.Head
	if err := row.Decode(&head); err != nil {
		return err
	}
	d := config.Delta{Base: w.baseVersion, Version: head.Version}
	if !w.loaded || head.Version != w.Config.Version() {
		if d, err = w.readChanges(ctx, d); err != nil {
			return err
		}
	}
	if err := w.Config.ApplyFromTable(d, sentAt); err != nil {
		return err
	}
	return w.recordWithdrawals(ctx)
}

// readChanges reads the rows that changed since the last call. The keys are read last, so
// that they are at least as new as the head among the other rows.
func (w *ConfigWatcher) readChanges(ctx context.Context, d config.Delta) (config.Delta, error) {
	rows, configRevision, err := w.Table.Changes(ctx, table.PrefixConfig, w.configRevision)
	if err != nil {
		return d, err
	}
	keys, keyRevision, err := w.Table.Changes(ctx, table.PrefixKey, w.keyRevision)
	if err != nil {
		return d, err
	}
	for _, r := range rows {
		var head config.Head
		if r.Key == table.ConfigHead && r.Decode(&head) == nil {
			d.Version = max(d.Version, head.Version)
		}
	}
	d.Rows = append(rows, keys...)
	w.configRevision, w.keyRevision, w.baseVersion, w.loaded = configRevision, keyRevision, d.Version, true
	return d, nil
}

// recordWithdrawals writes to the table the withdrawals that entries received while it
// was down. All entries that know a withdrawal use the same change id, so that it takes
// effect once.
func (w *ConfigWatcher) recordWithdrawals(ctx context.Context) error {
	for _, withdrawal := range w.Config.Unrecorded() {
		row, err := w.Table.Read(ctx, table.KeyDigestKey(withdrawal.Digest))
		if err != nil {
			return err
		}
		if err := w.recordWithdrawal(ctx, withdrawal, row); err != nil {
			return err
		}
	}
	return nil
}

func (w *ConfigWatcher) recordWithdrawal(ctx context.Context, withdrawal key.Withdrawal, row table.Row) error {
	k := config.Key{Team: withdrawal.Team}
	if err := row.Decode(&k); err != nil || k.Withdrawn || k.Team == "" {
		// The table has the withdrawal already, and the next poll will read it. Or the key
		// belongs to no known team, so that no request can use it.
		return err
	}
	author := withdrawal.Author
	if author == "" {
		author = unnamedOperator
	}
	change := config.WithdrawKey{Author: author, Team: k.Team, Digest: withdrawal.Digest, Reason: withdrawal.Reason}
	_, err := Apply(ctx, w.Table, change, core.ChangeID("withdraw-"+string(withdrawal.Digest)), w.Now())
	return err
}

func (w *ConfigWatcher) interval() time.Duration {
	if w.Interval == 0 {
		return DefaultHeadInterval
	}
	return w.Interval
}
