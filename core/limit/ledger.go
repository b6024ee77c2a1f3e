package limit

import (
	"maps"
	"slices"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// Defaults of a Ledger's settings, equal to those of the shards.
const (
	DefaultMaxLifetime = time.Hour
	DefaultSkew        = 250 * time.Millisecond
)

// Ledger is the Limiter of an entry and the decisions about its allotments. Its
// zero value holds nothing. It is not safe for concurrent use.
type Ledger struct {
	Self core.EntryID
	Zone core.ZoneID
	// MaxLifetime is the longest time from a dispatch to its lease deadline. Zero
	// means DefaultMaxLifetime.
	MaxLifetime time.Duration
	// Skew is the most by which the clocks of two machines differ. Zero means
	// DefaultSkew.
	Skew time.Duration

	teams map[core.TeamID]*teamAllotment
	// teamOrder holds the keys of teams, sorted.
	teamOrder []core.TeamID
	// unknownLimits holds the teams whose limit isn't known.
	unknownLimits map[core.TeamID]bool
	schedule      schedule
	moves         map[MoveID]core.TeamID
	lastMove      MoveID
	configHead    table.Row
	polledAt      time.Time
	// demandAt and lowered are the latest of all teams.
	demandAt, loweredAt time.Time
	goneEntries         map[core.EntryID]bool
	downZones           map[core.ZoneID]time.Time
	members             Members
	stopping            bool

	// Switched on in tests only, to see the safeguards fail.
	disabled disabledSafeguards
}

// disabledSafeguards names the safeguards that a test switches off.
type disabledSafeguards struct {
	useUnsettledMoves   bool
	reclaimImmediately  bool
	ignoreLoweredLimits bool
	giveBackRunning     bool
	noHeadCheck         bool
	// staleRows is no safeguard: it shows what the reads before moves save.
	staleRows bool
}

var _ Limiter = (*Ledger)(nil)

// teamAllotment is what the ledger knows of one team.
type teamAllotment struct {
	id         core.TeamID
	limit      core.Slots
	limitKnown bool
	// loweredAt is when a limit change was heard that may be a lowering. Nothing starts
	// until the rows were read after it.
	loweredAt time.Time

	// slots is this entry's part by the last settled word of the table.
	slots        core.Slots
	team         TeamRow
	zone         ZoneRow
	teamTableRow table.Row
	zoneTableRow table.Row
	// readAsOf is when the read left that the rows are at least as new as.
	readAsOf   time.Time
	known      bool
	readSentAt time.Time
	// refreshedAt is when the rows were read or written by this entry itself.
	refreshedAt time.Time
	move        *openMove
	// retryAt is when the table is tried again after it was not reached.
	retryAt time.Time
	// decideAt is when the allotment is looked at again, index its place in the schedule.
	decideAt  time.Time
	heapIndex int

	running  runningSlots
	demandAt time.Time
	usage    peakUsage
}

// openMove is a move whose outcome isn't certain.
type openMove struct {
	Move
	// minSlots is the lesser of the parts before and after the move.
	minSlots, slotsAfter core.Slots
	team                 TeamRow
	zone                 ZoneRow
	// The versions that the move checks.
	teamVersion, zoneVersion core.Version
	// answerLost is true once an answer was lost.
	answerLost bool
	// conflictedAt is when a sending after a lost answer met a conflict: the checked
	// versions are past, so the move took effect before or never will, and a read that
	// leaves later tells which.
	conflictedAt time.Time
	resendAt     time.Time
}

// Acquire implements Limiter.
func (l *Ledger) Acquire(now time.Time, key core.RequestKey, until time.Time) bool {
	a := l.allotmentOf(key.Team)
	a.running.expire(now)
	if until.After(now.Add(l.maxLifetime())) {
		// A lease beyond the greatest lifetime could outlive the reclaim of this entry's
		// allotment, and the team would run more than its limit.
		return false
	}
	if a.running.count() >= l.usableSlots(now, a) {
		return false
	}
	a.running.add(key, until.Add(l.skew()))
	l.schedule.makeDue(a)
	a.usage.observe(now, a.running.count())
	return true
}

// Release implements Limiter.
func (l *Ledger) Release(key core.RequestKey) {
	if a, ok := l.teams[key.Team]; ok {
		a.running.release(key)
	}
}

// Running implements Limiter.
func (l *Ledger) Running(now time.Time, team core.TeamID) core.Slots {
	a, ok := l.teams[team]
	if !ok {
		return 0
	}
	a.running.expire(now)
	return a.running.count()
}

// RecordDemand implements Limiter.
func (l *Ledger) RecordDemand(now time.Time, team core.TeamID) {
	a := l.allotmentOf(team)
	a.demandAt, l.demandAt = now, now
	l.schedule.makeDue(a)
}

// Teams returns the teams that the ledger keeps track of, sorted.
func (l *Ledger) Teams() []core.TeamID {
	return slices.Clone(l.teamOrder)
}

// UnknownLimits returns the teams whose limit wasn't told yet, sorted.
func (l *Ledger) UnknownLimits() []core.TeamID {
	return slices.Sorted(maps.Keys(l.unknownLimits))
}

// NeedsTeamRows reports whether what other zones do matters here at once: a request
// waits, or a limit changed since the rows were polled.
func (l *Ledger) NeedsTeamRows(now time.Time) bool {
	return now.Before(l.demandAt.Add(demandTTL)) || !l.polledAt.After(l.loweredAt)
}

// Excess returns by how much the team may still be above its limit, fleet-wide, as
// the allotments say: an upper bound, since a part counts as running.
func (l *Ledger) Excess(team core.TeamID) core.Slots {
	a, ok := l.teams[team]
	if !ok || !a.limitKnown {
		return 0
	}
	return max(0, a.team.Sum()-a.limit)
}

// usableSlots returns how many slots may run here now.
func (l *Ledger) usableSlots(now time.Time, a *teamAllotment) core.Slots {
	if _, down := l.downZones[l.Zone]; down || !a.limitKnown {
		return 0
	}
	if l.startsPaused(a) {
		return 0
	}
	n := a.slots
	if a.move != nil && !l.disabled.useUnsettledMoves {
		// Until the outcome of a move is certain, the lesser part holds: of a raise, the
		// part before it; of a give-back, the part after it, which others may hold by now.
		n = min(n, a.move.minSlots)
	}
	return min(n, a.ceiling(now, l))
}

// startsPaused reports whether a lowered limit stops the team's starts: it was heard of
// after the rows were read, or the parts still add up to more. Parts are all that
// this entry knows of what runs elsewhere.
func (l *Ledger) startsPaused(a *teamAllotment) bool {
	if l.disabled.ignoreLoweredLimits {
		return false
	}
	return !l.rowsAsOf(a).After(a.loweredAt) || a.team.Sum() > a.limit
}

// rowsAsOf returns the instant that the rows are at least as new as.
func (l *Ledger) rowsAsOf(a *teamAllotment) time.Time {
	if a.known && l.polledAt.After(a.readAsOf) {
		return l.polledAt
	}
	return a.readAsOf
}

func (l *Ledger) allotmentOf(team core.TeamID) *teamAllotment {
	a, ok := l.teams[team]
	if !ok {
		a = &teamAllotment{id: team}
		put(&l.teams, team, a)
		put(&l.unknownLimits, team, true)
		l.schedule.add(a)
		i, _ := slices.BinarySearch(l.teamOrder, team)
		l.teamOrder = slices.Insert(l.teamOrder, i, team)
	}
	return a
}

func (l *Ledger) maxLifetime() time.Duration {
	if l.MaxLifetime == 0 {
		return DefaultMaxLifetime
	}
	return l.MaxLifetime
}

func (l *Ledger) skew() time.Duration {
	if l.Skew == 0 {
		return DefaultSkew
	}
	return l.Skew
}
