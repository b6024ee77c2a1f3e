package limit

import (
	"maps"
	"slices"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// Defaults of a Ledger's settings. They equal the defaults of the shards.
const (
	DefaultMaxLifetime = time.Hour
	DefaultSkew        = 250 * time.Millisecond
)

// Ledger implements Limiter for one entry and decides how the entry's allotments
// change. The zero value holds no allotments. A Ledger is not safe for concurrent use.
type Ledger struct {
	Self core.EntryID
	Zone core.ZoneID
	// MaxLifetime is the maximum time from a dispatch to its lease deadline. Zero means
	// DefaultMaxLifetime.
	MaxLifetime time.Duration
	// Skew is the maximum difference between the clocks of two machines. Zero means
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
	// demandAt and reducedAt are the latest values over all teams.
	demandAt, reducedAt time.Time
	goneEntries         map[core.EntryID]bool
	downZones           map[core.ZoneID]time.Time
	members             Members
	stopping            bool

	// disabled is set by tests only, to show that each safeguard is needed.
	disabled disabledSafeguards
}

// disabledSafeguards selects the safeguards that a test disables.
type disabledSafeguards struct {
	useUnsettledMoves   bool
	reclaimImmediately  bool
	ignoreReducedLimits bool
	giveBackRunning     bool
	noHeadCheck         bool
	// staleRows disables an optimization, not a safeguard: the read of the rows before
	// a move.
	staleRows bool
}

var _ Limiter = (*Ledger)(nil)

// teamAllotment is the ledger's state for one team.
type teamAllotment struct {
	id         core.TeamID
	limit      core.Slots
	limitKnown bool
	// reducedAt is when a limit change that may be a reduction was received. No request
	// starts until the rows have been read after that.
	reducedAt time.Time

	// slots is this entry's allotment according to the last settled state of the table.
	slots        core.Slots
	teamRow      TeamRow
	zoneRow      ZoneRow
	teamTableRow table.Row
	zoneTableRow table.Row
	// readAsOf is when the latest read of the rows was sent. The rows are at least as
	// recent as that.
	readAsOf   time.Time
	rowsKnown  bool
	readSentAt time.Time
	// refreshedAt is when this entry last read or wrote the rows itself.
	refreshedAt time.Time
	move        *openMove
	// retryAt is the earliest time of the next table access after the table was
	// unreachable or a move conflicted.
	retryAt time.Time
	// decideAt is when the allotment is evaluated next, and heapIndex is its position
	// in the schedule.
	decideAt  time.Time
	heapIndex int

	running  runningSlots
	demandAt time.Time
	usage    peakUsage
}

// openMove is a move whose outcome isn't known yet.
type openMove struct {
	Move
	// minSlots is the smaller of the allotments before and after the move.
	minSlots, slotsAfter core.Slots
	teamRow              TeamRow
	zoneRow              ZoneRow
	// teamVersion and zoneVersion are the row versions that the move checks.
	teamVersion, zoneVersion core.Version
	// answerLost is true once an answer to the move was lost.
	answerLost bool
	// conflictedAt is when the move conflicted after it was sent again for a lost answer.
	// The checked versions are then outdated, so the move either took effect earlier or
	// never will. A read that is sent later shows which.
	conflictedAt time.Time
	resendAt     time.Time
}

// Acquire implements Limiter.
func (l *Ledger) Acquire(now time.Time, key core.RequestKey, until time.Time) bool {
	a := l.allotmentOf(key.Team)
	a.running.expire(now)
	if until.After(now.Add(l.maxLifetime())) {
		// A lease beyond the maximum lifetime could outlive the reclaim of this entry's
		// allotment, and the team would exceed its limit.
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

// Teams returns the teams that the ledger tracks, sorted.
func (l *Ledger) Teams() []core.TeamID {
	return slices.Clone(l.teamOrder)
}

// UnknownLimits returns the teams whose limit hasn't been received yet, sorted.
func (l *Ledger) UnknownLimits() []core.TeamID {
	return slices.Sorted(maps.Keys(l.unknownLimits))
}

// NeedsTeamRows reports whether changes made by other zones are needed immediately,
// because a request is waiting or a limit changed after the last poll of the rows.
func (l *Ledger) NeedsTeamRows(now time.Time) bool {
	return now.Before(l.demandAt.Add(demandTTL)) || !l.polledAt.After(l.reducedAt)
}

// Excess returns by how many slots the allotments of the whole fleet exceed the team's
// limit. It is an upper bound on the excess of running requests, because allotted slots
// count as running.
func (l *Ledger) Excess(team core.TeamID) core.Slots {
	a, ok := l.teams[team]
	if !ok || !a.limitKnown {
		return 0
	}
	return max(0, a.teamRow.Sum()-a.limit)
}

// usableSlots returns the number of requests that may run at this entry now.
func (l *Ledger) usableSlots(now time.Time, a *teamAllotment) core.Slots {
	if _, down := l.downZones[l.Zone]; down || !a.limitKnown {
		return 0
	}
	if l.startsPaused(a) {
		return 0
	}
	n := a.slots
	if a.move != nil && !l.disabled.useUnsettledMoves {
		// Until the outcome of a move is known, the smaller allotment applies. If the
		// move takes slots, that is the allotment before it. If it gives slots back,
		// that is the allotment after it, since others may already hold the returned
		// slots.
		n = min(n, a.move.minSlots)
	}
	return min(n, a.ceiling(now, l))
}

// startsPaused reports whether a reduced limit prevents new starts: the reduction was
// received after the rows were read, or the allotments still add up to more than the
// limit. The allotments are all that this entry knows about requests running elsewhere.
func (l *Ledger) startsPaused(a *teamAllotment) bool {
	if l.disabled.ignoreReducedLimits {
		return false
	}
	return !l.rowsAsOf(a).After(a.reducedAt) || a.teamRow.Sum() > a.limit
}

// rowsAsOf returns a time up to which the rows are certainly current: that of the latest
// poll or direct read.
func (l *Ledger) rowsAsOf(a *teamAllotment) time.Time {
	if a.rowsKnown && l.polledAt.After(a.readAsOf) {
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
