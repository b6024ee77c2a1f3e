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

// runTable does the table's work one step at a time: a read must not overtake
// another, since rows left out of a reply stand for "as at the read before".
func (k *ShardKeeper) runTable(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.tableWork:
		}
		for k.tableStep(ctx) {
		}
	}
}

func (k *ShardKeeper) tableStep(ctx context.Context) bool {
	k.mu.Lock()
	swaps, reading := k.swaps, k.reading
	k.swaps, k.reading = nil, false
	k.mu.Unlock()
	down := false
	for _, s := range swaps {
		down = !k.swap(ctx, s, down)
	}
	if reading {
		k.read(ctx)
	}
	return len(swaps) > 0 || reading
}

// swap sends one swap, or settles it unsent once the table has failed: a queue of
// swaps that each wait for a timeout would hold up the reads.
func (k *ShardKeeper) swap(ctx context.Context, c shard.SwapRow, down bool) (ok bool) {
	settled := shard.SwapSettled{Shard: c.Shard, Version: c.Version, SentAt: k.now(), Outcome: shard.SwapUnreachable}
	if !down {
		settled.Outcome = k.transact(ctx, c)
	}
	k.handle(settled)
	if settled.Outcome == shard.SwapApplied && c.Row.Holder != k.cfg.Params.Self {
		k.mu.Lock()
		k.post(c.Row.Holder, func(b *ShardBatch) { b.Look = true })
		k.mu.Unlock()
	}
	return settled.Outcome == shard.SwapApplied || settled.Outcome == shard.SwapConflict
}

func (k *ShardKeeper) transact(ctx context.Context, c shard.SwapRow) shard.Outcome {
	t, err := c.Transaction(k.cfg.Params.Zone)
	if err != nil {
		return shard.SwapUnreachable
	}
	err = k.cfg.Table.Transact(ctx, t)
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

func (k *ShardKeeper) read(ctx context.Context) {
	sentAt := k.now()
	rows, err := k.reader.read(ctx)
	if err != nil {
		k.cfg.Log.Debug().Err(err).Msg("shard rows not read")
		return
	}
	k.handle(shard.RowsRead{SentAt: sentAt, Rows: rows})
}

// rowReader reads all shard rows of a zone at once, then only what changed.
type rowReader struct {
	table    platform.Table
	zone     core.ZoneID
	revision table.Revision
	started  bool
}

func (r *rowReader) read(ctx context.Context) ([]shard.VersionedRow, error) {
	prefix := table.PrefixShard + string(r.zone) + "/"
	var rows []table.Row
	var revision table.Revision
	var err error
	if r.started {
		rows, revision, err = r.table.Changes(ctx, prefix, r.revision)
	} else {
		rows, revision, err = r.table.Scan(ctx, prefix)
	}
	if err != nil {
		return nil, err
	}
	decoded, err := decodeRows(prefix, rows)
	if err != nil {
		// Asked for again: a row left out would stand for one that didn't change.
		return nil, err
	}
	r.started, r.revision = true, revision
	return decoded, nil
}

func decodeRows(prefix string, rows []table.Row) ([]shard.VersionedRow, error) {
	var decoded []shard.VersionedRow
	for _, row := range rows {
		i, err := strconv.ParseUint(strings.TrimPrefix(string(row.Key), prefix), 10, 32)
		if err != nil {
			return nil, errors.Wrapf(err, "shard row %s", row.Key)
		}
		v := shard.VersionedRow{Shard: core.ShardIndex(i), Version: row.Version}
		if err := row.Decode(&v.Row); err != nil {
			return nil, err
		}
		decoded = append(decoded, v)
	}
	return decoded, nil
}
