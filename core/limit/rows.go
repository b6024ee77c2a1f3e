package limit

import (
	"maps"
	"time"

	"lavenderpond/core"
)

// TeamRow is the table row that divides a team's limit among zones.
type TeamRow struct {
	// Limit is the team's limit as seen by the last move.
	Limit core.Slots `json:"limit"`
	// Zones maps each zone to its allotment, which is the sum of its entries'
	// allotments.
	Zones map[core.ZoneID]core.Slots `json:"zones,omitempty"`
	// DemandMarks maps each zone in which an entry waits with less than its even share to
	// the expiry of its demand mark.
	DemandMarks map[core.ZoneID]time.Time `json:"wanted,omitempty"`
	// ShortUntil is the expiry of the demand mark set by an entry that waits although it has
	// its even share. Until then, other entries give back the slots they haven't used
	// recently.
	ShortUntil time.Time `json:"short,omitzero"`
}

// ZoneRow is the table row that divides a zone's allotment among its entries.
type ZoneRow struct {
	Entries map[core.EntryID]core.Slots `json:"entries,omitempty"`
	// ReclaimAt maps each entry that has ended to the latest deadline of a lease it could
	// have granted. Its allotment is free from then on.
	ReclaimAt map[core.EntryID]time.Time `json:"reclaim,omitempty"`
	// DemandMarks maps each entry of the zone that waits with less than its even share to
	// the expiry of its demand mark.
	DemandMarks map[core.EntryID]time.Time `json:"wanted,omitempty"`
}

// Sum returns the number of slots allotted to zones.
func (r TeamRow) Sum() core.Slots { return sum(r.Zones) }

// Sum returns the number of slots allotted to the zone's entries.
func (r ZoneRow) Sum() core.Slots { return sum(r.Entries) }

func (r TeamRow) clone() TeamRow {
	return TeamRow{Limit: r.Limit, Zones: maps.Clone(r.Zones), DemandMarks: maps.Clone(r.DemandMarks), ShortUntil: r.ShortUntil}
}

func (r ZoneRow) clone() ZoneRow {
	return ZoneRow{Entries: maps.Clone(r.Entries), ReclaimAt: maps.Clone(r.ReclaimAt), DemandMarks: maps.Clone(r.DemandMarks)}
}

// nonNegative reports whether no allotment is negative. No move writes a negative one.
func nonNegative[K comparable](allotments map[K]core.Slots) bool {
	for _, n := range allotments {
		if n < 0 {
			return false
		}
	}
	return true
}

func sum[K comparable](allotments map[K]core.Slots) core.Slots {
	var total core.Slots
	for _, n := range allotments {
		total += n
	}
	return total
}

// setSlots stores n under key. Allotments of zero are removed.
func setSlots[K comparable](allotments *map[K]core.Slots, key K, n core.Slots) {
	if n == 0 {
		delete(*allotments, key)
		return
	}
	put(allotments, key, n)
}

func put[K comparable, T any](m *map[K]T, key K, value T) {
	if *m == nil {
		*m = make(map[K]T)
	}
	(*m)[key] = value
}

// dropExpired removes the marks that have expired by now.
func dropExpired[K comparable](marks map[K]time.Time, now time.Time) {
	maps.DeleteFunc(marks, func(_ K, end time.Time) bool { return !end.After(now) })
}

// countOtherMarks returns the number of marks that are in force at now and don't belong
// to self.
func countOtherMarks[K comparable](marks map[K]time.Time, self K, now time.Time) int {
	n := 0
	for key, end := range marks {
		if key != self && end.After(now) {
			n++
		}
	}
	return n
}

// countClaimants returns the number of keys that hold an allotment or have a mark in
// force. It always counts self.
func countClaimants[K comparable](allotments map[K]core.Slots, marks map[K]time.Time, self K, now time.Time) int {
	all := map[K]bool{self: true}
	for key := range allotments {
		all[key] = true
	}
	for key, end := range marks {
		if end.After(now) {
			all[key] = true
		}
	}
	return len(all)
}
