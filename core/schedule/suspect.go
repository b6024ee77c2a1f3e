package schedule

import "time"

const (
	// failuresInRow is how many runs must fail on a VM, with none done in
	// between, until it is suspected. Jobs that always fail are a hundredth, so
	// two in a row on one sound VM are rare.
	failuresInRow = 2
	// failingPause is how long a suspected VM gets no new tasks; it doubles with
	// each further failure, up to failingPauseMax.
	failingPause    = 2 * time.Second
	failingPauseMax = 8 * time.Second
)

// judgeFailure counts a failed run against its VM. VMs that fail all that they
// start would use up the attempts of every job that comes their way.
func (s *Scheduler) judgeFailure(now time.Time, v *vmState) {
	v.failedRuns++
	if v.failedRuns < failuresInRow {
		return
	}
	pause := min(failingPause<<min(v.failedRuns-failuresInRow, 4), failingPauseMax)
	v.suspect = now.Add(pause)
	s.decided(Decision{What: VMSuspected, VM: v.id, Reason: "failed runs in a row", Age: pause})
}

func (s *Scheduler) judgeSuccess(v *vmState) { v.failedRuns = 0 }
