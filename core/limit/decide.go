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
	if l.needsRead(a) {
		if now.Before(a.readSent.Add(rereadAfter)) {
			return nil
		}
		a.readSent = now
		return []Command{ReadRows{Team: team}}
	}
	if a.move != nil || now.Before(a.retryAt) || !a.limitKnown {
		return nil
	}
	return l.plan(now, team, a)
}

func (l *Ledger) needsRead(a *allotment) bool {
	return !a.known || a.move != nil || !l.rowsAt(a).After(a.lowered)
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

// plan drafts a move and opens it if it is worth a write.
func (l *Ledger) plan(now time.Time, team core.TeamID, a *allotment) []Command {
	d := draft{team: a.team.clone(), zone: a.zone.clone(), part: a.part}
	dropEnded(d.team.Wanted, now)
	dropEnded(d.zone.Wanted, now)
	l.reclaimEntries(now, &d)
	l.reclaimZones(now, &d)
	l.size(now, a, &d)
	if !d.worth {
		return nil
	}
	d.team.Limit = a.limit
	setPart(&d.zone.Entries, l.Self, d.part)
	setPart(&d.team.Zones, l.Zone, d.zone.Sum())
	return l.open(team, a, d)
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

// size sets the part that the entry should have.
func (l *Ledger) size(now time.Time, a *allotment, d *draft) {
	running := a.running.count()
	if l.unsafe.giveRunning {
		running = 0
	}
	idle := max(0, d.part-running)
	free := a.limit - d.team.Sum()
	wants := l.wants(now, a)
	contended := l.contended(now, d)
	fair := l.fair(now, a.limit, d)
	switch {
	case l.stopping:
		l.give(d, idle)
	case free < 0:
		l.give(d, min(idle, -free))
	case wants && contended:
		l.give(d, min(idle, max(0, d.part-fair)))
		l.take(d, min(free, fair-d.part))
	case wants:
		if idle == 0 {
			l.take(d, min(free, max(d.part, reserve(a.limit))))
		}
	case contended && free == 0:
		l.give(d, idle)
	default:
		l.giveIdle(now, a, d, idle)
	}
	_, marked := d.zone.Wanted[l.Self]
	full := free <= 0 && d.part <= a.part
	l.mark(now, wants && d.part < fair && (marked || full), d)
}

// wants reports whether a request waits here for want of allotment.
func (l *Ledger) wants(now time.Time, a *allotment) bool {
	_, down := l.down[l.Zone]
	return !l.stopping && !down && l.head.Version > 0 && !a.wanted.IsZero() && now.Before(a.wanted.Add(wantFor))
}

// contended reports whether another zone, or another entry of this one, waits.
func (l *Ledger) contended(now time.Time, d *draft) bool {
	return othersWant(d.team.Wanted, l.Zone, now) || othersWant(d.zone.Wanted, l.Self, now)
}

// fair returns the entry's even part of the limit among those who hold or want one:
// among zones first, then within the zone.
func (l *Ledger) fair(now time.Time, limit core.Slots, d *draft) core.Slots {
	zones := claimants(d.team.Zones, d.team.Wanted, l.Zone, now)
	entries := claimants(d.zone.Entries, d.zone.Wanted, l.Self, now)
	part := (limit + core.Slots(zones) - 1) / core.Slots(zones)
	return (part + core.Slots(entries) - 1) / core.Slots(entries)
}

// ceiling bounds what runs here while others wait for parts of a limit that is all
// given out: work that ends makes room for them.
func (a *allotment) ceiling(now time.Time, l *Ledger) core.Slots {
	d := draft{team: a.team, zone: a.zone}
	if a.team.Sum() < a.limit || !l.contended(now, &d) {
		return a.limit
	}
	return l.fair(now, a.limit, &d)
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

// giveIdle gives back what wasn't used for idleFor, but for a reserve that lets the
// entry serve the team's next requests when the table is down.
func (l *Ledger) giveIdle(now time.Time, a *allotment, d *draft, idle core.Slots) {
	keep := max(a.used.peak(now), reserve(a.limit))
	surplus := min(idle, d.part-keep)
	if surplus > d.part/4 {
		l.give(d, surplus)
	}
}

// mark sets or clears the marks by which this entry asks others for a part.
func (l *Ledger) mark(now time.Time, waits bool, d *draft) {
	_, marked := d.zone.Wanted[l.Self]
	switch {
	case waits && !marked:
		put(&d.zone.Wanted, l.Self, now.Add(markFor))
		put(&d.team.Wanted, l.Zone, now.Add(markFor))
		d.worth = true
	case !waits && marked:
		delete(d.zone.Wanted, l.Self)
		if len(d.zone.Wanted) == 0 {
			delete(d.team.Wanted, l.Zone)
		}
		d.worth = true
	}
}

// reserve is the least part worth asking for, and the part that stays when idle.
func reserve(limit core.Slots) core.Slots {
	const entries = 64
	return max(1, limit/entries)
}
