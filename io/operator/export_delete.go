package operator

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/table"
)

const (
	// deleteBatch bounds the versions that one transaction deletes, two rows each, so
	// that an outage's backlog doesn't take the writes of others.
	deleteBatch = 25
	// deleteMargin is above any difference between two entries' clocks.
	deleteMargin = time.Minute
)

// deleteExpired deletes the audit records whose time is over, oldest first, each together
// with the record of its change id. Without it the table would grow by 8,600 rows a
// day at 4,300 changes.
//
// Rows and mark change in one transaction that checks the mark, so of two exporters
// one deletes, and after a lost answer the mark tells what was done. A mark that moved
// apart from its rows would leave rows that nobody ever deletes.
//
// While the mark moves between two rounds, another entry's exporter is at work, and
// this one leaves it alone: all entries together would read a backlog's records for
// nothing, some 70 reads a second with 30 entries.
func (e *Exporter) deleteExpired(ctx context.Context, row table.Row, progress exportProgress) error {
	if progress.Deleted >= progress.Copied || e.now().Before(progress.DeleteAt) {
		return nil
	}
	if progress.Deleted != e.lastDeleted {
		e.lastDeleted = progress.Deleted
		return nil
	}
	var t table.Transaction
	deleted, deleteAt, err := e.collectDeletions(ctx, &t, progress)
	if deleted == progress.Deleted && deleteAt.IsZero() {
		return err
	}
	// What was gathered before an error is certain, and goes.
	progress.Deleted, progress.DeleteAt = deleted, deleteAt
	if err := e.commitDeletions(ctx, row, progress, t); err != nil {
		return err
	}
	e.lastDeleted = deleted
	return nil
}

// collectDeletions adds the deletions to t. It returns the last version among them, or that of
// the mark, and when the next one may go if that lies ahead.
func (e *Exporter) collectDeletions(ctx context.Context, t *table.Transaction, progress exportProgress) (core.Version, time.Time, error) {
	last := min(progress.Copied, progress.Deleted+deleteBatch)
	for v := progress.Deleted + 1; v <= last; v++ {
		deleteAt, err := e.addDeletion(ctx, t, v)
		if err != nil || !deleteAt.IsZero() {
			return v - 1, deleteAt, err
		}
	}
	return last, time.Time{}, nil
}

func (e *Exporter) commitDeletions(ctx context.Context, row table.Row, progress exportProgress, t table.Transaction) error {
	if e.deleteSeparately {
		return firstError(e.saveProgress(ctx, row, progress), e.Table.Transact(ctx, t))
	}
	t.Check(row)
	if err := t.Set(exportProgressKey, progress); err != nil {
		return err
	}
	return e.Table.Transact(ctx, t)
}

// addDeletion adds to t the deletion of version v's records. If it isn't time yet, it
// adds nothing and returns when it is.
func (e *Exporter) addDeletion(ctx context.Context, t *table.Transaction, v core.Version) (time.Time, error) {
	var audit config.AuditRecord
	auditRow, err := e.readRow(ctx, table.AuditKey(v), &audit)
	if err != nil || auditRow.Version == 0 {
		return time.Time{}, err
	}
	var record config.ChangeRecord
	recordRow, err := e.readRow(ctx, table.ChangeKey(audit.Change), &record)
	if err != nil {
		return time.Time{}, err
	}
	if at := e.deleteAt(audit, record); e.now().Before(at) {
		return at, nil
	}
	if err := e.verifyStored(ctx, v, auditRow.Value); err != nil {
		return time.Time{}, err
	}
	t.Check(auditRow)
	t.Delete(auditRow.Key)
	if recordRow.Version > 0 && record.Version == v {
		t.Check(recordRow)
		t.Delete(recordRow.Key)
	}
	return time.Time{}, nil
}

// deleteAt returns when the record of a change id may go. Deleted earlier, an operator
// who repeats a change whose answer was lost would make it a second time, over what
// others have changed since. The audit record stays as long: it tells what the change
// was merged with, and who won a race.
func (e *Exporter) deleteAt(a config.AuditRecord, r config.ChangeRecord) time.Time {
	if e.deleteEarly {
		return time.Time{}
	}
	until := r.KeepUntil
	if r.Version != a.Version || until.IsZero() {
		// The change id is another change's by now, or the record is from before records
		// had a deadline.
		until = a.At.Add(config.RecordRetention)
	}
	return until.Add(deleteMargin)
}

// verifyStored makes sure that the object store has the record of v. What the store lost
// or cut since it was copied would else be gone for good, and the monitor would miss an
// accepted change. It is stored again, and read back in a later round.
func (e *Exporter) verifyStored(ctx context.Context, v core.Version, value []byte) error {
	if e.deleteUnverified {
		return nil
	}
	data, err := e.Objects.Get(ctx, AuditObject(v))
	if err == nil && bytes.Equal(data, value) {
		return nil
	}
	if err := e.Objects.Put(ctx, AuditObject(v), value); err != nil {
		return errors.Wrapf(err, "store audit record %d again", v)
	}
	return errors.Errorf("audit record %d was not in the object store; it was stored again", v)
}

func (e *Exporter) now() time.Time {
	if e.Now == nil {
		return time.Now()
	}
	return e.Now()
}
