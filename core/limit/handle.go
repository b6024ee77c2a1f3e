package limit

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// Timing of moves. The table handles several hundred writes per second for the whole
// fleet, so idle slots are kept for a while and demand marks aren't renewed often.
const (
	// resendAfter is the delay before a move with a lost answer is sent again.
	resendAfter = time.Second
	// rereadAfter is the delay before an unanswered read is sent again.
	rereadAfter = time.Second
	// demandMarkTTL is the lifetime of the demand mark of a zone or entry.
	demandMarkTTL = 30 * time.Second
	// demandTTL is how long a call of RecordDemand remains in effect.
	demandTTL = 2 * time.Second
	// usageWindow is the minimum time that unused slots are kept while the limit is
	// short. Demand rotates among teams within seconds, and allotments must not follow
	// each rotation.
	usageWindow = 2 * time.Minute
	// unusedRetention is the minimum time that slots are kept that no entry asks for
	// and nothing uses.
	unusedRetention = 30 * time.Minute
	// decideInterval is the interval between evaluations of an allotment that has no
	// pending events but may change by the passage of time alone.
	decideInterval = time.Second
	// quietDecideInterval is the interval between evaluations of any other allotment.
	quietDecideInterval = time.Minute
	// conflictBackoff is the delay after a conflict. An entry with an outdated
	// configuration fails until it receives the current one, and must not overload the
	// table in the meantime.
	conflictBackoff = 250 * time.Millisecond
	// maxRowAge is the maximum age of the rows on which a move is based.
	maxRowAge = 250 * time.Millisecond
	// forgetAfter is how long a team without slots or work is tracked.
	forgetAfter = 40 * time.Minute
)

// Handle processes an event and returns the resulting commands.
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

// handleEntryGone records that e has ended if e appears in a row of the own zone.
// Entries of other zones never appear there, so the ledger keeps no list of the whole
// fleet's entries.
func (l *Ledger) handleEntryGone(e core.EntryID) {
	if e == l.Self {
		return
	}
	for _, a := range l.teams {
		if _, ok := a.zoneRow.Entries[e]; ok {
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
	// A limit can change without a new configuration when an exception expires. With a
	// new configuration, an intermediate reduction may have been missed, so even an
	// increase is treated as a reduction until the rows have been read.
	sameHead := e.Head.Version != 0 && e.Head.Version == l.configHead.Version
	l.configHead = e.Head
	for team, limit := range e.Limits {
		a, ok := l.teams[team]
		if !ok || (a.limitKnown && a.limit == limit) {
			continue
		}
		if !a.limitKnown || !sameHead || limit < a.limit {
			a.reducedAt, l.reducedAt = now, now
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
	a.rowsKnown = true
	if e.Sent.After(a.readAsOf) {
		a.readAsOf, a.refreshedAt = e.Sent, e.Sent
	}
	l.settle(a, e.Sent)
	return l.decide(now, e.Team, a)
}

func (l *Ledger) handlePolled(now time.Time, e Polled) []Command {
	if e.First {
		// Rows may have changed between their read and the start of the first poll.
		for _, a := range l.teams {
			a.rowsKnown = false
		}
		l.schedule.makeAllDue()
	}
	received := l.trackReceived(e)
	for _, row := range e.Rows {
		team, zone, _ := table.ParseAllotmentKey(row.Key)
		a, ok := l.teams[team]
		if !ok || !a.rowsKnown {
			continue
		}
		l.schedule.makeDue(a)
		// If a row can't be decoded, the rows are unknown until a read succeeds.
		switch zone {
		case "":
			a.rowsKnown = a.updateTeamRow(row)
		case l.Zone:
			a.rowsKnown = a.updateZoneRow(row)
		}
	}
	for _, a := range received {
		a.rowsKnown = a.rowsKnown && a.teamTableRow.Version > 0
	}
	if e.Sent.After(l.polledAt) {
		l.polledAt = e.Sent
	}
	for _, a := range l.teams {
		if a.rowsKnown {
			l.settle(a, e.Sent)
		}
	}
	return l.decideDue(now)
}

// trackReceived starts to track the teams for which another entry allotted slots to
// this one. The poll contains both rows, because both were written in one transaction.
func (l *Ledger) trackReceived(e Polled) []*teamAllotment {
	var received []*teamAllotment
	for _, row := range e.Rows {
		team, zone, _ := table.ParseAllotmentKey(row.Key)
		if _, ok := l.teams[team]; ok || zone != l.Zone {
			continue
		}
		var r ZoneRow
		if row.Decode(&r) != nil || r.Entries[l.Self] <= 0 {
			continue
		}
		a := l.allotmentOf(team)
		a.rowsKnown, a.readAsOf = true, e.Sent
		received = append(received, a)
	}
	return received
}

// settle adopts the entry's own allotment from rows read by a request sent at sent,
// provided that no open move can take effect after that.
func (l *Ledger) settle(a *teamAllotment, sent time.Time) {
	if m := a.move; m != nil {
		if m.conflictedAt.IsZero() || !sent.After(m.conflictedAt) {
			return
		}
		delete(l.moves, m.ID)
		a.move = nil
	}
	slots := a.zoneRow.Entries[l.Self]
	if slots > a.slots {
		// An increase counts as usage, so that the slots aren't given back before they
		// could be used.
		a.usage.observe(sent, slots)
	}
	a.slots = slots
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
		a.rowsKnown = false
		if m.answerLost {
			m.conflictedAt = now
			break
		}
		// The move was sent only once, and that attempt wrote nothing.
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

// applyMove updates the state to the rows that the move wrote.
func (a *teamAllotment) applyMove(now time.Time, m *openMove) {
	if m.slotsAfter > a.slots {
		// An increase counts as usage, so that the slots aren't given back before they
		// could be used.
		a.usage.observe(now, m.slotsAfter)
	}
	a.slots, a.refreshedAt = m.slotsAfter, now
	// A poll may already have delivered these rows or later ones. Incrementing the
	// version in that case would yield versions that the table never reaches, and every
	// later row would be taken for an outdated one.
	if v := m.teamVersion + 1; v >= a.teamTableRow.Version {
		a.teamRow, a.teamTableRow.Version = m.teamRow, v
	}
	if v := m.zoneVersion + 1; v >= a.zoneTableRow.Version {
		a.zoneRow, a.zoneTableRow.Version = m.zoneRow, v
	}
}

// updateTeamRow stores row unless it is older than the known one. It returns false if
// the row is invalid.
func (a *teamAllotment) updateTeamRow(row table.Row) bool {
	if row.Version < a.teamTableRow.Version {
		return true
	}
	var r TeamRow
	if row.Decode(&r) != nil || !nonNegative(r.Zones) {
		return false
	}
	a.teamTableRow, a.teamRow = table.Row{Key: row.Key, Version: row.Version}, r
	return true
}

// updateZoneRow does the same as updateTeamRow for the zone's row.
func (a *teamAllotment) updateZoneRow(row table.Row) bool {
	if row.Version < a.zoneTableRow.Version {
		return true
	}
	var r ZoneRow
	if row.Decode(&r) != nil || !nonNegative(r.Entries) {
		return false
	}
	a.zoneTableRow, a.zoneRow = table.Row{Key: row.Key, Version: row.Version}, r
	return true
}
