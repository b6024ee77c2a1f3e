package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core/admission"
	"lavenderpond/core/job"
	"lavenderpond/platform"
)

// outlookPublisher passes the scheduler's forecast from the event loop to the committer. The
// zero value has none.
type outlookPublisher struct {
	mu        sync.Mutex
	publisher admission.Publisher
	forecast  admission.Forecast
	known     bool
}

// set replaces the forecast.
func (p *outlookPublisher) set(f admission.Forecast) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forecast, p.known = f, true
}

// next returns the forecast to store now, if one is due.
func (p *outlookPublisher) next(now time.Time) (admission.Forecast, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.known {
		return admission.Forecast{}, false
	}
	return p.publisher.Next(now, p.forecast)
}

// clear forgets the forecast, so that none is published.
func (p *outlookPublisher) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known = false
}

// publishOutlook hands the scheduler's forecast to the committer.
func (o *owner) publishOutlook(now time.Time) {
	gate := o.node.admission
	gate.sawVersion(o.tenure.lastRenewal())
	if !gate.enabled() {
		o.outlook.clear()
		return
	}
	f := o.scheduler.Outlook(now)
	f.RunID, f.Includes, f.Entries = o.tenure.runID, uint64(o.lastJobVersion), o.relays.memberCount()
	o.outlook.set(f)
}

// nextForecast returns the forecast to store, if one is due. This process doesn't poll the
// owner's rows while it is the owner, so it takes its own forecast as it is sent.
func (o *owner) nextForecast() (admission.Forecast, bool) {
	now := bootNow()
	f, due := o.outlook.next(now)
	if due {
		o.node.admission.update(now, f, o.tenure.runID)
		o.log.Info().Str("event", "room_forecast").Int64("forecast", int64(f.Sequence)).Int("entries", f.Entries).
			Interface("pools", f.Pools).Interface("beyond_share", f.BeyondShare).Send()
	}
	return f, due
}

const (
	// refusalRetention is how long the record of a refusal is kept. No submission that was
	// sent before it can still be on the way then.
	refusalRetention = 10 * time.Minute
	// refusalPruneInterval is how often old records are deleted.
	refusalPruneInterval = time.Minute
	// maxRefusalRemovals bounds the rows of one transaction, each with a condition and a
	// removal.
	maxRefusalRemovals = platform.MaxTransactionRows/2 - 1
)

// refusalRecords are the refusals whose rows are to be deleted some time. The zero value is
// empty.
type refusalRecords struct {
	records   map[job.ID]refusalRecord
	nextPrune time.Time
}

// refusalRecord is the version of a refusal's row and when it is deleted.
type refusalRecord struct {
	version  platform.Version
	deleteAt time.Time
}

// add records a refusal.
func (r *refusalRecords) add(now time.Time, id job.ID, v platform.Version) {
	if r.records == nil {
		r.records = map[job.ID]refusalRecord{}
	}
	r.records[id] = refusalRecord{v, now.Add(refusalRetention)}
}

// due removes the records that are due and returns a transaction for each partition that deletes
// rows. A row that has changed since is kept, and with it the others of its transaction: they
// cost a few bytes until the next owner reads them.
func (r *refusalRecords) due(now time.Time) []platform.Transaction {
	if now.Before(r.nextPrune) {
		return nil
	}
	r.nextPrune = now.Add(refusalPruneInterval)
	byPartition := map[string]*platform.Transaction{}
	for _, id := range slices.Sorted(maps.Keys(r.records)) {
		x := r.records[id]
		key := cancelKey(id)
		tx := byPartition[key.Partition]
		if tx == nil {
			tx = &platform.Transaction{}
			byPartition[key.Partition] = tx
		}
		if now.Before(x.deleteAt) || len(tx.Removals) >= maxRefusalRemovals {
			continue
		}
		delete(r.records, id)
		tx.Conditions = append(tx.Conditions, platform.Condition{RowKey: key, Version: x.version})
		tx.Removals = append(tx.Removals, key)
	}
	var out []platform.Transaction
	for _, p := range slices.Sorted(maps.Keys(byPartition)) {
		if tx := byPartition[p]; len(tx.Removals) > 0 {
			out = append(out, *tx)
		}
	}
	return out
}

// forgetRefusals deletes the records of refusals whose callers haven't returned.
func (o *owner) forgetRefusals(ctx context.Context, now time.Time) {
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
