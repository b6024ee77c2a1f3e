package limit

import (
	"maps"
	"slices"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// decide returns what to do next about one team: settle what is open, read what is
// unknown, else move parts.
func (l *Ledger) decide(now time.Time, team core.TeamID, a *allotment) []Command {
	a.running.expire(now)
	if m := a.move; m != nil && m.conflicted.IsZero() {
		if m.resend.IsZero() || now.Before(m.resend) {
			return nil
		}
		m.resend = time.Time{}
		return []Command{m.Move}
	}
	if a.move == nil && now.Before(a.retryAt) {
		// The rows are read after the wait, not before: they would be old by then.
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

// readRows asks for the rows, unless a read is under way.
func (l *Ledger) readRows(now time.Time, team core.TeamID, a *allotment) []Command {
	if now.Before(a.readSent.Add(rereadAfter)) {
		return nil
	}
	a.readSent = now
	return []Command{ReadRows{Team: team}}
}

// needsRead reports whether the rows have to be read before anything else. After a
// limit change that nobody waits for, the next poll will do.
func (l *Ledger) needsRead(now time.Time, a *allotment) bool {
	return !a.known || a.move != nil || l.wants(now, a) && !l.rowsAt(a).After(a.lowered)
}

// draft is a move in the making.
type draft struct {
	team TeamRow
	zone ZoneRow
	part core.Slots
	// cleared are the zones whose rows the move empties.
	cleared []core.ZoneID
	// worth is true if the move is worth a write.
	worth bool
}

// plan opens the move that the rows call for if it is worth a write.
func (l *Ledger) plan(now time.Time, team core.TeamID, a *allotment) []Command {
	d := l.draft(now, a)
	if !d.worth {
		return nil
	}
	if now.After(a.fresh.Add(freshFor)) && !l.unsafe.staleRows {
		// Two reads are cheaper than a write that meets a conflict.
		return l.readRows(now, team, a)
	}
	d.team.Limit = a.limit
	setPart(&d.zone.Entries, l.Self, d.part)
	setPart(&d.team.Zones, l.Zone, d.zone.Sum())
	return l.open(team, a, d)
}

// draft returns the move that the rows call for.
func (l *Ledger) draft(now time.Time, a *allotment) draft {
	d := draft{team: a.team.clone(), zone: a.zone.clone(), part: a.part}
	dropEnded(d.team.Wanted, now)
	dropEnded(d.zone.Wanted, now)
	l.reclaimEntries(now, &d)
	l.reclaimZones(now, &d)
	l.size(now, a, &d)
	return d
}

// open makes the move of a draft the allotment's open one.
func (l *Ledger) open(team core.TeamID, a *allotment, d draft) []Command {
	teamKey, zoneKey := table.TeamAllotmentKey(team), table.ZoneAllotmentKey(team, l.Zone)
	var t table.Transaction
	t.Check(table.Row{Key: teamKey, Version: a.teamRow.Version})
	t.Check(table.Row{Key: zoneKey, Version: a.zoneRow.Version})
	if d.part > a.part && !l.unsafe.noHeadCheck {
		// A limit that was lowered since this entry last looked must not be handed out:
		// the head's version has moved then, and the table refuses.
		t.Check(l.head)
	}
	if t.Set(teamKey, d.team) != nil || t.Set(zoneKey, d.zone) != nil {
		return nil
	}
	for _, z := range d.cleared {
		if t.Set(table.ZoneAllotmentKey(team, z), ZoneRow{}) != nil {
			return nil
		}
	}
	l.lastMove++
	m := &openMove{
		Move:    Move{ID: l.lastMove, Team: team, Transaction: t},
		smaller: min(a.part, d.part), after: d.part, team: d.team, zone: d.zone,
		teamVersion: a.teamRow.Version, zoneVersion: a.zoneRow.Version,
	}
	a.move = m
	put(&l.moves, m.ID, team)
	return []Command{m.Move}
}

// reclaimEntries frees the parts of entries that are gone, once no lease that they
// granted can still run. The deadline is stored in the row, so that the wait goes
// on if the entry that started it ends too.
func (l *Ledger) reclaimEntries(now time.Time, d *draft) {
	for e := range d.zone.Reclaim {
		if _, ok := d.zone.Entries[e]; !ok {
			delete(d.zone.Reclaim, e)
		}
	}
	for e := range d.zone.Entries {
		end, marked := d.zone.Reclaim[e]
		switch {
		case e == l.Self:
		case marked && !now.Before(end), l.gone[e] && l.unsafe.reclaimAtOnce:
			delete(d.zone.Entries, e)
			delete(d.zone.Reclaim, e)
			d.worth = true
		case !marked && l.gone[e]:
			put(&d.zone.Reclaim, e, l.lastLease(now))
			d.worth = true
		}
	}
	setPart(&d.team.Zones, l.Zone, d.zone.Sum())
}

// reclaimZones frees the parts of zones that an operator attested to be down, once
// no lease granted there can still run.
func (l *Ledger) reclaimZones(now time.Time, d *draft) {
	for _, z := range slices.Sorted(maps.Keys(l.down)) {
		since := l.down[z]
		if z == l.Zone || d.team.Zones[z] == 0 || (now.Before(l.lastLease(since)) && !l.unsafe.reclaimAtOnce) {
			continue
		}
		delete(d.team.Zones, z)
		delete(d.team.Wanted, z)
		d.cleared = append(d.cleared, z)
		d.worth = true
	}
}

// lastLease returns when every lease has ended that was granted before t, on any
// clock: the granting clock, the target's and the reader's each add a skew.
func (l *Ledger) lastLease(t time.Time) time.Time {
	return t.Add(l.maxLifetime() + 3*l.skew())
}

// size sets the part that the entry should have. A part stays where it is until
// someone else waits for it: limits of teams are independent, so an idle part costs
// nothing, and giving it back and fetching it again costs two writes.
func (l *Ledger) size(now time.Time, a *allotment, d *draft) {
	running := a.running.count()
	if l.unsafe.giveRunning {
		running = 0
	}
	idle := max(0, d.part-running)
	free := a.limit - d.team.Sum()
	wants := l.wants(now, a)
	starving := l.starving(now, d)
	even := l.even(now, a.limit, d)
	switch {
	case l.stopping:
		l.give(d, idle)
	case free < 0:
		l.give(d, min(idle, -free))
	case starving > 0:
		l.share(d, idle, free, even, starving, wants)
	case wants && d.part == 0:
		l.takeFirst(now, a, d)
	case wants && idle == 0:
		l.take(d, min(free, l.step(now, a, d)))
	case wants:
	case d.team.Short.After(now) && free <= 0:
		l.give(d, min(idle, d.part-a.used.peak(now)))
	case !now.Before(a.used.last.Add(l.unusedFor())):
		// The least part stays. It would be asked for again as the first one, and the
		// table would get both moves for every entry and team.
		l.give(d, min(idle, d.part-reserve(a.limit)))
	}
	l.mark(now, wants && free <= 0 && d.part <= a.part, even, d)
}

// unusedFor returns how long a part stays that nobody asks for and nothing uses. It is
// another for each entry: if all gave back at the same time, most moves would conflict.
func (l *Ledger) unusedFor() time.Duration {
	spread := l.place(int(unusedFor / time.Second))
	return unusedFor + time.Duration(spread)*time.Second
}

// share makes room for others that have less than their even part.
func (l *Ledger) share(d *draft, idle, free, even core.Slots, starving int, wants bool) {
	switch {
	case !wants && free <= 0:
		l.give(d, min(idle, core.Slots(starving)))
	case d.part > even && free <= 0:
		l.give(d, min(idle, d.part-even, core.Slots(starving)))
	case wants && idle == 0 && d.part < max(1, even):
		l.take(d, min(free, max(1, even)-d.part))
	}
}

// step returns how much to take at once: as much again as the part or about an entry's
// share of what is free, or single slots while the limit is short.
func (l *Ledger) step(now time.Time, a *allotment, d *draft) core.Slots {
	if d.team.Short.After(now) {
		return 1
	}
	const entries = 32
	return max(d.part, reserve(a.limit), (a.limit-d.team.Sum())/entries)
}

// wants reports whether a request waits here for want of allotment.
func (l *Ledger) wants(now time.Time, a *allotment) bool {
	_, down := l.down[l.Zone]
	return !l.stopping && !down && l.head.Version > 0 && !a.wanted.IsZero() && now.Before(a.wanted.Add(wantFor))
}

// starving counts the other zones, and other entries of this one, in which an entry
// waits with less than its even part.
func (l *Ledger) starving(now time.Time, d *draft) int {
	return othersWant(d.team.Wanted, l.Zone, now) + othersWant(d.zone.Wanted, l.Self, now)
}

// even returns the entry's even part of the limit among those who hold or want one,
// among zones first, then within the zone, rounded down.
func (l *Ledger) even(now time.Time, limit core.Slots, d *draft) core.Slots {
	zones := claimants(d.team.Zones, d.team.Wanted, l.Zone, now)
	entries := claimants(d.zone.Entries, d.zone.Wanted, l.Self, now)
	return limit / core.Slots(zones*entries)
}

// ceiling bounds what runs here while others wait with less than their even part of a
// limit that is all given out: work that ends makes room for them.
func (a *allotment) ceiling(now time.Time, l *Ledger) core.Slots {
	d := draft{team: a.team, zone: a.zone}
	if a.team.Sum() < a.limit || l.starving(now, &d) == 0 {
		return a.limit
	}
	return max(1, l.even(now, a.limit, &d))
}

func (l *Ledger) give(d *draft, n core.Slots) {
	if n > 0 {
		d.part -= n
		d.worth = true
	}
}

func (l *Ledger) take(d *draft, n core.Slots) {
	if n > 0 {
		d.part += n
		d.worth = true
	}
}

// mark sets or clears the marks by which entries ask others for a part. One mark of a
// short limit serves all, so that a burst doesn't cost a write for each entry.
func (l *Ledger) mark(now time.Time, waits bool, even core.Slots, d *draft) {
	_, marked := d.zone.Wanted[l.Self]
	less := d.part == 0 || d.part < even
	switch {
	case waits && less && !marked:
		put(&d.zone.Wanted, l.Self, now.Add(markFor))
		put(&d.team.Wanted, l.Zone, now.Add(markFor))
		d.worth = true
	case waits && !less && !d.team.Short.After(now):
		d.team.Short = now.Add(markFor)
		d.worth = true
	case marked && !less:
		delete(d.zone.Wanted, l.Self)
		if len(d.zone.Wanted) == 0 {
			delete(d.team.Wanted, l.Zone)
		}
	}
}

// reserve is the least part worth asking for.
func reserve(limit core.Slots) core.Slots {
	const entries = 64
	return max(1, limit/entries)
}
