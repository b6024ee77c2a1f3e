package shard

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// The world runs real Keepers of one zone in steps, under pauses, kills, cuts,
// clock skew, table outages, answers lost before or after the write took effect,
// writes that take effect late, messages out of order, and retries to any entry.
// Its figures are those of the models that the rule was first tried in.
const (
	step     = 50 * time.Millisecond
	maxLate  = 60 // of a write whose answer was lost, in steps
	lifetime = 150
	// maxQueued is how long a request waits for a slot, in steps.
	maxQueued = 150
	entries   = 3
)

// faults are the chances of each fault per step, and the longest delay of a
// message in steps.
type faults struct {
	delay                                  int
	down, up, cut, heal, pause, kill, lost float64
	// leaving is the chance that a list shows an entry as leaving that isn't.
	leaving float64
	// everywhere has the newest request asked for at every entry in every step.
	everywhere bool
}

// modelFaults are those of the model. The others let rare faults meet: lateFaults
// with slow messages, lossyFaults with a table that mostly loses its answers.
var (
	modelFaults = faults{delay: 3, down: .004, up: .01, cut: .004, heal: .01, pause: .002, kill: .001, lost: .2}
	lateFaults  = faults{delay: 8, down: .008, up: .01, cut: .004, heal: .02, pause: .003, kill: .001, lost: .6, leaving: .01, everywhere: true}
	lossyFaults = faults{delay: 4, down: .008, up: .006, cut: .006, heal: .01, pause: .002, kill: .001, lost: .8, leaving: .05, everywhere: true}
)

var worldStart = time.Unix(1_000_000_000, 0).UTC()

type worldEntry struct {
	name         core.EntryID
	k            *Keeper
	alive        bool
	paused       int
	offset       time.Duration
	releaseUntil int
}

type delayed struct {
	due int
	do  func()
	// to is the entry that takes it in; it waits while the entry is paused.
	to *worldEntry
}

type worldRequest struct {
	key                 core.RequestKey
	firstSent, deadline time.Time
}

type world struct {
	r        *rand.Rand
	t        int
	off      safeguardsOff
	faults   faults
	table    table.Memory
	entries  [entries]*worldEntry
	byName   map[core.EntryID]*worldEntry
	names    []core.EntryID
	down     map[core.EntryID]bool
	cut      map[[2]core.EntryID]bool
	unlisted map[core.EntryID]int
	events   []delayed
	requests []worldRequest
	runs     map[core.RequestKey]int
	result   worldResult
	trace    func(format string, args ...any)
}

type worldResult struct {
	doubles, served, asked, takeOvers, inSync, handOvers int
}

func newWorld(seed int64, f faults, off safeguardsOff) *world {
	w := &world{
		r: rand.New(rand.NewSource(seed)), off: off, faults: f, byName: map[core.EntryID]*worldEntry{},
		down: map[core.EntryID]bool{}, cut: map[[2]core.EntryID]bool{}, unlisted: map[core.EntryID]int{},
		runs: map[core.RequestKey]int{},
	}
	for i := range w.entries {
		w.boot(i)
	}
	return w
}

func (w *world) run(steps int) worldResult {
	for w.t = 1; w.t < steps; w.t++ {
		w.induceFaults()
		w.clients()
		w.advance()
	}
	w.result.asked = len(w.requests)
	for _, n := range w.runs {
		w.result.served++
		if n > 1 {
			w.result.doubles++
		}
	}
	return w.result
}

func (w *world) advance() {
	w.deliver()
	for _, e := range w.entries {
		if e.up() && w.r.Float64() < .3 {
			w.list(e)
			w.handle(e, Tick{})
		}
	}
}

func (e *worldEntry) up() bool { return e.alive && e.paused == 0 }

func (w *world) now(e *worldEntry) time.Time {
	return worldStart.Add(time.Duration(w.t)*step + e.offset)
}

// skewed returns an offset of a clock, so that two differ by at most the bound.
func (w *world) skewed() time.Duration {
	return time.Duration(w.r.Int63n(int64(DefaultSkew))) - DefaultSkew/2
}

func (w *world) boot(i int) {
	e := &worldEntry{name: core.EntryID(fmt.Sprintf("e%d#%d", i, w.t)), alive: true, offset: w.skewed()}
	e.k = New(Params{Zone: "a", Self: e.name, Shards: 1, MaxLifetime: lifetime * step})
	e.k.off = w.off
	w.entries[i], w.byName[e.name] = e, e
	w.names = append(w.names, e.name)
}

func (w *world) induceFaults() {
	r, f := w.r, w.faults
	if r.Float64() < f.down {
		for _, i := range r.Perm(entries)[:1+r.Intn(entries)] {
			w.down[w.entries[i].name] = true
		}
	}
	if r.Float64() < f.up {
		clear(w.down)
	}
	if r.Float64() < f.cut {
		p := r.Perm(entries)
		w.cut[pair(w.entries[p[0]].name, w.entries[p[1]].name)] = true
	}
	if r.Float64() < f.heal {
		clear(w.cut)
	}
	for i, e := range w.entries {
		if e.paused > 0 {
			e.paused--
		} else if r.Float64() < f.pause {
			e.paused = []int{5, 30, 60, 150}[r.Intn(4)]
			w.say("%s pauses for %d steps", e.name, e.paused)
		}
		if e.releaseUntil == 0 && r.Float64() < .0005 && e.up() {
			e.releaseUntil = w.t + 20 + r.Intn(60)
			w.handle(e, Releasing{By: w.now(e).Add(time.Second)})
		}
		if r.Float64() < f.kill || e.releaseUntil > 0 && (w.t > e.releaseUntil || e.k.Holding() == 0) {
			w.say("%s ends", e.name)
			e.alive = false
			w.unlisted[e.name] = w.t + 20 + r.Intn(61) // the list lags
			w.boot(i)
		}
	}
}

func pair(a, b core.EntryID) [2]core.EntryID { return [2]core.EntryID{min(a, b), max(a, b)} }

// list shows e the platform's list.
func (w *world) list(e *worldEntry) {
	if w.down[e.name] {
		return
	}
	var l Listed
	for _, name := range w.names {
		if at, ended := w.unlisted[name]; ended && at <= w.t {
			l.Gone = append(l.Gone, name)
		} else if w.faults.leaving == 0 || w.r.Float64() >= w.faults.leaving {
			l.Live = append(l.Live, name)
		}
	}
	slices.Sort(l.Live)
	w.handle(e, l)
}

// clients sends a new request now and then, and retries of recent ones, to any
// entry. Half of the requests carry first_sent.
func (w *world) clients() {
	r := w.r
	trueNow := worldStart.Add(time.Duration(w.t) * step)
	if r.Float64() < .3 {
		q := worldRequest{
			key:      core.RequestKey{Team: "t", ID: core.RequestID(fmt.Sprint(len(w.requests)))},
			deadline: trueNow.Add(time.Duration(5+r.Intn(lifetime-4)) * step),
		}
		if r.Intn(2) == 0 {
			q.firstSent = trueNow.Add(w.skewed())
		}
		w.requests = append(w.requests, q)
	}
	recent := w.requests[max(0, len(w.requests)-60):]
	if len(recent) == 0 {
		return
	}
	w.ask(recent[len(recent)-1])
	for _, e := range w.entries {
		if w.faults.everywhere {
			w.askAt(e, recent[len(recent)-1])
		}
	}
	for range min(4, len(recent)) {
		w.ask(recent[r.Intn(len(recent))])
	}
}

// ask sends a request to an entry whose home keeps no record at all: what the
// Keeper knows has to do.
func (w *world) ask(q worldRequest) { w.askAt(w.entries[w.r.Intn(entries)], q) }

func (w *world) askAt(e *worldEntry, q worldRequest) {
	if !e.up() {
		return
	}
	now := w.now(e)
	verdict := e.k.Decide(now, 0, q.key, q.firstSent, q.deadline)
	w.traceAsk(e, q, verdict)
	if _, ok := verdict.(Run); !ok {
		return
	}
	if w.trace == nil && w.r.Intn(6) == 0 {
		// The request waits in a queue; its home doesn't ask again before the start.
		w.later(e, w.r.Intn(maxQueued), func() { w.start(e, q) })
		return
	}
	w.start(e, q)
}

func (w *world) start(e *worldEntry, q worldRequest) {
	allowed, commands := e.k.Start(w.now(e), 0, Start{Key: q.key, Deadline: q.deadline, FirstSent: q.firstSent})
	if allowed {
		w.dispatch(e, q.key)
	}
	w.do(e, commands)
}

func (w *world) traceAsk(e *worldEntry, q worldRequest, v Verdict) {
	if w.trace != nil {
		w.trace("%s is asked for %s: %T%+v", e.name, q.key.ID, v, v)
	}
}

// dispatch runs the request some steps later, without a look at start_by: a pause
// may lie in between.
func (w *world) dispatch(e *worldEntry, key core.RequestKey) {
	w.later(e, w.r.Intn(5), func() {
		w.runs[key]++
		w.say("%s runs %s (%d)", e.name, key.ID, w.runs[key])
	})
}

func (w *world) say(format string, args ...any) {
	if w.trace != nil {
		w.trace(format, args...)
	}
}

func (w *world) later(to *worldEntry, delay int, do func()) {
	w.events = append(w.events, delayed{due: w.t + delay, do: do, to: to})
}

func (w *world) deliver() {
	events := w.events
	w.events = nil
	for _, d := range events {
		switch {
		case d.due > w.t || d.to != nil && d.to.alive && d.to.paused > 0:
			w.events = append(w.events, d)
		case d.to == nil || d.to.alive:
			d.do()
		}
	}
}

func (w *world) handle(e *worldEntry, ev Event) { w.do(e, e.k.Handle(w.now(e), ev)) }

func (w *world) do(e *worldEntry, commands []Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case Send:
			w.send(e, c)
		case ReadRows:
			w.read(e)
		case SwapRow:
			w.swap(e, c)
		case StartAllowed:
			w.dispatch(e, c.Key)
		case StartDenied:
			w.say("%s denies the start of %s: %T%+v", e.name, c.Key.ID, c.Verdict, c.Verdict)
		case Lost:
			w.say("%s loses its right to %s", e.name, c.Holder)
		case Inherited:
			w.say("%s inherits %d starts of %s", e.name, len(c.Starts), c.Former)
		}
	}
}

func (w *world) send(from *worldEntry, c Send) {
	to := w.byName[c.To]
	if !to.alive {
		if w.r.Intn(2) == 0 && w.unlisted[c.To] > w.t {
			w.later(from, 1, func() { w.handle(from, Refused{Entry: c.To}) })
		}
		return
	}
	w.later(to, 1+w.r.Intn(w.faults.delay), func() {
		if !w.cut[pair(from.name, to.name)] {
			w.handle(to, Received{From: from.name, Message: c.Message})
		}
	})
}
