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
	"lavenderpond/core/limit"
	"lavenderpond/core/table"
)

// fakeLive is the live list of one zone's entries.
type fakeLive struct{ live []Liveness }

func (f *fakeLive) Live(context.Context, core.ZoneID) ([]Liveness, error) { return f.live, nil }

// allotEntry is an entry with its real ConfigWatcher and Allotments over a lossy table.
type allotEntry struct {
	allotments *Allotments
	watcher    *ConfigWatcher
	live       *fakeLive
	running    []core.RequestKey
}

func newAllotEntry(t Table, zone core.ZoneID, id core.EntryID, now func() time.Time) *allotEntry {
	c := &Configuration{Zone: zone, Zones: []core.ZoneID{"za", "zb"}}
	e := &allotEntry{live: &fakeLive{}}
	e.watcher = &ConfigWatcher{Table: t, Config: c, Now: now}
	e.allotments = &Allotments{Table: t, Live: e.live, Config: c, Now: now, Interval: time.Millisecond, sequential: true}
	e.allotments.Ledger = limit.Ledger{Self: id, Zone: zone, MaxLifetime: 30 * time.Second}
	return e
}

// step runs a round of the entry's loops, then starts and ends requests at random.
func (e *allotEntry) step(now time.Time, r *rand.Rand, nextID *int) {
	_ = e.watcher.Poll(context.Background())
	e.allotments.Round(context.Background())
	l := e.allotments.Limiter()
	for range r.IntN(3) {
		*nextID++
		key := core.RequestKey{Team: "frames", ID: core.RequestID(fmt.Sprint(*nextID))}
		if l.Acquire(now, key, now.Add(20*time.Second)) {
			e.running = append(e.running, key)
		} else {
			l.RecordDemand(now, "frames")
		}
	}
	if len(e.running) > 0 && r.IntN(2) == 0 {
		l.Release(e.running[0])
		e.running = e.running[1:]
	}
}

const allotLimit = 5

// runAllotments returns the largest number of requests that ran at the same time, and the
// slots that were still allotted at the end.
func runAllotments(t *testing.T, seed uint64, assumeLostApplied bool) (maxRunning int, remaining core.Slots) {
	tbl := &lossyTable{rand: rand.New(rand.NewPCG(seed, 9)), reliable: true}
	now, started := changeStart, 0
	stopping := false
	clock := func() time.Time {
		if stopping {
			// Each reading of the clock advances it, so that waits end.
			now = now.Add(5 * time.Millisecond)
		}
		return now
	}
	team := config.SetTeam{Author: "ana", Team: "frames", Value: config.Team{Share: 1, Limit: allotLimit}}
	_, err := Apply(context.Background(), tbl, team, "c1", now)
	assert.NilError(t, err)
	a, b := newAllotEntry(tbl, "za", "a#1000", clock), newAllotEntry(tbl, "zb", "b#1000", clock)
	// The daemon of b ends while requests run. Its successor detects that from the list.
	successor := newAllotEntry(tbl, "zb", "b#2000", clock)
	successor.live.live = []Liveness{{Name: "b", Zone: "zb", Started: time.UnixMilli(2000)}}
	a.allotments.assumeLostApplied, b.allotments.assumeLostApplied, successor.allotments.assumeLostApplied = assumeLostApplied, assumeLostApplied, assumeLostApplied
	steps := func(n int, entries ...*allotEntry) {
		for range n {
			now = now.Add(250 * time.Millisecond)
			for _, e := range entries {
				e.step(now, tbl.rand, &started)
				maxRunning = max(maxRunning, len(a.running)+len(b.running)+len(successor.running))
			}
		}
	}
	tbl.reliable = false
	steps(200, a, b)
	steps(80, a, successor)
	b.running = nil
	steps(200, a, successor)
	tbl.reliable, stopping = true, true
	for _, e := range []*allotEntry{a, successor} {
		for _, key := range e.running {
			e.allotments.Limiter().Release(key)
		}
		now = now.Add(time.Minute)
		e.allotments.Round(context.Background())
		timeout := 3 * time.Second
		if assumeLostApplied {
			timeout = 20 * time.Millisecond
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		e.allotments.Release(ctx)
		cancel()
		if !assumeLostApplied && !e.allotments.released() {
			t.Logf("seed %d: slots not released: %+v, %d commands pending", seed, e.allotments.Dump(), len(e.allotments.pending))
		}
	}
	var row limit.TeamRow
	assert.NilError(t, tbl.rows.Read(table.TeamAllotmentKey("frames")).Decode(&row))
	return maxRunning, row.Sum()
}

// If a lost answer were taken for a success, a team could run more requests than its limit.
// Two entries run their real loops over a table that loses answers and is down at times. One
// entry is replaced, and its allotment becomes free after its last lease. At the end, both
// entries stop and give back all slots.
func TestAllotments(t *testing.T) {
	const seeds = 60
	for _, assumeLostApplied := range []bool{false, true} {
		exceeded, maxRunning := 0, 0
		for seed := range uint64(seeds) {
			running, remaining := runAllotments(t, seed, assumeLostApplied)
			assert.Check(t, assumeLostApplied || running <= allotLimit, "seed %d: %d requests run, limit %d", seed, running, allotLimit)
			assert.Check(t, assumeLostApplied || remaining == 0, "seed %d: %d slots still allotted", seed, remaining)
			maxRunning = max(maxRunning, running)
			if running > allotLimit {
				exceeded++
			}
		}
		t.Logf("assumeLostApplied %t: %d of %d seeds above the limit of %d, at most %d requests ran", assumeLostApplied, exceeded, seeds, allotLimit, maxRunning)
		assert.Check(t, assumeLostApplied == (exceeded > 0))
	}
}
