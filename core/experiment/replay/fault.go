package replay

import "time"

// Faults are the failures of a run. The zero value has none.
type Faults struct {
	// BadTarget lets one target of the struck pool fail everything quickly, from a
	// quarter of the run to its end.
	BadTarget bool
	// Outage is the part of the struck pool's targets that refuse connections from
	// outageStart to outageEnd of the run.
	Outage float64
	// Brownout is the part of the struck pool's targets that fail everything quickly
	// during the same time.
	Brownout float64
	// Cancellations is the part of the waiting requests that is cancelled at once,
	// at each of three moments.
	Cancellations float64
	// Impossible is the part of the requests that fail on every target.
	Impossible float64
}

// When faults happen, as parts of the run.
const (
	badTargetStart = 0.25
	outageStart    = 0.4
	outageEnd      = 0.6
)

// cancelWaveTimes are the moments of cancellation waves, as parts of the run.
var cancelWaveTimes = [...]float64{0.15, 0.45, 0.85}

// Times that failures take.
const (
	failFastTime        = 5 * time.Millisecond
	impossibleRunTime   = 20 * time.Millisecond
	dispatchRefusalTime = time.Millisecond
)

// timeAt returns the moment that is the given part into the run.
func (w Workload) timeAt(fraction float64) time.Time {
	return runStart.Add(seconds(fraction * w.Horizon.Seconds()))
}

// faultyPool is the pool that faults strike: the one whose queue bursts as an
// outage begins.
func (w Workload) faultyPool() int {
	return int(w.timeAt(outageStart).Sub(runStart)/burstLength) % phases
}

// isFailing reports whether v fails everything at now.
func (s *simulation) isFailing(v *vm, now time.Time) bool {
	if v.originalPool != s.workload.faultyPool() {
		return false
	}
	if s.faults.BadTarget && v.index == 0 && !now.Before(s.workload.timeAt(badTargetStart)) {
		return true
	}
	return float64(v.index) < s.faults.Brownout*vmsPerPool && s.inOutage(now)
}

// isUnreachable reports whether v is out of reach at now.
func (s *simulation) isUnreachable(v *vm, now time.Time) bool {
	if v.originalPool != s.workload.faultyPool() || float64(v.index) >= s.faults.Outage*vmsPerPool {
		return false
	}
	return s.inOutage(now)
}

func (s *simulation) inOutage(now time.Time) bool {
	return !now.Before(s.workload.timeAt(outageStart)) && now.Before(s.workload.timeAt(outageEnd))
}
