package platform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/table"
)

var changeStart = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

// lossyTable loses answers to writes, is unreachable at times, and calls beforeWrite before
// some writes, which lets another operator write first. If reliable is set, it does none of
// these.
type lossyTable struct {
	rows        table.Memory
	rand        *rand.Rand
	beforeWrite func()
	reliable    bool
}

func (t *lossyTable) chance(percent int) bool { return !t.reliable && t.rand.IntN(100) < percent }

func (t *lossyTable) Read(_ context.Context, key table.Key) (table.Row, error) {
	if t.chance(10) {
		return table.Row{}, table.ErrUnreachable
	}
	return t.rows.Read(key), nil
}

func (t *lossyTable) Scan(_ context.Context, prefix string) ([]table.Row, table.Revision, error) {
	return t.rows.Scan(prefix), t.rows.Revision(), nil
}

func (t *lossyTable) Changes(_ context.Context, prefix string, since table.Revision) ([]table.Row, table.Revision, error) {
	if t.chance(10) {
		return nil, 0, table.ErrUnreachable
	}
	return t.rows.Changes(prefix, since), t.rows.Revision(), nil
}

func (t *lossyTable) Transact(_ context.Context, tx table.Transaction) error {
	if hook := t.beforeWrite; hook != nil && t.chance(40) {
		t.beforeWrite = nil
		hook()
		t.beforeWrite = hook
	}
	if t.chance(10) {
		return table.ErrUnreachable
	}
	err := t.rows.Transact(tx)
	if t.chance(30) {
		return table.ErrOutcomeUnknown
	}
	return err
}

// racingOperators are two operators who set one team's limit. Each repeats a change under
// its id until its outcome is certain.
type racingOperators struct {
	t            *lossyTable
	ignoreRecord bool
	sent         map[core.ChangeID]core.Slots
	done         map[core.ChangeID]bool
	refused      map[core.ChangeID]bool
}

func (o *racingOperators) set(id core.ChangeID, n core.Slots) {
	o.sent[id] = n
	c := config.SetTeam{Author: string(id), Team: "frames", Value: config.Team{Share: 1, Limit: n}}
	for range 20 {
		a := applier{table: o.t, change: c, id: id, now: changeStart, ignoreRecord: o.ignoreRecord}
		_, err := a.run(context.Background())
		switch core.ErrorCode(err) {
		case core.CodeConflict:
			o.refused[id] = true
			return
		case core.CodeChangeUnknown, core.CodePlatformDown:
			continue
		}
		o.done[id] = err == nil
		return
	}
}

// Two operators change one key at the same time, answers are lost after the write took
// effect, and the operators repeat their changes. According to the audit records, each
// change must take effect at most once, a change reported as done must have been written,
// and a refused one must not. If the record of the change id is ignored, a command whose
// answer was lost mistakes its own write for another operator's and reports a false refusal.
func TestApplyTakesEffectOnce(t *testing.T) {
	const seeds = 500
	for _, ignoreRecord := range []bool{false, true} {
		wrongSeeds, races, done := 0, 0, 0
		for seed := range uint64(seeds) {
			o := &racingOperators{
				t: &lossyTable{rand: rand.New(rand.NewPCG(seed, 3))}, ignoreRecord: ignoreRecord,
				sent: map[core.ChangeID]core.Slots{}, done: map[core.ChangeID]bool{}, refused: map[core.ChangeID]bool{},
			}
			n := core.Slots(0)
			o.t.beforeWrite = func() { n++; o.set(core.ChangeID(fmt.Sprint("bo", n)), 100+n) }
			for i := range 10 {
				o.set(core.ChangeID(fmt.Sprint("ana", i)), core.Slots(i+1))
			}
			count := map[core.ChangeID]int{}
			for _, row := range o.t.rows.Scan(table.PrefixAudit) {
				var audit config.AuditRecord
				assert.NilError(t, row.Decode(&audit))
				count[audit.Change]++
			}
			wrongChanges := 0
			for id := range o.sent {
				switch {
				case count[id] > 1, o.done[id] && count[id] != 1, o.refused[id] && count[id] != 0:
					wrongChanges++
				}
				if o.refused[id] {
					races++
				}
			}
			done += len(o.done)
			if wrongChanges > 0 {
				assert.Check(t, ignoreRecord, "seed %d: %d changes took effect twice or were reported wrongly", seed, wrongChanges)
				wrongSeeds++
			}
		}
		t.Logf("ignoreRecord %t: %d of %d seeds wrong, %d changes done, %d refused after a race", ignoreRecord, wrongSeeds, seeds, done, races)
		assert.Check(t, wrongSeeds > 0 == ignoreRecord)
	}
}

// The error for the operator whose change comes second must name the change that came first
// and what the row contains now.
func TestConflictNamesFirstChange(t *testing.T) {
	tbl := &lossyTable{reliable: true}
	team := func(author string, n core.Slots) config.Change {
		return config.SetTeam{Author: author, Team: "frames", Value: config.Team{Share: 1, Limit: n}}
	}
	a := applier{table: tbl, change: team("ana", 5), id: "a1", now: changeStart}
	rows, err := a.read(context.Background())
	assert.NilError(t, err)
	assert.NilError(t, a.checkBase(context.Background(), rows))
	applied, err := Apply(context.Background(), tbl, team("bo", 7), "b1", changeStart)
	assert.NilError(t, err)
	assert.Equal(t, applied.Version, core.Version(1))
	_, err = a.run(context.Background())
	assert.Error(t, err, `conflict (400): config/team/frames was changed first, by bo in change b1: {"share":1,"limit":7}; `+
		`read it again and repeat under a new change id`)
}
