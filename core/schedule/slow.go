package schedule

import (
	"math"
	"slices"
	"time"
)

const (
	// progressInterval is the least time between two readings of a run's progress that are
	// compared: VMs tell it in whole percents.
	progressInterval = 300 * time.Millisecond
	// slowFactor is how many times as long as its siblings a run must be going to
	// take to be slow. Of sound runs, one in a thousand takes 2.6 times the median of
	// its step; slow VMs are slower by four to eight times.
	slowFactor = 3
	// queueSlowFactor is the same against the usual run of the queue, for runs that have
	// too few siblings. Run times of a queue vary by half a log unit.
	queueSlowFactor = 6
	// minSiblings is how many siblings on other VMs make a median.
	minSiblings = 3
	// minProjectedPercent is the progress, in percent, from which a run's whole time is
	// projected.
	minProjectedPercent = 8
	// slowPause is how long a VM with a slow run gets no new tasks. Its other runs
	// renew it.
	slowPause = 2 * time.Second
	// slowStopMargin is how many times as long as a new run elsewhere, with the stop of
	// this one, a slow run must still be going to take to be given up.
	slowStopMargin = 1.3
	// maxSlowStops bounds how often one task is given up as slow.
	maxSlowStops = 2
)

// checkProgress compares the progress of a run with what its siblings need. A job is
// late as soon as one of its tasks is: on a VM that is five times as slow, or where
// tasks stand still, a job that could spare a second ends many seconds late. So the
// VM gets no new tasks for a while, and the run goes elsewhere if that is sooner.
func (s *Scheduler) checkProgress(now time.Time, r *run) {
	j, _, st, t := s.task(r.task)
	if t == nil || st.def.Lasting || st.def.Fills || r.stopping || r.crashSuspect || j.over() {
		return
	}
	if r.progressAt.IsZero() {
		r.progressAt, r.progressPercent = now, r.percent
		return
	}
	span := now.Sub(r.progressAt)
	if span < progressInterval {
		return
	}
	moved := r.percent - r.progressPercent
	r.progressAt, r.progressPercent = now, r.percent
	usual, factor := s.usualRunTime(j, st, r)
	// So much the run would have moved on if it took factor times the usual.
	least := 100 * span.Seconds() / (usual.Seconds() * factor)
	if usual <= 0 || float64(moved) >= least || r.percent >= 100 {
		return
	}
	left := remainingTime(span, moved, r.percent)
	r.vm.slowUntil = now.Add(slowPause)
	s.decided(Decision{Kind: VMSlow, Job: j.ID, Task: r.task, Attempt: r.attempt, VM: r.vm.id, Age: span, After: left})
	if st.def.Gang || t.slowStops >= maxSlowStops {
		return
	}
	if left.Seconds() > slowStopMargin*(usual+s.settings.TaskStop).Seconds() {
		t.slowStops++
		s.stopRun(now, r, "slow")
	}
}

// remainingTime predicts how long a run still takes that moved by so many percent in span.
func remainingTime(span time.Duration, moved, percent int) time.Duration {
	if moved <= 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(span) * float64(100-percent) / float64(moved))
}

// usualRunTime returns how long a run of the step usually takes, and how many times
// that is slow. It is 0 if nothing is known.
func (s *Scheduler) usualRunTime(j *jobState, st *stepState, r *run) (time.Duration, float64) {
	known := slices.Clone(st.runTimes)
	for i := range st.tasks {
		for _, x := range st.tasks[i].runs {
			if x.vm != r.vm && x.phase == runConfirmed && x.fullyObserved() && x.percent >= minProjectedPercent {
				known = append(known, x.listedAt.Sub(x.confirmedAt)*100/time.Duration(x.percent))
			}
		}
	}
	if len(known) >= minSiblings {
		slices.Sort(known)
		return known[len(known)/2], slowFactor
	}
	q := s.queue(j.Terms.Queue)
	if q.runs < learnedAfter {
		return 0, 1
	}
	return time.Duration(math.Exp(q.logRun) * float64(time.Second)), queueSlowFactor
}

// slow tells whether the VM has had a slow run of late.
func (v *vmState) slow(now time.Time) bool { return now.Before(v.slowUntil) }
