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
	"lavenderpond/core/key"
	"lavenderpond/core/limit"
	"lavenderpond/core/table"
)

// If a reduced limit didn't reach the ledger, a team would continue to start requests up to
// its old limit. In random order, limits and defaults change, exceptions begin and end,
// teams are added, and a peer sends rows that leave a gap before them. After each round, the
// ledger must have the limits that the view has for every team.
func TestLedgerLimitsMatchConfiguration(t *testing.T) {
	const seeds, rounds = 20, 400
	compared := 0
	for seed := range uint64(seeds) {
		now := changeStart
		w := &configChanger{rand: rand.New(rand.NewPCG(seed, 4)), t: t, table: &lossyTable{reliable: true}}
		w.entry = newAllotEntry(w.table, "za", "a#1000", func() time.Time { return now })
		for range rounds {
			now = now.Add(100 * time.Millisecond)
			w.change(now)
			w.entry.allotments.Round(context.Background())
			for _, d := range w.entry.allotments.Dump() {
				w.entry.allotments.Config.View(func(v *config.View) {
					team, _ := v.Team(now, d.Team)
					assert.Assert(t, team.Limit == d.Limit, "seed %d at %s: limit of %s is %d, want %d", seed, now, d.Team, d.Limit, team.Limit)
				})
				compared++
			}
		}
	}
	t.Logf("%d seeds, %d limits compared", seeds, compared)
}

// configChanger changes the configuration of one entry at random.
type configChanger struct {
	t           *testing.T
	rand        *rand.Rand
	table       *lossyTable
	entry       *allotEntry
	changeCount int
}

func (w *configChanger) change(now time.Time) {
	w.changeCount++
	team := core.TeamID(fmt.Sprint("t", w.rand.IntN(8)))
	slots := core.Slots(w.rand.IntN(20))
	switch w.rand.IntN(12) {
	case 0, 1:
		w.apply(now, config.SetTeam{Author: "ana", Team: team, Value: config.Team{Share: 1, Limit: slots}})
	case 2:
		w.apply(now, config.SetDefaults{Author: "ana", Value: config.Defaults{Limit: slots}})
	case 3:
		end := now.Add(time.Duration(1+w.rand.IntN(2500)) * time.Millisecond)
		w.apply(now, config.AddException{
			Author: "ana", ID: fmt.Sprint(w.changeCount), Scope: table.TeamKey(team), Reason: "test", End: end,
			Value: map[string]int{"limit": 1 + w.rand.IntN(30)},
		})
	case 4:
		w.entry.allotments.Limiter().RecordDemand(now, team)
	case 5, 6:
		assert.NilError(w.t, w.entry.watcher.Poll(context.Background()))
	case 7:
		w.receiveWithGap(team)
	}
}

func (w *configChanger) apply(now time.Time, c config.Change) {
	// A change that is refused, such as one of a team that doesn't exist, changes nothing.
	_, _ = Apply(context.Background(), w.table, c, core.ChangeID(fmt.Sprint("c", w.changeCount)), now)
}

// receiveWithGap delivers the latest rows like a peer that overestimates what this entry
// knows: the rows are applied, but the view isn't complete up to them.
func (w *configChanger) receiveWithGap(team core.TeamID) {
	head := w.table.rows.Read(table.ConfigHead)
	var h config.Head
	assert.NilError(w.t, head.Decode(&h))
	rows := []table.Row{head}
	if row := w.table.rows.Read(table.TeamKey(team)); row.Version > 0 {
		rows = append(rows, row)
	}
	_ = w.entry.allotments.Config.ApplyFromPeer(config.Delta{Base: h.Version, Version: h.Version, Rows: rows}, key.Summary{}, "zb", time.Time{})
}

// BenchmarkRound measures one second of rounds at an entry that holds an allotment of each
// team's limit and runs no requests.
func BenchmarkRound(b *testing.B) {
	for _, teams := range []int{6, 60, 620} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			tbl := &lossyTable{reliable: true}
			now := changeStart
			entry := newAllotEntry(tbl, "za", "a#1000", func() time.Time { return now })
			var t table.Transaction
			_ = t.Set(table.ConfigHead, config.Head{Version: 1})
			for i := range teams {
				_ = t.Set(table.TeamKey(core.TeamID(fmt.Sprintf("team_%04d", i))), config.Team{Share: 1, Limit: 200})
			}
			_ = tbl.rows.Transact(t)
			_ = entry.watcher.Poll(context.Background())
			for i := range teams {
				entry.allotments.Limiter().RecordDemand(now, core.TeamID(fmt.Sprintf("team_%04d", i)))
			}
			second := func() {
				for range 10 {
					now = now.Add(100 * time.Millisecond)
					entry.allotments.Round(context.Background())
				}
			}
			for range 5 {
				second()
			}
			for b.Loop() {
				second()
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N), "us/s")
		})
	}
}

// recordingTable records the keys of the rows that polls returned, and counts the polls of
// each prefix.
type recordingTable struct {
	*lossyTable
	seen  map[table.Key]bool
	polls map[string]int
}

func (t *recordingTable) Changes(ctx context.Context, prefix string, since table.Revision) ([]table.Row, table.Revision, error) {
	rows, revision, err := t.lossyTable.Changes(ctx, prefix, since)
	t.polls[prefix]++
	for _, row := range rows {
		t.seen[row.Key] = true
	}
	return rows, revision, err
}

// If each entry read the allotment changes of all seven zones, it would exceed the 10 KB per
// second that it may use for control. Another zone takes an allotment and sets a demand
// mark. This zone's entry must read the team row, which contains both, but not the rows of
// the other zone.
func TestPollReadsOwnZoneRows(t *testing.T) {
	tbl := &recordingTable{lossyTable: &lossyTable{reliable: true}, seen: make(map[table.Key]bool), polls: make(map[string]int)}
	now := changeStart
	entry := newAllotEntry(tbl, "za", "a#1000", func() time.Time { return now })
	var rows table.Transaction
	assert.NilError(t, rows.Set(table.ConfigHead, config.Head{Version: 1}))
	assert.NilError(t, rows.Set(table.TeamKey("frames"), config.Team{Share: 1, Limit: 4}))
	assert.NilError(t, tbl.rows.Transact(rows))
	assert.NilError(t, entry.watcher.Poll(context.Background()))
	entry.allotments.Limiter().RecordDemand(now, "frames")
	entry.rounds(&now, 20)
	assert.Equal(t, entry.allotments.Dump()[0].Part, core.Slots(1))

	for _, team := range []core.TeamID{"frames", "other"} {
		var move table.Transaction
		row := limit.TeamRow{Limit: 4, Zones: map[core.ZoneID]core.Slots{"za": 1, "zb": 3}, DemandMarks: map[core.ZoneID]time.Time{"zb": now.Add(time.Hour)}}
		assert.NilError(t, move.Set(table.TeamAllotmentKey(team), row))
		assert.NilError(t, move.Set(table.ZoneAllotmentKey(team, "zb"), limit.ZoneRow{Entries: map[core.EntryID]core.Slots{"b#1000": 3}}))
		assert.NilError(t, tbl.rows.Transact(move))
	}
	entry.rounds(&now, 40)
	assert.Assert(t, tbl.seen[table.TeamAllotmentKey("frames")])
	assert.Assert(t, tbl.seen[table.ZoneAllotmentKey("frames", "za")])
	assert.Assert(t, !tbl.seen[table.ZoneAllotmentKey("frames", "zb")])
	// The demand mark was noticed: the unused allotment was given back.
	assert.Equal(t, entry.allotments.Dump()[0].Part, core.Slots(0))

	// One minute without changes, then one minute in which a request waits.
	for _, polls := range []int{20, 60} {
		clear(tbl.polls)
		for range 60 {
			if polls == 60 {
				entry.allotments.Limiter().RecordDemand(now, "frames")
			}
			entry.rounds(&now, 10)
		}
		assert.Equal(t, tbl.polls[table.ZoneAllotmentPrefix("za")], 60)
		assert.Equal(t, tbl.polls[table.PrefixTeamAllotment], polls)
	}

	// After a limit changed, no request of the team starts until the rows are read again, so
	// that the team rows are read in the next poll.
	entry.rounds(&now, 30)
	for clear(tbl.polls); tbl.polls[table.PrefixTeamAllotment] == 0; {
		entry.rounds(&now, 1)
	}
	var change table.Transaction
	assert.NilError(t, change.Set(table.ConfigHead, config.Head{Version: 2}))
	assert.NilError(t, change.Set(table.TeamKey("frames"), config.Team{Share: 1, Limit: 3}))
	assert.NilError(t, tbl.rows.Transact(change))
	assert.NilError(t, entry.watcher.Poll(context.Background()))
	entry.rounds(&now, 10)
	assert.Equal(t, tbl.polls[table.PrefixTeamAllotment], 2)
}

// rounds runs n rounds, 100 ms apart.
func (e *allotEntry) rounds(now *time.Time, n int) {
	for range n {
		*now = now.Add(100 * time.Millisecond)
		e.allotments.Round(context.Background())
	}
}
