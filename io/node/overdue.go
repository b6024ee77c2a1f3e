package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

const (
	// overdueLeast and overdueFactor, times the usual time of an answer, say when a
	// transaction's answer is overdue; the table answers in about 4 ms.
	overdueLeast  = 30 * time.Millisecond
	overdueFactor = 3
	// conclusivePart is the part of the transaction's age that a reading may take for
	// what it shows to hold of the transaction: in a slow table both are on their way.
	conclusivePart = 2
)

// applied is what came of a transaction.
type applied struct {
	version platform.Version
	err     error
}

// applyOrSee sends a transaction and, once its answer is overdue, reads whether it was
// carried out. When the table loses a third of its answers, the owner would else wait
// for each of them for a quarter of a second: all starts wait with it, and with two
// losses in a row its right ends. A reading changes nothing, so that it may race the
// answer; and in a slow table it takes no part of the transactions' time.
func (c *committer) applyOrSee(ctx context.Context, tx platform.Transaction) (platform.Version, error) {
	ctx, cancel := context.WithCancel(ctx)
	var g supervisor.Group
	defer g.Wait()
	defer cancel()
	out := make(chan applied, 2)
	g.Go(func() {
		v, err := c.table.Apply(ctx, tx)
		out <- applied{v, err}
	})
	g.Go(func() {
		v, err := c.see(ctx)
		if v != 0 || err != nil {
			out <- applied{v, err}
		}
	})
	a := <-out
	return a.version, a.err
}

// see waits until the answer of the present batch is overdue and reads the renewal until
// that shows the batch, or that it isn't there though the table answers readings soon:
// then the transaction is lost or late, and is best sent again. It returns 0 once ctx
// has ended.
func (c *committer) see(ctx context.Context) (platform.Version, error) {
	from := bootNow()
	for supervisor.Sleep(ctx, max(overdueLeast, overdueFactor*c.answers.typical())) {
		asked := bootNow()
		row, _, err := c.table.Get(ctx, renewalKey)
		if err != nil || row == nil {
			c.log.Debug().Err(err).Msg("the renewal was not read")
			continue
		}
		if c.isPresent(row) {
			c.log.Info().Str("event", "answer_lost").Int64("batch", c.batch).Dur("after_ms", bootNow().Sub(from)).Send()
			return row.Version, nil
		}
		if bootNow().Sub(asked)*conclusivePart < asked.Sub(from) {
			return 0, errors.Wrap(platform.ErrNoAnswer, "not carried out by now")
		}
	}
	return 0, nil
}

// isPresent tells whether a renewal is that of the present batch.
func (c *committer) isPresent(row *platform.Row) bool {
	r, err := decodeRow[renewalRow](row)
	if err != nil {
		c.log.Error().Err(err).Msg("unreadable renewal")
		return false
	}
	return r.Life == c.tenure.life && r.Batch == c.batch
}
