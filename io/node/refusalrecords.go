package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core/job"
	"lavenderpond/platform"
)

const (
	// refusalRetention is how long the record of a refusal is kept. No submission that was
	// sent before it can still be on the way then.
	refusalRetention = 10 * time.Minute
	// refusalPruneInterval is how often old records are deleted, and refusalPruneDelay how soon
	// again if a partition has more than fit into a transaction.
	refusalPruneInterval = time.Minute
	refusalPruneDelay    = 2 * time.Second
	// maxRefusalRemovals bounds the rows of one transaction, each with a condition and a
	// removal.
	maxRefusalRemovals = platform.MaxTransactionRows/2 - 1
)

// refusalRecords are the refusals whose rows are to be deleted some time. The zero value is
// empty.
type refusalRecords struct {
	// records holds the versions of the refusals that are in the table.
	records map[job.ID]platform.Version
	// queue holds all refusals in the order of their deletion, those included that have been
	// replaced since.
	queue     []queuedRefusal
	nextPrune time.Time
}

// queuedRefusal is a version of a refusal's row and when it is deleted.
type queuedRefusal struct {
	id       job.ID
	version  platform.Version
	deleteAt time.Time
}

// add records a refusal.
func (r *refusalRecords) add(now time.Time, id job.ID, v platform.Version) {
	if r.records == nil {
		r.records = map[job.ID]platform.Version{}
	}
	r.records[id] = v
	r.queue = append(r.queue, queuedRefusal{id, v, now.Add(refusalRetention)})
}

// remove forgets a refusal whose row was replaced or deleted. Otherwise the deletion of the others
// in its transaction would fail too.
func (r *refusalRecords) remove(id job.ID) { delete(r.records, id) }

// due removes the records that are due and returns a transaction for each partition that deletes
// rows. A row that has changed since is kept, and with it the others of its transaction: they
// cost a few bytes until the next owner reads them.
func (r *refusalRecords) due(now time.Time) []platform.Transaction {
	if now.Before(r.nextPrune) {
		return nil
	}
	r.nextPrune = now.Add(refusalPruneInterval)
	byPartition := map[string]platform.Transaction{}
	for len(r.queue) > 0 && !now.Before(r.queue[0].deleteAt) {
		x := r.queue[0]
		if r.records[x.id] == x.version {
			key := cancelKey(x.id)
			tx := byPartition[key.Partition]
			if len(tx.Removals) >= maxRefusalRemovals {
				r.nextPrune = now.Add(refusalPruneDelay)
				break
			}
			tx.Conditions = append(tx.Conditions, platform.Condition{RowKey: key, Version: x.version})
			tx.Removals = append(tx.Removals, key)
			byPartition[key.Partition] = tx
			delete(r.records, x.id)
		}
		r.queue = r.queue[1:]
	}
	var out []platform.Transaction
	for _, p := range slices.Sorted(maps.Keys(byPartition)) {
		out = append(out, byPartition[p])
	}
	return out
}

// recordRefusal reports whether a job's cancellation records a refusal, and remembers it if so. A
// row that can't be decoded counts as a cancellation.
func (o *owner) recordRefusal(now time.Time, id job.ID, r *platform.Row) bool {
	_, refused, err := decodeRefusal(r)
	if err != nil {
		o.log.Error().Err(err).Str("event", "row_ignored").Str("job", string(id)).Send()
		return false
	}
	if refused {
		o.refusals.add(now, id, r.Version)
		o.scheduler.JobRefused(now, id)
	}
	return refused
}

// forgetRefusal forgets a refusal that its job or a cancellation has replaced.
func (o *owner) forgetRefusal(id job.ID) {
	o.refusals.remove(id)
	o.scheduler.ForgetRefusal(id)
}

// deleteOldRefusals deletes the records of refusals whose callers haven't returned.
func (o *owner) deleteOldRefusals(ctx context.Context, now time.Time) {
	for _, tx := range o.refusals.due(now) {
		for _, key := range tx.Removals {
			id, _ := splitJobKey(key.Key)
			o.scheduler.ForgetRefusal(id)
		}
		o.workers.Go(func() { o.deleteRefusals(ctx, tx) })
	}
}

// deleteRefusals deletes old records of refusals.
func (o *owner) deleteRefusals(ctx context.Context, tx platform.Transaction) {
	callCtx, cancel := context.WithTimeout(ctx, tableWriteTimeout)
	defer cancel()
	if _, err := o.node.table.Apply(callCtx, tx); err != nil {
		var conflict *platform.ConflictError
		o.log.Info().Err(err).Str("event", "refusals_kept").Bool("changed", errors.As(err, &conflict)).Int("rows", len(tx.Removals)).Send()
	}
}
