package least

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/route"
)

const (
	// meanRunGain and failureGain are the weights of the newest result in the means.
	meanRunGain     = 0.1
	failureRateGain = 0.2
	// fallbackRun is the run time assumed until one is measured.
	fallbackRun = time.Second
	// leavingPause is how long a target that refused gets no new work.
	leavingPause = time.Second
	// unreachablePauseStep and maxUnreached shape the pause of a target that can't be
	// reached.
	unreachablePauseStep = 250 * time.Millisecond
	maxUnreachablePause  = 5 * time.Second
	maxPauseDoublings    = 10
	// connectTimeout is within which a connection is made or has failed.
	connectTimeout = 500 * time.Millisecond
	// contendedRuns is for how many mean runs an entry that was told "full" keeps
	// to its own part of the slots.
	contendedRuns = 1
)

// target is a VM with what this entry has learnt of it.
type target struct {
	route.Target
	running core.Slots
	// meanRun is the mean time of runs that succeeded, in seconds; zero if none did.
	meanRun float64
	// failureRate is the recent share of results that were failures, and results
	// their number.
	failureRate float64
	resultCount int
	// usedByOthers is how many slots other entries used when the target was last full.
	usedByOthers core.Slots
	fullAt       time.Time
	// contendedUntil is until when this entry keeps to its own part.
	contendedUntil time.Time
	// pausedUntil is when a target that was leaving or out of reach may be tried.
	pausedUntil time.Time
	// unreachableCount counts the failures in a row to reach the target.
	unreachableCount int
	// testSentAt is when a request was sent to find out whether the target is back;
	// zero if none was since it was last out of reach.
	testSentAt time.Time
	health     health
	// ejections counts the ejections in a row, and probeAt is when the next probe
	// may start.
	ejections int
	probeAt   time.Time
	// probeSuccesses counts the probes that succeeded in a row.
	probeSuccesses int
	// nextStartAt paces a suspect target.
	nextStartAt time.Time
	listed      bool
}

// health is what the router concludes from a target's results.
type health int

const (
	healthy health = iota
	// suspect targets fail far more than their pool, but the budget allows no
	// ejection, or fail nearly everything like all their pool. They are paced.
	suspect
	// ejected targets get only probes.
	ejected
)

// capacity is how many requests the target takes from all entries at once.
func (t *target) capacity() core.Slots {
	if t.Connections > 0 {
		return min(t.Slots, core.Slots(t.Connections))
	}
	return t.Slots
}

// free returns how many slots this entry could use, by what it knows: those it
// doesn't use itself, less those that other entries were seen to use. That number
// is taken to fall as the target's runs end.
func (t *target) free(now time.Time, meanRun float64, entries int) core.Slots {
	others := t.usedByOthers
	if others > 0 {
		perSlot := meanRun / float64(max(1, t.capacity()))
		others -= core.Slots(now.Sub(t.fullAt).Seconds() / perSlot)
	}
	return min(t.capacity()-max(0, others), t.allowance(now, entries)) - t.running
}

// allowance is how many slots this entry may use of a target that several entries
// share. Beyond its own part it borrows, and leaves one slot. Without that slot an
// entry that has them all would never learn that another wants some, since it
// refills each slot itself. Told "full" there, it falls back to its part for a
// while.
func (t *target) allowance(now time.Time, entries int) core.Slots {
	switch {
	case entries <= 1:
		return t.capacity()
	case now.Before(t.contendedUntil):
		return t.ownShare(entries)
	}
	return max(t.capacity()-1, t.ownShare(entries))
}

// ownShare is an entry's own part of the target's slots.
func (t *target) ownShare(entries int) core.Slots {
	return max(1, t.capacity()/core.Slots(max(1, entries)))
}

// recordFull notes that the target had no slot: what this entry doesn't run there
// (the refused request is already taken back), others do.
func (t *target) recordFull(now time.Time, meanRun float64, entries int) {
	t.usedByOthers = max(1, t.capacity()-t.running)
	t.fullAt = now
	if t.running >= t.ownShare(entries) {
		t.contendedUntil = now.Add(secondsOf(contendedRuns * meanRun))
	}
}

// updateStats takes a result into the means.
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

// unreachablePause is how long a target that couldn't be reached n times in a row
// gets no new work.
func unreachablePause(n int) time.Duration {
	return min(unreachablePauseStep<<min(n-1, maxPauseDoublings), maxUnreachablePause)
}

// awaitingTest reports whether a request is on its way to find out if the target is
// back. Without waiting for it, all that is queued would be sent there and back
// each time a pause ends.
func (t *target) awaitingTest(now time.Time) bool {
	return t.unreachableCount > 0 && !t.testSentAt.IsZero() && now.Before(t.testSentAt.Add(connectTimeout))
}
