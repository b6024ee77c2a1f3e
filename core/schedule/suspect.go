package schedule

import "time"

const (
	// failuresToSuspect is how many runs must fail on a VM, with none done in
	// between, until it is suspected. Jobs that always fail are a hundredth, so
	// two in a row on one sound VM are rare.
	failuresToSuspect = 2
	// suspectPause is how long a suspected VM gets no new tasks; it doubles with
	// each further failure, up to failingPauseMax.
	suspectPause    = 2 * time.Second
	suspectPauseMax = 8 * time.Second
)

// countFailure counts a failed run against its VM. VMs that fail all that they
// start would use up the attempts of every job that comes their way.
func (s *Scheduler) countFailure(now time.Time, v *vmState) {
	v.failedRuns++
	if v.failedRuns < failuresToSuspect {
		return
	}
	pause := min(suspectPause<<min(v.failedRuns-failuresToSuspect, 4), suspectPauseMax)
	v.suspectUntil = now.Add(pause)
	s.decided(Decision{Kind: VMSuspected, VM: v.id, Reason: "failed runs in a row", Age: pause})
}

func (s *Scheduler) countSuccess(v *vmState) { v.failedRuns = 0 }
