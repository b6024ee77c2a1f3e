package platform

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lavenderpond/core"
	"lavenderpond/core/limit"
	"lavenderpond/core/table"
	"lavenderpond/io/supervisor"
)

// Timing of Allotments.
const (
	// DefaultAllotInterval is the time between two rounds.
	DefaultAllotInterval = 100 * time.Millisecond
	// allotPollInterval is the time between two polls of the allotment rows for changes.
	allotPollInterval = time.Second
	// idleTeamRowsInterval is the time between two polls of the team rows while the
	// zone's rows don't change and no request waits. A demand mark set by another zone
	// is noticed with this delay.
	idleTeamRowsInterval = 3 * time.Second
	// endedEntriesInterval is the time between two reads of the live list.
	endedEntriesInterval = 5 * time.Second
	// maxListLag is longer than the live list ever lags. An entry that started longer ago
	// than this and isn't listed must have been listed before, so it has ended.
	maxListLag = 10 * time.Minute
	// maxPassesPerRound bounds the passes in one round. A pass executes the pending
	// commands and passes their results to the ledger, which may issue new commands.
	maxPassesPerRound = 8
	// maxConcurrentRequests bounds the table requests in flight.
	maxConcurrentRequests = 4
)

// Allotments drives an entry's limit.Ledger. It executes the ledger's commands against
// the table and makes the ledger safe for concurrent use.
type Allotments struct {
	Table  Table
	Live   LiveList
	Config *Configuration
	Now    func() time.Time
	Log    zerolog.Logger
	// Entries returns the entries of this zone according to their rows, sorted. If it is
	// nil, no entry is known.
	Entries func() []core.EntryID
	// Interval is the time between rounds; 0 means DefaultAllotInterval.
	Interval time.Duration
	// OnChange is called without the lock after each pass, because a settled move may
	// allow waiting requests to start.
	OnChange func()

	// Ledger is guarded by mu once Child runs.
	Ledger limit.Ledger
	mu     sync.Mutex

	// roundMu serializes rounds and guards the fields below, up to pending.
	roundMu sync.Mutex
	// The revisions up to which the zone's and the teams' rows were read.
	zoneRowsRevision, teamRowsRevision table.Revision
	// teamRowsPolledAt is when the last poll that read the team rows was sent.
	teamRowsPolledAt time.Time
	rowsPolledAt     time.Time
	polled           bool
	endedCheckedAt   time.Time
	reportedLimits   limitsReport
	previouslyListed map[string]bool
	// pending holds the commands left for the next round.
	pending []limit.Command

	// Test hooks. assumeLostApplied treats a lost answer as a success. sequential sends
	// commands one at a time, so that a run can be reproduced from its seed.
	assumeLostApplied, sequential bool
}

// Limiter returns a limit.Limiter that is backed by the ledger and safe for concurrent
// use.
func (a *Allotments) Limiter() limit.Limiter { return limiter{a} }

// Dump returns the ledger's state for each team.
func (a *Allotments) Dump() []limit.TeamDump {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Ledger.Dump()
}

// TeamsWithoutAllotment calls the ledger's method of the same name.
func (a *Allotments) TeamsWithoutAllotment(teams []core.TeamID, n int) []core.TeamID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Ledger.TeamsWithoutAllotment(teams, n)
}

// Child returns the supervised goroutine that runs the rounds.
func (a *Allotments) Child() supervisor.Child {
	return supervisor.Child{Name: "allotments", Run: func(ctx context.Context) error {
		return supervisor.Every(ctx, a.interval(), a.Round)
	}}
}

// Round reports changes to the ledger and executes the resulting commands.
func (a *Allotments) Round(ctx context.Context) {
	a.roundMu.Lock()
	defer a.roundMu.Unlock()
	a.process(ctx, a.collectEvents(ctx)...)
}

// process passes events to the ledger and executes the resulting commands. Commands
// must not be dropped, because the ledger waits for the result of each. Those that
// remain after the last pass stay in pending.
func (a *Allotments) process(ctx context.Context, events ...limit.Event) {
	a.pending = append(a.pending, a.handle(events...)...)
	for range maxPassesPerRound {
		if len(a.pending) == 0 || ctx.Err() != nil {
			return
		}
		commands := a.pending
		a.pending = nil
		a.pending = a.handle(a.execute(ctx, commands)...)
		if a.OnChange != nil {
			a.OnChange()
		}
	}
}

// Release gives back the slots that aren't in use. It returns once all moves are settled
// or ctx ends. Slots of running requests stay counted until their leases end.
func (a *Allotments) Release(ctx context.Context) {
	a.roundMu.Lock()
	a.process(ctx, limit.Stop{})
	a.roundMu.Unlock()
	for !a.released() && ctx.Err() == nil {
		a.Round(ctx)
		if !supervisor.Sleep(ctx, a.interval()) {
			return
		}
	}
}

func (a *Allotments) released() bool {
	for _, d := range a.Dump() {
		if d.Settling || d.Part > d.Running {
			return false
		}
	}
	return true
}

func (a *Allotments) handle(events ...limit.Event) []limit.Command {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	var commands []limit.Command
	for _, e := range events {
		commands = append(commands, a.Ledger.Handle(now, e)...)
	}
	return commands
}

// collectEvents returns the limits in force, attestations, changed rows and ended
// entries, each at its own interval.
func (a *Allotments) collectEvents(ctx context.Context) []limit.Event {
	events := append(a.configurationEvents(), limit.Tick{})
	now := a.Now()
	if !now.Before(a.rowsPolledAt.Add(allotPollInterval)) {
		a.rowsPolledAt = now
		events = append(events, a.members())
		events = append(events, a.pollRows(ctx)...)
	}
	if !now.Before(a.endedCheckedAt.Add(endedEntriesInterval)) {
		a.endedCheckedAt = now
		events = append(events, a.findEnded(ctx)...)
	}
	return events
}

func (a *Allotments) members() limit.Members {
	m := limit.Members{Zones: a.Config.Zones}
	if a.Entries != nil {
		m.Entries = a.Entries()
	}
	return m
}

func (a *Allotments) pollRows(ctx context.Context) []limit.Event {
	if !a.polled && len(a.ledgerTeams()) == 0 {
		return nil
	}
	sentAt := a.Now()
	zone, zoneRevision, err := a.Table.Changes(ctx, table.ZoneAllotmentPrefix(a.Ledger.Zone), a.zoneRowsRevision)
	if err != nil {
		return nil
	}
	if len(zone) == 0 && a.polled && sentAt.Before(a.teamRowsPolledAt.Add(idleTeamRowsInterval)) && !a.needsTeamRows() {
		a.zoneRowsRevision = zoneRevision
		return nil
	}
	// The team rows are read last, so that they are at least as new as any move that the
	// zone rows show.
	teams, teamRevision, err := a.Table.Changes(ctx, table.PrefixTeamAllotment, a.teamRowsRevision)
	if err != nil {
		return nil
	}
	a.teamRowsPolledAt = sentAt
	e := limit.Polled{Sent: sentAt, First: !a.polled, Rows: append(zone, teams...)}
	a.zoneRowsRevision, a.teamRowsRevision, a.polled = zoneRevision, teamRevision, true
	return []limit.Event{e}
}

func (a *Allotments) needsTeamRows() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Ledger.NeedsTeamRows(a.Now())
}

// execute sends the commands to the table and returns their results.
func (a *Allotments) execute(ctx context.Context, commands []limit.Command) []limit.Event {
	events := make([]limit.Event, len(commands))
	for start := 0; start < len(commands); start += maxConcurrentRequests {
		var g supervisor.Group
		for i := start; i < min(start+maxConcurrentRequests, len(commands)); i++ {
			g.Go(func() { events[i] = a.send(ctx, commands[i]) })
			if a.sequential {
				g.Wait()
			}
		}
		g.Wait()
	}
	answers := events[:0]
	for _, e := range events {
		if e != nil {
			answers = append(answers, e)
		}
	}
	return answers
}

func (a *Allotments) send(ctx context.Context, command limit.Command) limit.Event {
	switch c := command.(type) {
	case limit.ReadRows:
		return a.readRows(ctx, c.Team)
	case limit.Move:
		result := resultOf(a.Table.Transact(ctx, c.Transaction))
		if a.assumeLostApplied && result == limit.ResultUnknown {
			result = limit.ResultApplied
		}
		return limit.Moved{ID: c.ID, Result: result}
	default:
		return nil
	}
}

// readRows returns nil if the table can't be reached. The ledger then requests the rows
// again.
func (a *Allotments) readRows(ctx context.Context, team core.TeamID) limit.Event {
	e := limit.RowsRead{Sent: a.Now(), Team: team}
	var err error
	if e.TeamRow, err = a.Table.Read(ctx, table.TeamAllotmentKey(team)); err != nil {
		return nil
	}
	if e.ZoneRow, err = a.Table.Read(ctx, table.ZoneAllotmentKey(team, a.Ledger.Zone)); err != nil {
		return nil
	}
	return e
}

func resultOf(err error) limit.Result {
	switch {
	case err == nil:
		return limit.ResultApplied
	case errors.Is(err, table.ErrConflict):
		return limit.ResultConflict
	case errors.Is(err, table.ErrUnreachable):
		return limit.ResultNotSent
	default:
		return limit.ResultUnknown
	}
}

// findEnded returns an event for each entry of this zone that holds allotments and has
// ended according to the live list: the list has its name with a later start, or
// no longer has it.
func (a *Allotments) findEnded(ctx context.Context) []limit.Event {
	live, err := a.Live.Live(ctx, a.Ledger.Zone)
	if err != nil {
		return nil
	}
	started := make(map[string]time.Time, len(live))
	for _, l := range live {
		started[l.Name] = l.Started
	}
	a.mu.Lock()
	holders := a.Ledger.Holders()
	a.mu.Unlock()
	var events []limit.Event
	for _, e := range holders {
		if a.hasEnded(e, started) {
			events = append(events, limit.EntryGone{Entry: e})
		}
	}
	a.previouslyListed = make(map[string]bool, len(live))
	for name := range started {
		a.previouslyListed[name] = true
	}
	return events
}

func (a *Allotments) hasEnded(e core.EntryID, started map[string]time.Time) bool {
	own := e.Started()
	listed, ok := started[e.Name()]
	if ok {
		return listed.UnixMilli() > own.UnixMilli()
	}
	return a.previouslyListed[e.Name()] || a.Now().After(own.Add(maxListLag))
}

func (a *Allotments) interval() time.Duration {
	if a.Interval == 0 {
		return DefaultAllotInterval
	}
	return a.Interval
}
