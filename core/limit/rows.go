package limit

import (
	"maps"
	"time"

	"lavenderpond/core"
)

// TeamRow is the row that splits a team's limit among zones.
type TeamRow struct {
	// Limit is the limit that the last move saw.
	Limit core.Slots `json:"limit"`
	// Zones holds each zone's part: the sum of its entries' parts.
	Zones map[core.ZoneID]core.Slots `json:"zones,omitempty"`
	// Wanted holds the zones in which an entry has less than its even part and waits,
	// with the end of their marks.
	Wanted map[core.ZoneID]time.Time `json:"wanted,omitempty"`
	// Short is the end of the mark of an entry that waits at its even part: others give
	// back what they haven't used lately.
	Short time.Time `json:"short,omitzero"`
}

// ZoneRow is the row that splits a zone's part among its entries.
type ZoneRow struct {
	Entries map[core.EntryID]core.Slots `json:"entries,omitempty"`
	// Reclaim holds the deadline of the last lease that an entry which is gone could
	// have granted. Its part is free from then on.
	Reclaim map[core.EntryID]time.Time `json:"reclaim,omitempty"`
	// Wanted holds the zone's entries that have less than their even part and wait.
	Wanted map[core.EntryID]time.Time `json:"wanted,omitempty"`
}

// Sum returns the slots that are given out.
func (r TeamRow) Sum() core.Slots { return sum(r.Zones) }

// Sum returns the slots that the zone's entries hold.
func (r ZoneRow) Sum() core.Slots { return sum(r.Entries) }

func (r TeamRow) clone() TeamRow {
	return TeamRow{Limit: r.Limit, Zones: maps.Clone(r.Zones), Wanted: maps.Clone(r.Wanted), Short: r.Short}
}

func (r ZoneRow) clone() ZoneRow {
	return ZoneRow{Entries: maps.Clone(r.Entries), Reclaim: maps.Clone(r.Reclaim), Wanted: maps.Clone(r.Wanted)}
}

// nonNegative reports whether no part is negative, which no move writes.
func nonNegative[K comparable](parts map[K]core.Slots) bool {
	for _, n := range parts {
		if n < 0 {
			return false
		}
	}
	return true
}

func sum[K comparable](parts map[K]core.Slots) core.Slots {
	var total core.Slots
	for _, n := range parts {
		total += n
	}
	return total
}

// setSlots stores n under key; parts of zero aren't kept.
func setSlots[K comparable](parts *map[K]core.Slots, key K, n core.Slots) {
	if n == 0 {
		delete(*parts, key)
		return
	}
	put(parts, key, n)
}

func put[K comparable, T any](m *map[K]T, key K, value T) {
	if *m == nil {
		*m = make(map[K]T)
	}
	(*m)[key] = value
}

// dropExpired removes marks whose end has passed.
func dropExpired[K comparable](marks map[K]time.Time, now time.Time) {
	maps.DeleteFunc(marks, func(_ K, end time.Time) bool { return !end.After(now) })
}

// countOtherMarks counts the marks of others than self that stand at now.
func countOtherMarks[K comparable](marks map[K]time.Time, self K, now time.Time) int {
	n := 0
	for key, end := range marks {
		if key != self && end.After(now) {
			n++
		}
	}
	return n
}

// claimants counts the holders of parts and those who want one, self included.
func claimants[K comparable](parts map[K]core.Slots, marks map[K]time.Time, self K, now time.Time) int {
	all := map[K]bool{self: true}
	for key := range parts {
		all[key] = true
	}
	for key, end := range marks {
		if end.After(now) {
			all[key] = true
		}
	}
	return len(all)
}
