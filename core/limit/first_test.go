package limit

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// members tells n the entries of its zone and one that may have ended.
func (w *world) members(n *node) Members {
	m := Members{Zones: []core.ZoneID{"z0", "z1", "z2"}}
	for _, other := range w.entries {
		if other.ledger.Zone == n.ledger.Zone {
			m.Entries = append(m.Entries, other.ledger.Self)
		}
	}
	if len(w.gone) > 0 {
		m.Entries = append(m.Entries, w.gone[w.r.IntN(len(w.gone))])
	}
	slices.Sort(m.Entries)
	return m
}

// givenToOthers counts the parts in a first move of self's zone that aren't its own.
func givenToOthers(self core.EntryID, t table.Transaction) int {
	given := 0
	for _, write := range t.Writes {
		var r ZoneRow
		if _, zone, _ := table.ParseAllotmentKey(write.Key); zone == "" || json.Unmarshal(write.Value, &r) != nil {
			continue
		}
		for e := range r.Entries {
			if e != self && t.Checks[1].Version == 0 {
				given++
			}
		}
	}
	return given
}

// checkRows holds the parts that the rows give out against a limit that stays, and each
// zone's part against those of its entries.
func (w *world) checkRows() {
	if w.limits {
		return
	}
	var team TeamRow
	_ = w.table.Read(table.TeamAllotmentKey(testTeam)).Decode(&team)
	w.overGiven = max(w.overGiven, team.Sum()-w.limit)
	for z, n := range team.Zones {
		var zone ZoneRow
		_ = w.table.Read(table.ZoneAllotmentKey(testTeam, z)).Decode(&zone)
		w.overGiven = max(w.overGiven, zone.Sum()-n)
	}
}

// A part that is given to an entry which won't use it is lost to the team until its
// last lease could have ended. An entry takes its first part; who else of its zone gets
// one depends on who has started lately, who holds one and what is left of the limit.
func TestFirstPartsGoToNewcomers(t *testing.T) {
	now := testStart
	id := func(name string, ago time.Duration) core.EntryID { return core.NewEntryID(name, now.Add(-ago)) }
	self, peer := id("a", 0), id("b", time.Second)
	for _, test := range []struct {
		name   string
		others []core.EntryID
		gone   core.EntryID
		held   map[core.EntryID]core.Slots
		limit  core.Slots
		want   int
	}{
		{"peers that start too", []core.EntryID{peer, id("c", time.Minute)}, "", nil, 30, 3},
		{"one that has run for long, and may be about to stop", []core.EntryID{id("b", time.Hour)}, "", nil, 30, 1},
		{"a peer holds one, so it can take care of itself", []core.EntryID{peer, id("c", 0)}, "", map[core.EntryID]core.Slots{peer: 1}, 30, 2},
		{"the holder is gone", []core.EntryID{peer, id("c", 0)}, peer, map[core.EntryID]core.Slots{peer: 1}, 30, 3},
		{"the zone's even part is one", []core.EntryID{peer, id("c", 0)}, "", nil, 3, 1},
	} {
		l := &Ledger{Self: self, Zone: "z1"}
		var m table.Memory
		var rows table.Transaction
		_ = rows.Set(table.ConfigHead, struct{}{})
		if test.held != nil {
			_ = rows.Set(table.TeamAllotmentKey(testTeam), TeamRow{Zones: map[core.ZoneID]core.Slots{"z1": sum(test.held)}})
			_ = rows.Set(table.ZoneAllotmentKey(testTeam, "z1"), ZoneRow{Entries: test.held})
		}
		assert.NilError(t, m.Transact(rows))
		d := &demand{now: now, table: m, limits: map[core.TeamID]core.Slots{testTeam: test.limit}}
		l.Wanted(now, testTeam)
		members := slices.Sorted(slices.Values(append(test.others, self)))
		d.carry(l, l.Handle(now, Members{Entries: members, Zones: []core.ZoneID{"z1", "z2", "z3"}}))
		d.carry(l, l.Handle(now, Gone{Entry: test.gone}))
		d.step(l)
		var zone ZoneRow
		assert.NilError(t, d.table.Read(table.ZoneAllotmentKey(testTeam, "z1")).Decode(&zone))
		assert.Equal(t, len(zone.Entries), test.want, "%s: %v", test.name, zone.Entries)
	}
}

// coldStart is a fleet of which all entries start at once, with the daemon's pace: five
// teams a second and entry, ten rounds a second, and an answer of the table a round
// after what was asked.
type coldStart struct {
	*demand
	perSecond int
	inboxes   [][]Event
	reads     int
	seconds   int
}

const coldStartPatience = 300

func newColdStart(teams, zones, perZone int, members bool) *coldStart {
	c := &coldStart{demand: newDemand(teams, zones, perZone, unsafe{}), perSecond: 5}
	c.inboxes = make([][]Event, len(c.ledgers))
	for _, l := range c.ledgers {
		if !members {
			l.Handle(c.now, Members{})
		}
	}
	var t table.Transaction
	_ = t.Set(table.ConfigHead, struct{}{})
	_ = c.table.Transact(t)
	return c
}

// run lets seconds pass until every entry holds a part of each team's limit.
func (c *coldStart) run() *coldStart {
	for c.seconds < coldStartPatience && c.lacking() > 0 {
		for _, l := range c.ledgers {
			for _, team := range l.NextFirstParts(c.teams, c.perSecond) {
				l.Wanted(c.now, team)
			}
		}
		c.second()
	}
	return c
}

func (c *coldStart) second() {
	for range 10 {
		c.now = c.now.Add(100 * time.Millisecond)
		for i := range c.ledgers {
			c.round(i)
		}
	}
	c.seconds++
}

// round takes in the answers of the round before and sends what follows.
func (c *coldStart) round(i int) {
	l := c.ledgers[i]
	inbox := append(c.inboxes[i], Limits{Head: c.table.Read(table.ConfigHead), Limits: c.limits}, Tick{})
	if c.now.UnixMilli()%1000 == 0 {
		inbox = append(inbox, Polled{Sent: c.now, First: c.since[i] == 0, Rows: c.table.Changes(table.PrefixAllotment, c.since[i])})
		c.since[i] = c.table.Revision()
	}
	c.inboxes[i] = nil
	for _, e := range inbox {
		for _, command := range l.Handle(c.now, e) {
			c.inboxes[i] = append(c.inboxes[i], c.answer(l, command))
		}
	}
}

func (c *coldStart) answer(l *Ledger, command Command) Event {
	switch command := command.(type) {
	case ReadRows:
		c.reads += 2
		return RowsRead{
			Sent: c.now, Team: command.Team, TeamRow: c.table.Read(table.TeamAllotmentKey(command.Team)),
			ZoneRow: c.table.Read(table.ZoneAllotmentKey(command.Team, l.Zone)),
		}
	case Move:
		c.sent++
		if c.table.Transact(command.Transaction) != nil {
			c.conflicts++
			return Moved{ID: command.ID, Result: ResultConflict}
		}
		return Moved{ID: command.ID, Result: ResultApplied}
	}
	return nil
}

// lacking counts the parts that are still missing.
func (c *coldStart) lacking() int {
	n := 0
	for _, l := range c.ledgers {
		n += len(l.NextFirstParts(c.teams, len(c.teams)))
	}
	return n
}

// After a start of the whole fleet the table would be kept busy for minutes, and a
// team's first work would wait behind other teams' parts, if each of the entries took a
// part of each team for itself. All start at once, without demand; each gets its parts.
func TestColdStart(t *testing.T) {
	const teams, zones, perZone = 62, 7, 6
	sent, applied := make(map[bool]int), make(map[bool]int)
	for _, members := range []bool{false, true} {
		c := newColdStart(teams, zones, perZone, members).run()
		sent[members], applied[members] = c.sent, c.sent-c.conflicts
		t.Logf("peers known %t: %d transactions, %d of them conflicts, %d reads, %d s", members, c.sent, c.conflicts, c.reads, c.seconds)
		for range 10 {
			c.second()
		}
		// What was given is kept.
		assert.Equal(t, c.lacking(), 0)
		for _, team := range c.teams {
			var r TeamRow
			assert.NilError(t, c.table.Read(table.TeamAllotmentKey(team)).Decode(&r))
			assert.Assert(t, r.Sum() <= demandLimit, "%s: %d", team, r.Sum())
			assert.Equal(t, len(r.Zones), zones)
		}
	}
	assert.Assert(t, applied[true] <= teams*zones*11/10)
	assert.Assert(t, sent[true]*4 < sent[false])
}

// BenchmarkColdStart measures a start of the fleet of two years from now.
func BenchmarkColdStart(b *testing.B) {
	for _, members := range []bool{false, true} {
		b.Run(fmt.Sprintf("teams=620/entries=42/peers=%t", members), func(b *testing.B) {
			for b.Loop() {
				c := newColdStart(620, 7, 6, members).run()
				b.ReportMetric(float64(c.sent), "transactions")
				b.ReportMetric(float64(c.conflicts), "conflicts")
				b.ReportMetric(float64(c.reads), "reads")
				b.ReportMetric(float64(c.seconds), "s")
				b.ReportMetric(float64(c.lacking()), "lacking")
			}
		})
	}
}

// The table would get a move from every entry for every team twice in half an hour, all
// at the same time, from a fleet that runs nothing: parts that nobody used were given
// back whole, and then asked for again as first parts. The fleet starts and idles for
// two hours.
func TestIdlePartsStay(t *testing.T) {
	const teams, zones, perZone = 10, 3, 2
	c := newColdStart(teams, zones, perZone, true).run()
	first := c.sent
	for range 2 * 60 {
		c.now = c.now.Add(time.Minute - time.Second)
		c.run().second()
	}
	t.Logf("%d transactions at the start, %d in the two hours after it", first, c.sent-first)
	assert.Equal(t, c.lacking(), 0)
	// One for each part that shrinks to the least one.
	assert.Assert(t, c.sent-first <= teams*zones*perZone*3/2)
}
