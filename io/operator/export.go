package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/table"
	"lavenderpond/io/platform"
	"lavenderpond/io/supervisor"
)

// exportProgressKey holds how far the audit was copied to the object store.
const exportProgressKey table.Key = "export/audit"

// DefaultExportInterval is the time between two looks for new audit records. With
// all entries at work it costs the table two reads an entry.
const DefaultExportInterval = 10 * time.Second

// exportBatch bounds the records that one round copies.
const exportBatch = 200

// exportProgress is the value of exportRow.
type exportProgress struct {
	// Copied is the last record that the object store has, Deleted the last that the
	// table no longer has.
	Copied  core.Version `json:"version"`
	Deleted core.Version `json:"deleted,omitempty"`
	// DeleteAt is when the record after Deleted may be deleted; zero if not known yet.
	DeleteAt time.Time `json:"delete_at,omitzero"`
}

// Exporter copies the audit records of accepted changes to the object store, where
// the monitor reads them as "audit-VERSION.json", and deletes them in the table later,
// with the records of their change ids. Every entry may run one: a record that is
// copied twice is the same twice.
type Exporter struct {
	Table   platform.Table
	Objects platform.Objects
	Log     zerolog.Logger
	// Interval between rounds; 0 means DefaultExportInterval.
	Interval time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	// lastDeleted is the mark's Deleted as this exporter last saw or set it.
	lastDeleted core.Version

	// Switched on in tests only, to see the safeguards fail: the mark moves before the
	// objects are stored; records are deleted unread, early, or apart from the mark.
	saveProgressFirst, deleteUnverified, deleteEarly, deleteSeparately bool
}

// AuditObject returns the name of the object that holds the record of v.
func AuditObject(v core.Version) string { return fmt.Sprintf("audit-%020d.json", uint64(v)) }

// Child returns the exporter's part of the daemon's tree.
func (e *Exporter) Child() supervisor.Child {
	interval := e.Interval
	if interval == 0 {
		interval = DefaultExportInterval
	}
	return supervisor.Child{Name: "audit_export", Run: func(ctx context.Context) error {
		return supervisor.Every(ctx, interval, func(ctx context.Context) {
			if err := e.Round(ctx); err != nil {
				e.Log.Debug().Err(err).Str("code", toCoreError(err).Code.String()).Msg("audit not exported")
			}
		})
	}}
}

// Round copies the records that are not in the object store yet, and deletes those
// whose time is over.
func (e *Exporter) Round(ctx context.Context) error {
	var head config.Head
	var progress exportProgress
	if _, err := e.readRow(ctx, table.ConfigHead, &head); err != nil {
		return err
	}
	row, err := e.readRow(ctx, exportProgressKey, &progress)
	if err != nil {
		return err
	}
	if progress.Copied < head.Version {
		err = e.export(ctx, row, progress, head.Version)
	} else {
		err = e.deleteExpired(ctx, row, progress)
	}
	if errors.Is(err, table.ErrConflict) {
		// Another entry's exporter was faster.
		return nil
	}
	return err
}

// export copies the records after the mark, up to head.
//
// The mark moves only after the objects are stored. Moved first, an exporter that
// ends in between, or an object store that is down, would leave a gap that nobody
// fills, and the monitor would miss an accepted change.
func (e *Exporter) export(ctx context.Context, row table.Row, progress exportProgress, head core.Version) error {
	first, last := progress.Copied+1, min(head, progress.Copied+exportBatch)
	progress.Copied = last
	if e.saveProgressFirst {
		return firstError(e.saveProgress(ctx, row, progress), e.copyRecords(ctx, first, last))
	}
	if err := e.copyRecords(ctx, first, last); err != nil {
		return err
	}
	return e.saveProgress(ctx, row, progress)
}

func (e *Exporter) copyRecords(ctx context.Context, first, last core.Version) error {
	for v := first; v <= last; v++ {
		row, err := e.Table.Read(ctx, table.AuditKey(v))
		if err != nil {
			return err
		}
		if row.Version == 0 {
			return core.Errorf(core.CodeInternal, "the table has no audit record of version %d", v)
		}
		if err := e.Objects.Put(ctx, AuditObject(v), row.Value); err != nil {
			return errors.Wrapf(err, "store audit record %d", v)
		}
	}
	return nil
}

func (e *Exporter) saveProgress(ctx context.Context, row table.Row, progress exportProgress) error {
	var t table.Transaction
	t.Check(row)
	if err := t.Set(exportProgressKey, progress); err != nil {
		return err
	}
	return e.Table.Transact(ctx, t)
}

func (e *Exporter) readRow(ctx context.Context, key table.Key, value any) (table.Row, error) {
	row, err := e.Table.Read(ctx, key)
	if err != nil {
		return row, err
	}
	return row, row.Decode(value)
}
