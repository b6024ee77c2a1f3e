package least

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/route"
)

const (
	// runGain and failureGain are the weights of the newest result in the means.
	runGain     = 0.1
	failureGain = 0.2
	// fallbackRun is the run time assumed until one is measured.
	fallbackRun = time.Second
	// leavingPause is how long a target that refused gets no new work.
	leavingPause = time.Second
	// unreachedStep and maxUnreached shape the pause of a target that can't be
	// reached.
	unreachedStep = 250 * time.Millisecond
	maxUnreached  = 5 * time.Second
	maxDoublings  = 10
	// connectTime is within which a connection is made or has failed.
	connectTime = 500 * time.Millisecond
	// contendedRuns is for how many mean runs an entry that was told "full" keeps
	// to its own part of the slots.
	contendedRuns = 1
)

// target is a VM with what this entry has learnt of it.
type target struct {
	route.Target
	running core.Slots
	// run is the mean time of runs that succeeded, in seconds; zero if none did.
	run float64
	// failures is the recent share of results that were failures, and results
	// their number.
	failures float64
	results  int
	// others is how many slots other entries used when the target was last full.
	others core.Slots
	fullAt time.Time
	// contendedUntil is until when this entry keeps to its own part.
	contendedUntil time.Time
	// pausedUntil is when a target that was leaving or out of reach may be tried.
	pausedUntil time.Time
	// unreached counts the failures in a row to reach the target.
	unreached int
	// testedAt is when a request was sent to find out whether the target is back;
	// zero if none was since it was last out of reach.
	testedAt time.Time
	health   health
	// ejections counts the ejections in a row, and probeAt is when the next probe
	// may start.
	ejections int
	probeAt   time.Time
	// probes counts the probes that succeeded in a row.
	probes int
	// nextStart paces a suspect target.
	nextStart time.Time
	listed    bool
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
	others := t.others
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
		return t.part(entries)
	}
	return max(t.capacity()-1, t.part(entries))
}

// part is an entry's own part of the target's slots.
func (t *target) part(entries int) core.Slots {
	return max(1, t.capacity()/core.Slots(max(1, entries)))
}

// learnFull notes that the target had no slot: what this entry doesn't run there
// (the refused request is already taken back), others do.
func (t *target) learnFull(now time.Time, meanRun float64, entries int) {
	t.others = max(1, t.capacity()-t.running)
	t.fullAt = now
	if t.running >= t.part(entries) {
		t.contendedUntil = now.Add(secondsOf(contendedRuns * meanRun))
	}
}

// learn takes a result into the means.
func (t *target) learn(result route.Result, run time.Duration) {
	failed := 0.0
	if result != route.Succeeded {
		failed = 1
	}
	t.results++
	t.failures += (failed - t.failures) * max(failureGain, 1/float64(t.results))
	if result != route.Succeeded {
		return
	}
	if t.run == 0 {
		t.run = run.Seconds()
	}
	t.run += (run.Seconds() - t.run) * runGain
}

// unreachablePause is how long a target that couldn't be reached n times in a row
// gets no new work.
func unreachablePause(n int) time.Duration {
	return min(unreachedStep<<min(n-1, maxDoublings), maxUnreached)
}

// awaitsTest reports whether a request is on its way to find out if the target is
// back. Without waiting for it, all that is queued would be sent there and back
// each time a pause ends.
func (t *target) awaitsTest(now time.Time) bool {
	return t.unreached > 0 && !t.testedAt.IsZero() && now.Before(t.testedAt.Add(connectTime))
}
