package node

import (
	"cmp"
	"context"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

const (
	// maxConcurrentDeletions is how many jobs' rows are deleted at a time, each with a call of its own.
	maxConcurrentDeletions = 16
	// deletionRetryDelay is the pause after a deletion that failed.
	deletionRetryDelay = time.Second
)

// expiredJobs are the jobs that ended long ago and whose rows are to be deleted. Thousands of jobs may expire at the
// same time, so their rows are deleted one batch after another.
type expiredJobs struct {
	ids []job.ID
	// deleting is set while a batch is being deleted. After a failure none is deleted before retryAt.
	deleting bool
	retryAt  time.Time
}

// rowsDeleted reports the end of a batch. failed are the jobs of which rows may be left.
type rowsDeleted struct{ failed []job.ID }

func (rowsDeleted) event() {}

// deleteExpired starts to delete the rows of the next batch of expired jobs.
func (o *owner) deleteExpired(ctx context.Context, now time.Time) {
	x := &o.expired
	if x.deleting || len(x.ids) == 0 || now.Before(x.retryAt) {
		return
	}
	n := min(len(x.ids), maxConcurrentDeletions)
	batch := x.ids[:n:n]
	x.ids = x.ids[n:]
	x.deleting = true
	o.workers.Go(func() { o.send(ctx, rowsDeleted{o.deleteJobRows(ctx, batch)}) })
}

// rowsDeleted prepares the next batch. Deletions that failed are repeated after all others.
func (o *owner) rowsDeleted(now time.Time, e rowsDeleted) {
	x := &o.expired
	x.deleting = false
	if len(e.failed) > 0 {
		x.ids = append(x.ids, e.failed...)
		x.retryAt = now.Add(deletionRetryDelay)
	}
}

// deleteJobRows deletes the rows of jobs and returns those for which that failed. The submitted jobs and their
// cancellations go first, because a job without progress would look new to the next owner.
func (o *owner) deleteJobRows(ctx context.Context, ids []job.ID) (failed []job.ID) {
	ctx, cancel := context.WithTimeout(ctx, tableWriteTimeout)
	defer cancel()
	errs := make([]error, len(ids))
	var g supervisor.Group
	for i, id := range ids {
		g.Go(func() {
			_, errs[i] = o.node.table.Apply(ctx, platform.Transaction{Removals: []platform.RowKey{jobKey(id), cancelKey(id)}})
		})
	}
	g.Wait()
	tx := platform.Transaction{Conditions: []platform.Condition{{RowKey: ownerKey, Version: o.tenure.fence}}}
	for i, id := range ids {
		if errs[i] == nil {
			tx.Removals = append(tx.Removals, progressKey(id))
		} else {
			failed = append(failed, id)
		}
	}
	var err error
	if len(tx.Removals) > 0 {
		if _, err = o.node.table.Apply(ctx, tx); err != nil {
			failed = ids
		}
	}
	if len(failed) > 0 {
		o.log.Warn().Err(cmp.Or(append(errs, err)...)).Str("event", "forget_failed").Int("jobs", len(failed)).Send()
	}
	return failed
}
