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
	badFrom     = 0.25
	outageStart = 0.4
	outageEnd   = 0.6
)

// cancelAt are the moments of cancellation waves, as parts of the run.
var cancelAt = [...]float64{0.15, 0.45, 0.85}

// Times that failures take.
const (
	badRun        = 5 * time.Millisecond
	impossibleRun = 20 * time.Millisecond
	connectRun    = time.Millisecond
)

// part returns the moment that is the given part into the run.
func (w Workload) part(p float64) time.Time {
	return start.Add(seconds(p * w.Horizon.Seconds()))
}

// struckPool is the pool that faults strike: the one whose queue bursts as an
// outage begins.
func (w Workload) struckPool() int {
	return int(w.part(outageStart).Sub(start)/burstLength) % phases
}

// bad reports whether v fails everything at now.
func (s *simulation) bad(v *vm, now time.Time) bool {
	if v.home != s.workload.struckPool() {
		return false
	}
	if s.faults.BadTarget && v.index == 0 && !now.Before(s.workload.part(badFrom)) {
		return true
	}
	return float64(v.index) < s.faults.Brownout*vmsPerPool && s.inOutage(now)
}

// out reports whether v is out of reach at now.
func (s *simulation) out(v *vm, now time.Time) bool {
	if v.home != s.workload.struckPool() || float64(v.index) >= s.faults.Outage*vmsPerPool {
		return false
	}
	return s.inOutage(now)
}

func (s *simulation) inOutage(now time.Time) bool {
	return !now.Before(s.workload.part(outageStart)) && now.Before(s.workload.part(outageEnd))
}
