package shard

import (
	"errors"

	"lavenderpond/core/table"
)

func (w *world) read(e *worldEntry) {
	if w.down[e.name] {
		return
	}
	sentAt := w.now(e)
	w.later(nil, w.r.Intn(2), func() {
		var v VersionedRow
		row := w.table.Read(table.ShardKey("a", 0))
		v.Version = row.Version
		if err := row.Decode(&v.Row); err != nil {
			panic(err)
		}
		w.later(e, w.r.Intn(2), func() { w.handle(e, RowsRead{SentAt: sentAt, Rows: []VersionedRow{v}}) })
	})
}

// swap loses some answers: the write never happens, happened, or happens
// late.
func (w *world) swap(e *worldEntry, c SwapRow) {
	sentAt, lost, delay := w.now(e), w.r.Float64() < w.faults.lost, w.r.Intn(2)
	settle := func(o Outcome) {
		w.later(e, w.r.Intn(2), func() {
			w.handle(e, SwapSettled{Shard: c.Shard, Version: c.Version, SentAt: sentAt, Outcome: o})
		})
	}
	switch {
	case w.down[e.name] && !lost:
		settle(SwapDown)
		return
	case w.down[e.name]:
		settle(SwapUnknown)
		return
	case lost && w.r.Intn(2) == 0:
		delay = w.r.Intn(maxLate)
	}
	if lost {
		settle(SwapUnknown)
	}
	w.later(nil, delay, func() {
		o := w.transact(e, c)
		if !lost {
			settle(o)
		}
	})
}

func (w *world) transact(e *worldEntry, c SwapRow) Outcome {
	var old Row
	if err := w.table.Read(table.ShardKey("a", 0)).Decode(&old); err != nil {
		panic(err)
	}
	t, err := c.Transaction("a")
	if err != nil {
		panic(err)
	}
	if errors.Is(w.table.Transact(t), table.ErrConflict) {
		return SwapConflict
	}
	w.say("%s writes version %d: %s", e.name, c.Version+1, t.Writes[0].Value)
	switch {
	case old.Epoch == 0 || c.Row.Epoch == old.Epoch:
	case old.Holder == e.name:
		w.result.handOvers++
	default:
		w.result.takeOvers++
		if c.Row.Mirrored {
			w.result.inSync++
		}
	}
	return SwapApplied
}
