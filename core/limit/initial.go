package limit

import (
	"slices"
	"time"

	"lavenderpond/core"
)

// newEntryPeriod is how long after its start an entry counts as one that has no parts
// yet. One that has run for longer and has none gave them back, as before its stop: a
// part that it is given then is lost until its last lease could have ended.
const newEntryPeriod = 2 * time.Minute

// NextInitialAllotments returns up to n of teams of whose limit this entry holds no part
// although some is left. Each entry of the fleet begins at another place of the list:
// otherwise all would write the same rows at the same time, and most in vain.
func (l *Ledger) NextInitialAllotments(teams []core.TeamID, n int) []core.TeamID {
	var lacking []core.TeamID
	first := l.spreadOffset(len(teams))
	for i := range teams {
		if len(lacking) == n {
			break
		}
		team := teams[(first+i)%len(teams)]
		if a, ok := l.teams[team]; ok && (a.slots > 0 || a.limit > 0 && a.team.Sum() >= a.limit) {
			continue
		}
		lacking = append(lacking, team)
	}
	return lacking
}

// spreadOffset spreads the entries evenly over a list of n.
func (l *Ledger) spreadOffset(n int) int {
	entries, zones := max(1, len(l.members.Entries)), max(1, len(l.members.Zones))
	rank := max(0, slices.Index(l.members.Entries, l.Self))
	zone := max(0, slices.Index(l.members.Zones, l.Zone))
	return n * (rank*zones + zone) / (entries * zones)
}

// takeInitial takes a first part, and one for each of the zone's entries that has just
// started, if no entry that runs has any: a start of the whole fleet would otherwise
// cost a move for each entry and team. What is given is the row's word like any other
// part: an entry uses it once it has read it, and keeps it until it gives it back or is
// certainly gone.
func (l *Ledger) takeInitial(now time.Time, a *teamAllotment, d *draft) {
	free := a.limit - d.team.Sum()
	newcomers := l.newEntries(now, d)
	if len(newcomers) == 0 {
		l.take(d, min(free, l.increment(now, a, d)))
		return
	}
	left, each := l.initialAllotments(a.limit, free, 1+len(newcomers))
	l.take(d, min(left, each))
	left -= each
	for _, e := range newcomers {
		if left <= 0 {
			return
		}
		setSlots(&d.zone.Entries, e, min(left, each))
		left -= each
	}
}

// initialAllotments returns what a zone may take for all its entries at once, and the part of
// each. Half of the even parts stays free, for zones and entries that need more.
func (l *Ledger) initialAllotments(limit, free core.Slots, entries int) (zone, each core.Slots) {
	zones := core.Slots(max(1, len(l.members.Zones)))
	zone = min(free, max(1, limit/zones))
	return zone, max(1, zone/2/core.Slots(entries))
}

// newEntries returns the other entries of the zone that started lately, unless one that
// is known to run has a part already.
func (l *Ledger) newEntries(now time.Time, d *draft) []core.EntryID {
	if d.team.Short.After(now) {
		return nil
	}
	var newcomers []core.EntryID
	for _, e := range l.members.Entries {
		if l.goneEntries[e] {
			continue
		}
		if d.zone.Entries[e] > 0 {
			return nil
		}
		if e != l.Self && now.Before(e.Started().Add(newEntryPeriod)) {
			newcomers = append(newcomers, e)
		}
	}
	return newcomers
}
