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
	// partsPerRound bounds how many teams are asked for in one round. With 620 teams a
	// new entry has them all in about two minutes; if 42 entries start at once, that
	// is 210 of the several hundred writes a second that the table takes.
	partsPerRound = 5
)

// keepParts asks for a part of the limit of every team that this entry holds none
// of. Without it an entry that never ran a team's work has to refuse it for as long
// as the table is down, although the team runs nothing.
func (d *Daemon) keepParts(ctx context.Context) error {
	return supervisor.Every(ctx, partsInterval, func(context.Context) {
		held := make(map[core.TeamID]bool)
		for _, t := range d.limits.Dump() {
			held[t.Team] = t.Part > 0 || t.Limit > 0 && t.GivenOut >= t.Limit
		}
		asked := 0
		for _, team := range d.teams() {
			if held[team] || asked == partsPerRound {
				continue
			}
			asked++
			d.limits.Limiter().Wanted(d.now(), team)
		}
	})
}

func (d *Daemon) teams() []core.TeamID {
	var teams []core.TeamID
	d.config.View(func(v *config.View) { teams = v.Teams() })
	return teams
}
