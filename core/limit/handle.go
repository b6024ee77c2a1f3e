package limit

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// Timing of the moves. The table serves several hundred writes a second for the
// whole fleet, so an idle part stays for a while and marks aren't renewed often.
const (
	// resendAfter is the wait before a lost move is sent again.
	resendAfter = time.Second
	// rereadAfter is the wait before a read without an answer is sent again.
	rereadAfter = time.Second
	// markFor is how long a mark of a waiting zone or entry stands.
	markFor = 30 * time.Second
	// wantFor is how long a call of Wanted counts.
	wantFor = 2 * time.Second
	// idleFor is how long a part that isn't used stays, at least, when the limit is
	// short. Demand rotates within seconds, and parts must not follow each turn.
	idleFor = 2 * time.Minute
	// unusedFor is how long a part stays, at least, that nobody asks for and nothing uses.
	unusedFor = 30 * time.Minute
	// lookEvery is the time between two looks at an allotment without news that time
	// alone may change.
	lookEvery = time.Second
	// quietLookEvery is the time between two looks at any other allotment.
	quietLookEvery = time.Minute
	// conflictWait is the wait after a conflict. An entry that sees an old configuration
	// fails until it hears of the new one, and must not keep the table busy till then.
	conflictWait = 250 * time.Millisecond
	// freshFor is how old rows may be when a move is made on them.
	freshFor = 250 * time.Millisecond
	// forgetAfter is how long a team without a part or work is kept track of.
	forgetAfter = 40 * time.Minute
)

// Handle takes in an event and returns what to do.
func (l *Ledger) Handle(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case Limits:
		return l.limits(now, e)
	case RowsRead:
		return l.rowsRead(now, e)
	case Polled:
		return l.handlePolled(now, e)
	case Moved:
		return l.movedAnswer(now, e)
	case Gone:
		l.entryGone(e.Entry)
	case ZoneDown:
		l.zoneDown(e)
	case Members:
		l.members = e
	case Stop:
		l.stopping = true
		l.schedule.all()
	case Tick:
	}
	return l.decideAll(now)
}

// entryGone takes note of an entry that appears in a row of the own zone. Others never
// do, so there is no list of the whole fleet's entries here.
func (l *Ledger) entryGone(e core.EntryID) {
	if e == l.Self {
		return
	}
	for _, a := range l.teams {
		if _, ok := a.zone.Entries[e]; ok {
			put(&l.gone, e, true)
			l.schedule.now(a)
		}
	}
}

func (l *Ledger) zoneDown(e ZoneDown) {
	since, down := l.down[e.Zone]
	if down == e.Down && (!down || since.Equal(e.Since)) {
		return
	}
	delete(l.down, e.Zone)
	if e.Down {
		put(&l.down, e.Zone, e.Since)
	}
	l.schedule.all()
}

func (l *Ledger) limits(now time.Time, e Limits) []Command {
	// An exception that ends changes a limit without a new configuration. With a new
	// one, a lowering may have been skipped in between, so that a raise counts as a
	// lowering too until the rows were read.
	sameHead := e.Head.Version != 0 && e.Head.Version == l.head.Version
	l.head = e.Head
	for team, limit := range e.Limits {
		a, ok := l.teams[team]
		if !ok || (a.limitKnown && a.limit == limit) {
			continue
		}
		if !a.limitKnown || !sameHead || limit < a.limit {
			a.lowered, l.lowered = now, now
		}
		l.schedule.now(a)
		delete(l.unlimited, team)
		a.limit, a.limitKnown = limit, true
	}
	return l.decideAll(now)
}

func (l *Ledger) rowsRead(now time.Time, e RowsRead) []Command {
	a, ok := l.teams[e.Team]
	if !ok {
		return nil
	}
	a.readSent = time.Time{}
	l.schedule.now(a)
	if !a.takeTeamRow(e.TeamRow) || !a.takeZoneRow(e.ZoneRow) {
		return nil
	}
	a.known = true
	if e.Sent.After(a.read) {
		a.read, a.fresh = e.Sent, e.Sent
	}
	l.settle(a, e.Sent)
	return l.decide(now, e.Team, a)
}

func (l *Ledger) handlePolled(now time.Time, e Polled) []Command {
	if e.First {
		// Rows may have changed between their read and the first poll's start.
		for _, a := range l.teams {
			a.known = false
		}
		l.schedule.all()
	}
	learned := l.learn(e)
	for _, row := range e.Rows {
		team, zone, _ := table.ParseAllotmentKey(row.Key)
		a, ok := l.teams[team]
		if !ok || !a.known {
			continue
		}
		l.schedule.now(a)
		// A row that can't be decoded makes the rows unknown until a read succeeds.
		switch zone {
		case "":
			a.known = a.takeTeamRow(row)
		case l.Zone:
			a.known = a.takeZoneRow(row)
		}
	}
	for _, a := range learned {
		a.known = a.known && a.teamRow.Version > 0
	}
	if e.Sent.After(l.polled) {
		l.polled = e.Sent
	}
	for _, a := range l.teams {
		if a.known {
			l.settle(a, e.Sent)
		}
	}
	return l.decideAll(now)
}

// learn begins to keep track of the teams of whose limit another entry gave this one a
// part. The poll brings both rows, since both were written at once.
func (l *Ledger) learn(e Polled) []*allotment {
	var learned []*allotment
	for _, row := range e.Rows {
		team, zone, _ := table.ParseAllotmentKey(row.Key)
		if _, ok := l.teams[team]; ok || zone != l.Zone {
			continue
		}
		var r ZoneRow
		if row.Decode(&r) != nil || r.Entries[l.Self] <= 0 {
			continue
		}
		a := l.allotment(team)
		a.known, a.read = true, e.Sent
		learned = append(learned, a)
	}
	return learned
}

// settle takes the own part from the rows once no move is open that could still
// take effect after sent, when their read left.
func (l *Ledger) settle(a *allotment, sent time.Time) {
	if m := a.move; m != nil {
		if m.conflicted.IsZero() || !sent.After(m.conflicted) {
			return
		}
		delete(l.moves, m.ID)
		a.move = nil
	}
	part := a.zone.Entries[l.Self]
	if part > a.part {
		// A raise counts as use, so that it isn't given back before it could be used.
		a.used.observe(sent, part)
	}
	a.part = part
}

func (l *Ledger) movedAnswer(now time.Time, e Moved) []Command {
	team, ok := l.moves[e.ID]
	if !ok {
		return nil
	}
	a := l.teams[team]
	m := a.move
	l.schedule.now(a)
	switch e.Result {
	case ResultApplied:
		a.applied(now, m)
		l.close(a)
	case ResultConflict:
		a.known = false
		if m.lost {
			m.conflicted = now
			break
		}
		// The only sending so far wrote nothing.
		a.retryAt = now.Add(conflictWait)
		l.close(a)
	case ResultNotSent:
		if !m.lost {
			l.close(a)
			a.retryAt = now.Add(resendAfter)
			return nil
		}
		m.resend = now.Add(resendAfter)
	case ResultUnknown:
		m.lost = true
		m.resend = now.Add(resendAfter)
		if l.unsafe.useBeforeSettled {
			a.applied(now, m)
			l.close(a)
		}
	}
	return l.decide(now, team, a)
}

func (l *Ledger) close(a *allotment) {
	delete(l.moves, a.move.ID)
	a.move = nil
}

// applied takes the rows as the move wrote them.
func (a *allotment) applied(now time.Time, m *openMove) {
	if m.after > a.part {
		// A raise counts as use, so that it isn't given back before it could be used.
		a.used.observe(now, m.after)
	}
	a.part, a.fresh = m.after, now
	// A poll may have brought these or later rows already. Counting on from there would
	// give versions that the table never reaches, and every later row would look old.
	if v := m.teamVersion + 1; v >= a.teamRow.Version {
		a.team, a.teamRow.Version = m.team, v
	}
	if v := m.zoneVersion + 1; v >= a.zoneRow.Version {
		a.zone, a.zoneRow.Version = m.zone, v
	}
}

// takeTeamRow takes row unless it is older than the one known. It returns false if
// the row can't be used.
func (a *allotment) takeTeamRow(row table.Row) bool {
	if row.Version < a.teamRow.Version {
		return true
	}
	var r TeamRow
	if row.Decode(&r) != nil || !valid(r.Zones) {
		return false
	}
	a.teamRow, a.team = table.Row{Key: row.Key, Version: row.Version}, r
	return true
}

// takeZoneRow is takeTeamRow for the zone's row.
func (a *allotment) takeZoneRow(row table.Row) bool {
	if row.Version < a.zoneRow.Version {
		return true
	}
	var r ZoneRow
	if row.Decode(&r) != nil || !valid(r.Entries) {
		return false
	}
	a.zoneRow, a.zone = table.Row{Key: row.Key, Version: row.Version}, r
	return true
}
