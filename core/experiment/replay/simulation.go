package replay

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/queue"
	"lavenderpond/core/retry"
	"lavenderpond/core/route"
)

const (
	// tick is how often entries look for expired work and slots that other
	// entries freed.
	tick = 50 * time.Millisecond
	// shareTick is how often shares are sampled and moves planned.
	shareTick = 200 * time.Millisecond
	// maxReturns is how often a refused caller comes back.
	maxReturns = 3
	// afterEnd is for how long a run goes on after the last arrival.
	afterEnd = 60 * time.Second
)

// simulation is one run.
type simulation struct {
	workload Workload
	policy   Policy
	faults   Faults
	rng      *rand.Rand
	now      time.Time
	events   events
	entries  []*entry
	vms      []*vm
	byID     map[core.VMID]*vm
	jobs     []*job
	byKey    map[core.RequestKey]*job
	// running counts the slots of each team, fleet-wide: a simple limiter.
	running map[core.TeamID]core.Slots
	limits  map[core.TeamID]core.Slots
	shares  shareMeter
	figures figures
}

// Run replays the workload under the policy and returns its measures by name.
func Run(w Workload, p Policy, f Faults, seed uint64) map[string]float64 {
	s := &simulation{
		workload: w, policy: p, faults: f,
		rng:     rand.New(rand.NewPCG(seed, 7)),
		now:     start,
		entries: newEntries(w, p, seed),
		byID:    make(map[core.VMID]*vm),
		byKey:   make(map[core.RequestKey]*job),
		running: make(map[core.TeamID]core.Slots),
		limits:  make(map[core.TeamID]core.Slots),
	}
	s.vms = newFleet(s.rng)
	for _, v := range s.vms {
		s.byID[v.id] = v
	}
	for _, a := range w.Accounts {
		s.limits[a.Team] = a.Limit
	}
	s.shares = newShareMeter(w.Accounts)
	for zone := range zones {
		s.updateRouters(zone)
	}
	s.schedule(seed)
	s.loop()
	return s.measures()
}

func (s *simulation) schedule(seed uint64) {
	s.jobs = demand(s.workload, s.faults, seed)
	for i, j := range s.jobs {
		j.entry = s.entries[i%len(s.entries)]
		s.byKey[j.item.Key] = j
		s.events.add(j.item.Enqueued, func() { s.arrive(j) })
	}
	end := s.workload.part(1).Add(afterEnd)
	s.every(tick, end, s.onTick)
	s.every(shareTick, end, s.onShareTick)
	if s.faults.Cancellations > 0 {
		for _, p := range cancelAt {
			s.events.add(s.workload.part(p), s.cancelWave)
		}
	}
}

func (s *simulation) every(d time.Duration, end time.Time, do func()) {
	var again func()
	again = func() {
		do()
		if s.now.Before(end) {
			s.events.add(s.now.Add(d), again)
		}
	}
	s.events.add(s.now.Add(d), again)
}

func (s *simulation) loop() {
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

func (s *simulation) onTick() {
	for _, e := range s.entries {
		for _, item := range e.queue.Expired(s.now) {
			j := s.byKey[item.Key]
			s.leave(j)
			s.refused(j, time.Time{})
		}
		s.dispatch(e)
	}
}

func (s *simulation) onShareTick() {
	s.shares.sample(s.now)
	if s.policy.Moves {
		s.planMoves()
	}
}

// arrive is a first attempt, or that of a caller who came back.
func (s *simulation) arrive(j *job) {
	if j.visits == 0 {
		j.entry.budget.First(s.now)
		s.figures.countFirst(s, j)
	}
	j.visits++
	s.enqueue(j)
}

func (s *simulation) enqueue(j *job) {
	idle := j.entry.router.Idle(s.now, s.want(j))
	refusal, ok := j.entry.queue.Push(s.now, j.item, idle)
	if !ok {
		s.refused(j, refusal.ComeBackAt)
		return
	}
	j.state = waiting
	s.shares.wait(j, 1)
	s.fill(j.entry, j.item.Queue, s.policy.Overflow)
}

// refused ends j, unless its caller can come back in time.
func (s *simulation) refused(j *job, comeBackAt time.Time) {
	if !comeBackAt.IsZero() && comeBackAt.Before(j.item.Deadline) && j.visits <= maxReturns && !j.started {
		s.figures.returns++
		j.state = outside
		s.events.add(comeBackAt, func() { s.arrive(j) })
		return
	}
	s.figures.refuse(s.now, j)
}

func (s *simulation) want(j *job) route.Criteria {
	return route.Criteria{
		Pool: poolID(j.queueIndex), Overflow: s.policy.Overflow, Urgent: j.item.Urgent,
		Tried: j.tries.Targets(), NoProbe: !j.kind.Idempotent,
	}
}

// dispatch starts what can start at e, requests in their own pools first, as
// core/home does.
func (s *simulation) dispatch(e *entry) {
	queues := e.queue.Queues()
	for _, q := range queues {
		s.fill(e, q, false)
	}
	for _, q := range queues {
		s.fill(e, q, s.policy.Overflow)
	}
}

// dispatchAfter fills the slot of v that j gave back: one that its pool had lent
// goes to its own queue first.
func (s *simulation) dispatchAfter(j *job, v *vm) {
	if v.pool != j.queueIndex {
		s.dispatch(j.entry)
		return
	}
	s.fill(j.entry, j.item.Queue, s.policy.Overflow)
}

// fill starts what can start of one queue at e.
func (s *simulation) fill(e *entry, q core.QueueID, overflow bool) {
	for s.dispatchOne(e, q, overflow) {
	}
}

func (s *simulation) dispatchOne(e *entry, q core.QueueID, overflow bool) bool {
	if e.router.Idle(s.now, route.Criteria{Pool: poolOf(q), Overflow: overflow, Urgent: true}) <= 0 {
		return false
	}
	var vm core.VMID
	item, ok := e.queue.Pop(s.now, q, func(i queue.Item) bool {
		if s.running[i.Key.Team] >= s.limits[i.Key.Team] {
			return false
		}
		var free bool
		want := s.want(s.byKey[i.Key])
		want.Overflow = overflow
		vm, free = e.router.Pick(s.now, want)
		return free
	})
	if !ok {
		return false
	}
	j := s.byKey[item.Key]
	s.leave(j)
	e.router.Started(s.now, vm)
	s.send(j, s.byID[vm])
	return true
}

// leave takes j out of the counts of waiting requests.
func (s *simulation) leave(j *job) {
	j.state = outside
	s.shares.wait(j, -1)
}

// send is the target's side: it takes j, or says why not a moment later.
func (s *simulation) send(j *job, v *vm) {
	if s.out(v, s.now) {
		s.figures.countAttempt(s)
		s.events.add(s.now.Add(connectRun), func() { s.back(j, v, route.Unreachable, retry.NotSent) })
		return
	}
	if v.running >= slotsPerVM {
		s.figures.fulls++
		s.events.add(s.now.Add(connectRun), func() { s.back(j, v, route.Full, retry.Refused) })
		return
	}
	s.figures.countAttempt(s)
	s.start(j, v)
}

func (s *simulation) start(j *job, v *vm) {
	v.running++
	j.state = running
	s.running[j.item.Key.Team]++
	s.shares.run(j, 1)
	if !j.started {
		j.started = true
		j.firstStart = s.now
	}
	begun := s.now
	run, result := s.outcome(j, v)
	s.events.add(begun.Add(run), func() { s.end(j, v, begun, result) })
}

// outcome says how long j runs on v and how it ends. Work is stopped at its
// deadline.
func (s *simulation) outcome(j *job, v *vm) (time.Duration, route.Result) {
	switch {
	case s.bad(v, s.now):
		return badRun, route.Failed
	case j.impossible:
		return impossibleRun, route.Failed
	}
	run := seconds(j.run.Seconds() / v.speed)
	return min(run, max(0, j.item.Deadline.Sub(s.now))), route.Succeeded
}

func (s *simulation) end(j *job, v *vm, begun time.Time, result route.Result) {
	run := s.now.Sub(begun)
	v.running--
	s.running[j.item.Key.Team]--
	s.shares.run(j, -1)
	if s.faults.Outage > 0 && s.out(v, s.now) {
		result = route.Failed
	}
	late := !s.now.Before(j.item.Deadline)
	s.figures.countRun(s, begun, result == route.Succeeded && !late)
	if result != route.Succeeded {
		s.back(j, v, result, retry.Sent)
		return
	}
	j.entry.router.Ended(s.now, v.id, result, run)
	j.entry.queue.Observe(s.now, j.item.Queue, j.item.Key.Team, run)
	s.figures.finish(s.now, j, late)
	s.dispatchAfter(j, v)
}

// back handles a dispatch that brought no answer.
func (s *simulation) back(j *job, v *vm, result route.Result, p retry.Progress) {
	j.state = outside
	j.entry.router.Ended(s.now, v.id, result, 0)
	j.entry.queue.Observe(s.now, j.item.Queue, j.item.Key.Team, 0)
	if result == route.Full {
		s.enqueue(j)
		return
	}
	s.retry(j, v, result, p)
	s.dispatchAfter(j, v)
}

func (s *simulation) retry(j *job, v *vm, result route.Result, p retry.Progress) {
	if s.policy.BoundTargets && result == route.Failed {
		j.tries.Add(v.id, p)
		if _, exhausted := j.tries.Exhausted(); exhausted {
			s.figures.giveUp(j)
			return
		}
	}
	if !retry.SafeToRetry(p, j.kind.Idempotent) {
		s.figures.unknown(j)
		return
	}
	if p == retry.NotSent && s.policy.RequeueUnsent {
		s.figures.retries++
		s.enqueue(j)
		return
	}
	if !j.entry.budget.Allow(s.now) {
		s.figures.giveUp(j)
		return
	}
	j.retries++
	s.figures.retries++
	at := j.entry.budget.Backoff(s.now, j.retries)
	if !at.Before(j.item.Deadline) {
		s.figures.giveUp(j)
		return
	}
	s.events.add(at, func() { s.enqueue(j) })
}

// cancelWave cancels a part of all waiting requests.
func (s *simulation) cancelWave() {
	for _, j := range s.jobs {
		if j.state == waiting && s.rng.Float64() < s.faults.Cancellations && j.entry.queue.Remove(j.item.Key) {
			s.leave(j)
			s.figures.cancel(j)
		}
	}
}
