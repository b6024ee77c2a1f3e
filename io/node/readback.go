package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

const (
	// minOverdue and overdueFactor, times the usual time of an answer, say when a
	// transaction's answer is overdue; the table answers in about 4 ms.
	minOverdue    = 30 * time.Millisecond
	overdueFactor = 3
	// conclusiveFactor is the part of the transaction's age that a reading may take for
	// what it shows to hold of the transaction: in a slow table both are on their way.
	conclusiveFactor = 2
)

// applyResult is what came of a transaction.
type applyResult struct {
	version platform.Version
	err     error
}

// applyAndVerify sends a transaction and, once its answer is overdue, reads whether it was
// carried out. When the table loses a third of its answers, the owner would else wait
// for each of them for a quarter of a second: all starts wait with it, and with two
// losses in a row its right ends. A reading changes nothing, so that it may race the
// answer; and in a slow table it takes no part of the transactions' time.
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
	a := <-results
	return a.version, a.err
}

// readBackRenewal waits until the answer of the present batch is overdue and reads the renewal until
// that shows the batch, or that it isn't there though the table answers readings soon:
// then the transaction is lost or late, and is best sent again. It returns 0 once ctx
// has ended.
func (c *committer) readBackRenewal(ctx context.Context) (platform.Version, error) {
	started := bootNow()
	for supervisor.Sleep(ctx, max(minOverdue, overdueFactor*c.latency.typical())) {
		readSent := bootNow()
		row, _, err := c.table.Get(ctx, renewalKey)
		if err != nil || row == nil {
			c.log.Debug().Err(err).Msg("the renewal was not read")
			continue
		}
		if c.isCurrentBatch(row) {
			c.log.Info().Str("event", "answer_lost").Int64("batch", c.batch).Dur("after_ms", bootNow().Sub(started)).Send()
			return row.Version, nil
		}
		if bootNow().Sub(readSent)*conclusiveFactor < readSent.Sub(started) {
			return 0, errors.Wrap(platform.ErrNoAnswer, "not carried out by now")
		}
	}
	return 0, nil
}

// isCurrentBatch tells whether a renewal is that of the present batch.
func (c *committer) isCurrentBatch(row *platform.Row) bool {
	r, err := decodeRow[renewalRow](row)
	if err != nil {
		c.log.Error().Err(err).Msg("unreadable renewal")
		return false
	}
	return r.Life == c.tenure.life && r.Batch == c.batch
}
