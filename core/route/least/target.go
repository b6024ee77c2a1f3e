package least

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/route"
)

const (
	// meanRunGain and failureRateGain are the weights of the newest result in the
	// moving averages.
	meanRunGain     = 0.1
	failureRateGain = 0.2
	// fallbackRun is the run time assumed until one is measured.
	fallbackRun = time.Second
	// leavingPause is how long a target that refused a request receives no new ones.
	leavingPause = time.Second
	// unreachablePauseStep and maxUnreachablePause determine the pause of an
	// unreachable target.
	unreachablePauseStep = 250 * time.Millisecond
	maxUnreachablePause  = 5 * time.Second
	maxPauseDoublings    = 10
	// connectTimeout is the time within which a connection is established or has
	// failed.
	connectTimeout = 500 * time.Millisecond
	// contendedRuns is the number of mean run times for which an entry that received a
	// Full result is limited to its own share of the slots.
	contendedRuns = 1
)

// target is a VM with the state that this entry has collected about it.
type target struct {
	route.Target
	running core.Slots
	// meanRun is the moving average of successful run times in seconds, or zero if
	// there were none.
	meanRun float64
	// failureRate is the moving average of failures among the results, and resultCount
	// is the number of results.
	failureRate float64
	resultCount int
	// usedByOthers is the number of slots that other entries used when the target was
	// last full.
	usedByOthers core.Slots
	fullAt       time.Time
	// contendedUntil is when the limitation of this entry to its own share ends.
	contendedUntil time.Time
	// pausedUntil is when a target that was leaving or unreachable may be tried again.
	pausedUntil time.Time
	// unreachableCount is the number of consecutive failures to reach the target.
	unreachableCount int
	// testSentAt is when a request was sent to test whether the target is reachable
	// again. It is zero if none was sent since the target was last unreachable.
	testSentAt time.Time
	health     health
	// ejections is the number of consecutive ejections, and probeAt is when the next
	// probe may start.
	ejections int
	probeAt   time.Time
	// probeSuccesses is the number of consecutive successful probes.
	probeSuccesses int
	// nextStartAt paces the requests to a suspect target.
	nextStartAt time.Time
	listed      bool
}

// health is the router's assessment of a target, based on its results.
type health int

const (
	healthy health = iota
	// suspect targets either have a much higher failure rate than their pool while the
	// budget permits no ejection, or fail nearly every request like the rest of their
	// pool. Requests to them are paced.
	suspect
	// ejected targets receive only probes.
	ejected
)

// capacity returns the number of concurrent requests that the target accepts from all
// entries together.
func (t *target) capacity() core.Slots {
	if t.Connections > 0 {
		return min(t.Slots, core.Slots(t.Connections))
	}
	return t.Slots
}

// free returns the number of slots that are probably available to this entry: those
// that it doesn't use itself, less those that other entries were observed to use. The
// latter number is assumed to decrease as requests on the target end.
func (t *target) free(now time.Time, meanRun float64, entries int) core.Slots {
	others := t.usedByOthers
	if others > 0 {
		perSlot := meanRun / float64(max(1, t.capacity()))
		others -= core.Slots(now.Sub(t.fullAt).Seconds() / perSlot)
	}
	return min(t.capacity()-max(0, others), t.allowance(now, entries)) - t.running
}

// allowance returns the number of slots that this entry may use of a target shared by
// several entries. Beyond its own share it borrows slots but leaves one free. Without
// that slot, an entry that uses all slots would refill each one itself and never learn
// that another entry needs some. When it receives a Full result for that slot, it
// returns to its own share for a while.
func (t *target) allowance(now time.Time, entries int) core.Slots {
	switch {
	case entries <= 1:
		return t.capacity()
	case now.Before(t.contendedUntil):
		return t.ownShare(entries)
	}
	return max(t.capacity()-1, t.ownShare(entries))
}

// ownShare returns the entry's own share of the target's slots.
func (t *target) ownShare(entries int) core.Slots {
	return max(1, t.capacity()/core.Slots(max(1, entries)))
}

// recordFull records that the target had no free slot. The slots that this entry
// doesn't use (the refused request is no longer counted) are used by others.
func (t *target) recordFull(now time.Time, meanRun float64, entries int) {
	t.usedByOthers = max(1, t.capacity()-t.running)
	t.fullAt = now
	if t.running >= t.ownShare(entries) {
		t.contendedUntil = now.Add(secondsToDuration(contendedRuns * meanRun))
	}
}

// updateStats adds a result to the moving averages.
func (t *target) updateStats(result route.Result, run time.Duration) {
	failed := 0.0
	if result != route.Succeeded {
		failed = 1
	}
	t.resultCount++
	t.failureRate += (failed - t.failureRate) * max(failureRateGain, 1/float64(t.resultCount))
	if result != route.Succeeded {
		return
	}
	if t.meanRun == 0 {
		t.meanRun = run.Seconds()
	}
	t.meanRun += (run.Seconds() - t.meanRun) * meanRunGain
}

// unreachablePause returns how long a target that couldn't be reached n consecutive
// times receives no new requests.
func unreachablePause(n int) time.Duration {
	return min(unreachablePauseStep<<min(n-1, maxPauseDoublings), maxUnreachablePause)
}

// awaitingTest reports whether a request is in progress that tests whether the target
// is reachable again. If others didn't wait for it, the whole queue would be sent and
// returned each time a pause ends.
func (t *target) awaitingTest(now time.Time) bool {
	return t.unreachableCount > 0 && !t.testSentAt.IsZero() && now.Before(t.testSentAt.Add(connectTimeout))
}
