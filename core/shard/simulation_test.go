package shard

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// The simulation runs the LeaseManagers of one zone in steps, with pauses, kills,
// network partitions, clock skew, table outages, answers that are lost before or
// after the write took effect, writes that take effect late, reordered messages,
// and retries at any entry. The constants are the same as in the models of the protocol.
const (
	stepLength       = 50 * time.Millisecond
	maxLateSteps     = 60 // delay of a write whose answer was lost
	maxLifetimeSteps = 150
	// maxQueuedSteps is the longest time that a request waits for a slot.
	maxQueuedSteps = 150
	entryCount     = 3
)

// faults are the probabilities of each fault per step. delay is the longest delay
// of a message, in steps.
type faults struct {
	delay                                                        int
	tableDown, tableUp, partition, heal, pause, kill, answerLost float64
	// falseLeaving is the probability that the entry list shows an entry as
	// leaving that is not.
	falseLeaving float64
	// askEverywhere sends the newest request to every entry in every step.
	askEverywhere bool
}

// modelFaults has the probabilities that the models of the protocol use. The other
// sets make rare faults coincide: lateFaults has slow messages, and lossyFaults has a
// table that loses most of its answers.
var (
	modelFaults = faults{delay: 3, tableDown: .004, tableUp: .01, partition: .004, heal: .01, pause: .002, kill: .001, answerLost: .2}
	lateFaults  = faults{delay: 8, tableDown: .008, tableUp: .01, partition: .004, heal: .02, pause: .003, kill: .001, answerLost: .6, falseLeaving: .01, askEverywhere: true}
	lossyFaults = faults{delay: 4, tableDown: .008, tableUp: .006, partition: .006, heal: .01, pause: .002, kill: .001, answerLost: .8, falseLeaving: .05, askEverywhere: true}
)

var simStart = time.Unix(1_000_000_000, 0).UTC()

type simEntry struct {
	name          core.EntryID
	leases        *LeaseManager
	alive         bool
	paused        int
	clockOffset   time.Duration
	shutdownUntil int
}

type delayedAction struct {
	dueStep int
	do      func()
	// to is the entry that receives the action. The action waits while the entry
	// is paused.
	to *simEntry
}

type simRequest struct {
	key                 core.RequestKey
	firstSent, deadline time.Time
}

type simulation struct {
	r                *rand.Rand
	step             int
	off              disabledSafeguards
	faults           faults
	table            table.Memory
	entries          [entryCount]*simEntry
	byName           map[core.EntryID]*simEntry
	names            []core.EntryID
	tableUnreachable map[core.EntryID]bool
	partitioned      map[[2]core.EntryID]bool
	unlistedAt       map[core.EntryID]int
	actions          []delayedAction
	requests         []simRequest
	runs             map[core.RequestKey]int
	result           simResult
	trace            func(format string, args ...any)
}

type simResult struct {
	duplicates, served, asked, takeovers, inSync, handovers int
}

func newSimulation(seed int64, f faults, off disabledSafeguards) *simulation {
	sim := &simulation{
		r: rand.New(rand.NewSource(seed)), off: off, faults: f, byName: map[core.EntryID]*simEntry{},
		tableUnreachable: map[core.EntryID]bool{}, partitioned: map[[2]core.EntryID]bool{}, unlistedAt: map[core.EntryID]int{},
		runs: map[core.RequestKey]int{},
	}
	for i := range sim.entries {
		sim.startEntry(i)
	}
	return sim
}

func (sim *simulation) run(steps int) simResult {
	for sim.step = 1; sim.step < steps; sim.step++ {
		sim.induceFaults()
		sim.sendRequests()
		sim.advance()
	}
	sim.result.asked = len(sim.requests)
	for _, n := range sim.runs {
		sim.result.served++
		if n > 1 {
			sim.result.duplicates++
		}
	}
	return sim.result
}

func (sim *simulation) advance() {
	sim.runDue()
	for _, e := range sim.entries {
		if e.running() && sim.r.Float64() < .3 {
			sim.sendEntryList(e)
			sim.handle(e, Tick{})
		}
	}
}

func (e *simEntry) running() bool { return e.alive && e.paused == 0 }

func (sim *simulation) now(e *simEntry) time.Time {
	return simStart.Add(time.Duration(sim.step)*stepLength + e.clockOffset)
}

// clockOffset returns a random clock offset. Any two offsets differ by at most the
// skew bound.
func (sim *simulation) clockOffset() time.Duration {
	return time.Duration(sim.r.Int63n(int64(DefaultSkew))) - DefaultSkew/2
}

func (sim *simulation) startEntry(i int) {
	e := &simEntry{name: core.EntryID(fmt.Sprintf("e%d#%d", i, sim.step)), alive: true, clockOffset: sim.clockOffset()}
	e.leases = New(Params{Zone: "a", Self: e.name, Shards: 1, MaxLifetime: maxLifetimeSteps * stepLength})
	e.leases.disabled = sim.off
	sim.entries[i], sim.byName[e.name] = e, e
	sim.names = append(sim.names, e.name)
}

func (sim *simulation) induceFaults() {
	r, f := sim.r, sim.faults
	if r.Float64() < f.tableDown {
		for _, i := range r.Perm(entryCount)[:1+r.Intn(entryCount)] {
			sim.tableUnreachable[sim.entries[i].name] = true
		}
	}
	if r.Float64() < f.tableUp {
		clear(sim.tableUnreachable)
	}
	if r.Float64() < f.partition {
		p := r.Perm(entryCount)
		sim.partitioned[pair(sim.entries[p[0]].name, sim.entries[p[1]].name)] = true
	}
	if r.Float64() < f.heal {
		clear(sim.partitioned)
	}
	for i, e := range sim.entries {
		if e.paused > 0 {
			e.paused--
		} else if r.Float64() < f.pause {
			e.paused = []int{5, 30, 60, 150}[r.Intn(4)]
			sim.tracef("%s pauses for %d steps", e.name, e.paused)
		}
		if e.shutdownUntil == 0 && r.Float64() < .0005 && e.running() {
			e.shutdownUntil = sim.step + 20 + r.Intn(60)
			sim.handle(e, ShuttingDown{HandOverBy: sim.now(e).Add(time.Second)})
		}
		if r.Float64() < f.kill || e.shutdownUntil > 0 && (sim.step > e.shutdownUntil || e.leases.HeldCount() == 0) {
			sim.tracef("%s ends", e.name)
			e.alive = false
			sim.unlistedAt[e.name] = sim.step + 20 + r.Intn(61) // the list is updated late
			sim.startEntry(i)
		}
	}
}

func pair(a, b core.EntryID) [2]core.EntryID { return [2]core.EntryID{min(a, b), max(a, b)} }

// sendEntryList sends e the platform's list of entries.
func (sim *simulation) sendEntryList(e *simEntry) {
	if sim.tableUnreachable[e.name] {
		return
	}
	var l EntriesListed
	for _, name := range sim.names {
		if at, ended := sim.unlistedAt[name]; ended && at <= sim.step {
			l.Ended = append(l.Ended, name)
		} else if sim.faults.falseLeaving == 0 || sim.r.Float64() >= sim.faults.falseLeaving {
			l.Live = append(l.Live, name)
		}
	}
	slices.Sort(l.Live)
	sim.handle(e, l)
}

// sendRequests sometimes sends a new request, and sends retries of recent ones, to
// random entries. Half of the requests carry first_sent.
func (sim *simulation) sendRequests() {
	r := sim.r
	trueNow := simStart.Add(time.Duration(sim.step) * stepLength)
	if r.Float64() < .3 {
		q := simRequest{
			key:      core.RequestKey{Team: "t", ID: core.RequestID(fmt.Sprint(len(sim.requests)))},
			deadline: trueNow.Add(time.Duration(5+r.Intn(maxLifetimeSteps-4)) * stepLength),
		}
		if r.Intn(2) == 0 {
			q.firstSent = trueNow.Add(sim.clockOffset())
		}
		sim.requests = append(sim.requests, q)
	}
	recent := sim.requests[max(0, len(sim.requests)-60):]
	if len(recent) == 0 {
		return
	}
	sim.askRandom(recent[len(recent)-1])
	for _, e := range sim.entries {
		if sim.faults.askEverywhere {
			sim.askAt(e, recent[len(recent)-1])
		}
	}
	for range min(4, len(recent)) {
		sim.askRandom(recent[r.Intn(len(recent))])
	}
}

// askRandom sends a request to a random entry. The simulated entries keep no records
// of requests, so the LeaseManager's state alone has to prevent a second run.
func (sim *simulation) askRandom(q simRequest) { sim.askAt(sim.entries[sim.r.Intn(entryCount)], q) }

func (sim *simulation) askAt(e *simEntry, q simRequest) {
	if !e.running() {
		return
	}
	now := sim.now(e)
	verdict := e.leases.Decide(now, 0, q.key, q.firstSent, q.deadline)
	sim.traceAsk(e, q, verdict)
	if _, ok := verdict.(Run); !ok {
		return
	}
	if sim.trace == nil && sim.r.Intn(6) == 0 {
		// The request waits in a queue. Its home then calls Start without another Decide.
		sim.schedule(e, sim.r.Intn(maxQueuedSteps), func() { sim.start(e, q) })
		return
	}
	sim.start(e, q)
}

func (sim *simulation) start(e *simEntry, q simRequest) {
	allowed, commands := e.leases.Start(sim.now(e), 0, Start{Key: q.key, Deadline: q.deadline, FirstSent: q.firstSent})
	if allowed {
		sim.dispatch(e, q.key)
	}
	sim.execute(e, commands)
}

func (sim *simulation) traceAsk(e *simEntry, q simRequest, v Verdict) {
	if sim.trace != nil {
		sim.trace("%s is asked for %s: %T%+v", e.name, q.key.ID, v, v)
	}
}

// dispatch runs the request some steps later without checking start_by, because
// the sender may be paused in between.
func (sim *simulation) dispatch(e *simEntry, key core.RequestKey) {
	sim.schedule(e, sim.r.Intn(5), func() {
		sim.runs[key]++
		sim.tracef("%s runs %s (%d)", e.name, key.ID, sim.runs[key])
	})
}

func (sim *simulation) tracef(format string, args ...any) {
	if sim.trace != nil {
		sim.trace(format, args...)
	}
}

func (sim *simulation) schedule(to *simEntry, delay int, do func()) {
	sim.actions = append(sim.actions, delayedAction{dueStep: sim.step + delay, do: do, to: to})
}

func (sim *simulation) runDue() {
	actions := sim.actions
	sim.actions = nil
	for _, a := range actions {
		switch {
		case a.dueStep > sim.step || a.to != nil && a.to.alive && a.to.paused > 0:
			sim.actions = append(sim.actions, a)
		case a.to == nil || a.to.alive:
			a.do()
		}
	}
}

func (sim *simulation) handle(e *simEntry, ev Event) { sim.execute(e, e.leases.Handle(sim.now(e), ev)) }

func (sim *simulation) execute(e *simEntry, commands []Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case Send:
			sim.send(e, c)
		case ReadRows:
			sim.read(e)
		case SwapRow:
			sim.swap(e, c)
		case StartAllowed:
			sim.dispatch(e, c.Key)
		case StartDenied:
			sim.tracef("%s denies the start of %s: %T%+v", e.name, c.Key.ID, c.Verdict, c.Verdict)
		case Lost:
			sim.tracef("%s loses its right to %s", e.name, c.Holder)
		case Inherited:
			sim.tracef("%s inherits %d starts of %s", e.name, len(c.Starts), c.Former)
		}
	}
}

func (sim *simulation) send(from *simEntry, c Send) {
	to := sim.byName[c.To]
	if !to.alive {
		if sim.r.Intn(2) == 0 && sim.unlistedAt[c.To] > sim.step {
			sim.schedule(from, 1, func() { sim.handle(from, Refused{Entry: c.To}) })
		}
		return
	}
	sim.schedule(to, 1+sim.r.Intn(sim.faults.delay), func() {
		if !sim.partitioned[pair(from.name, to.name)] {
			sim.handle(to, Received{From: from.name, Message: c.Message})
		}
	})
}
