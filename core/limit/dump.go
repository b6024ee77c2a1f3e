package limit

import (
	"maps"
	"slices"

	"lavenderpond/core"
)

// TeamDump is the ledger's state for one team, as shown to operators.
type TeamDump struct {
	Team    core.TeamID `json:"team"`
	Limit   core.Slots  `json:"limit"`
	Part    core.Slots  `json:"part"`
	Running core.Slots  `json:"running"`
	// GivenOut is the sum of all zones' allotments, as last read.
	GivenOut core.Slots `json:"given_out"`
	// Above is the number of slots by which the allotments exceed the limit.
	Above core.Slots `json:"above,omitempty"`
	// Paused is true while a reduced limit prevents new starts.
	Paused bool `json:"paused,omitempty"`
	// Settling is true while the outcome of a move is unknown.
	Settling bool `json:"settling,omitempty"`
}

// Dump returns the ledger's state for each team.
func (l *Ledger) Dump() []TeamDump {
	var dump []TeamDump
	for _, team := range l.Teams() {
		a := l.teams[team]
		dump = append(dump, TeamDump{
			Team: team, Limit: a.limit, Part: a.slots, Running: a.running.count(), GivenOut: a.teamRow.Sum(),
			Above: l.Excess(team), Paused: l.startsPaused(a), Settling: a.move != nil,
		})
	}
	return dump
}

// Holders returns the entries of the own zone that hold allotments, sorted.
func (l *Ledger) Holders() []core.EntryID {
	all := make(map[core.EntryID]bool)
	for _, a := range l.teams {
		for e := range a.zoneRow.Entries {
			all[e] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}
