package schedule

import (
	"math"
	"slices"
	"time"
)

const (
	// paceSpan is the least time between two readings of a run's progress that are
	// compared: VMs tell it in whole percents.
	paceSpan = 300 * time.Millisecond
	// slowFactor is how many times as long as its siblings a run must be going to
	// take to be slow. Of sound runs, one in a thousand takes 2.6 times the median of
	// its step; slow VMs are slower by four to eight times.
	slowFactor = 3
	// strayFactor is the same against the usual run of the queue, for runs that have
	// too few siblings. Run times of a queue vary by half a log unit.
	strayFactor = 6
	// siblingsNeeded is how many siblings on other VMs make a median.
	siblingsNeeded = 3
	// projectFrom is the progress, in percent, from which a run's whole time is
	// projected.
	projectFrom = 8
	// slowPause is how long a VM with a slow run gets no new tasks. Its other runs
	// renew it.
	slowPause = 2 * time.Second
	// rescueMargin is how many times as long as a new run elsewhere, with the stop of
	// this one, a slow run must still be going to take to be given up.
	rescueMargin = 1.3
	// rescuesEach bounds how often one task is given up as slow.
	rescuesEach = 2
)

// watchPace compares the progress of a run with what its siblings need. A job is
// late as soon as one of its tasks is: on a VM that is five times as slow, or where
// tasks stand still, a job that could spare a second ends many seconds late. So the
// VM gets no new tasks for a while, and the run goes elsewhere if that is sooner.
func (s *Scheduler) watchPace(now time.Time, r *run) {
	j, _, st, t := s.task(r.task)
	if t == nil || st.def.Lasting || st.def.Fills || r.stopping || r.suspect || j.over() {
		return
	}
	if r.markAt.IsZero() {
		r.markAt, r.markPercent = now, r.percent
		return
	}
	span := now.Sub(r.markAt)
	if span < paceSpan {
		return
	}
	moved := r.percent - r.markPercent
	r.markAt, r.markPercent = now, r.percent
	usual, factor := s.usualRun(j, st, r)
	// So much the run would have moved on if it took factor times the usual.
	least := 100 * span.Seconds() / (usual.Seconds() * factor)
	if usual <= 0 || float64(moved) >= least || r.percent >= 100 {
		return
	}
	left := remaining(span, moved, r.percent)
	r.vm.slowUntil = now.Add(slowPause)
	s.decided(Decision{What: VMSlow, Job: j.ID, Task: r.task, Attempt: r.attempt, VM: r.vm.id, Age: span, After: left})
	if st.def.Gang || t.rescued >= rescuesEach {
		return
	}
	if left.Seconds() > rescueMargin*(usual+s.settings.TaskStopMax).Seconds() {
		t.rescued++
		s.stop(now, r, "slow")
	}
}

// remaining predicts how long a run still takes that moved by so many percent in span.
func remaining(span time.Duration, moved, percent int) time.Duration {
	if moved <= 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(span) * float64(100-percent) / float64(moved))
}

// usualRun returns how long a run of the step usually takes, and how many times
// that is slow. It is 0 if nothing is known.
func (s *Scheduler) usualRun(j *jobState, st *stepState, r *run) (time.Duration, float64) {
	known := slices.Clone(st.took)
	for i := range st.tasks {
		for _, x := range st.tasks[i].runs {
			if x.vm != r.vm && x.phase == runConfirmed && x.wholly() && x.percent >= projectFrom {
				known = append(known, x.listedAt.Sub(x.confirmedAt)*100/time.Duration(x.percent))
			}
		}
	}
	if len(known) >= siblingsNeeded {
		slices.Sort(known)
		return known[len(known)/2], slowFactor
	}
	q := s.queueStats(j.Terms.Queue)
	if q.runs < minSamples {
		return 0, 1
	}
	return time.Duration(math.Exp(q.meanLogRunTime) * float64(time.Second)), strayFactor
}

// slow tells whether the VM has had a slow run of late.
func (v *vmState) slow(now time.Time) bool { return now.Before(v.slowUntil) }
