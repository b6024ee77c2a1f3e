package platform

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/limit"
	"lavenderpond/core/table"
)

// limitsRefreshInterval is the time between two reports of all teams' limits while nothing
// indicates that a limit changed. A limit can change without such an indication: a row may
// arrive late, with a change up to which the view already counts as complete.
const limitsRefreshInterval = time.Second

// limitsReport describes the limits last reported to the ledger. The zero value means
// that none were reported.
type limitsReport struct {
	head       table.Row
	reportedAt time.Time
	// validUntil is when the next exception ends, so that limits may change without a
	// new row. It is zero if there is no exception.
	validUntil time.Time
}

// configurationEvents returns for each zone whether it is attested to be down, and the
// limits that may have changed: those of all teams, or only those of teams that are new to
// the ledger.
func (a *Allotments) configurationEvents() []limit.Event {
	now := a.Now()
	events := make([]limit.Event, 0, len(a.Config.Zones)+1)
	a.Config.View(func(v *config.View) {
		for _, z := range a.Config.Zones {
			d, down := v.ZoneDown(z)
			events = append(events, limit.ZoneDown{Zone: z, Down: down, Since: d.Since})
		}
		if l, ok := a.changedLimits(now, v); ok {
			events = append(events, l)
		}
	})
	return events
}

// changedLimits returns false if no team's limit can have changed.
func (a *Allotments) changedLimits(now time.Time, v *config.View) (limit.Limits, bool) {
	teams := a.teamsWithUnknownLimit()
	if a.reportedLimits.mayBeOutdated(now, v) {
		a.reportedLimits = limitsReport{head: v.Head(), reportedAt: now, validUntil: nextExceptionEnd(now, v)}
		teams = a.ledgerTeams()
	} else if len(teams) == 0 {
		return limit.Limits{}, false
	}
	l := limit.Limits{Head: a.reportedLimits.head, Limits: make(map[core.TeamID]core.Slots, len(teams))}
	for _, t := range teams {
		team, _ := v.Team(now, t)
		l.Limits[t] = team.Limit
	}
	return l, true
}

// mayBeOutdated reports whether the limits in force may differ from those reported. If
// the head is empty, the view has some rows of a change but not all of them, and the
// others may arrive at any time.
func (r *limitsReport) mayBeOutdated(now time.Time, v *config.View) bool {
	if r.head.Version == 0 || v.Head().Version != r.head.Version {
		return true
	}
	return !now.Before(r.reportedAt.Add(limitsRefreshInterval)) || !r.validUntil.IsZero() && !now.Before(r.validUntil)
}

// nextExceptionEnd returns when the first exception ends, or zero if there is none.
func nextExceptionEnd(now time.Time, v *config.View) time.Time {
	var end time.Time
	for _, e := range v.Exceptions(now) {
		if end.IsZero() || e.End.Before(end) {
			end = e.End
		}
	}
	return end
}

func (a *Allotments) ledgerTeams() []core.TeamID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Ledger.Teams()
}

func (a *Allotments) teamsWithUnknownLimit() []core.TeamID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Ledger.UnknownLimits()
}
