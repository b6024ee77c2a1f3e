package entry

import (
	"context"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/io/supervisor"
)

// Pace of the first parts of teams' limits.
const (
	initialAllotmentInterval = time.Second
	// initialAllotmentsPerRound bounds how many teams are asked for in one round: 42 entries that
	// start at once make 210 of the several hundred writes a second that the table
	// takes, for about 20 s with 620 teams. A single new entry takes two minutes.
	initialAllotmentsPerRound = 5
	// initialAllotmentDelay is the wait after a start, until the rows of entries that started at
	// the same time were read: whoever is first takes parts for all of its zone.
	initialAllotmentDelay = directoryInterval + time.Second
)

// requestInitialAllotments asks for a part of the limit of every team that this entry holds none
// of. Without it an entry that never ran a team's work has to refuse it for as long
// as the table is down, although the team runs nothing.
func (d *Daemon) requestInitialAllotments(ctx context.Context) error {
	return supervisor.Every(ctx, initialAllotmentInterval, func(context.Context) {
		if d.now().Before(d.started.Add(initialAllotmentDelay)) {
			return
		}
		for _, team := range d.allotments.NextFirstParts(d.teams(), initialAllotmentsPerRound) {
			d.allotments.Limiter().RecordDemand(d.now(), team)
		}
	})
}

// zoneEntries returns the entries of the own zone that stated an address, by name.
func (d *Daemon) zoneEntries() []core.EntryID {
	var entries []core.EntryID
	for _, a := range d.directory.Zone(d.settings.Entry.Zone) {
		entries = append(entries, a.Entry)
	}
	return entries
}

func (d *Daemon) teams() []core.TeamID {
	var teams []core.TeamID
	d.config.View(func(v *config.View) { teams = v.Teams() })
	return teams
}
