package limit

import (
	"slices"
	"time"

	"lavenderpond/core"
)

// newEntryPeriod is how long after its start an entry counts as new. A new entry has no
// allotments yet. An older entry without an allotment has given it back, as entries do
// before they stop. Slots allotted to a stopping entry are lost until its
// last lease could have expired.
const newEntryPeriod = 2 * time.Minute

// TeamsWithoutAllotment returns up to n of teams for which this entry has no allotment
// although part of the limit is free. Each entry of the fleet starts at a different
// position in the list. Otherwise all entries would write the same rows at the same
// time, and most of the writes would conflict.
func (l *Ledger) TeamsWithoutAllotment(teams []core.TeamID, n int) []core.TeamID {
	var missing []core.TeamID
	first := l.spreadOffset(len(teams))
	for i := range teams {
		if len(missing) == n {
			break
		}
		team := teams[(first+i)%len(teams)]
		if a, ok := l.teams[team]; ok && (a.slots > 0 || a.limit > 0 && a.teamRow.Sum() >= a.limit) {
			continue
		}
		missing = append(missing, team)
	}
	return missing
}

// spreadOffset returns this entry's start position in a list of n elements, spreading
// the entries evenly.
func (l *Ledger) spreadOffset(n int) int {
	entries, zones := max(1, len(l.members.Entries)), max(1, len(l.members.Zones))
	rank := max(0, slices.Index(l.members.Entries, l.Self))
	zone := max(0, slices.Index(l.members.Zones, l.Zone))
	return n * (rank*zones + zone) / (entries * zones)
}

// takeInitial takes the entry's first allotment and, if no running entry of the zone
// has one, also allots slots to each entry of the zone that has just started. Without
// this, a start of the whole fleet would cost one move per entry and team. These
// allotments are ordinary ones: an entry uses its slots once it has read the row, and
// keeps them until it gives them back or has certainly ended.
func (l *Ledger) takeInitial(now time.Time, a *teamAllotment, d *draft) {
	free := a.limit - d.teamRow.Sum()
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
		setSlots(&d.zoneRow.Entries, e, min(left, each))
		left -= each
	}
}

// initialAllotments returns the number of slots that the zone may take for all its
// entries together, and the number for each entry. Half of the zone's even share stays
// free for zones and entries that need more.
func (l *Ledger) initialAllotments(limit, free core.Slots, entries int) (zone, each core.Slots) {
	zones := core.Slots(max(1, len(l.members.Zones)))
	zone = min(free, max(1, limit/zones))
	return zone, max(1, zone/2/core.Slots(entries))
}

// newEntries returns the other entries of the zone that started recently. It returns
// nil while the limit is short, or if an entry that isn't known to have ended already
// has an allotment.
func (l *Ledger) newEntries(now time.Time, d *draft) []core.EntryID {
	if d.teamRow.ShortUntil.After(now) {
		return nil
	}
	var newcomers []core.EntryID
	for _, e := range l.members.Entries {
		if l.goneEntries[e] {
			continue
		}
		if d.zoneRow.Entries[e] > 0 {
			return nil
		}
		if e != l.Self && now.Before(e.Started().Add(newEntryPeriod)) {
			newcomers = append(newcomers, e)
		}
	}
	return newcomers
}
