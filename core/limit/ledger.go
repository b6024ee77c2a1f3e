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

	teams map[core.TeamID]*allotment
	// order holds the keys of teams, sorted.
	order []core.TeamID
	// unlimited holds the teams whose limit isn't known.
	unlimited map[core.TeamID]bool
	schedule  schedule
	moves     map[MoveID]core.TeamID
	lastMove  MoveID
	head      table.Row
	polled    time.Time
	// wanted and lowered are the latest of all teams.
	wanted, lowered time.Time
	gone            map[core.EntryID]bool
	down            map[core.ZoneID]time.Time
	members         Members
	stopping        bool

	// Switched on in tests only, to see the safeguards fail.
	unsafe unsafe
}

// unsafe names the safeguards that a test switches off.
type unsafe struct {
	useBeforeSettled bool
	reclaimAtOnce    bool
	ignoreLowered    bool
	giveRunning      bool
	noHeadCheck      bool
	// staleRows is no safeguard: it shows what the reads before moves save.
	staleRows bool
}

var _ Limiter = (*Ledger)(nil)

// allotment is what the ledger knows of one team.
type allotment struct {
	id         core.TeamID
	limit      core.Slots
	limitKnown bool
	// lowered is when a limit change was heard that may be a lowering. Nothing starts
	// until the rows were read after it.
	lowered time.Time

	// part is this entry's part by the last settled word of the table.
	part    core.Slots
	team    TeamRow
	zone    ZoneRow
	teamRow table.Row
	zoneRow table.Row
	// read is when the read left that the rows are at least as new as.
	read     time.Time
	known    bool
	readSent time.Time
	// fresh is when the rows were read or written by this entry itself.
	fresh time.Time
	move  *openMove
	// retryAt is when the table is tried again after it was not reached.
	retryAt time.Time
	// lookAt is when the allotment is looked at again, index its place in the schedule.
	lookAt time.Time
	index  int

	running running
	wanted  time.Time
	used    usage
}

// openMove is a move whose outcome isn't certain.
type openMove struct {
	Move
	// smaller is the lesser of the parts before and after the move.
	smaller, after core.Slots
	team           TeamRow
	zone           ZoneRow
	// The versions that the move checks.
	teamVersion, zoneVersion core.Version
	// lost is true once an answer was lost.
	lost bool
	// conflicted is when a sending after a lost answer met a conflict: the checked
	// versions are past, so the move took effect before or never will, and a read that
	// leaves later tells which.
	conflicted time.Time
	resend     time.Time
}

// Acquire implements Limiter.
func (l *Ledger) Acquire(now time.Time, key core.RequestKey, until time.Time) bool {
	a := l.allotment(key.Team)
	a.running.expire(now)
	if until.After(now.Add(l.maxLifetime())) {
		// A lease beyond the greatest lifetime could outlive the reclaim of this entry's
		// allotment, and the team would run more than its limit.
		return false
	}
	if a.running.count() >= l.usable(now, a) {
		return false
	}
	a.running.add(key, until.Add(l.skew()))
	l.schedule.now(a)
	a.used.observe(now, a.running.count())
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

// Wanted implements Limiter.
func (l *Ledger) Wanted(now time.Time, team core.TeamID) {
	a := l.allotment(team)
	a.wanted, l.wanted = now, now
	l.schedule.now(a)
}

// Teams returns the teams that the ledger keeps track of, sorted.
func (l *Ledger) Teams() []core.TeamID {
	return slices.Clone(l.order)
}

// Unlimited returns the teams whose limit wasn't told yet, sorted.
func (l *Ledger) Unlimited() []core.TeamID {
	return slices.Sorted(maps.Keys(l.unlimited))
}

// NeedsTeamRows reports whether what other zones do matters here at once: a request
// waits, or a limit changed since the rows were polled.
func (l *Ledger) NeedsTeamRows(now time.Time) bool {
	return now.Before(l.wanted.Add(wantFor)) || !l.polled.After(l.lowered)
}

// Above returns by how much the team may still be above its limit, fleet-wide, as
// the allotments say: an upper bound, since a part counts as running.
func (l *Ledger) Above(team core.TeamID) core.Slots {
	a, ok := l.teams[team]
	if !ok || !a.limitKnown {
		return 0
	}
	return max(0, a.team.Sum()-a.limit)
}

// usable returns how many slots may run here now.
func (l *Ledger) usable(now time.Time, a *allotment) core.Slots {
	if _, down := l.down[l.Zone]; down || !a.limitKnown {
		return 0
	}
	if l.paused(a) {
		return 0
	}
	n := a.part
	if a.move != nil && !l.unsafe.useBeforeSettled {
		// Until the outcome of a move is certain, the lesser part holds: of a raise, the
		// part before it; of a give-back, the part after it, which others may hold by now.
		n = min(n, a.move.smaller)
	}
	return min(n, a.ceiling(now, l))
}

// paused reports whether a lowered limit stops the team's starts: it was heard of
// after the rows were read, or the parts still add up to more. Parts are all that
// this entry knows of what runs elsewhere.
func (l *Ledger) paused(a *allotment) bool {
	if l.unsafe.ignoreLowered {
		return false
	}
	return !l.rowsAt(a).After(a.lowered) || a.team.Sum() > a.limit
}

// rowsAt returns the instant that the rows are at least as new as.
func (l *Ledger) rowsAt(a *allotment) time.Time {
	if a.known && l.polled.After(a.read) {
		return l.polled
	}
	return a.read
}

func (l *Ledger) allotment(team core.TeamID) *allotment {
	a, ok := l.teams[team]
	if !ok {
		a = &allotment{id: team}
		put(&l.teams, team, a)
		put(&l.unlimited, team, true)
		l.schedule.add(a)
		i, _ := slices.BinarySearch(l.order, team)
		l.order = slices.Insert(l.order, i, team)
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
