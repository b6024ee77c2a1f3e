package shard

import (
	"errors"

	"lavenderpond/core/table"
)

func (sim *simulation) read(e *simEntry) {
	if sim.tableUnreachable[e.name] {
		return
	}
	sentAt := sim.now(e)
	sim.schedule(nil, sim.r.Intn(2), func() {
		var v VersionedRow
		row := sim.table.Read(table.ShardKey("a", 0))
		v.Version = row.Version
		if err := row.Decode(&v.Row); err != nil {
			panic(err)
		}
		sim.schedule(e, sim.r.Intn(2), func() { sim.handle(e, RowsRead{SentAt: sentAt, Rows: []VersionedRow{v}}) })
	})
}

// swap loses some answers. In those cases the write never takes effect, has taken
// effect, or takes effect late.
func (sim *simulation) swap(e *simEntry, c SwapRow) {
	sentAt, lost, delay := sim.now(e), sim.r.Float64() < sim.faults.answerLost, sim.r.Intn(2)
	settle := func(o Outcome) {
		sim.schedule(e, sim.r.Intn(2), func() {
			sim.handle(e, SwapSettled{Shard: c.Shard, Version: c.Version, SentAt: sentAt, Outcome: o})
		})
	}
	switch {
	case sim.tableUnreachable[e.name] && !lost:
		settle(SwapUnreachable)
		return
	case sim.tableUnreachable[e.name]:
		settle(SwapUnknown)
		return
	case lost && sim.r.Intn(2) == 0:
		delay = sim.r.Intn(maxLateSteps)
	}
	if lost {
		settle(SwapUnknown)
	}
	sim.schedule(nil, delay, func() {
		o := sim.transact(e, c)
		if !lost {
			settle(o)
		}
	})
}

func (sim *simulation) transact(e *simEntry, c SwapRow) Outcome {
	var old Row
	if err := sim.table.Read(table.ShardKey("a", 0)).Decode(&old); err != nil {
		panic(err)
	}
	t, err := c.Transaction("a")
	if err != nil {
		panic(err)
	}
	if errors.Is(sim.table.Transact(t), table.ErrConflict) {
		return SwapConflict
	}
	sim.tracef("%s writes version %d: %s", e.name, c.Version+1, t.Writes[0].Value)
	switch {
	case old.Epoch == 0 || c.Row.Epoch == old.Epoch:
	case old.Holder == e.name:
		sim.result.handovers++
	default:
		sim.result.takeovers++
		if c.Row.Mirrored {
			sim.result.inSync++
		}
	}
	return SwapApplied
}
