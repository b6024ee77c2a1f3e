// Package fair provides the queue used in production. It is bounded, deadline-aware and
// weighted fair among the teams of a queue.
//
// Within a queue it uses start-time fair queueing: the team that has received the
// fewest slot-seconds per share is served next. Slot-seconds received while no team had
// to wait aren't counted, except for requests that are still running. A team that was
// idle starts level with the others and accumulates no credit. Charges are predicted
// from measured run times and corrected when a run ends.
package fair

import (
	"container/heap"
	"math/rand/v2"
	"sort"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/queue"
)

const (
	// DefaultMaxQueued is the maximum number of items in a queue without a configured
	// bound.
	DefaultMaxQueued = 1000
	// urgentLeadRuns is the number of runs by which a team's urgent work may be ahead
	// of the team's share. It equals the number of slots of a VM, so urgent work finds
	// a slot immediately, but a flood of it can't starve another team.
	urgentLeadRuns = 8
	// maxOffersPerTeam is the maximum number of items of one team that a Pop offers to
	// ready, for urgent and normal items each.
	maxOffersPerTeam = 2
	// fallbackRun is the run time assumed if none is declared or measured.
	fallbackRun = time.Second
)

// Queue is the fair queue.Queue. The zero value is ready to use, with equal shares,
// DefaultMaxQueued and a fixed random seed.
//
// Every popped item must be observed exactly once, with a run time of zero if it didn't
// run. The queue derives the number of slots that serve it from these calls.
type Queue struct {
	// Share returns a team's weight. A nil function or a result below 1 counts as 1.
	Share func(core.TeamID) int
	// MaxQueued returns the maximum number of items in a queue. A nil function or a
	// result below 1 means DefaultMaxQueued.
	MaxQueued func(core.QueueID) int
	// Rand distributes the times at which refused callers may retry. Each entry should
	// use a different seed.
	Rand *rand.Rand

	queues   map[core.QueueID]*queueState
	entries  map[core.RequestKey]*entry
	expiry   lazyHeap
	sequence uint64
	// disabled is set by tests only, to show that each safeguard is needed.
	disabled disabledSafeguards
}

// disabledSafeguards selects the safeguards that a test disables.
type disabledSafeguards struct {
	fairness, urgentBound, expiryCheck, teamSkipping, reordering, lazyRemoval bool
}

var _ queue.Queue = (*Queue)(nil)

// queueState is the state of one queue.
type queueState struct {
	id    core.QueueID
	teams map[core.TeamID]*team
	// heaps contains the teams with waiting items, ordered by virtual time.
	heaps [numOrders]teamHeap
	// period numbers the busy periods. A new one starts when an item is pushed while
	// none is waiting.
	period int
	// virtual is the lowest tag of a team with waiting items at the last pop.
	virtual float64
	// minWeight is the lowest weight that any of the teams has had.
	minWeight float64
	// waiting, urgent and running count the items of all teams.
	waiting, urgent, running int
	runTimes                 estimate
	// waitCorrection and urgentWaitCorrection correct the predicted waits.
	waitCorrection, urgentWaitCorrection correction
	// nextRetryAt is the next time to retry that is given to a refused caller.
	nextRetryAt time.Time
}

// Push implements queue.Queue.
func (f *Queue) Push(now time.Time, item queue.Item, idleSlots core.Slots) (core.NotRun, bool) {
	if _, known := f.entries[item.Key]; known {
		return core.NotRun{Code: core.CodeIDReused, Detail: "the request is already waiting"}, false
	}
	if !now.Before(item.Deadline) {
		return core.NotRun{Code: core.CodeDeadlinePassed, Detail: "send it with a later deadline"}, false
	}
	s := f.stateOf(item.Queue)
	t := f.teamOf(s, item.Key.Team)
	predicted, refusal, ok := f.admit(now, s, t, item, idleSlots)
	if !ok {
		return refusal, false
	}
	f.insert(s, t, &entry{
		item: item, team: t, pushedAt: now, predictedWait: predicted,
		startBy: item.Deadline.Add(-f.shortestRun(s, t)),
	})
	return core.NotRun{}, true
}

func (f *Queue) insert(s *queueState, t *team, e *entry) {
	item := e.item
	if s.waiting == 0 {
		s.period++
		s.virtual = 0
	}
	if t.waiting() == 0 {
		t.activate(s)
	}
	f.sequence++
	e.sequence = f.sequence
	f.entries[item.Key] = e
	f.expiry.push(e)
	t.waitingHeap(item.Urgent).push(e)
	s.waiting++
	if item.Urgent {
		s.urgent++
	}
	s.updateHeaps(t)
}

// Pop implements queue.Queue.
func (f *Queue) Pop(now time.Time, q core.QueueID, ready func(queue.Item) bool) (queue.Item, bool) {
	s := f.queues[q]
	if s == nil || s.waiting == 0 {
		return queue.Item{}, false
	}
	e := f.next(now, s, ready)
	if e == nil {
		return queue.Item{}, false
	}
	s.virtual = max(s.virtual, s.heaps[byAny].min().virtual)
	f.remove(e)
	s.correctionFor(e.item.Urgent).add(e.predictedWait, now.Sub(e.pushedAt))
	s.running++
	e.team.charge(f.predictRun(s, e.team, e.item))
	s.updateHeaps(e.team)
	return e.item, true
}

// next returns the entry to pop: urgent work of a team that isn't too far ahead of its
// share, or otherwise work of the team with the lowest tag.
func (f *Queue) next(now time.Time, s *queueState, ready func(queue.Item) bool) *entry {
	if least := s.heaps[byAny].min(); least != nil && s.urgent > 0 {
		if e := f.scan(now, s, byUrgent, f.urgentBound(s, least.virtual), ready); e != nil {
			return e
		}
	}
	return f.scan(now, s, byAny, tagBound{}, ready)
}

// tagBound limits the tags of the teams that a scan serves. The zero value sets no
// limit.
type tagBound struct {
	limited bool
	// tag is the limit for a team without a lead, lead is the permitted lead of a team
	// with weight one, and minWeight is the lowest weight that a team may have.
	tag, lead, minWeight float64
}

func (b tagBound) allows(t *team) bool {
	return !b.limited || t.virtual <= b.tag+b.lead/t.weight
}

// excludesRest reports whether neither t nor any team with a later tag can be allowed.
func (b tagBound) excludesRest(t *team) bool {
	return b.limited && t.virtual > b.tag+b.lead/b.minWeight
}

// urgentBound permits urgent work to be ahead of the lowest tag by a few runs. Without
// a bound, a flood of urgent work from one team would starve the others.
func (f *Queue) urgentBound(s *queueState, tag float64) tagBound {
	return tagBound{
		limited: !f.disabled.urgentBound,
		tag:     tag, lead: urgentLeadRuns * s.meanRun().Seconds(), minWeight: s.minWeight,
	}
}

// scan offers items to ready in the order of the teams' tags. A team that isn't ready,
// for instance because it is at its limit, is skipped and keeps its tag.
func (f *Queue) scan(now time.Time, s *queueState, o order, b tagBound, ready func(queue.Item) bool) *entry {
	h := &s.heaps[o]
	var skipped []*team
	var found *entry
	for h.Len() > 0 && !b.excludesRest(h.min()) {
		t := h.min()
		if b.allows(t) {
			found = f.offer(now, t, o, ready)
		}
		if found != nil || f.disabled.teamSkipping {
			break
		}
		skipped = append(skipped, heap.Pop(h).(*team))
	}
	for _, t := range skipped {
		heap.Push(h, t)
	}
	return found
}

// offer returns an item of t that can still start in time and is ready, urgent items
// first.
func (f *Queue) offer(now time.Time, t *team, o order, ready func(queue.Item) bool) *entry {
	if e := f.offerFrom(now, &t.urgent, ready); e != nil || o == byUrgent {
		return e
	}
	return f.offerFrom(now, &t.normal, ready)
}

// offerFrom offers the first entry of the heap and then a few others. A single item
// that isn't ready, for instance during a backoff, must not block those behind it, but
// a team at its limit must not cost a call per item.
func (f *Queue) offerFrom(now time.Time, l *lazyHeap, ready func(queue.Item) bool) *entry {
	e := l.peek()
	if e == nil || f.inTime(now, e) && ready(e.item) {
		return e
	}
	others := l.entries[1:]
	for range min(maxOffersPerTeam-1, len(others)) {
		e = others[f.random().IntN(len(others))]
		if f.inTime(now, e) && ready(e.item) {
			return e
		}
	}
	return nil
}

// inTime reports whether e is waiting and can still start in time. Items that can't are
// left for Expired, which lets the caller answer them.
func (f *Queue) inTime(now time.Time, e *entry) bool {
	return !e.removed && (f.disabled.expiryCheck || now.Before(e.startBy))
}

// Expired implements queue.Queue.
func (f *Queue) Expired(now time.Time) []queue.Item {
	var expired []queue.Item
	for e := f.expiry.peek(); e != nil && !now.Before(e.startBy); e = f.expiry.peek() {
		f.remove(e)
		f.queues[e.item.Queue].correctionFor(e.item.Urgent).add(e.predictedWait, now.Sub(e.pushedAt))
		expired = append(expired, e.item)
	}
	return expired
}

// Remove implements queue.Queue.
func (f *Queue) Remove(key core.RequestKey) bool {
	e, ok := f.entries[key]
	if ok {
		f.remove(e)
	}
	return ok
}

func (f *Queue) remove(e *entry) {
	s := f.queues[e.item.Queue]
	delete(f.entries, e.item.Key)
	e.removed = true
	e.team.waitingHeap(e.item.Urgent).markRemoved(f.disabled)
	f.expiry.markRemoved(f.disabled)
	s.waiting--
	if e.item.Urgent {
		s.urgent--
	}
	s.updateHeaps(e.team)
}

// Observe implements queue.Queue. A run time of zero refunds the charge of an item that
// was popped but didn't run.
func (f *Queue) Observe(_ time.Time, q core.QueueID, id core.TeamID, run time.Duration) {
	s := f.stateOf(q)
	t := f.teamOf(s, id)
	if t.running > 0 {
		s.running--
	}
	t.settle(run)
	if run > 0 {
		t.runTimes.add(run)
		s.runTimes.add(run)
	}
	s.updateHeaps(t)
}

// Len implements queue.Queue.
func (f *Queue) Len(q core.QueueID) int {
	if s := f.queues[q]; s != nil {
		return s.waiting
	}
	return 0
}

// Queues implements queue.Queue.
func (f *Queue) Queues() []core.QueueID {
	var queues []core.QueueID
	for id, s := range f.queues {
		if s.waiting > 0 {
			queues = append(queues, id)
		}
	}
	sort.Slice(queues, func(i, j int) bool { return queues[i] < queues[j] })
	return queues
}

func (f *Queue) stateOf(q core.QueueID) *queueState {
	if f.queues == nil {
		f.queues = make(map[core.QueueID]*queueState)
		f.entries = make(map[core.RequestKey]*entry)
	}
	s := f.queues[q]
	if s == nil {
		s = &queueState{id: q, teams: make(map[core.TeamID]*team)}
		s.heaps[byUrgent].order = byUrgent
		f.queues[q] = s
	}
	return s
}

func (f *Queue) teamOf(s *queueState, id core.TeamID) *team {
	t := s.teams[id]
	if t == nil {
		t = &team{id: id}
		s.teams[id] = t
	}
	t.weight = f.weight(id)
	if s.minWeight == 0 || t.weight < s.minWeight {
		s.minWeight = t.weight
	}
	return t
}

func (f *Queue) weight(id core.TeamID) float64 {
	if f.Share == nil || f.disabled.fairness {
		return 1
	}
	return float64(max(1, f.Share(id)))
}

func (s *queueState) correctionFor(urgent bool) *correction {
	if urgent {
		return &s.urgentWaitCorrection
	}
	return &s.waitCorrection
}

// updateHeaps updates the position of t in both heaps.
func (s *queueState) updateHeaps(t *team) {
	s.heaps[byAny].update(t, t.waiting() > 0)
	s.heaps[byUrgent].update(t, t.urgent.liveCount() > 0)
}

func (t *team) waitingHeap(urgent bool) *lazyHeap {
	if urgent {
		return &t.urgent
	}
	return &t.normal
}
