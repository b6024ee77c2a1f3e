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

// membersOf returns the Members event for n. It contains the entries of n's zone and, if
// any entry has ended, one that has.
func (w *simulation) membersOf(n *testEntry) Members {
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

// countAllottedToOthers returns the number of allotments for entries other than self in the
// first move of self's zone.
func countAllottedToOthers(self core.EntryID, t table.Transaction) int {
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

// checkRows compares the allotments in the rows with the limit if the limit is
// constant, and each zone's allotment with those of its entries.
func (w *simulation) checkRows() {
	if w.changeLimits {
		return
	}
	var team TeamRow
	_ = w.table.Read(table.TeamAllotmentKey(testTeam)).Decode(&team)
	w.maxOverAllotted = max(w.maxOverAllotted, team.Sum()-w.limit)
	for z, n := range team.Zones {
		var zone ZoneRow
		_ = w.table.Read(table.ZoneAllotmentKey(testTeam, z)).Decode(&zone)
		w.maxOverAllotted = max(w.maxOverAllotted, zone.Sum()-n)
	}
}

// Guards against slots that are allotted to an entry that won't use them. The team
// loses them until the entry's last lease could have expired. Besides the entry that
// takes its initial allotment, other entries of its zone receive slots depending on
// which of them started recently, which already hold slots, and how much of the limit
// is free.
func TestInitialAllotmentsGoToNewEntries(t *testing.T) {
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
		{"peers that have just started", []core.EntryID{peer, id("c", time.Minute)}, "", nil, 30, 3},
		{"a peer that has run for long and may be about to stop", []core.EntryID{id("b", time.Hour)}, "", nil, 30, 1},
		{"a peer holds an allotment, so it can take more itself", []core.EntryID{peer, id("c", 0)}, "", map[core.EntryID]core.Slots{peer: 1}, 30, 2},
		{"the holder is gone", []core.EntryID{peer, id("c", 0)}, peer, map[core.EntryID]core.Slots{peer: 1}, 30, 3},
		{"the zone's even share is one slot", []core.EntryID{peer, id("c", 0)}, "", nil, 3, 1},
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
		d := &demandSimulation{now: now, table: m, limits: map[core.TeamID]core.Slots{testTeam: test.limit}}
		l.RecordDemand(now, testTeam)
		members := slices.Sorted(slices.Values(append(test.others, self)))
		d.execute(l, l.Handle(now, Members{Entries: members, Zones: []core.ZoneID{"z1", "z2", "z3"}}))
		d.execute(l, l.Handle(now, EntryGone{Entry: test.gone}))
		d.driverRound(l)
		var zone ZoneRow
		assert.NilError(t, d.table.Read(table.ZoneAllotmentKey(testTeam, "z1")).Decode(&zone))
		assert.Equal(t, len(zone.Entries), test.want, "%s: %v", test.name, zone.Entries)
	}
}

// coldStart simulates a fleet whose entries all start at the same time. The pace is that
// of the daemon: five teams per second and entry, ten rounds per second, and the table's
// answer one round after the request.
type coldStart struct {
	*demandSimulation
	perSecond int
	inboxes   [][]Event
	reads     int
	seconds   int
}

const coldStartMaxSeconds = 300

func newColdStart(teams, zones, perZone int, members bool) *coldStart {
	c := &coldStart{demandSimulation: newDemandSimulation(teams, zones, perZone, disabledSafeguards{}), perSecond: 5}
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

// run advances the simulation until every entry has slots of each team's limit.
func (c *coldStart) run() *coldStart {
	for c.seconds < coldStartMaxSeconds && c.missingAllotments() > 0 {
		for _, l := range c.ledgers {
			for _, team := range l.TeamsWithoutAllotment(c.teams, c.perSecond) {
				l.RecordDemand(c.now, team)
			}
		}
		c.runSecond()
	}
	return c
}

func (c *coldStart) runSecond() {
	for range 10 {
		c.now = c.now.Add(100 * time.Millisecond)
		for i := range c.ledgers {
			c.round(i)
		}
	}
	c.seconds++
}

// round processes the answers of the previous round and issues the resulting commands.
func (c *coldStart) round(i int) {
	l := c.ledgers[i]
	inbox := append(c.inboxes[i], Limits{Head: c.table.Read(table.ConfigHead), Limits: c.limits}, Tick{})
	if c.now.UnixMilli()%1000 == 0 {
		inbox = append(inbox, Polled{Sent: c.now, First: c.polledRevisions[i] == 0, Rows: c.table.Changes(table.PrefixAllotment, c.polledRevisions[i])})
		c.polledRevisions[i] = c.table.Revision()
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
		c.sentMoves++
		if c.table.Transact(command.Transaction) != nil {
			c.conflicts++
			return Moved{ID: command.ID, Result: ResultConflict}
		}
		return Moved{ID: command.ID, Result: ResultApplied}
	}
	return nil
}

// missingAllotments returns the number of initial allotments that are still missing.
func (c *coldStart) missingAllotments() int {
	n := 0
	for _, l := range c.ledgers {
		n += len(l.TeamsWithoutAllotment(c.teams, len(c.teams)))
	}
	return n
}

// Guards against a start of the whole fleet that keeps the table busy for minutes, so
// that a team's first requests wait behind the allotments of other teams. This happens
// if each entry takes its initial allotment of each team on its own. All entries start
// at the same time without load, and each must get its allotments.
func TestColdStart(t *testing.T) {
	const teams, zones, perZone = 62, 7, 6
	sent, applied := make(map[bool]int), make(map[bool]int)
	for _, members := range []bool{false, true} {
		c := newColdStart(teams, zones, perZone, members).run()
		sent[members], applied[members] = c.sentMoves, c.sentMoves-c.conflicts
		t.Logf("members known: %t: %d transactions including %d conflicts, %d reads, %d s", members, c.sentMoves, c.conflicts, c.reads, c.seconds)
		for range 10 {
			c.runSecond()
		}
		// Allotments are kept once they have been given.
		assert.Equal(t, c.missingAllotments(), 0)
		for _, team := range c.teams {
			var r TeamRow
			assert.NilError(t, c.table.Read(table.TeamAllotmentKey(team)).Decode(&r))
			assert.Assert(t, r.Sum() <= demandLimit, "team %s: %d slots allotted", team, r.Sum())
			assert.Equal(t, len(r.Zones), zones)
		}
	}
	assert.Assert(t, applied[true] <= teams*zones*11/10)
	assert.Assert(t, sent[true]*4 < sent[false])
}

// BenchmarkColdStart measures a cold start of a fleet with 620 teams and 42 entries,
// the size planned for two years ahead.
func BenchmarkColdStart(b *testing.B) {
	for _, members := range []bool{false, true} {
		b.Run(fmt.Sprintf("teams=620/entries=42/peers=%t", members), func(b *testing.B) {
			for b.Loop() {
				c := newColdStart(620, 7, 6, members).run()
				b.ReportMetric(float64(c.sentMoves), "transactions")
				b.ReportMetric(float64(c.conflicts), "conflicts")
				b.ReportMetric(float64(c.reads), "reads")
				b.ReportMetric(float64(c.seconds), "s")
				b.ReportMetric(float64(c.missingAllotments()), "lacking")
			}
		})
	}
}

// Guards against an idle fleet in which every entry sends two moves per team every half
// hour, all at the same time. This happens if unused allotments are given back
// completely and then taken again as initial allotments. The fleet starts and idles for
// two hours.
func TestIdleAllotmentsAreKept(t *testing.T) {
	const teams, zones, perZone = 10, 3, 2
	c := newColdStart(teams, zones, perZone, true).run()
	first := c.sentMoves
	for range 2 * 60 {
		c.now = c.now.Add(time.Minute - time.Second)
		c.run().runSecond()
	}
	t.Logf("%d transactions at the start, %d in the two hours after it", first, c.sentMoves-first)
	assert.Equal(t, c.missingAllotments(), 0)
	// One move for each allotment that shrinks to the minimum.
	assert.Assert(t, c.sentMoves-first <= teams*zones*perZone*3/2)
}
