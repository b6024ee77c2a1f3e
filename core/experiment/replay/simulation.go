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
	// tickInterval is how often entries remove expired requests and look for slots that
	// other entries freed.
	tickInterval = 50 * time.Millisecond
	// shareInterval is how often shares are sampled and moves of VMs are planned.
	shareInterval = 200 * time.Millisecond
	// maxResubmissions is how many times a caller submits a refused request again.
	maxResubmissions = 3
	// overrun is how long periodic work continues after the workload's horizon.
	overrun = 60 * time.Second
)

// simulation is the state of one run.
type simulation struct {
	workload  Workload
	policy    Policy
	faults    Faults
	rng       *rand.Rand
	now       time.Time
	events    eventHeap
	entries   []*entry
	vms       []*vm
	vmsByID   map[core.VMID]*vm
	jobs      []*job
	jobsByKey map[core.RequestKey]*job
	// runningByTeam counts the slots that each team uses in the whole fleet. It is
	// compared with limits, as a simple form of the real limiter.
	runningByTeam map[core.TeamID]core.Slots
	limits        map[core.TeamID]core.Slots
	shares        shareMeter
	counters      counters
}

// Run replays the workload under the policy and returns the measures of the run by name.
func Run(w Workload, p Policy, f Faults, seed uint64) map[string]float64 {
	s := &simulation{
		workload: w, policy: p, faults: f,
		rng:           rand.New(rand.NewPCG(seed, 7)),
		now:           runStart,
		entries:       newEntries(w, p, seed),
		vmsByID:       make(map[core.VMID]*vm),
		jobsByKey:     make(map[core.RequestKey]*job),
		runningByTeam: make(map[core.TeamID]core.Slots),
		limits:        make(map[core.TeamID]core.Slots),
	}
	s.vms = newFleet(s.rng)
	for _, v := range s.vms {
		s.vmsByID[v.id] = v
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

// schedule adds the arrivals, the periodic work and the cancellation waves as events.
func (s *simulation) schedule(seed uint64) {
	s.jobs = demand(s.workload, s.faults, seed)
	for i, j := range s.jobs {
		j.entry = s.entries[i%len(s.entries)]
		s.jobsByKey[j.item.Key] = j
		s.events.add(j.item.Enqueued, func() { s.arrive(j) })
	}
	end := s.workload.timeAt(1).Add(overrun)
	s.every(tickInterval, end, s.onTick)
	s.every(shareInterval, end, s.onShareTick)
	if s.faults.Cancellations > 0 {
		for _, p := range cancelWaveTimes {
			s.events.add(s.workload.timeAt(p), s.cancelWave)
		}
	}
}

// every schedules do at intervals of d until end.
func (s *simulation) every(d time.Duration, end time.Time, do func()) {
	var repeat func()
	repeat = func() {
		do()
		if s.now.Before(end) {
			s.events.add(s.now.Add(d), repeat)
		}
	}
	s.events.add(s.now.Add(d), repeat)
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
			j := s.jobsByKey[item.Key]
			s.leaveQueue(j)
			s.onRefused(j, time.Time{})
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

// arrive handles a request that its caller submits for the first time or again.
func (s *simulation) arrive(j *job) {
	if j.submissions == 0 {
		j.entry.budget.First(s.now)
		s.counters.countFirstAttempt(s, j)
	}
	j.submissions++
	s.enqueue(j)
}

func (s *simulation) enqueue(j *job) {
	idle := j.entry.router.Idle(s.now, s.criteria(j))
	refusal, ok := j.entry.queue.Push(s.now, j.item, idle)
	if !ok {
		s.onRefused(j, refusal.ComeBackAt)
		return
	}
	j.state = waiting
	s.shares.addWaiting(j, 1)
	s.dispatchQueue(j.entry, j.item.Queue, s.policy.Overflow)
}

// onRefused ends j, unless its caller can submit it again before the deadline.
func (s *simulation) onRefused(j *job, comeBackAt time.Time) {
	if !comeBackAt.IsZero() && comeBackAt.Before(j.item.Deadline) && j.submissions <= maxResubmissions && !j.started {
		s.counters.resubmissions++
		j.state = notQueued
		s.events.add(comeBackAt, func() { s.arrive(j) })
		return
	}
	s.counters.refuse(s.now, j)
}

func (s *simulation) criteria(j *job) route.Criteria {
	return route.Criteria{
		Pool: poolID(j.queueIndex), Overflow: s.policy.Overflow, Urgent: j.item.Urgent,
		Tried: j.failedTargets.Targets(), NoProbe: !j.kind.Idempotent,
	}
}

// dispatch starts as many requests as possible at e. As in core/home, every queue first
// uses its own pool, and only then slots of other pools.
func (s *simulation) dispatch(e *entry) {
	queues := e.queue.Queues()
	for _, q := range queues {
		s.dispatchQueue(e, q, false)
	}
	for _, q := range queues {
		s.dispatchQueue(e, q, s.policy.Overflow)
	}
}

// refillSlot fills the slot of v that j released. A slot that j borrowed from another
// pool is offered to that pool's queue first.
func (s *simulation) refillSlot(j *job, v *vm) {
	if v.pool != j.queueIndex {
		s.dispatch(j.entry)
		return
	}
	s.dispatchQueue(j.entry, j.item.Queue, s.policy.Overflow)
}

// dispatchQueue starts as many requests of one queue as possible at e.
func (s *simulation) dispatchQueue(e *entry, q core.QueueID, overflow bool) {
	for s.dispatchOne(e, q, overflow) {
	}
}

// dispatchOne starts the next request of a queue at e, and reports whether there was one
// that could start. With overflow, it may use slots of other pools.
func (s *simulation) dispatchOne(e *entry, q core.QueueID, overflow bool) bool {
	if e.router.Idle(s.now, route.Criteria{Pool: poolOf(q), Overflow: overflow, Urgent: true}) <= 0 {
		return false
	}
	var vm core.VMID
	item, ok := e.queue.Pop(s.now, q, func(i queue.Item) bool {
		if s.runningByTeam[i.Key.Team] >= s.limits[i.Key.Team] {
			return false
		}
		var free bool
		criteria := s.criteria(s.jobsByKey[i.Key])
		criteria.Overflow = overflow
		vm, free = e.router.Pick(s.now, criteria)
		return free
	})
	if !ok {
		return false
	}
	j := s.jobsByKey[item.Key]
	s.leaveQueue(j)
	e.router.Started(s.now, vm)
	s.send(j, s.vmsByID[vm])
	return true
}

// leaveQueue marks j as no longer waiting in its queue.
func (s *simulation) leaveQueue(j *job) {
	j.state = notQueued
	s.shares.addWaiting(j, -1)
}

// send dispatches j to v. The target either starts it or refuses it after
// dispatchRefusalTime.
func (s *simulation) send(j *job, v *vm) {
	if s.isUnreachable(v, s.now) {
		s.counters.countAttempt(s)
		s.events.add(s.now.Add(dispatchRefusalTime), func() { s.onDispatchFailed(j, v, route.Unreachable, retry.NotSent) })
		return
	}
	if v.running >= slotsPerVM {
		s.counters.fullRefusals++
		s.events.add(s.now.Add(dispatchRefusalTime), func() { s.onDispatchFailed(j, v, route.Full, retry.Refused) })
		return
	}
	s.counters.countAttempt(s)
	s.startRun(j, v)
}

func (s *simulation) startRun(j *job, v *vm) {
	v.running++
	j.state = running
	s.runningByTeam[j.item.Key.Team]++
	s.shares.addRunning(j, 1)
	if !j.started {
		j.started = true
		j.firstStart = s.now
	}
	startedAt := s.now
	run, result := s.outcome(j, v)
	s.events.add(startedAt.Add(run), func() { s.endRun(j, v, startedAt, result) })
}

// outcome returns how long j runs on v and with which result. Work is stopped at its
// deadline.
func (s *simulation) outcome(j *job, v *vm) (time.Duration, route.Result) {
	switch {
	case s.isFailing(v, s.now):
		return failFastTime, route.Failed
	case j.impossible:
		return impossibleRunTime, route.Failed
	}
	run := seconds(j.run.Seconds() / v.speed)
	return min(run, max(0, j.item.Deadline.Sub(s.now))), route.Succeeded
}

func (s *simulation) endRun(j *job, v *vm, startedAt time.Time, result route.Result) {
	run := s.now.Sub(startedAt)
	v.running--
	s.runningByTeam[j.item.Key.Team]--
	s.shares.addRunning(j, -1)
	if s.faults.Outage > 0 && s.isUnreachable(v, s.now) {
		result = route.Failed
	}
	late := !s.now.Before(j.item.Deadline)
	s.counters.countRun(s, startedAt, result == route.Succeeded && !late)
	if result != route.Succeeded {
		s.onDispatchFailed(j, v, result, retry.Sent)
		return
	}
	j.entry.router.Ended(s.now, v.id, result, run)
	j.entry.queue.Observe(s.now, j.item.Queue, j.item.Key.Team, run)
	s.counters.finish(s.now, j, late)
	s.refillSlot(j, v)
}

// onDispatchFailed handles a dispatch that produced no answer for the caller.
func (s *simulation) onDispatchFailed(j *job, v *vm, result route.Result, p retry.Progress) {
	j.state = notQueued
	j.entry.router.Ended(s.now, v.id, result, 0)
	j.entry.queue.Observe(s.now, j.item.Queue, j.item.Key.Team, 0)
	if result == route.Full {
		s.enqueue(j)
		return
	}
	s.scheduleRetry(j, v, result, p)
	s.refillSlot(j, v)
}

func (s *simulation) scheduleRetry(j *job, v *vm, result route.Result, p retry.Progress) {
	if s.policy.BoundTargets && result == route.Failed {
		j.failedTargets.Add(v.id, p)
		if _, exhausted := j.failedTargets.Exhausted(); exhausted {
			s.counters.giveUp(j)
			return
		}
	}
	if !retry.SafeToRetry(p, j.kind.Idempotent) {
		s.counters.endUnknown(j)
		return
	}
	if p == retry.NotSent && s.policy.RequeueUnsent {
		s.counters.retries++
		s.enqueue(j)
		return
	}
	if !j.entry.budget.Allow(s.now) {
		s.counters.giveUp(j)
		return
	}
	j.retries++
	s.counters.retries++
	at := j.entry.budget.Backoff(s.now, j.retries)
	if !at.Before(j.item.Deadline) {
		s.counters.giveUp(j)
		return
	}
	s.events.add(at, func() { s.enqueue(j) })
}

// cancelWave cancels each waiting request with probability Faults.Cancellations.
func (s *simulation) cancelWave() {
	for _, j := range s.jobs {
		if j.state == waiting && s.rng.Float64() < s.faults.Cancellations && j.entry.queue.Remove(j.item.Key) {
			s.leaveQueue(j)
			s.counters.cancel(j)
		}
	}
}
