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
	// deleteBatch is the maximum number of versions that one transaction deletes, with
	// two rows each. It keeps the backlog of an outage from using up the table's write
	// capacity.
	deleteBatch = 25
	// deleteMargin exceeds any difference between the clocks of two entries.
	deleteMargin = time.Minute
)

// deleteExpired deletes the audit records whose retention is over, oldest first, each
// together with the record of its change id. Without it the table would grow by 8,600
// rows a day at 4,300 changes.
//
// One transaction deletes the rows, saves the progress and checks the previous progress.
// So only one of two exporters deletes, and after a lost answer the progress row shows
// what was done. With separate transactions, the progress could pass rows that are never
// deleted.
//
// If the progress has changed since this exporter's last round, the exporter of another
// entry is deleting, and this one deletes nothing. Otherwise all entries would read the
// records of a backlog without need, some 70 reads a second with 30 entries.
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
	// Deletions that were collected before an error are safe to commit.
	progress.Deleted, progress.DeleteAt = deleted, deleteAt
	if err := e.commitDeletions(ctx, row, progress, t); err != nil {
		return err
	}
	e.lastDeleted = deleted
	return nil
}

// collectDeletions adds the deletions of one batch to t. It returns the last version that
// they cover, or progress.Deleted if there are none. If the batch ends at a record that
// must stay for now, it also returns when that record may be deleted.
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

// commitDeletions sends t, which holds the deletions, together with the new progress.
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

// addDeletion adds to t the deletion of the audit record of version v and of the record
// of its change id. If their retention isn't over, it adds nothing and returns when it
// will be.
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

// deleteAt returns when the record of a change id may be deleted. If it were deleted
// earlier, an operator who repeats a change after a lost answer would apply it a second
// time, over what others have changed since. The audit record stays as long, because it
// shows what the change was merged with and which of two racing changes came first.
func (e *Exporter) deleteAt(a config.AuditRecord, r config.ChangeRecord) time.Time {
	if e.deleteEarly {
		return time.Time{}
	}
	until := r.KeepUntil
	if r.Version != a.Version || until.IsZero() {
		// The change id belongs to a later change, or the record was written without a
		// KeepUntil time.
		until = a.At.Add(config.RecordRetention)
	}
	return until.Add(deleteMargin)
}

// verifyStored checks that the object store holds the audit record of version v. An
// object that the store lost or truncated since the copy would be lost permanently once the
// row is deleted, and the monitor would miss an accepted change. Such an object is stored
// again, and verified in a later round.
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
	return errors.Errorf("audit record %d was missing or damaged in the object store; it was stored again", v)
}

func (e *Exporter) now() time.Time {
	if e.Now == nil {
		return time.Now()
	}
	return e.Now()
}
