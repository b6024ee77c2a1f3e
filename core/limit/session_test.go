package limit

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/table"
)

// session runs two entries of two zones against one table and records a transcript.
type session struct {
	b     strings.Builder
	table table.Memory
	now   time.Time
	a, z  *Ledger
	// loseAnswers is true while the answers to moves are lost. The stopped entry does
	// nothing.
	loseAnswers bool
	stopped     *Ledger
}

func (s *session) printf(format string, args ...any) { fmt.Fprintf(&s.b, format+"\n", args...) }

func (s *session) handle(l *Ledger, e Event) {
	for _, c := range l.Handle(s.now, e) {
		switch c := c.(type) {
		case ReadRows:
			s.handle(l, RowsRead{
				Sent: s.now.Add(time.Millisecond), Team: c.Team, TeamRow: s.table.Read(table.TeamAllotmentKey(c.Team)),
				ZoneRow: s.table.Read(table.ZoneAllotmentKey(c.Team, l.Zone)),
			})
		case Move:
			s.move(l, c)
		}
	}
}

func (s *session) move(l *Ledger, c Move) {
	result := ResultApplied
	if s.table.Transact(c.Transaction) != nil {
		result = ResultConflict
	}
	if s.loseAnswers {
		result = ResultUnknown
	}
	s.printf("  %s sends move %d: %s", l.Self, c.ID, []string{"answer lost", "applied", "conflict", "not sent"}[result])
	s.handle(l, Moved{ID: c.ID, Result: result})
}

// active returns the ledgers of the entries that are running.
func (s *session) active() []*Ledger {
	if s.stopped == s.z {
		return []*Ledger{s.a}
	}
	return []*Ledger{s.a, s.z}
}

func (s *session) setLimit(n core.Slots) {
	var t table.Transaction
	_ = t.Set(table.ConfigHead, config.Head{})
	_ = s.table.Transact(t)
	for _, l := range s.active() {
		s.handle(l, Limits{Head: s.table.Read(table.ConfigHead), Limits: map[core.TeamID]core.Slots{testTeam: n}})
	}
}

// start dispatches up to n requests whose leases end after d.
func (s *session) start(l *Ledger, n int, d time.Duration) {
	started := 0
	for range n {
		started++
		key := core.RequestKey{Team: testTeam, ID: core.RequestID(fmt.Sprint(l.Self, s.now.Unix(), started))}
		if !l.Acquire(s.now, key, s.now.Add(d)) {
			started--
			l.RecordDemand(s.now, testTeam)
		}
	}
	s.printf("  %s starts %d of %d", l.Self, started, n)
}

func (s *session) at(seconds int, what string, do func()) {
	s.now = testStart.Add(time.Duration(seconds) * time.Second)
	s.printf("%ds %s", seconds, what)
	do()
	for range 3 {
		for _, l := range s.active() {
			s.handle(l, Polled{Sent: s.now.Add(time.Millisecond), Rows: s.table.Changes(table.PrefixAllotment, 0)})
			s.handle(l, Tick{})
		}
	}
	for _, l := range []*Ledger{s.a, s.z} {
		s.printf("  %s %+v", l.Self, l.Dump())
	}
	s.printf("  row %s", s.table.Read(table.TeamAllotmentKey(testTeam)).Value)
}

// TestSession records the course of one limit: it is allotted, wanted by another zone,
// reduced below the number of running requests, raised while an answer is lost, and
// reclaimed from an entry that died.
func TestSession(t *testing.T) {
	s := &session{now: testStart}
	s.a = &Ledger{Self: "a#1", Zone: "za", MaxLifetime: time.Minute}
	s.z = &Ledger{Self: "z#1", Zone: "zz", MaxLifetime: time.Minute}
	s.at(0, "the team's first request comes at a", func() { s.start(s.a, 1, 0); s.setLimit(4) })
	s.at(1, "a runs what it may", func() { s.start(s.a, 8, 30*time.Second) })
	s.at(2, "a takes the rest, and says that it is short", func() { s.start(s.a, 8, 30*time.Second) })
	s.at(3, "z wants a part", func() { s.start(s.z, 1, 0); s.setLimit(4) })
	s.at(20, "a may start no more than its even part", func() { s.start(s.a, 1, time.Second); s.start(s.z, 1, 0) })
	s.at(33, "work of a ends", func() { s.start(s.z, 1, 0) })
	s.at(34, "both run", func() { s.start(s.a, 4, 20*time.Second); s.start(s.z, 4, 20*time.Second) })
	s.at(35, "the limit is lowered below what runs", func() { s.setLimit(1) })
	s.at(36, "nothing new starts", func() { s.start(s.a, 1, time.Second); s.start(s.z, 1, time.Second) })
	s.at(56, "work ends, parts are given back", func() { s.start(s.z, 1, 10*time.Second) })
	s.at(57, "the limit is raised, and z's move loses its answer", func() { s.loseAnswers = true; s.start(s.z, 3, time.Minute); s.setLimit(3) })
	s.at(58, "z uses the smaller outcome only", func() { s.loseAnswers = false; s.start(s.z, 3, time.Minute) })
	s.at(60, "z's move was sent again and read back", func() { s.start(s.z, 3, time.Minute) })
	s.at(61, "z died, as an entry of its zone knows", func() {
		s.z = &Ledger{Self: "z#2", Zone: "zz", MaxLifetime: time.Minute}
		s.start(s.z, 1, 0)
		s.setLimit(3)
		s.handle(s.z, EntryGone{Entry: "z#1"})
	})
	s.at(120, "leases of the dead entry may still run", func() { s.start(s.z, 1, 0) })
	s.at(123, "its last lease has ended", func() { s.start(s.z, 1, 0) })
	s.at(124, "the new entry runs", func() { s.start(s.z, 1, 0) })
	golden.Assert(t, s.b.String(), "session.golden")
}

// Guards against slots of a down zone that are used twice. An operator attests that zone
// zz is down while it has running work. Other zones may take its slots only after the
// last lease that its entries could have granted has expired.
func TestZoneDown(t *testing.T) {
	first := map[bool]int{}
	for _, disabled := range []bool{false, true} {
		s := &session{now: testStart}
		s.a = &Ledger{Self: "a#1", Zone: "za", MaxLifetime: time.Minute, disabled: disabledSafeguards{reclaimImmediately: disabled}}
		s.z = &Ledger{Self: "z#1", Zone: "zz", MaxLifetime: time.Minute}
		s.at(0, "", func() { s.start(s.z, 1, 0); s.setLimit(2) })
		s.at(1, "", func() { s.start(s.z, 2, 50*time.Second) })
		s.at(2, "z holds all", func() { s.start(s.z, 2, time.Minute) })
		s.stopped = s.z
		s.handle(s.a, ZoneDown{Zone: "zz", Down: true, Since: s.now})
		for second := 3; first[disabled] == 0; second++ {
			s.at(second, "", func() { s.start(s.a, 1, time.Minute); s.setLimit(2) })
			if s.a.Running(s.now, testTeam) > 0 {
				first[disabled] = second
			}
		}
		// The zone comes back and reads its rows, which allot nothing to it.
		s.stopped = nil
		s.at(first[disabled]+1, "", func() {})
		assert.Assert(t, !s.z.Acquire(s.now, core.RequestKey{Team: testTeam}, s.now))
	}
	t.Logf("leases granted in zz end at second 62 at the latest; others start at second %d, or at %d with immediate reclaim", first[false], first[true])
	assert.Assert(t, first[false] > 62 && first[true] < 62)
}

// Guards against running requests that keep exceeding a reduced limit. The limit is
// reduced to half of the running requests. If entry a gave back the slots of its
// long-running requests, entry z would start new requests in addition to those of a when
// its own short requests end.
func TestRunningAllotmentsAreKept(t *testing.T) {
	most := map[bool]core.Slots{}
	for _, disabled := range []bool{false, true} {
		s := &session{now: testStart}
		s.a = &Ledger{Self: "a#1", Zone: "za", disabled: disabledSafeguards{giveBackRunning: disabled}}
		s.z = &Ledger{Self: "z#1", Zone: "zz", disabled: disabledSafeguards{giveBackRunning: disabled}}
		var tx table.Transaction
		_ = tx.Set(table.TeamAllotmentKey(testTeam), TeamRow{Limit: 4, Zones: map[core.ZoneID]core.Slots{"za": 2, "zz": 2}})
		_ = tx.Set(table.ZoneAllotmentKey(testTeam, "za"), ZoneRow{Entries: map[core.EntryID]core.Slots{"a#1": 2}})
		_ = tx.Set(table.ZoneAllotmentKey(testTeam, "zz"), ZoneRow{Entries: map[core.EntryID]core.Slots{"z#1": 2}})
		assert.NilError(t, s.table.Transact(tx))
		s.at(0, "", func() { s.start(s.a, 1, 0); s.start(s.z, 1, 0); s.setLimit(4) })
		s.at(1, "", func() { s.start(s.a, 2, time.Minute); s.start(s.z, 2, 5*time.Second) })
		s.at(2, "", func() { s.setLimit(2) })
		for second := 3; second < 50; second++ {
			s.at(second, "", func() { s.start(s.z, 2, time.Second) })
			if second > 10 {
				most[disabled] = max(most[disabled], s.a.Running(s.now, testTeam)+s.z.Running(s.now, testTeam))
			}
		}
	}
	t.Logf("limit 2: at most %d run concurrently; %d if the slots of running requests are given back", most[false], most[true])
	assert.Equal(t, most[false], core.Slots(2))
	assert.Assert(t, most[true] > 2)
}

// FuzzRows feeds arbitrary data to the decoders of the allotment rows. Whatever the
// rows contain, the ledger must start no more requests than its own allotment and the
// limit permit.
func FuzzRows(f *testing.F) {
	f.Add([]byte(`{"limit":4,"zones":{"za":2,"zz":2}}`), []byte(`{"entries":{"a#1":2}}`))
	f.Add([]byte(`{"zones":{"za":-9}}`), []byte(`{"entries":{"a#1":-1},"reclaim":{"x":"2026-12-02T12:00:00Z"}}`))
	f.Add([]byte(`{"wanted":{"zz":"2030-12-02T12:00:00Z"}}`), []byte(`{"entries":{"a#1":9000000000}}`))
	f.Add([]byte(`{`), []byte(`null`))
	f.Fuzz(func(t *testing.T, team, zone []byte) {
		l := &Ledger{Self: "a#1", Zone: "za"}
		l.RecordDemand(testStart, testTeam)
		l.Handle(testStart, Limits{Head: table.Row{Key: table.ConfigHead, Version: 1}, Limits: map[core.TeamID]core.Slots{testTeam: 4}})
		l.Handle(testStart, RowsRead{
			Sent: testStart.Add(time.Second), Team: testTeam,
			TeamRow: table.Row{Key: table.TeamAllotmentKey(testTeam), Version: 1, Value: team},
			ZoneRow: table.Row{Key: table.ZoneAllotmentKey(testTeam, "za"), Version: 1, Value: zone},
		})
		l.Handle(testStart.Add(2*time.Second), Tick{})
		for i := range 6 {
			l.Acquire(testStart, core.RequestKey{Team: testTeam, ID: core.RequestID(fmt.Sprint(i))}, testStart.Add(time.Minute))
		}
		assert.Assert(t, l.Running(testStart, testTeam) <= 4)
	})
}
