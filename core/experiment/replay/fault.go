package replay

import "time"

// Faults are the faults injected into a run. The zero value injects none. BadTarget,
// Outage and Brownout affect the targets of one pool, the faulty pool.
type Faults struct {
	// BadTarget makes one target of the faulty pool fail all work quickly, from
	// badTargetStart to the end of the run.
	BadTarget bool
	// Outage is the fraction of the faulty pool's targets that refuse connections between
	// outageStart and outageEnd.
	Outage float64
	// Brownout is the fraction of the faulty pool's targets that fail all work quickly
	// between outageStart and outageEnd.
	Brownout float64
	// Cancellations is the fraction of the waiting requests that is cancelled at each of
	// the cancelWaveTimes.
	Cancellations float64
	// Impossible is the fraction of the requests that fail on every target.
	Impossible float64
}

// Times of faults, as fractions of the run.
const (
	badTargetStart = 0.25
	outageStart    = 0.4
	outageEnd      = 0.6
)

// cancelWaveTimes are the times of cancellation waves, as fractions of the run.
var cancelWaveTimes = [...]float64{0.15, 0.45, 0.85}

// Durations until a dispatch fails: on a target that fails all work, for a request that
// fails on every target, and when the target can't be reached or is full.
const (
	failFastTime        = 5 * time.Millisecond
	impossibleRunTime   = 20 * time.Millisecond
	dispatchRefusalTime = time.Millisecond
)

// timeAt returns the time at which the given fraction of the run has passed.
func (w Workload) timeAt(fraction float64) time.Time {
	return runStart.Add(seconds(fraction * w.Horizon.Seconds()))
}

// faultyPool returns the index of the pool whose targets are affected by faults. It is the
// pool whose queue has a burst when an outage begins.
func (w Workload) faultyPool() int {
	return int(w.timeAt(outageStart).Sub(runStart)/burstLength) % phases
}

// isFailing reports whether v fails all work at the given time.
func (s *simulation) isFailing(v *vm, now time.Time) bool {
	if v.originalPool != s.workload.faultyPool() {
		return false
	}
	if s.faults.BadTarget && v.index == 0 && !now.Before(s.workload.timeAt(badTargetStart)) {
		return true
	}
	return float64(v.index) < s.faults.Brownout*vmsPerPool && s.inOutage(now)
}

// isUnreachable reports whether v refuses connections at the given time.
func (s *simulation) isUnreachable(v *vm, now time.Time) bool {
	if v.originalPool != s.workload.faultyPool() || float64(v.index) >= s.faults.Outage*vmsPerPool {
		return false
	}
	return s.inOutage(now)
}

func (s *simulation) inOutage(now time.Time) bool {
	return !now.Before(s.workload.timeAt(outageStart)) && now.Before(s.workload.timeAt(outageEnd))
}
