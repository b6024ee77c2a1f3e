package peer

import (
	"context"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/core/shard"
	"lavenderpond/core/table"
	"lavenderpond/io/platform"
)

// runTable makes all calls to the table, one at a time. Reads must not overtake each
// other, because a row that is missing from a reply means "unchanged since the previous
// read".
func (sm *ShardManager) runTable(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-sm.tableWake:
		}
		for sm.processTableWork(ctx) {
		}
	}
}

// processTableWork executes the queued table commands. It returns false if there were
// none.
func (sm *ShardManager) processTableWork(ctx context.Context) bool {
	sm.mu.Lock()
	swaps, readPending := sm.pendingSwaps, sm.readPending
	sm.pendingSwaps, sm.readPending = nil, false
	sm.mu.Unlock()
	tableDown := false
	for _, s := range swaps {
		tableDown = !sm.executeSwap(ctx, s, tableDown)
	}
	if readPending {
		sm.readRows(ctx)
	}
	return len(swaps) > 0 || readPending
}

// executeSwap executes a swap and reports its outcome to the LeaseManager. With tableDown,
// which means that the table didn't answer an earlier swap of the same batch, the swap
// isn't sent: a queue of swaps that each wait for a timeout would delay the reads.
// executeSwap returns whether the table answered.
func (sm *ShardManager) executeSwap(ctx context.Context, c shard.SwapRow, tableDown bool) (ok bool) {
	settled := shard.SwapSettled{Shard: c.Shard, Version: c.Version, SentAt: sm.now(), Outcome: shard.SwapUnreachable}
	if !tableDown {
		settled.Outcome = sm.transact(ctx, c)
	}
	sm.handle(settled)
	if settled.Outcome == shard.SwapApplied && c.Row.Holder != sm.cfg.Params.Self {
		sm.mu.Lock()
		sm.enqueue(c.Row.Holder, func(b *ShardBatch) { b.Look = true })
		sm.mu.Unlock()
	}
	return settled.Outcome == shard.SwapApplied || settled.Outcome == shard.SwapConflict
}

// transact sends a swap to the table and returns its outcome. Any error other than a
// conflict or an unreachable table means that the swap may have been applied.
func (sm *ShardManager) transact(ctx context.Context, c shard.SwapRow) shard.Outcome {
	t, err := c.Transaction(sm.cfg.Params.Zone)
	if err != nil {
		return shard.SwapUnreachable
	}
	err = sm.cfg.Table.Transact(ctx, t)
	switch {
	case err == nil:
		return shard.SwapApplied
	case errors.Is(err, table.ErrConflict):
		return shard.SwapConflict
	case errors.Is(err, table.ErrUnreachable):
		return shard.SwapUnreachable
	default:
		return shard.SwapUnknown
	}
}

func (sm *ShardManager) readRows(ctx context.Context) {
	sentAt := sm.now()
	rows, err := sm.rows.read(ctx)
	if err != nil {
		sm.cfg.Log.Debug().Err(err).Msg("failed to read the shard rows")
		return
	}
	sm.handle(shard.RowsRead{SentAt: sentAt, Rows: rows})
}

// rowReader reads all shard rows of a zone at first, and then only the changes.
type rowReader struct {
	table    platform.Table
	zone     core.ZoneID
	revision table.Revision
	scanned  bool
}

func (r *rowReader) read(ctx context.Context) ([]shard.VersionedRow, error) {
	prefix := table.PrefixShard + string(r.zone) + "/"
	var rows []table.Row
	var revision table.Revision
	var err error
	if r.scanned {
		rows, revision, err = r.table.Changes(ctx, prefix, r.revision)
	} else {
		rows, revision, err = r.table.Scan(ctx, prefix)
	}
	if err != nil {
		return nil, err
	}
	decoded, err := decodeRows(prefix, rows)
	if err != nil {
		// The revision is kept, so that the next read returns these rows again. If they
		// were skipped, they would count as unchanged.
		return nil, err
	}
	r.scanned, r.revision = true, revision
	return decoded, nil
}

func decodeRows(prefix string, rows []table.Row) ([]shard.VersionedRow, error) {
	var decoded []shard.VersionedRow
	for _, row := range rows {
		i, err := strconv.ParseUint(strings.TrimPrefix(string(row.Key), prefix), 10, 32)
		if err != nil {
			return nil, errors.Wrapf(err, "parse the key of shard row %s", row.Key)
		}
		v := shard.VersionedRow{Shard: core.ShardIndex(i), Version: row.Version}
		if err := row.Decode(&v.Row); err != nil {
			return nil, err
		}
		decoded = append(decoded, v)
	}
	return decoded, nil
}
