package least

import (
	"time"

	"lavenderpond/core/route"
)

const (
	// minHealthResults is the number of results required to assess a target.
	minHealthResults = 5
	// outlierMargin is the amount by which a target's failure rate must exceed the mean
	// of the rest of its pool. A request that fails everywhere raises the rates of all
	// targets alike, so it doesn't produce outliers.
	outlierMargin = 0.4
	// failingRate is the failure rate above which a target is paced although it isn't an
	// outlier, because its whole pool is failing. A single success brings the rate below it.
	failingRate = 0.9
	// probeBackoffStep is added to the delay before a probe with each consecutive
	// ejection.
	probeBackoffStep = 2 * time.Second
	maxProbeBackoff  = 30 * time.Second
	// probeFallbackAfter is how long a probe is reserved for requests that may be
	// repeated. Without this limit, a pool that receives no such requests would never
	// restore the target.
	probeFallbackAfter = 30 * time.Second
	// probesToReturn is the number of consecutive successful probes required.
	probesToReturn = 3
)

// updateHealth updates the health of t after a result.
func (r *Router) updateHealth(now time.Time, t *target, result route.Result) {
	if t.health == ejected {
		r.handleProbeResult(now, t, result)
		return
	}
	if !r.isOutlier(t) {
		t.health = healthy
		if t.resultCount >= minHealthResults && t.failureRate > failingRate && !r.disabled.pacing {
			// The whole pool is failing, so no target is an outlier. Requests that
			// can't be repeated would fail as fast as they arrive. With pacing they
			// wait or are refused, and are known not to have run. A single success ends
			// the pacing.
			t.health = suspect
		}
		return
	}
	// A target that quickly fails every request appears idle and would attract all
	// requests of the pool, so it is ejected. Because an ejection reduces capacity, it
	// must never exceed the remaining availability budget.
	if r.disabled.ejectionBound || r.ejectedIn(t.Pool) < r.pools[t.Pool].MaxEjected {
		r.eject(now, t)
		return
	}
	t.health = suspect
}

// handleProbeResult restores t after enough successful probes and increases the delay
// after a failed one.
func (r *Router) handleProbeResult(now time.Time, t *target, result route.Result) {
	if result != route.Succeeded {
		t.probeSuccesses = 0
		// Requests that were running when the target was ejected aren't probes. Eight
		// requests that fail together must not increase the delay eight times.
		if !now.Before(t.probeAt) {
			r.eject(now, t)
		}
		return
	}
	t.probeSuccesses++
	t.probeAt = now
	if t.probeSuccesses >= probesToReturn {
		t.restore()
	}
}

func (r *Router) eject(now time.Time, t *target) {
	t.health = ejected
	t.probeSuccesses = 0
	t.ejections++
	t.probeAt = now.Add(min(time.Duration(t.ejections)*probeBackoffStep, maxProbeBackoff))
}

// restore returns t to the pool and resets its statistics.
func (t *target) restore() {
	t.health = healthy
	t.ejections = 0
	t.failureRate = 0
	t.resultCount = 0
}

// isOutlier reports whether t fails much more often than the rest of its pool.
func (r *Router) isOutlier(t *target) bool {
	if t.resultCount < minHealthResults {
		return false
	}
	sum, n := 0.0, 0
	for _, other := range r.byPool[t.Pool] {
		if other != t && other.health != ejected {
			sum += other.failureRate
			n++
		}
	}
	return n > 0 && t.failureRate > sum/float64(n)+outlierMargin
}

// ejectedIn returns the number of ejected targets in the pool, including those being
// probed. Their capacity is unavailable until they have been shown to work.
func (r *Router) ejectedIn(pool poolID) int {
	n := 0
	for _, t := range r.byPool[pool] {
		if t.health == ejected {
			n++
		}
	}
	return n
}

// enforceEjectionBudget returns ejected targets to a pool whose budget has shrunk,
// starting with the lowest failure rate. They become suspect.
func (r *Router) enforceEjectionBudget(pool poolID) {
	for r.ejectedIn(pool) > r.pools[pool].MaxEjected && !r.disabled.ejectionBound {
		var best *target
		for _, t := range r.byPool[pool] {
			if t.health == ejected && (best == nil || t.failureRate < best.failureRate) {
				best = t
			}
		}
		best.health = suspect
	}
}

// canStart reports whether the health of t permits one more request now.
func (r *Router) canStart(now time.Time, t *target, noProbe bool) bool {
	switch {
	case now.Before(t.pausedUntil), t.awaitingTest(now):
		return false
	case t.health == ejected && noProbe:
		return t.running == 0 && !now.Before(t.probeAt.Add(probeFallbackAfter))
	case t.health == ejected:
		return t.running == 0 && !now.Before(t.probeAt)
	case t.health == suspect:
		return t.running == 0 && !now.Before(t.nextStartAt)
	}
	return true
}
