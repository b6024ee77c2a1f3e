package limit

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/table"
)

const (
	testTeam     = core.TeamID("frames")
	testLifetime = 8 * time.Second
	testSkew     = 100 * time.Millisecond
	testStep     = 100 * time.Millisecond
	testSteps    = 1200
)

var testStart = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

// simulation runs real Ledgers against an in-memory table and keeps a separate record
// of what runs on the targets. The limit is checked against that record alone.
type simulation struct {
	r             *rand.Rand
	now           time.Time
	table         table.Memory
	tableDown     bool
	limit         core.Slots
	headVersion   core.Version
	entries       []*testEntry
	delayedWrites []table.Transaction
	gone          []core.EntryID
	runs          []targetRun
	disabled      disabledSafeguards
	// changeLimits is true if the limit is raised and reduced during the run.
	changeLimits bool
	// scriptedFaults is true if the test injects the faults itself.
	scriptedFaults bool
	// noNewWork is true while no new requests arrive.
	noNewWork   bool
	idCount     int
	maxExcess   core.Slots
	served      int
	lostAnswers int
	moves       int
	// allottedToOthers counts the allotments that an entry gave to another one.
	allottedToOthers int
	// maxOverAllotted is the maximum number of slots by which the allotments in the
	// rows exceeded a constant limit.
	maxOverAllotted core.Slots
}

// testEntry is one process run of an entry.
type testEntry struct {
	ledger      *Ledger
	pausedUntil time.Time
	// An isolated entry reaches nothing, one that is cutFromTable doesn't reach the
	// table, and one that is cutFromConfig receives no configuration.
	isolated, cutFromTable, cutFromConfig bool
	// maxLimitSinceUpdate is the highest limit that was in force since the entry last
	// received one.
	maxLimitSinceUpdate core.Slots
	inbox               []Event
	running             []core.RequestKey
	polledRevision      table.Revision
	firstPoll           bool
}

// targetRun is a target's record of one request.
type targetRun struct {
	key   core.RequestKey
	until time.Time
	entry *testEntry
}

func newSimulation(seed uint64, disabled disabledSafeguards, changeLimits bool) *simulation {
	w := &simulation{r: rand.New(rand.NewPCG(seed, 1)), now: testStart, limit: 12, disabled: disabled, changeLimits: changeLimits}
	w.setLimit(12)
	for i := range 6 {
		w.entries = append(w.entries, w.newEntry(i))
	}
	return w
}

func (w *simulation) newEntry(i int) *testEntry {
	w.idCount++
	return &testEntry{firstPoll: true, ledger: &Ledger{
		Self: core.NewEntryID(fmt.Sprintf("e%d", i), w.now), Zone: core.ZoneID(fmt.Sprintf("z%d", i/2)),
		MaxLifetime: testLifetime, Skew: testSkew, disabled: w.disabled,
	}}
}

func (w *simulation) setLimit(n core.Slots) {
	w.limit = n
	w.headVersion++
	var t table.Transaction
	_ = t.Set(table.ConfigHead, config.Head{Version: w.headVersion})
	_ = w.table.Transact(t)
}

func (w *simulation) chance(percent int) bool { return w.r.IntN(100) < percent }

// step advances time by one step: faults, event delivery, ticks and load.
func (w *simulation) step() {
	w.now = w.now.Add(testStep)
	w.endRuns()
	if !w.scriptedFaults {
		w.injectFaults()
	}
	for _, n := range w.entries {
		if w.now.Before(n.pausedUntil) {
			continue
		}
		inbox := n.inbox
		n.inbox = nil
		for _, e := range inbox {
			w.execute(n, n.ledger.Handle(w.now, e))
		}
		w.deliverLimits(n)
		w.execute(n, n.ledger.Handle(w.now, Tick{}))
		w.generateLoad(n)
	}
	for _, n := range w.entries {
		// Answers to a paused entry arrive during its pause.
		if w.chance(30) {
			w.poll(n)
		}
	}
	w.checkRows()
}

func (w *simulation) injectFaults() {
	if w.chance(1) {
		w.tableDown = !w.tableDown
	}
	if len(w.delayedWrites) > 0 && w.chance(20) {
		// A write with a lost answer takes effect only now.
		_ = w.table.Transact(w.delayedWrites[0])
		w.delayedWrites = w.delayedWrites[1:]
	}
	i := w.r.IntN(len(w.entries))
	n := w.entries[i]
	switch w.r.IntN(40) {
	case 0:
		n.pausedUntil = w.now.Add(time.Duration(w.r.IntN(60)) * testStep)
	case 1:
		n.isolated = !n.isolated
	case 5:
		n.cutFromTable = !n.cutFromTable
	case 4:
		n.cutFromConfig = !n.cutFromConfig
	case 2:
		w.gone = append(w.gone, n.ledger.Self)
		w.entries[i] = w.newEntry(i)
	case 3:
		if w.changeLimits && w.chance(60) {
			w.setLimit(core.Slots(4 + w.r.IntN(16)))
		}
	}
	for _, n := range w.entries {
		n.maxLimitSinceUpdate = max(n.maxLimitSinceUpdate, w.limit)
	}
	if w.chance(90) {
		return
	}
	for _, n := range w.entries {
		for _, e := range w.gone[max(0, len(w.gone)-12):] {
			n.inbox = append(n.inbox, EntryGone{Entry: e})
		}
		n.inbox = append(n.inbox, w.membersOf(n))
	}
}

// deliverLimits sends the limit in force to an entry that is connected to the
// configuration. An entry that is only cut off from the configuration still reaches the
// table.
func (w *simulation) deliverLimits(n *testEntry) {
	if n.isolated || n.cutFromConfig {
		return
	}
	n.maxLimitSinceUpdate = w.limit
	w.execute(n, n.ledger.Handle(w.now, Limits{
		Head: w.table.Read(table.ConfigHead), Limits: map[core.TeamID]core.Slots{testTeam: w.limit},
	}))
}

func (w *simulation) poll(n *testEntry) {
	if w.tableDown || n.isolated || n.cutFromTable {
		return
	}
	n.inbox = append(n.inbox, Polled{Sent: w.now, First: n.firstPoll, Rows: w.table.Changes(table.PrefixAllotment, n.polledRevision)})
	n.firstPoll, n.polledRevision = false, w.table.Revision()
}

func (w *simulation) execute(n *testEntry, commands []Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case ReadRows:
			if w.tableDown || n.isolated || n.cutFromTable {
				continue
			}
			n.inbox = append(n.inbox, RowsRead{
				Sent: w.now, Team: c.Team, TeamRow: w.table.Read(table.TeamAllotmentKey(c.Team)),
				ZoneRow: w.table.Read(table.ZoneAllotmentKey(c.Team, n.ledger.Zone)),
			})
		case Move:
			n.inbox = append(n.inbox, Moved{ID: c.ID, Result: w.transact(n, c.Transaction)})
		}
	}
}

func (w *simulation) transact(n *testEntry, t table.Transaction) Result {
	w.moves++
	w.allottedToOthers += countAllottedToOthers(n.ledger.Self, t)
	switch {
	case w.tableDown || n.isolated || n.cutFromTable:
		return ResultNotSent
	case !w.scriptedFaults && w.chance(10):
		w.lostAnswers++
		if w.chance(50) {
			w.delayedWrites = append(w.delayedWrites, t)
		} else {
			_ = w.table.Transact(t)
		}
		return ResultUnknown
	case w.table.Transact(t) != nil:
		return ResultConflict
	}
	return ResultApplied
}

// generateLoad starts and ends requests at an entry, which is their home.
func (w *simulation) generateLoad(n *testEntry) {
	for range w.r.IntN(4) {
		if w.noNewWork {
			break
		}
		key := core.RequestKey{Team: testTeam, ID: core.RequestID(fmt.Sprint(w.idCount))}
		w.idCount++
		until := w.now.Add(time.Duration(1+w.r.IntN(int(testLifetime/testStep))) * testStep)
		if !n.ledger.Acquire(w.now, key, until) {
			n.ledger.RecordDemand(w.now, testTeam)
			continue
		}
		w.served++
		n.running = append(n.running, key)
		w.runs = append(w.runs, targetRun{key: key, until: until, entry: n})
		w.recordExcess(n)
	}
	if len(n.running) > 0 && w.chance(40) {
		w.release(n)
	}
}

// recordExcess compares the requests running on the targets with the limit in force at
// each start. An entry that is cut off can't receive a reduction; its starts must stay
// within the highest limit that was in force since its last update.
func (w *simulation) recordExcess(n *testEntry) {
	w.maxExcess = max(w.maxExcess, core.Slots(len(w.runs))-n.maxLimitSinceUpdate)
}

func (w *simulation) release(n *testEntry) {
	key := n.running[0]
	n.running = n.running[1:]
	if w.chance(20) {
		return // The answer was lost: the request keeps running and holds its slot until the deadline.
	}
	n.ledger.Release(key)
	for i, r := range w.runs {
		if r.key == key {
			w.runs = append(w.runs[:i], w.runs[i+1:]...)
			return
		}
	}
}

// endRuns ends the requests whose lease deadline has passed on the target's clock,
// which may be behind by the skew.
func (w *simulation) endRuns() {
	rest := w.runs[:0]
	for _, r := range w.runs {
		if w.now.Before(r.until.Add(testSkew)) {
			rest = append(rest, r)
		}
	}
	w.runs = rest
}

func (w *simulation) run() *simulation { return w.steps(testSteps) }

func (w *simulation) steps(n int) *simulation {
	for range n {
		w.step()
	}
	return w
}

func (w *simulation) dumpEntries() string {
	var b strings.Builder
	for _, n := range w.entries {
		fmt.Fprintf(&b, "%s %+v\n", n.ledger.Self, n.ledger.Dump())
	}
	return b.String()
}

const (
	testSeeds      = 100
	safeguardSeeds = 30
)

// Guards against teams that exceed their limit: a request beyond the limit must be
// refused instead. Entries lose the answers to moves, pause, die and restart, zones are
// cut off and the table goes down, in any order and combination, with and without
// concurrent changes of the limit. The number of requests running on the targets at the
// same time is compared with the limit.
func TestRunningStaysWithinLimit(t *testing.T) {
	for _, changeLimits := range []bool{false, true} {
		served, moves, lost, given := 0, 0, 0, 0
		for seed := range uint64(testSeeds) {
			w := newSimulation(seed, disabledSafeguards{}, changeLimits).run()
			assert.Assert(t, w.maxExcess <= 0, "seed %d: running requests exceed the limit by %d\n%s", seed, w.maxExcess, w.dumpEntries())
			assert.Assert(t, w.maxOverAllotted <= 0, "seed %d: allotments exceed the limit by %d slots", seed, w.maxOverAllotted)
			served, moves, lost, given = served+w.served, moves+w.moves, lost+w.lostAnswers, given+w.allottedToOthers
		}
		t.Logf("limit changes: %t: %d seeds, %d requests started, %d attempts to send moves, %d answers lost, %d allotments given to other entries in a zone's first move, limit never exceeded",
			changeLimits, testSeeds, served, moves, lost, given)
		assert.Assert(t, served > testSeeds*200)
		assert.Assert(t, given > testSeeds/2)
	}
}

// Shows that each safeguard is needed: with it disabled, the targets exceed the limit
// with some seeds.
func TestLimitSafeguardsAreNeeded(t *testing.T) {
	for name, disabled := range map[string]disabledSafeguards{
		"a move is used before its outcome is known":        {useUnsettledMoves: true},
		"a dead entry's allotment is reclaimed immediately": {reclaimImmediately: true},
		"a reduced limit doesn't stop starts":               {ignoreReducedLimits: true},
	} {
		failedSeeds, maxExcess := 0, core.Slots(0)
		for seed := range uint64(safeguardSeeds) {
			w := newSimulation(seed, disabled, true).run()
			if w.maxExcess > 0 {
				failedSeeds++
			}
			maxExcess = max(maxExcess, w.maxExcess)
		}
		t.Logf("%s: limit exceeded with %d of %d seeds, by at most %d", name, failedSeeds, safeguardSeeds, maxExcess)
		assert.Check(t, failedSeeds > 0, name)
	}
}

// Guards against an entry with an outdated configuration that takes slots beyond a
// reduced limit. The limit is reduced while one entry receives no configuration, and
// another entry then loses the table. The first entry would take the slots that the
// others gave back. The second entry saw that the allotments fit the reduced limit and
// would start requests in addition to those of the first.
func TestEntryWithStaleConfigTakesNoSlots(t *testing.T) {
	maxExcess := map[bool]core.Slots{}
	for _, disabled := range []bool{false, true} {
		for seed := range uint64(safeguardSeeds) {
			w := newSimulation(seed, disabledSafeguards{noHeadCheck: disabled}, false)
			w.scriptedFaults = true
			stale, disconnected := w.entries[0], w.entries[1]
			w.steps(100)
			stale.cutFromConfig, stale.cutFromTable = true, true
			w.setLimit(6)
			w.steps(300)
			stale.cutFromTable, disconnected.cutFromTable = false, true
			w.steps(300)
			maxExcess[disabled] = max(maxExcess[disabled], w.maxExcess)
		}
	}
	t.Logf("%d seeds: limit exceeded by at most %d; without the check of the configuration head, by at most %d", safeguardSeeds, maxExcess[false], maxExcess[true])
	assert.Assert(t, maxExcess[false] <= 0)
	assert.Assert(t, maxExcess[true] > 0)
}
