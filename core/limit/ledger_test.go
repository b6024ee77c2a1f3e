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

// world runs real Ledgers over a table in memory, and keeps the targets' own record
// of what runs. The verdict is taken from that record alone.
type world struct {
	r       *rand.Rand
	now     time.Time
	table   table.Memory
	isDown  bool
	limit   core.Slots
	version core.Version
	entries []*node
	late    []table.Transaction
	gone    []core.EntryID
	runs    []run
	unsafe  unsafe
	// limits is true if the limit is raised and lowered on the way.
	limits bool
	// calm is true if the test itself makes the faults.
	calm bool
	// restful is true while no new work comes.
	restful     bool
	next        int
	worst       core.Slots
	served      int
	lostAnswers int
	moves       int
	// given counts parts that an entry gave to another one.
	given int
	// overGiven is by how much the parts in the rows exceeded a limit that stays.
	overGiven core.Slots
}

// node is one run of an entry's daemon.
type node struct {
	ledger *Ledger
	paused time.Time
	// cut entries reach nothing, blind ones not the table, late ones hear no config.
	cut, blind, late bool
	// most is the greatest limit in force since the entry last heard of one.
	most    core.Slots
	inbox   []Event
	running []core.RequestKey
	polled  table.Revision
	first   bool
}

// run is a target's record of one request.
type run struct {
	key   core.RequestKey
	until time.Time
	node  *node
}

func newWorld(seed uint64, u unsafe, limits bool) *world {
	w := &world{r: rand.New(rand.NewPCG(seed, 1)), now: testStart, limit: 12, unsafe: u, limits: limits}
	w.setLimit(12)
	for i := range 6 {
		w.entries = append(w.entries, w.start(i))
	}
	return w
}

func (w *world) start(i int) *node {
	w.next++
	return &node{first: true, ledger: &Ledger{
		Self: core.NewEntryID(fmt.Sprintf("e%d", i), w.now), Zone: core.ZoneID(fmt.Sprintf("z%d", i/2)),
		MaxLifetime: testLifetime, Skew: testSkew, unsafe: w.unsafe,
	}}
}

func (w *world) setLimit(n core.Slots) {
	w.limit = n
	w.version++
	var t table.Transaction
	_ = t.Set(table.ConfigHead, config.Head{Version: w.version})
	_ = w.table.Transact(t)
}

func (w *world) chance(percent int) bool { return w.r.IntN(100) < percent }

// step lets one instant pass: faults, deliveries, ticks, work.
func (w *world) step() {
	w.now = w.now.Add(testStep)
	w.endRuns()
	if !w.calm {
		w.faults()
	}
	for _, n := range w.entries {
		if w.now.Before(n.paused) {
			continue
		}
		inbox := n.inbox
		n.inbox = nil
		for _, e := range inbox {
			w.carry(n, n.ledger.Handle(w.now, e))
		}
		w.hear(n)
		w.carry(n, n.ledger.Handle(w.now, Tick{}))
		w.work(n)
	}
	for _, n := range w.entries {
		// A paused entry's answers arrive while it sleeps.
		if w.chance(30) {
			w.poll(n)
		}
	}
	w.checkRows()
}

func (w *world) faults() {
	if w.chance(1) {
		w.isDown = !w.isDown
	}
	if len(w.late) > 0 && w.chance(20) {
		// A write whose answer was lost takes effect only now.
		_ = w.table.Transact(w.late[0])
		w.late = w.late[1:]
	}
	i := w.r.IntN(len(w.entries))
	n := w.entries[i]
	switch w.r.IntN(40) {
	case 0:
		n.paused = w.now.Add(time.Duration(w.r.IntN(60)) * testStep)
	case 1:
		n.cut = !n.cut
	case 5:
		n.blind = !n.blind
	case 4:
		n.late = !n.late
	case 2:
		w.gone = append(w.gone, n.ledger.Self)
		w.entries[i] = w.start(i)
	case 3:
		if w.limits && w.chance(60) {
			w.setLimit(core.Slots(4 + w.r.IntN(16)))
		}
	}
	for _, n := range w.entries {
		n.most = max(n.most, w.limit)
	}
	if w.chance(90) {
		return
	}
	for _, n := range w.entries {
		for _, e := range w.gone[max(0, len(w.gone)-12):] {
			n.inbox = append(n.inbox, Gone{Entry: e})
		}
		n.inbox = append(n.inbox, w.members(n))
	}
}

// hear tells an entry that isn't cut off the limit in force. A late one still
// reaches the table.
func (w *world) hear(n *node) {
	if n.cut || n.late {
		return
	}
	n.most = w.limit
	w.carry(n, n.ledger.Handle(w.now, Limits{
		Head: w.table.Read(table.ConfigHead), Limits: map[core.TeamID]core.Slots{testTeam: w.limit},
	}))
}

func (w *world) poll(n *node) {
	if w.isDown || n.cut || n.blind {
		return
	}
	n.inbox = append(n.inbox, Polled{Sent: w.now, First: n.first, Rows: w.table.Changes(table.PrefixAllotment, n.polled)})
	n.first, n.polled = false, w.table.Revision()
}

func (w *world) carry(n *node, commands []Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case ReadRows:
			if w.isDown || n.cut || n.blind {
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

func (w *world) transact(n *node, t table.Transaction) Result {
	w.moves++
	w.given += givenToOthers(n.ledger.Self, t)
	switch {
	case w.isDown || n.cut || n.blind:
		return ResultNotSent
	case !w.calm && w.chance(10):
		w.lostAnswers++
		if w.chance(50) {
			w.late = append(w.late, t)
		} else {
			_ = w.table.Transact(t)
		}
		return ResultUnknown
	case w.table.Transact(t) != nil:
		return ResultConflict
	}
	return ResultApplied
}

// work starts and ends requests at an entry as its home would.
func (w *world) work(n *node) {
	for range w.r.IntN(4) {
		if w.restful {
			break
		}
		key := core.RequestKey{Team: testTeam, ID: core.RequestID(fmt.Sprint(w.next))}
		w.next++
		until := w.now.Add(time.Duration(1+w.r.IntN(int(testLifetime/testStep))) * testStep)
		if !n.ledger.Acquire(w.now, key, until) {
			n.ledger.Wanted(w.now, testTeam)
			continue
		}
		w.served++
		n.running = append(n.running, key)
		w.runs = append(w.runs, run{key: key, until: until, node: n})
		w.check(n)
	}
	if len(n.running) > 0 && w.chance(40) {
		w.release(n)
	}
}

// check looks at the overlap on the targets at each start: never more than the
// limit in force. An entry that is cut off can't hear of a lowered one; its starts
// stay within the greatest limit since it last heard.
func (w *world) check(n *node) {
	w.worst = max(w.worst, core.Slots(len(w.runs))-n.most)
}

func (w *world) release(n *node) {
	key := n.running[0]
	n.running = n.running[1:]
	if w.chance(20) {
		return // The answer was lost: it runs on, and its slot is held to the deadline.
	}
	n.ledger.Release(key)
	for i, r := range w.runs {
		if r.key == key {
			w.runs = append(w.runs[:i], w.runs[i+1:]...)
			return
		}
	}
}

// endRuns ends what is at its lease deadline by the target's clock, which may be
// behind by the skew.
func (w *world) endRuns() {
	rest := w.runs[:0]
	for _, r := range w.runs {
		if w.now.Before(r.until.Add(testSkew)) {
			rest = append(rest, r)
		}
	}
	w.runs = rest
}

func (w *world) run() *world { return w.steps(testSteps) }

func (w *world) steps(n int) *world {
	for range n {
		w.step()
	}
	return w
}

func (w *world) parts() string {
	var b strings.Builder
	for _, n := range w.entries {
		fmt.Fprintf(&b, "%s %+v\n", n.ledger.Self, n.ledger.Dump())
	}
	return b.String()
}

const (
	testSeeds   = 100
	neededSeeds = 30
)

// The caller sees a refusal, never a team above its limit. Entries lose the answers
// of moves, pause, die and restart, zones are cut off and the table goes down, in any
// order and at once, without and with changes of the limit in flight. What the targets
// ran at the same time is held against the limit.
func TestLimitHolds(t *testing.T) {
	for _, limits := range []bool{false, true} {
		served, moves, lost, given := 0, 0, 0, 0
		for seed := range uint64(testSeeds) {
			w := newWorld(seed, unsafe{}, limits).run()
			assert.Assert(t, w.worst <= 0, "seed %d: %d above the limit\n%s", seed, w.worst, w.parts())
			assert.Assert(t, w.overGiven <= 0, "seed %d: parts of %d above the limit", seed, w.overGiven)
			served, moves, lost, given = served+w.served, moves+w.moves, lost+w.lostAnswers, given+w.given
		}
		t.Logf("limit changes %t: %d seeds, %d started, %d sendings of moves, %d answers lost, %d parts given to others at a zone's first move, 0 above the limit",
			limits, testSeeds, served, moves, lost, given)
		assert.Assert(t, served > testSeeds*200)
		assert.Assert(t, given > testSeeds/2)
	}
}

// Each safeguard is needed: with it switched off, the targets run more than the
// limit at once in some seeds.
func TestLimitSafeguardsAreNeeded(t *testing.T) {
	for name, u := range map[string]unsafe{
		"a move is used before it is settled":      {useBeforeSettled: true},
		"a dead entry's part is reclaimed at once": {reclaimAtOnce: true},
		"a lowered limit doesn't stop starts":      {ignoreLowered: true},
	} {
		broken, worst := 0, core.Slots(0)
		for seed := range uint64(neededSeeds) {
			w := newWorld(seed, u, true).run()
			if w.worst > 0 {
				broken++
			}
			worst = max(worst, w.worst)
		}
		t.Logf("%s: %d of %d seeds above the limit, by %d at worst", name, broken, neededSeeds, worst)
		assert.Check(t, broken > 0, name)
	}
}

// The limit is lowered while one entry hears no configuration, and another one then
// loses the table. The late entry would hand itself what the others gave back, and the
// blind one, which saw the parts fit the lowered limit, would start on top of that.
func TestLateEntryTakesNothing(t *testing.T) {
	worst := map[bool]core.Slots{}
	for _, off := range []bool{false, true} {
		for seed := range uint64(neededSeeds) {
			w := newWorld(seed, unsafe{noHeadCheck: off}, false)
			w.calm = true
			late, blind := w.entries[0], w.entries[1]
			w.steps(100)
			late.late, late.blind = true, true
			w.setLimit(6)
			w.steps(300)
			late.blind, blind.blind = false, true
			w.steps(300)
			worst[off] = max(worst[off], w.worst)
		}
	}
	t.Logf("%d seeds: by %d above the limit at worst; with the check of the head off, by %d", neededSeeds, worst[false], worst[true])
	assert.Assert(t, worst[false] <= 0)
	assert.Assert(t, worst[true] > 0)
}
