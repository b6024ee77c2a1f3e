package entry

import (
	"context"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/io/supervisor"
)

// Pacing of the requests for initial allotments.
const (
	initialAllotmentInterval = time.Second
	// initialAllotmentsPerRound is the maximum number of teams per round. When 42
	// entries start at the same time, they make 210 writes/s of the several hundred
	// that the table can take, for about 20 s with 620 teams. A single new entry needs
	// two minutes.
	initialAllotmentsPerRound = 5
	// initialAllotmentDelay is the delay after the start of the entry. It gives the
	// directory time to learn of entries that start at the same time, because the
	// first entry to act takes allotments for all new entries of its zone.
	initialAllotmentDelay = directoryInterval + time.Second
)

// requestInitialAllotments requests an allotment for every team for which this entry
// holds none. Otherwise an entry that has never run a team's requests would have to
// refuse them while the table is down, even if the team runs nothing at all.
func (d *Daemon) requestInitialAllotments(ctx context.Context) error {
	return supervisor.Every(ctx, initialAllotmentInterval, func(context.Context) {
		if d.now().Before(d.started.Add(initialAllotmentDelay)) {
			return
		}
		for _, team := range d.allotments.TeamsWithoutAllotment(d.teams(), initialAllotmentsPerRound) {
			d.allotments.Limiter().RecordDemand(d.now(), team)
		}
	})
}

// zoneEntries returns the entries of this zone that are in the directory, sorted by
// name.
func (d *Daemon) zoneEntries() []core.EntryID {
	var entries []core.EntryID
	for _, a := range d.directory.AddressesInZone(d.settings.Entry.Zone) {
		entries = append(entries, a.Entry)
	}
	return entries
}

// teams returns the teams in the configuration.
func (d *Daemon) teams() []core.TeamID {
	var teams []core.TeamID
	d.config.View(func(v *config.View) { teams = v.Teams() })
	return teams
}
