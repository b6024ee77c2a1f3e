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
	partsInterval = time.Second
	// partsPerRound bounds how many teams are asked for in one round: 42 entries that
	// start at once make 210 of the several hundred writes a second that the table
	// takes, for about 20 s with 620 teams. A single new entry takes two minutes.
	partsPerRound = 5
	// partsAfter is the wait after a start, until the rows of entries that started at
	// the same time were read: whoever is first takes parts for all of its zone.
	partsAfter = directoryInterval + time.Second
)

// keepParts asks for a part of the limit of every team that this entry holds none
// of. Without it an entry that never ran a team's work has to refuse it for as long
// as the table is down, although the team runs nothing.
func (d *Daemon) keepParts(ctx context.Context) error {
	return supervisor.Every(ctx, partsInterval, func(context.Context) {
		if d.now().Before(d.started.Add(partsAfter)) {
			return
		}
		for _, team := range d.limits.NextInitialAllotments(d.teams(), partsPerRound) {
			d.limits.Limiter().RecordDemand(d.now(), team)
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
