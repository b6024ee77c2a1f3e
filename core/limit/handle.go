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
	// demandMarkTTL is how long a mark of a waiting zone or entry stands.
	demandMarkTTL = 30 * time.Second
	// demandTTL is how long a call of Wanted counts.
	demandTTL = 2 * time.Second
	// usageWindow is how long a part that isn't used stays, at least, when the limit is
	// short. Demand rotates within seconds, and parts must not follow each turn.
	usageWindow = 2 * time.Minute
	// unusedRetention is how long a part stays, at least, that nobody asks for and nothing uses.
	unusedRetention = 30 * time.Minute
	// decideInterval is the time between two looks at an allotment without news that time
	// alone may change.
	decideInterval = time.Second
	// quietDecideInterval is the time between two looks at any other allotment.
	quietDecideInterval = time.Minute
	// conflictBackoff is the wait after a conflict. An entry that sees an old configuration
	// fails until it hears of the new one, and must not keep the table busy till then.
	conflictBackoff = 250 * time.Millisecond
	// maxRowAge is how old rows may be when a move is made on them.
	maxRowAge = 250 * time.Millisecond
	// forgetAfter is how long a team without a part or work is kept track of.
	forgetAfter = 40 * time.Minute
)

// Handle takes in an event and returns what to do.
func (l *Ledger) Handle(now time.Time, event Event) []Command {
	switch e := event.(type) {
	case Limits:
		return l.handleLimits(now, e)
	case RowsRead:
		return l.handleRowsRead(now, e)
	case Polled:
		return l.handlePolled(now, e)
	case Moved:
		return l.handleMoved(now, e)
	case EntryGone:
		l.handleEntryGone(e.Entry)
	case ZoneDown:
		l.handleZoneDown(e)
	case Members:
		l.members = e
	case Stop:
		l.stopping = true
		l.schedule.makeAllDue()
	case Tick:
	}
	return l.decideDue(now)
}

// handleEntryGone takes note of an entry that appears in a row of the own zone. Others never
// do, so there is no list of the whole fleet's entries here.
func (l *Ledger) handleEntryGone(e core.EntryID) {
	if e == l.Self {
		return
	}
	for _, a := range l.teams {
		if _, ok := a.zone.Entries[e]; ok {
			put(&l.goneEntries, e, true)
			l.schedule.makeDue(a)
		}
	}
}

func (l *Ledger) handleZoneDown(e ZoneDown) {
	since, down := l.downZones[e.Zone]
	if down == e.Down && (!down || since.Equal(e.Since)) {
		return
	}
	delete(l.downZones, e.Zone)
	if e.Down {
		put(&l.downZones, e.Zone, e.Since)
	}
	l.schedule.makeAllDue()
}

func (l *Ledger) handleLimits(now time.Time, e Limits) []Command {
	// An exception that ends changes a limit without a new configuration. With a new
	// one, a lowering may have been skipped in between, so that a raise counts as a
	// lowering too until the rows were read.
	sameHead := e.Head.Version != 0 && e.Head.Version == l.configHead.Version
	l.configHead = e.Head
	for team, limit := range e.Limits {
		a, ok := l.teams[team]
		if !ok || (a.limitKnown && a.limit == limit) {
			continue
		}
		if !a.limitKnown || !sameHead || limit < a.limit {
			a.loweredAt, l.loweredAt = now, now
		}
		l.schedule.makeDue(a)
		delete(l.unknownLimits, team)
		a.limit, a.limitKnown = limit, true
	}
	return l.decideDue(now)
}

func (l *Ledger) handleRowsRead(now time.Time, e RowsRead) []Command {
	a, ok := l.teams[e.Team]
	if !ok {
		return nil
	}
	a.readSentAt = time.Time{}
	l.schedule.makeDue(a)
	if !a.updateTeamRow(e.TeamRow) || !a.updateZoneRow(e.ZoneRow) {
		return nil
	}
	a.known = true
	if e.Sent.After(a.readAsOf) {
		a.readAsOf, a.refreshedAt = e.Sent, e.Sent
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
		l.schedule.makeAllDue()
	}
	learned := l.trackReceived(e)
	for _, row := range e.Rows {
		team, zone, _ := table.SplitAllotmentKey(row.Key)
		a, ok := l.teams[team]
		if !ok || !a.known {
			continue
		}
		l.schedule.makeDue(a)
		// A row that can't be decoded makes the rows unknown until a read succeeds.
		switch zone {
		case "":
			a.known = a.updateTeamRow(row)
		case l.Zone:
			a.known = a.updateZoneRow(row)
		}
	}
	for _, a := range learned {
		a.known = a.known && a.teamTableRow.Version > 0
	}
	if e.Sent.After(l.polledAt) {
		l.polledAt = e.Sent
	}
	for _, a := range l.teams {
		if a.known {
			l.settle(a, e.Sent)
		}
	}
	return l.decideDue(now)
}

// trackReceived begins to keep track of the teams of whose limit another entry gave this one a
// part. The poll brings both rows, since both were written at once.
func (l *Ledger) trackReceived(e Polled) []*teamAllotment {
	var learned []*teamAllotment
	for _, row := range e.Rows {
		team, zone, _ := table.SplitAllotmentKey(row.Key)
		if _, ok := l.teams[team]; ok || zone != l.Zone {
			continue
		}
		var r ZoneRow
		if row.Decode(&r) != nil || r.Entries[l.Self] <= 0 {
			continue
		}
		a := l.allotmentOf(team)
		a.known, a.readAsOf = true, e.Sent
		learned = append(learned, a)
	}
	return learned
}

// settle takes the own part from the rows once no move is open that could still
// take effect after sent, when their read left.
func (l *Ledger) settle(a *teamAllotment, sent time.Time) {
	if m := a.move; m != nil {
		if m.conflictedAt.IsZero() || !sent.After(m.conflictedAt) {
			return
		}
		delete(l.moves, m.ID)
		a.move = nil
	}
	part := a.zone.Entries[l.Self]
	if part > a.slots {
		// A raise counts as use, so that it isn't given back before it could be used.
		a.usage.observe(sent, part)
	}
	a.slots = part
}

func (l *Ledger) handleMoved(now time.Time, e Moved) []Command {
	team, ok := l.moves[e.ID]
	if !ok {
		return nil
	}
	a := l.teams[team]
	m := a.move
	l.schedule.makeDue(a)
	switch e.Result {
	case ResultApplied:
		a.applyMove(now, m)
		l.finishMove(a)
	case ResultConflict:
		a.known = false
		if m.answerLost {
			m.conflictedAt = now
			break
		}
		// The only sending so far wrote nothing.
		a.retryAt = now.Add(conflictBackoff)
		l.finishMove(a)
	case ResultNotSent:
		if !m.answerLost {
			l.finishMove(a)
			a.retryAt = now.Add(resendAfter)
			return nil
		}
		m.resendAt = now.Add(resendAfter)
	case ResultUnknown:
		m.answerLost = true
		m.resendAt = now.Add(resendAfter)
		if l.disabled.useUnsettledMoves {
			a.applyMove(now, m)
			l.finishMove(a)
		}
	}
	return l.decide(now, team, a)
}

func (l *Ledger) finishMove(a *teamAllotment) {
	delete(l.moves, a.move.ID)
	a.move = nil
}

// applyMove takes the rows as the move wrote them.
func (a *teamAllotment) applyMove(now time.Time, m *openMove) {
	if m.slotsAfter > a.slots {
		// A raise counts as use, so that it isn't given back before it could be used.
		a.usage.observe(now, m.slotsAfter)
	}
	a.slots, a.refreshedAt = m.slotsAfter, now
	// A poll may have brought these or later rows already. Counting on from there would
	// give versions that the table never reaches, and every later row would look old.
	if v := m.teamVersion + 1; v >= a.teamTableRow.Version {
		a.team, a.teamTableRow.Version = m.team, v
	}
	if v := m.zoneVersion + 1; v >= a.zoneTableRow.Version {
		a.zone, a.zoneTableRow.Version = m.zone, v
	}
}

// updateTeamRow takes row unless it is older than the one known. It returns false if
// the row can't be used.
func (a *teamAllotment) updateTeamRow(row table.Row) bool {
	if row.Version < a.teamTableRow.Version {
		return true
	}
	var r TeamRow
	if row.Decode(&r) != nil || !nonNegative(r.Zones) {
		return false
	}
	a.teamTableRow, a.team = table.Row{Key: row.Key, Version: row.Version}, r
	return true
}

// updateZoneRow is takeTeamRow for the zone's row.
func (a *teamAllotment) updateZoneRow(row table.Row) bool {
	if row.Version < a.zoneTableRow.Version {
		return true
	}
	var r ZoneRow
	if row.Decode(&r) != nil || !nonNegative(r.Entries) {
		return false
	}
	a.zoneTableRow, a.zone = table.Row{Key: row.Key, Version: row.Version}, r
	return true
}
