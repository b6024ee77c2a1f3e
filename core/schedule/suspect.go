package schedule

import "time"

const (
	// failuresToSuspect is how many runs must fail on a VM in a row until it is
	// suspected. Jobs that always fail are a hundredth of all jobs, so two in a row are
	// rare on a healthy VM.
	failuresToSuspect = 2
	// suspectPause is how long a suspected VM gets no new tasks. It doubles with each
	// further failure, up to suspectPauseMax.
	suspectPause    = 2 * time.Second
	suspectPauseMax = 8 * time.Second
)

// countFailure counts a failed run against its VM. A VM on which every run fails would
// use up the attempts of every job that is placed there.
func (s *Scheduler) countFailure(now time.Time, v *vmState) {
	v.failedRuns++
	if v.failedRuns < failuresToSuspect {
		return
	}
	pause := min(suspectPause<<min(v.failedRuns-failuresToSuspect, 4), suspectPauseMax)
	v.suspectUntil = now.Add(pause)
	s.reportDecision(Decision{Kind: VMSuspected, VM: v.id, Reason: "consecutive failed runs", Age: pause})
}

// countSuccess resets the VM's count of consecutive failed runs.
func (s *Scheduler) countSuccess(v *vmState) { v.failedRuns = 0 }
