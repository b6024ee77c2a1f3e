// Package least provides the router used in production. It selects the target with the
// lowest load relative to its speed, within the slots that it shares with other
// entries.
//
// Each entry has a share of a target's slots and borrows from the shares of other
// entries while they don't need them. A Full result is normal: it shows how many slots
// the others use, and suspends borrowing for a while. Targets with a much higher
// failure rate than the rest of their pool are ejected, within the pool's budget.
package least

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/route"
)

// DefaultLendReserve is the number of slots of each target that are kept free for the
// target's own pool when other queues overflow into it. Urgent requests leave no
// reserve: with one, they would wait in a full fleet for their own pool while slots
// become free elsewhere.
const DefaultLendReserve = 2

type poolID = core.PoolID

// Router is the least-loaded route.Router. The zero value is ready to use, with a fixed
// random seed.
type Router struct {
	// Rand breaks ties. Each entry should use a different seed; otherwise all entries
	// select the same target at the same time.
	Rand *rand.Rand
	// LendReserve is the number of slots of each target that overflow leaves free. Zero
	// means DefaultLendReserve, and a negative value means none.
	LendReserve core.Slots
	// Entries is the number of entries that share the targets. It may change at any
	// time. With a value below 2, the router assumes that no other entry uses the
	// targets, although a target may still be full.
	Entries int

	targets   map[core.VMID]*target
	byPool    map[poolID][]*target
	pools     map[poolID]route.Pool
	poolOrder []poolID
	meanRuns  map[poolID]float64
	// disabled is set by tests only, to show that each safeguard is needed.
	disabled disabledSafeguards
}

// disabledSafeguards selects the safeguards that a test disables.
type disabledSafeguards struct {
	ejectionBound, slotBound, ejection, pacing bool
}

var _ route.Router = (*Router)(nil)

// Update implements route.Router.
func (r *Router) Update(_ time.Time, targets []route.Target, pools []route.Pool) {
	r.pools = make(map[poolID]route.Pool, len(pools))
	for _, p := range pools {
		r.pools[p.ID] = p
	}
	if r.targets == nil {
		r.targets = make(map[core.VMID]*target)
		r.meanRuns = make(map[poolID]float64)
	}
	r.setTargets(targets)
	r.poolOrder = r.poolOrder[:0]
	for id := range r.byPool {
		r.poolOrder = append(r.poolOrder, id)
	}
	slices.Sort(r.poolOrder)
	for _, id := range r.poolOrder {
		r.enforceEjectionBudget(id)
	}
}

// setTargets replaces the targets. A target that left is kept until its last request
// has ended, because it may return before that and its count is then still needed.
func (r *Router) setTargets(targets []route.Target) {
	for _, t := range r.targets {
		t.listed = false
	}
	r.byPool = make(map[poolID][]*target)
	for _, update := range targets {
		t := r.targets[update.VM]
		if t == nil || t.Pool != update.Pool {
			t = &target{running: runningOn(t)}
			r.targets[update.VM] = t
		}
		t.Target = update
		t.listed = true
		r.byPool[t.Pool] = append(r.byPool[t.Pool], t)
	}
	for id, t := range r.targets {
		if !t.listed && t.running == 0 {
			delete(r.targets, id)
		}
	}
}

func runningOn(t *target) core.Slots {
	if t == nil {
		return 0
	}
	return t.running
}

// Pick implements route.Router.
func (r *Router) Pick(now time.Time, criteria route.Criteria) (core.VMID, bool) {
	best := r.best(now, criteria.Pool, criteria, 0)
	if best == nil && criteria.Overflow {
		best = r.bestOverflow(now, criteria)
	}
	if best == nil {
		return "", false
	}
	return best.VM, true
}

// bestOverflow returns the best target of another pool that lends idle slots, from the
// pool whose best target has the most free slots.
func (r *Router) bestOverflow(now time.Time, criteria route.Criteria) *target {
	var best *target
	most := core.Slots(0)
	for _, id := range r.poolOrder {
		if id == criteria.Pool || !r.pools[id].LendsIdle {
			continue
		}
		t := r.best(now, id, criteria, r.reserve(criteria))
		if t == nil {
			continue
		}
		if free := t.free(now, r.meanRun(id), r.Entries); free > most {
			best, most = t, free
		}
	}
	return best
}

// reserve returns the number of slots of each target that a request of another queue
// leaves free.
func (r *Router) reserve(criteria route.Criteria) core.Slots {
	switch {
	case criteria.Urgent:
		return 0
	case r.LendReserve == 0:
		return DefaultLendReserve
	default:
		return max(0, r.LendReserve)
	}
}

// best returns the target of the pool with the lowest score that has more than reserve
// free slots. The search starts at a random target, so that ties are distributed.
func (r *Router) best(now time.Time, pool poolID, criteria route.Criteria, reserve core.Slots) *target {
	targets := r.byPool[pool]
	if len(targets) == 0 {
		return nil
	}
	mean := r.meanRun(pool)
	var best *target
	lowest := 0.0
	first := r.random().IntN(len(targets))
	for i := range targets {
		t := targets[(first+i)%len(targets)]
		free := t.free(now, mean, r.Entries)
		if r.disabled.slotBound {
			free = t.capacity()
		}
		if free <= reserve || !r.canStart(now, t, criteria.NoProbe) || slices.Contains(criteria.Tried, t.VM) {
			continue
		}
		if score := score(t, free, mean, criteria.NoProbe); best == nil || score < lowest {
			best, lowest = t, score
		}
	}
	return best
}

// score estimates the time that the target's slots need for their current requests and
// one more. A slow VM receives fewer requests, and failures count as additional
// slowness.
func score(t *target, free core.Slots, mean float64, noProbe bool) float64 {
	run := t.meanRun
	if run == 0 {
		run = mean
	}
	held := float64(t.capacity()-free) + 1
	if t.health != healthy && noProbe {
		return math.Inf(1)
	}
	if t.health != healthy {
		// An unhealthy target that may be tried must take the next request. Otherwise it would
		// wait as long as any other target has a free slot, and never be restored.
		return 0
	}
	return held / float64(t.capacity()) * run * (1 + t.failureRate)
}

// Started implements route.Router.
func (r *Router) Started(now time.Time, vm core.VMID) {
	t := r.targets[vm]
	if t == nil {
		// The target left between Pick and Started. Its count is kept until the request
		// ends.
		t = &target{Target: route.Target{VM: vm}}
		if r.targets == nil {
			r.targets = make(map[core.VMID]*target)
		}
		r.targets[vm] = t
	}
	t.running++
	if t.unreachableCount > 0 && t.testSentAt.IsZero() {
		t.testSentAt = now
	}
	if t.health == suspect {
		// A suspect target that can't be ejected receives no more requests than one
		// slot of a healthy target, regardless of how quickly it fails them.
		t.nextStartAt = now.Add(secondsToDuration(r.meanRun(t.Pool)))
	}
}

// Ended implements route.Router.
func (r *Router) Ended(now time.Time, vm core.VMID, result route.Result, run time.Duration) {
	t := r.targets[vm]
	if t == nil {
		return
	}
	t.running = max(0, t.running-1)
	if !t.listed {
		if t.running == 0 {
			delete(r.targets, vm)
		}
		return
	}
	r.recordResult(now, t, result, run)
}

func (r *Router) recordResult(now time.Time, t *target, result route.Result, run time.Duration) {
	switch result {
	case route.Unsent:
		return
	case route.Full:
		t.recordFull(now, r.meanRun(t.Pool), r.Entries)
		return
	case route.Refused:
		t.pausedUntil = now.Add(leavingPause)
		return
	case route.Unreachable:
		t.unreachableCount++
		t.testSentAt = time.Time{}
		t.pausedUntil = now.Add(unreachablePause(t.unreachableCount))
	case route.Succeeded:
		r.updateMeanRun(t.Pool, run)
	case route.Failed:
	}
	t.updateStats(result, run)
	if !r.disabled.ejection {
		r.updateHealth(now, t, result)
	}
}

func (r *Router) updateMeanRun(pool poolID, run time.Duration) {
	if r.meanRuns == nil {
		r.meanRuns = make(map[poolID]float64)
	}
	mean, known := r.meanRuns[pool]
	if !known {
		mean = run.Seconds()
	}
	r.meanRuns[pool] = mean + (run.Seconds()-mean)*meanRunGain
}

// Idle implements route.Router.
func (r *Router) Idle(now time.Time, criteria route.Criteria) core.Slots {
	idle := r.idleIn(now, criteria.Pool, criteria.NoProbe, 0)
	if !criteria.Overflow {
		return idle
	}
	for _, id := range r.poolOrder {
		if id != criteria.Pool && r.pools[id].LendsIdle {
			idle += r.idleIn(now, id, criteria.NoProbe, r.reserve(criteria))
		}
	}
	return idle
}

func (r *Router) idleIn(now time.Time, pool poolID, noProbe bool, reserve core.Slots) core.Slots {
	var idle core.Slots
	mean := r.meanRun(pool)
	for _, t := range r.byPool[pool] {
		if !r.canStart(now, t, noProbe) {
			continue
		}
		free := max(0, t.free(now, mean, r.Entries)-reserve)
		if t.health != healthy {
			free = min(1, free)
		}
		idle += free
	}
	return idle
}

// Ejected returns the ejected targets of the pool, for operators.
func (r *Router) Ejected(pool core.PoolID) []core.VMID {
	var vms []core.VMID
	for _, t := range r.byPool[pool] {
		if t.health == ejected {
			vms = append(vms, t.VM)
		}
	}
	slices.Sort(vms)
	return vms
}

func (r *Router) meanRun(pool poolID) float64 {
	if mean := r.meanRuns[pool]; mean > 0 {
		return mean
	}
	return fallbackRun.Seconds()
}

func (r *Router) random() *rand.Rand {
	if r.Rand == nil {
		r.Rand = rand.New(rand.NewPCG(1, 1))
	}
	return r.Rand
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
