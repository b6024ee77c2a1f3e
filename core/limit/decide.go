package limit

import (
	"maps"
	"slices"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// decide returns the next commands for one team: it resolves an open move first, then
// reads unknown rows, and otherwise plans a move.
func (l *Ledger) decide(now time.Time, team core.TeamID, a *teamAllotment) []Command {
	a.running.expire(now)
	if m := a.move; m != nil && m.conflictedAt.IsZero() {
		if m.resendAt.IsZero() || now.Before(m.resendAt) {
			return nil
		}
		m.resendAt = time.Time{}
		return []Command{m.Move}
	}
	if a.move == nil && now.Before(a.retryAt) {
		// The rows are read after the wait, since rows read before it would be stale by
		// then.
		return nil
	}
	if l.needsRead(now, a) {
		return l.readRows(now, team, a)
	}
	if a.move != nil || !a.limitKnown {
		return nil
	}
	return l.plan(now, team, a)
}

// readRows requests the rows unless a read is in progress.
func (l *Ledger) readRows(now time.Time, team core.TeamID, a *teamAllotment) []Command {
	if now.Before(a.readSentAt.Add(rereadAfter)) {
		return nil
	}
	a.readSentAt = now
	return []Command{ReadRows{Team: team}}
}

// needsRead reports whether the rows must be read before anything else. After a limit
// change for which no request is waiting, the next poll is sufficient.
func (l *Ledger) needsRead(now time.Time, a *teamAllotment) bool {
	return !a.rowsKnown || a.move != nil || l.hasDemand(now, a) && !l.rowsAsOf(a).After(a.reducedAt)
}

// draft is a move being planned.
type draft struct {
	teamRow TeamRow
	zoneRow ZoneRow
	slots   core.Slots
	// clearedZones lists the zones whose rows the move empties.
	clearedZones []core.ZoneID
	// worthwhile is true if the change justifies a write to the table.
	worthwhile bool
}

// plan starts the move that the rows call for if it justifies a write.
func (l *Ledger) plan(now time.Time, team core.TeamID, a *teamAllotment) []Command {
	d := l.draft(now, a)
	if !d.worthwhile {
		return nil
	}
	if now.After(a.refreshedAt.Add(maxRowAge)) && !l.disabled.staleRows {
		// Two reads cost the table less than a write that conflicts.
		return l.readRows(now, team, a)
	}
	d.teamRow.Limit = a.limit
	setSlots(&d.zoneRow.Entries, l.Self, d.slots)
	setSlots(&d.teamRow.Zones, l.Zone, d.zoneRow.Sum())
	return l.startMove(team, a, d)
}

// draft computes the move that the rows call for.
func (l *Ledger) draft(now time.Time, a *teamAllotment) draft {
	d := draft{teamRow: a.teamRow.clone(), zoneRow: a.zoneRow.clone(), slots: a.slots}
	dropExpired(d.teamRow.DemandMarks, now)
	dropExpired(d.zoneRow.DemandMarks, now)
	l.reclaimEntries(now, &d)
	l.reclaimZones(now, &d)
	l.adjust(now, a, &d)
	return d
}

// startMove builds the transaction of a draft and records it as the allotment's open
// move.
func (l *Ledger) startMove(team core.TeamID, a *teamAllotment, d draft) []Command {
	teamKey, zoneKey := table.TeamAllotmentKey(team), table.ZoneAllotmentKey(team, l.Zone)
	var t table.Transaction
	t.Check(table.Row{Key: teamKey, Version: a.teamTableRow.Version})
	t.Check(table.Row{Key: zoneKey, Version: a.zoneTableRow.Version})
	if d.slots > a.slots && !l.disabled.noHeadCheck {
		// Slots must not be taken from a limit that was reduced since this entry last
		// saw it. The head's version has changed in that case, and the table rejects
		// the transaction.
		t.Check(l.configHead)
	}
	if t.Set(teamKey, d.teamRow) != nil || t.Set(zoneKey, d.zoneRow) != nil {
		return nil
	}
	for _, z := range d.clearedZones {
		if t.Set(table.ZoneAllotmentKey(team, z), ZoneRow{}) != nil {
			return nil
		}
	}
	l.lastMove++
	m := &openMove{
		Move:     Move{ID: l.lastMove, Team: team, Transaction: t},
		minSlots: min(a.slots, d.slots), slotsAfter: d.slots, teamRow: d.teamRow, zoneRow: d.zoneRow,
		teamVersion: a.teamTableRow.Version, zoneVersion: a.zoneTableRow.Version,
	}
	a.move = m
	put(&l.moves, m.ID, team)
	return []Command{m.Move}
}

// reclaimEntries frees the allotments of entries that have ended once no lease granted
// by them can still be running. The deadline is stored in the row, so that the wait
// continues if the entry that started it ends as well.
func (l *Ledger) reclaimEntries(now time.Time, d *draft) {
	for e := range d.zoneRow.ReclaimAt {
		if _, ok := d.zoneRow.Entries[e]; !ok {
			delete(d.zoneRow.ReclaimAt, e)
		}
	}
	for e := range d.zoneRow.Entries {
		end, marked := d.zoneRow.ReclaimAt[e]
		switch {
		case e == l.Self:
		case marked && !now.Before(end), l.goneEntries[e] && l.disabled.reclaimImmediately:
			delete(d.zoneRow.Entries, e)
			delete(d.zoneRow.ReclaimAt, e)
			d.worthwhile = true
		case !marked && l.goneEntries[e]:
			put(&d.zoneRow.ReclaimAt, e, l.lastLeaseEnd(now))
			d.worthwhile = true
		}
	}
	setSlots(&d.teamRow.Zones, l.Zone, d.zoneRow.Sum())
}

// reclaimZones frees the allotments of zones that an operator attested to be down once
// no lease granted there can still be running.
func (l *Ledger) reclaimZones(now time.Time, d *draft) {
	for _, z := range slices.Sorted(maps.Keys(l.downZones)) {
		since := l.downZones[z]
		if z == l.Zone || d.teamRow.Zones[z] == 0 || (now.Before(l.lastLeaseEnd(since)) && !l.disabled.reclaimImmediately) {
			continue
		}
		delete(d.teamRow.Zones, z)
		delete(d.teamRow.DemandMarks, z)
		d.clearedZones = append(d.clearedZones, z)
		d.worthwhile = true
	}
}

// lastLeaseEnd returns when every lease granted before t has expired on any clock. The
// clocks of the granting entry, the target and the reader each add one skew.
func (l *Ledger) lastLeaseEnd(t time.Time) time.Time {
	return t.Add(l.maxLifetime() + 3*l.skew())
}

// adjust sets the number of slots that the entry should have. Slots stay allotted until
// another entry waits for them: the limits of teams are independent, so idle slots cost
// nothing, whereas giving them back and taking them again costs two writes.
func (l *Ledger) adjust(now time.Time, a *teamAllotment, d *draft) {
	running := a.running.count()
	if l.disabled.giveBackRunning {
		running = 0
	}
	idle := max(0, d.slots-running)
	free := a.limit - d.teamRow.Sum()
	demand := l.hasDemand(now, a)
	starved := l.countStarved(now, d)
	even := l.evenShare(now, a.limit, d)
	switch {
	case l.stopping:
		l.giveBack(d, idle)
	case free < 0:
		l.giveBack(d, min(idle, -free))
	case starved > 0:
		l.balanceShares(d, idle, free, even, starved, demand)
	case demand && d.slots == 0:
		l.takeInitial(now, a, d)
	case demand && idle == 0:
		l.take(d, min(free, l.increment(now, a, d)))
	case demand:
	case d.teamRow.ShortUntil.After(now) && free <= 0:
		l.giveBack(d, min(idle, d.slots-a.usage.peak(now)))
	case !now.Before(a.usage.lastUsed.Add(l.retention())):
		// The minimum allotment is kept. Otherwise the entry would take it again as an
		// initial allotment, and the table would receive both moves for every entry and
		// team.
		l.giveBack(d, min(idle, d.slots-minAllotment(a.limit)))
	}
	l.updateMarks(now, demand && free <= 0 && d.slots <= a.slots, even, d)
}

// retention returns how long slots are kept that no entry asks for and nothing uses. It
// differs between entries, because most moves would conflict if all entries gave slots
// back at the same time.
func (l *Ledger) retention() time.Duration {
	spread := l.spreadOffset(int(unusedRetention / time.Second))
	return unusedRetention + time.Duration(spread)*time.Second
}

// balanceShares gives slots back to others that have less than their even share, or
// takes free slots up to the entry's own even share.
func (l *Ledger) balanceShares(d *draft, idle, free, even core.Slots, starved int, demand bool) {
	switch {
	case !demand && free <= 0:
		l.giveBack(d, min(idle, core.Slots(starved)))
	case d.slots > even && free <= 0:
		l.giveBack(d, min(idle, d.slots-even, core.Slots(starved)))
	case demand && idle == 0 && d.slots < max(1, even):
		l.take(d, min(free, max(1, even)-d.slots))
	}
}

// increment returns the number of slots to take in one move: the largest of the entry's
// current allotment, the minimum allotment and about an entry's share of the free
// slots, or a single slot while the limit is short.
func (l *Ledger) increment(now time.Time, a *teamAllotment, d *draft) core.Slots {
	if d.teamRow.ShortUntil.After(now) {
		return 1
	}
	const entries = 32
	return max(d.slots, minAllotment(a.limit), (a.limit-d.teamRow.Sum())/entries)
}

// hasDemand reports whether a request is waiting at this entry because the allotment is
// exhausted.
func (l *Ledger) hasDemand(now time.Time, a *teamAllotment) bool {
	_, down := l.downZones[l.Zone]
	return !l.stopping && !down && l.configHead.Version > 0 && !a.demandAt.IsZero() && now.Before(a.demandAt.Add(demandTTL))
}

// countStarved returns the number of other zones in which an entry waits with less than
// its even share, plus the number of such entries in this zone other than this one.
func (l *Ledger) countStarved(now time.Time, d *draft) int {
	return countOtherMarks(d.teamRow.DemandMarks, l.Zone, now) + countOtherMarks(d.zoneRow.DemandMarks, l.Self, now)
}

// evenShare returns the entry's even share of the limit among those that hold or want
// slots. The limit is divided among zones first, then within the zone, and rounded
// down.
func (l *Ledger) evenShare(now time.Time, limit core.Slots, d *draft) core.Slots {
	zones := countClaimants(d.teamRow.Zones, d.teamRow.DemandMarks, l.Zone, now)
	entries := countClaimants(d.zoneRow.Entries, d.zoneRow.DemandMarks, l.Self, now)
	return limit / core.Slots(zones*entries)
}

// ceiling limits the requests running at this entry while others wait with less than
// their even share of a fully allotted limit. The slots of requests that end can
// then be given back for the others to take.
func (a *teamAllotment) ceiling(now time.Time, l *Ledger) core.Slots {
	d := draft{teamRow: a.teamRow, zoneRow: a.zoneRow}
	if a.teamRow.Sum() < a.limit || l.countStarved(now, &d) == 0 {
		return a.limit
	}
	return max(1, l.evenShare(now, a.limit, &d))
}

func (l *Ledger) giveBack(d *draft, n core.Slots) {
	if n > 0 {
		d.slots -= n
		d.worthwhile = true
	}
}

func (l *Ledger) take(d *draft, n core.Slots) {
	if n > 0 {
		d.slots += n
		d.worthwhile = true
	}
}

// updateMarks sets or clears the demand marks by which entries ask others for slots. A
// single mark for a short limit serves all entries, so that a burst doesn't cost a
// write per entry.
func (l *Ledger) updateMarks(now time.Time, waits bool, even core.Slots, d *draft) {
	_, marked := d.zoneRow.DemandMarks[l.Self]
	belowShare := d.slots == 0 || d.slots < even
	switch {
	case waits && belowShare && !marked:
		put(&d.zoneRow.DemandMarks, l.Self, now.Add(demandMarkTTL))
		put(&d.teamRow.DemandMarks, l.Zone, now.Add(demandMarkTTL))
		d.worthwhile = true
	case waits && !belowShare && !d.teamRow.ShortUntil.After(now):
		d.teamRow.ShortUntil = now.Add(demandMarkTTL)
		d.worthwhile = true
	case marked && !belowShare:
		delete(d.zoneRow.DemandMarks, l.Self)
		if len(d.zoneRow.DemandMarks) == 0 {
			delete(d.teamRow.DemandMarks, l.Zone)
		}
	}
}

// minAllotment returns the smallest number of slots that justifies a move.
func minAllotment(limit core.Slots) core.Slots {
	const entries = 64
	return max(1, limit/entries)
}
