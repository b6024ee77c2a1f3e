package least

import (
	"time"

	"lavenderpond/core/route"
)

const (
	// minHealthResults is how many results are needed to judge a target.
	minHealthResults = 5
	// outlierMargin is how much more often than the rest of its pool a target must
	// fail. A request that fails everywhere raises all targets alike, so it makes
	// no outlier.
	outlierMargin = 0.4
	// failingRate is the share of failures above which a target is paced even if
	// its pool fails alike. A single success brings a target below it.
	failingRate = 0.9
	// probeBackoffStep is added to the time before a probe with each ejection in a row.
	probeBackoffStep = 2 * time.Second
	maxProbeBackoff  = 30 * time.Second
	// probeFallbackAfter is for how long a probe waits for a request that may be
	// repeated. Without an end, a pool that gets no such request would never have
	// the target back.
	probeFallbackAfter = 30 * time.Second
	// probesToReturn is how many probes must succeed in a row.
	probesToReturn = 3
)

// updateHealth updates the health of t after a result.
func (r *Router) updateHealth(now time.Time, t *target, result route.Result) {
	if t.health == ejected {
		r.handleProbeResult(now, t, result)
		return
	}
	if !r.outlier(t) {
		t.health = healthy
		if t.resultCount >= minHealthResults && t.failureRate > failingRate && !r.disabled.pacing {
			// The whole pool fails, so no target is an outlier. Work that can't be
			// repeated would be lost on it as fast as it comes; paced, it waits or is
			// refused, and is known not to have run. One success ends it.
			t.health = suspect
		}
		return
	}
	// A target that fails everything quickly looks idle and would draw all work of
	// the pool to it. Ejecting it stops that. But ejecting is taking capacity out,
	// so it may never exceed what is left of the availability budget.
	if r.disabled.ejectionBound || r.ejectedIn(t.Pool) < r.pools[t.Pool].MaxEjected {
		r.eject(now, t)
		return
	}
	t.health = suspect
}

// handleProbeResult returns a target whose probes succeed, and waits longer otherwise.
func (r *Router) handleProbeResult(now time.Time, t *target, result route.Result) {
	if result != route.Succeeded {
		t.probeSuccesses = 0
		// What was under way at the ejection isn't a probe: eight requests that fail
		// together are no reason to wait eight times as long.
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

// restore returns t to the pool with a clean record.
func (t *target) restore() {
	t.health = healthy
	t.ejections = 0
	t.failureRate = 0
	t.resultCount = 0
}

// outlier reports whether t fails much more often than the rest of its pool.
func (r *Router) outlier(t *target) bool {
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

// ejectedIn counts the ejected targets of the pool, those on probe included:
// their capacity is out until they have shown that they work.
func (r *Router) ejectedIn(pool poolID) int {
	n := 0
	for _, t := range r.byPool[pool] {
		if t.health == ejected {
			n++
		}
	}
	return n
}

// enforceEjectionBudget returns targets to a pool whose budget has shrunk below what is
// ejected, the least failing first.
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

// canStart reports whether the health of t allows one more request now.
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
