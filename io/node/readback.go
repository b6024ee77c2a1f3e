package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

const (
	// minOverdueDelay and overdueFactor, in multiples of the typical latency, determine when a
	// transaction's answer is overdue. The table answers in about 4 ms.
	minOverdueDelay = 30 * time.Millisecond
	overdueFactor   = 3
	// conclusiveReadFactor is how many times a read's duration the transaction must have been
	// in flight when the read was sent. Otherwise the read proves nothing about the
	// transaction: in a slow table both may still be in flight.
	conclusiveReadFactor = 2
)

// applyResult is the result of applying a transaction.
type applyResult struct {
	version platform.Version
	err     error
}

// applyAndVerify sends a transaction and, once its answer is overdue, reads the renewal
// row to find out whether it was applied. If the table loses a third of its answers, the
// owner would otherwise wait a quarter of a second for each lost one. All task starts
// would wait with it, and two losses in a row would end the ownership. A read changes
// nothing, so it may race with the answer, and it doesn't delay transactions in a slow
// table.
func (c *committer) applyAndVerify(ctx context.Context, tx platform.Transaction) (platform.Version, error) {
	ctx, cancel := context.WithCancel(ctx)
	var g supervisor.Group
	defer g.Wait()
	defer cancel()
	results := make(chan applyResult, 2)
	g.Go(func() {
		v, err := c.table.Apply(ctx, tx)
		results <- applyResult{v, err}
	})
	g.Go(func() {
		v, err := c.readBackRenewal(ctx)
		if v != 0 || err != nil {
			results <- applyResult{v, err}
		}
	})
	result := <-results
	return result.version, result.err
}

// readBackRenewal waits until the answer to the current batch is overdue and then reads
// the renewal row repeatedly. It returns the row's version once the row shows the batch.
// It returns an error once a fast read shows that the batch isn't applied: the transaction
// is then lost or late and is best sent again. It returns 0 once ctx has ended.
func (c *committer) readBackRenewal(ctx context.Context) (platform.Version, error) {
	started := bootNow()
	for supervisor.Sleep(ctx, max(minOverdueDelay, overdueFactor*c.latency.averageLatency())) {
		readSent := bootNow()
		row, _, err := c.table.Get(ctx, renewalKey)
		if err != nil || row == nil {
			c.log.Debug().Err(err).Msg("renewal row could not be read")
			continue
		}
		if c.isCurrentBatch(row) {
			c.log.Info().Str("event", "answer_lost").Int64("batch", c.batch).Dur("after_ms", bootNow().Sub(started)).Send()
			return row.Version, nil
		}
		if bootNow().Sub(readSent)*conclusiveReadFactor < readSent.Sub(started) {
			return 0, errors.Wrap(platform.ErrNoAnswer, "transaction not applied yet")
		}
	}
	return 0, nil
}

// isCurrentBatch reports whether a renewal row was written by the current batch.
func (c *committer) isCurrentBatch(row *platform.Row) bool {
	r, err := decodeRow[renewalRow](row)
	if err != nil {
		c.log.Error().Err(err).Msg("renewal row could not be decoded")
		return false
	}
	return r.RunID == c.tenure.runID && r.Batch == c.batch
}
