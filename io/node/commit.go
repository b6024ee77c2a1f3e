package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lavenderpond/core/admission"
	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

const (
	// renewalInterval is how often the owner renews its ownership when it has nothing to
	// store. Three renewals fit into the period after a confirmation in which the owner may
	// order machines.
	renewalInterval = 250 * time.Millisecond
	// batchDelay is how long saves are collected into one transaction. The platform bills
	// each transaction, and the table takes 300 of them a second.
	batchDelay = 12 * time.Millisecond
	// maxBatchRows keeps a transaction, including its conditions and the renewal, below
	// the table's limit on rows.
	maxBatchRows = platform.MaxTransactionRows - 10
	// minCommitTimeout and maxCommitTimeout bound the wait for an answer. The table
	// answers in about 4 ms; the upper bound is for a slow table.
	minCommitTimeout = 250 * time.Millisecond
	maxCommitTimeout = 1500 * time.Millisecond
	// maxTimeoutDoublings bounds how often the wait doubles. maxCommitTimeout is reached
	// before that.
	maxTimeoutDoublings = 3
	// refusedRetryDelay is the pause after the table refused a transaction.
	refusedRetryDelay = 60 * time.Millisecond
)

// committer stores the scheduler's saves in order and renews the ownership in the same
// transactions.
type committer struct {
	table  *platform.Table
	tenure *tenure
	log    zerolog.Logger
	// renewal is the version of the last renewal, batch the number of the last transaction.
	renewal platform.Version
	batch   int64
	latency latencyEstimator
	// onRefused is called for each save that the table refuses for good, before onStored is called
	// for its sequence.
	onRefused func(save schedule.Command)
	// refusedRows are the rows whose last update was refused for good.
	refusedRows map[platform.RowKey]bool
	// rowBytes is the largest value of a row that the table accepts; 0 if it isn't known.
	rowBytes int
	// onStored is called after each transaction with the last sequence that is stored
	// completely.
	onStored func(sequence int64)
	// backlog returns the number of jobs per queue that haven't begun, or nil before the
	// first count.
	backlog func() map[job.QueueName]int
	// entries returns the number of entry VMs. A nil function means that it isn't known.
	entries func() int
	// full returns whether entry VMs are to refuse further jobs; nil means never.
	full func() bool
	// memory measures this process; it may be nil.
	memory        *memoryMeter
	recordLatency func(d time.Duration)
	// count increments a counter.
	count  func(name string)
	health *tableHealth
	// forecast returns the forecast to store now, if one is due; it may be nil.
	forecast func() (admission.Forecast, bool)

	mu    sync.Mutex
	queue []schedule.Command
	// parts holds the number of stored parts of each divided row.
	parts map[platform.RowKey]int
	wake  chan struct{}
}

// add queues saves to be stored.
func (c *committer) add(saves []schedule.Command) {
	c.mu.Lock()
	c.queue = append(c.queue, saves...)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run stores saves and renews the ownership until ctx ends or the ownership is lost.
func (c *committer) run(ctx context.Context) error {
	for ctx.Err() == nil {
		c.awaitWork(ctx)
		saves, last := c.nextBatch()
		if err := c.store(ctx, saves); err != nil {
			c.logUnstored(saves)
			return err
		}
		if last > 0 {
			c.onStored(last)
		}
	}
	return nil
}

// logUnstored logs how many saves are left unstored when the tenure ends. inFlight are the
// saves of the transaction that failed.
func (c *committer) logUnstored(inFlight []schedule.Command) {
	c.mu.Lock()
	queued := len(c.queue)
	c.mu.Unlock()
	if n := len(inFlight) + queued; n > 0 {
		c.log.Info().Str("event", "saves_unstored").Int("saves", n).Uint64("fence", uint64(c.tenure.fence)).Send()
	}
}

// awaitWork waits until there are saves to store or a renewal is due.
func (c *committer) awaitWork(ctx context.Context) {
	c.mu.Lock()
	n := len(c.queue)
	c.mu.Unlock()
	if n >= maxBatchRows || !c.tenure.mayOrderMachines(bootNow()) {
		// A renewal that took many attempts is already old when its answer arrives, so the
		// next one is due immediately.
		return
	}
	if n == 0 {
		t := time.NewTimer(renewalInterval)
		defer t.Stop()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			return
		case <-c.wake:
		}
	}
	supervisor.Sleep(ctx, batchDelay)
}

// nextBatchSize returns how many of the queued saves fit into one transaction. Saves of
// the same row count once, since only the last of them is written. When the table is slow,
// a job's saves pile up, and most of them needn't be written at all.
func (c *committer) nextBatchSize() int {
	rows := map[platform.RowKey]bool{}
	for i, s := range c.queue {
		rows[rowChangeFor(s, &c.tenure.clock).key] = true
		if len(rows) > maxBatchRows {
			return i
		}
	}
	return len(c.queue)
}

// nextBatch takes saves off the queue. last is the sequence up to which everything is
// stored once these saves are, or 0 if no sequence is complete.
func (c *committer) nextBatch() (saves []schedule.Command, last int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nextBatchSize()
	saves = c.queue[:n:n]
	c.queue = c.queue[n:]
	if n == 0 {
		return nil, 0
	}
	last, _ = schedule.SequenceOf(saves[n-1])
	if len(c.queue) == 0 {
		return saves, last
	}
	if nextSequence, _ := schedule.SequenceOf(c.queue[0]); nextSequence == last {
		last--
	}
	return saves, last
}

func (c *committer) entryCount() int {
	if c.entries == nil {
		return 0
	}
	return c.entries()
}

// memoryMB returns the memory that this process needs, or 0 if that isn't known.
func (c *committer) memoryMB() int64 {
	if c.memory == nil {
		return 0
	}
	return c.memory.megabytes(bootNow())
}

// transaction builds the transaction that stores the updates. Its conditions require the
// owner's row and the last renewal to be unchanged. The first condition keeps a former
// owner from writing. The second keeps an earlier transaction whose answer was lost from
// being applied after this one and undoing it.
func (c *committer) transaction(updates []rowUpdate) (platform.Transaction, error) {
	tx := platform.Transaction{Conditions: []platform.Condition{
		{RowKey: ownerKey, Version: c.tenure.fence},
		{RowKey: renewalKey, Version: c.renewal},
	}}
	backlog := c.backlog()
	value, err := encodeRow(renewalRow{
		RunID: c.tenure.runID, Batch: c.batch, Counted: backlog != nil, Backlog: backlog, Entries: c.entryCount(), MemoryMB: c.memoryMB(),
		Full: c.full != nil && c.full(),
	})
	if err != nil {
		return tx, err
	}
	tx.Writes = append(tx.Writes, platform.Write{RowKey: renewalKey, Value: value})
	c.addForecast(&tx)
	for i := range updates {
		updates[i].addTo(&tx)
	}
	return tx, nil
}

// addForecast adds the forecast to a transaction if one is due. Without it, the entry VMs take in
// every job once the last one is too old.
func (c *committer) addForecast(tx *platform.Transaction) {
	if c.forecast == nil {
		return
	}
	f, due := c.forecast()
	if !due {
		return
	}
	value, err := encodeRow(f)
	if err == nil && c.rowBytes > 0 && len(value) > c.rowBytes {
		err = errors.Errorf("%d bytes, limit %d", len(value), c.rowBytes)
	}
	if err != nil {
		c.log.Error().Err(err).Str("event", "forecast_unstored").Send()
		return
	}
	tx.Writes = append(tx.Writes, platform.Write{RowKey: forecastKey, Value: value})
}

// store stores saves, in as many transactions as their size requires. Each of them renews the
// ownership. It returns errOwnershipLost once the ownership is lost. If ctx ends before everything
// is known to be stored, it returns the cause.
func (c *committer) store(ctx context.Context, saves []schedule.Command) error {
	for _, group := range c.groupUpdates(c.encodeUpdates(saves)) {
		if err := c.storeGroup(ctx, group); err != nil {
			return err
		}
	}
	return nil
}

// storeGroup stores a group of updates. A group that the table refuses for good is stored in halves,
// down to the single row that it refuses, so that this row keeps no other waiting.
func (c *committer) storeGroup(ctx context.Context, group []rowUpdate) error {
	err := c.applyGroup(ctx, group)
	if !platform.RefusedForGood(err) {
		return err
	}
	switch n := len(group); n {
	case 0:
		// Nothing can be left out of a renewal.
		supervisor.Sleep(ctx, refusedRetryDelay)
		return nil
	case 1:
		c.setAside(&group[0], err)
		return nil
	default:
		if err := c.storeGroup(ctx, group[:n/2]); err != nil {
			return err
		}
		return c.storeGroup(ctx, group[n/2:])
	}
}

// applyGroup applies the transaction that stores a group of updates. It retries until the outcome is
// known, unless the table refuses the transaction for good.
func (c *committer) applyGroup(ctx context.Context, group []rowUpdate) error {
	c.batch++
	tx, err := c.transaction(group)
	if err != nil {
		return err
	}
	firstSent := time.Time{}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		sent := bootNow()
		version, err := c.apply(ctx, tx, c.attemptTimeout(attempt))
		refused := errors.Is(err, platform.ErrBusy) || errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrNotSent)
		if firstSent.IsZero() && !refused {
			firstSent = sent
		}
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			c.recordStored(firstSent, sent, version)
			c.recordGroup(group)
			return nil
		case errors.As(err, &conflict):
			err := c.resolveConflict(firstSent, sent, conflict)
			if err == nil {
				c.recordGroup(group)
			}
			return err
		case platform.RefusedForGood(err):
			c.logFailedAttempt(err, attempt, tx)
			return err
		case refused:
			supervisor.Sleep(ctx, refusedRetryDelay)
		case bootNow().Sub(sent) < minOverdueDelay:
			// The connection was reset. An immediate retry would probably be reset as
			// fast.
			supervisor.Sleep(ctx, minOverdueDelay)
		}
		c.logFailedAttempt(err, attempt, tx)
	}
	return context.Cause(ctx)
}

// logFailedAttempt counts a failed attempt. It logs the first one and then each time that the number
// of attempts has doubled.
func (c *committer) logFailedAttempt(err error, attempt int, tx platform.Transaction) {
	c.count("transaction_failed")
	if attempt&(attempt+1) != 0 {
		return
	}
	c.log.Warn().Err(err).Str("event", "transaction_failed").Int64("batch", c.batch).Int("attempt", attempt+1).
		Int("entries", tx.Entries()).Int("bytes", tx.Size()).Send()
}

func (c *committer) apply(ctx context.Context, tx platform.Transaction, timeout time.Duration) (platform.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started := bootNow()
	v, err := c.applyAndVerify(ctx, tx)
	took := bootNow().Sub(started)
	c.recordLatency(took)
	c.latency.observe(took, !errors.Is(err, platform.ErrNoAnswer))
	return v, err
}

// attemptTimeout returns how long to wait for the answer to an attempt. It doubles with
// each attempt, because a transaction that is abandoned and sent again occupies its
// partition of the table as long as the first one did. When transactions slowed down from
// 3 ms to 258 ms, growing the wait by an eighth per attempt kept the owner from renewing
// its ownership for 1.3 s.
func (c *committer) attemptTimeout(attempt int) time.Duration {
	return min(c.latency.timeout(minCommitTimeout)<<min(attempt, maxTimeoutDoublings), maxCommitTimeout)
}

// resolveConflict examines a failed condition. The transaction may already have been
// applied by an attempt whose answer was lost.
func (c *committer) resolveConflict(firstSent, sent time.Time, conflict *platform.ConflictError) error {
	owner, renewal := conflict.Row(ownerKey), conflict.Row(renewalKey)
	if owner == nil || owner.Version != c.tenure.fence || renewal == nil {
		return errOwnershipLost
	}
	r, err := decodeRow[renewalRow](renewal)
	if err != nil {
		return err
	}
	if r.RunID != c.tenure.runID || r.Batch != c.batch {
		return errors.Wrapf(errOwnershipLost, "the renewal row holds batch %d of run %s, not batch %d", r.Batch, r.RunID, c.batch)
	}
	c.recordStored(firstSent, sent, renewal.Version)
	return nil
}

// recordStored records that the transaction was applied. firstSent is when the first call
// that may have applied the transaction was sent, and sent is when the call whose answer
// confirms it was sent.
func (c *committer) recordStored(firstSent, sent time.Time, version platform.Version) {
	c.renewal = version
	c.tenure.recordRenewal(version)
	c.tenure.confirm(firstSent, sent)
	c.health.recordAnswer(mainPartition)
}
