package shard

import (
	"errors"
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
	maxDelay = 3  // of a message, in steps
	maxLate  = 60 // of a write whose answer was lost, in steps
	lifetime = 150
	entries  = 3
)

var worldStart = time.Unix(1_000_000_000, 0).UTC()

type worldEntry struct {
	name         core.EntryID
	k            *Keeper
	alive        bool
	paused       int
	offset       time.Duration
	dispatches   []delayed
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
	table    table.Memory
	entries  [entries]*worldEntry
	byName   map[core.EntryID]*worldEntry
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

func runWorld(seed int64, steps int, off safeguardsOff) worldResult {
	return newWorld(seed, off).run(steps)
}

func newWorld(seed int64, off safeguardsOff) *world {
	w := &world{
		r: rand.New(rand.NewSource(seed)), off: off, byName: map[core.EntryID]*worldEntry{},
		down: map[core.EntryID]bool{}, cut: map[[2]core.EntryID]bool{}, unlisted: map[core.EntryID]int{},
		runs: map[core.RequestKey]int{}, trace: func(string, ...any) {},
	}
	for i := range w.entries {
		w.boot(i)
	}
	return w
}

func (w *world) run(steps int) worldResult {
	for w.t = 1; w.t < steps; w.t++ {
		w.faults()
		w.clients()
		w.deliver()
		for _, e := range w.entries {
			if e.up() && w.r.Float64() < .3 {
				w.list(e)
				w.handle(e, Tick{})
			}
		}
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
}

func (w *world) faults() {
	r := w.r
	if r.Float64() < .004 {
		for _, i := range r.Perm(entries)[:1+r.Intn(entries)] {
			w.down[w.entries[i].name] = true
		}
	}
	if r.Float64() < .01 {
		clear(w.down)
	}
	if r.Float64() < .004 {
		p := r.Perm(entries)
		w.cut[pair(w.entries[p[0]].name, w.entries[p[1]].name)] = true
	}
	if r.Float64() < .01 {
		clear(w.cut)
	}
	for i, e := range w.entries {
		if e.paused > 0 {
			e.paused--
		} else if r.Float64() < .002 {
			e.paused = []int{5, 30, 60, 150}[r.Intn(4)]
			w.trace("%s pauses for %d steps", e.name, e.paused)
		}
		if e.releaseUntil == 0 && r.Float64() < .0005 && e.up() {
			e.releaseUntil = w.t + 20 + r.Intn(60)
			w.handle(e, Releasing{By: w.now(e).Add(time.Second)})
		}
		if r.Float64() < .001 || e.releaseUntil > 0 && (w.t > e.releaseUntil || e.k.Holding() == 0) {
			w.trace("%s ends", e.name)
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
	for name := range w.byName {
		if at, ended := w.unlisted[name]; ended && at <= w.t {
			l.Gone = append(l.Gone, name)
		} else {
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
	for range min(4, len(recent)) {
		w.ask(recent[r.Intn(len(recent))])
	}
}

// ask sends a request to an entry whose home keeps no record at all: what the
// Keeper knows has to do.
func (w *world) ask(q worldRequest) {
	e := w.entries[w.r.Intn(entries)]
	if !e.up() {
		return
	}
	now := w.now(e)
	if _, ok := e.k.Decide(now, 0, q.key, q.firstSent, q.deadline).(Run); !ok {
		return
	}
	allowed, commands := e.k.Start(now, 0, Start{Key: q.key, Deadline: q.deadline})
	if allowed {
		w.dispatch(e, q.key)
	}
	w.do(e, commands)
}

// dispatch runs the request some steps later, without a look at start_by: a pause
// may lie in between.
func (w *world) dispatch(e *worldEntry, key core.RequestKey) {
	w.later(e, w.r.Intn(5), func() {
		w.runs[key]++
		w.trace("%s runs %s (%d)", e.name, key.ID, w.runs[key])
	})
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
		case StartDenied, Inherited:
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
	w.later(to, 1+w.r.Intn(maxDelay), func() {
		if !w.cut[pair(from.name, to.name)] {
			w.handle(to, Received{From: from.name, Message: c.Message})
		}
	})
}

func (w *world) read(e *worldEntry) {
	if w.down[e.name] {
		return
	}
	sentAt := w.now(e)
	w.later(nil, w.r.Intn(2), func() {
		var v VersionedRow
		row := w.table.Read(table.ShardKey("a", 0))
		v.Version = row.Version
		if err := row.Decode(&v.Row); err != nil {
			panic(err)
		}
		w.later(e, w.r.Intn(2), func() { w.handle(e, RowsRead{SentAt: sentAt, Rows: []VersionedRow{v}}) })
	})
}

// swap loses one answer in five: the write never happens, happened, or happens
// late.
func (w *world) swap(e *worldEntry, c SwapRow) {
	sentAt, lost, delay := w.now(e), w.r.Intn(5) == 0, w.r.Intn(2)
	settle := func(o Outcome) {
		w.later(e, w.r.Intn(2), func() {
			w.handle(e, SwapSettled{Shard: c.Shard, Version: c.Version, SentAt: sentAt, Outcome: o})
		})
	}
	switch {
	case w.down[e.name] && !lost:
		settle(SwapDown)
		return
	case w.down[e.name]:
		settle(SwapUnknown)
		return
	case lost && w.r.Intn(2) == 0:
		delay = w.r.Intn(maxLate)
	}
	if lost {
		settle(SwapUnknown)
	}
	w.later(nil, delay, func() {
		o := w.transact(e, c)
		if !lost {
			settle(o)
		}
	})
}

func (w *world) transact(e *worldEntry, c SwapRow) Outcome {
	var old Row
	if err := w.table.Read(table.ShardKey("a", 0)).Decode(&old); err != nil {
		panic(err)
	}
	t, err := c.Transaction("a")
	if err != nil {
		panic(err)
	}
	if errors.Is(w.table.Transact(t), table.ErrConflict) {
		return SwapConflict
	}
	w.trace("%s writes version %d: %+v", e.name, c.Version+1, c.Row)
	switch {
	case old.Epoch == 0 || c.Row.Epoch == old.Epoch:
	case old.Holder == e.name:
		w.result.handOvers++
	default:
		w.result.takeOvers++
		if c.Row.Mirrored {
			w.result.inSync++
		}
	}
	return SwapApplied
}
