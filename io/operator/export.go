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

// exportProgressKey is the key of the row that records how far audit records were copied
// to the object store and deleted from the table.
const exportProgressKey table.Key = "export/audit"

// DefaultExportInterval is the time between two rounds of an Exporter. A round without
// work costs the table two reads, and every entry runs an Exporter.
const DefaultExportInterval = 10 * time.Second

// exportBatch is the maximum number of records that one round copies.
const exportBatch = 200

// exportProgress is the value of the row under exportProgressKey.
type exportProgress struct {
	// Copied is the version of the last record that was copied to the object store.
	Copied core.Version `json:"version"`
	// Deleted is the version of the last record that was deleted from the table.
	Deleted core.Version `json:"deleted,omitempty"`
	// DeleteAt is when the record after Deleted may be deleted. Zero means not known.
	DeleteAt time.Time `json:"delete_at,omitzero"`
}

// Exporter copies the audit records of accepted changes to the object store, where the
// monitor reads them as "audit-VERSION.json". Once their retention is over, it deletes
// them from the table, together with the records of their change ids. Every entry may
// run an Exporter: copying a record twice stores the same object again.
type Exporter struct {
	Table   platform.Table
	Objects platform.Objects
	Log     zerolog.Logger
	// Interval is the time between rounds; 0 means DefaultExportInterval.
	Interval time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	// lastDeleted is exportProgress.Deleted as this exporter last read or wrote it.
	lastDeleted core.Version

	// For tests only, to show that each safeguard is needed: save the progress before the
	// objects are stored, delete records without verifying the stored object, before
	// their retention is over, or in another transaction than the progress.
	saveProgressFirst, deleteUnverified, deleteEarly, deleteSeparately bool
}

// AuditObject returns the name of the object that holds the audit record of version v.
func AuditObject(v core.Version) string { return fmt.Sprintf("audit-%020d.json", uint64(v)) }

// Child returns the exporter as a child of the daemon's supervision tree.
func (e *Exporter) Child() supervisor.Child {
	interval := e.Interval
	if interval == 0 {
		interval = DefaultExportInterval
	}
	return supervisor.Child{Name: "audit_export", Run: func(ctx context.Context) error {
		return supervisor.Every(ctx, interval, func(ctx context.Context) {
			if err := e.Round(ctx); err != nil {
				e.Log.Debug().Err(err).Str("code", toCoreError(err).Code.String()).Msg("audit export failed")
			}
		})
	}}
}

// Round copies the audit records that the object store doesn't have. If there are none,
// it deletes records from the table whose retention is over.
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
		// The exporter of another entry saved its progress first.
		return nil
	}
	return err
}

// export copies the records after progress.Copied, up to version head.
//
// It saves the progress only after the objects are stored. In the other order, an
// exporter that ends in between or an object store that is down would leave a gap that
// is never filled, and the monitor would miss an accepted change.
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

// saveProgress replaces the progress row, unless it has changed since row was read.
func (e *Exporter) saveProgress(ctx context.Context, row table.Row, progress exportProgress) error {
	var t table.Transaction
	t.Check(row)
	if err := t.Set(exportProgressKey, progress); err != nil {
		return err
	}
	return e.Table.Transact(ctx, t)
}

// readRow reads the row of key and decodes it into value.
func (e *Exporter) readRow(ctx context.Context, key table.Key, value any) (table.Row, error) {
	row, err := e.Table.Read(ctx, key)
	if err != nil {
		return row, err
	}
	return row, row.Decode(value)
}
