package schedule

import (
	"math"
	"slices"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/objective"
)

const (
	// progressInterval is the minimum time between two progress readings of a run that
	// are compared. VMs report progress in whole percents.
	progressInterval = 300 * time.Millisecond
	// slowFactor is how many times longer than its siblings a run must be projected to
	// take to count as slow. Of the runs on healthy VMs, one in a thousand takes 2.6
	// times the median of its step. Slow VMs are slower by a factor of four to eight.
	slowFactor = 3
	// queueSlowFactor is the same factor against the usual run time of the queue, for
	// runs with too few siblings. Run times within a queue vary by half a log unit.
	queueSlowFactor = 6
	// minSiblings is how many siblings on other VMs are needed for a median.
	minSiblings = 3
	// minProjectedPercent is the progress from which a run's total time is projected.
	minProjectedPercent = 8
	// slowPause is how long a VM with a slow run gets no new tasks. Other slow runs there
	// extend the pause.
	slowPause = 2 * time.Second
	// slowStopMargin is the factor by which the remaining time of a slow run must exceed the
	// time of a new run elsewhere, including the stop of the slow one, before it is stopped.
	slowStopMargin = 1.3
	// maxRemaining bounds the predicted remaining time of a run that makes no progress.
	maxRemaining = time.Hour
	// maxSlowStops limits how often the runs of one task are stopped as slow.
	maxSlowStops = 2
)

// checkProgress compares the progress of a run with that of its siblings. A job is late
// as soon as one of its tasks is: on a VM that is five times slower, or where tasks make
// no progress, a job with a second to spare ends many seconds late. So the VM gets no new
// tasks for a while, and the task moves to another VM if it ends sooner there.
func (s *Scheduler) checkProgress(now time.Time, r *run) {
	j, _, st, t := s.task(r.task)
	if t == nil || st.def.LongRunning || st.def.SpareCPU || r.stopping || r.crashSuspect || j.over() {
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
	progressed := r.percent - r.progressPercent
	usual, factor := s.usualRunTime(j, st, r)
	// The run would have progressed this far if it took factor times the usual run time.
	minProgress := 100 * span.Seconds() / (usual.Seconds() * factor)
	if usual > 0 && progressed == 0 && minProgress < 1 {
		// VMs report whole percents, so the run may have progressed as usual.
		return
	}
	r.progressAt, r.progressPercent = now, r.percent
	r.recordMove(now, progressed)
	if r.percent >= 100 {
		return
	}
	if usual <= 0 {
		s.stopStalled(now, r, st, t, s.predictRunTime(j, st.def))
		return
	}
	slow := float64(progressed) < minProgress
	r.recordPace(now, slow, factor)
	if !slow {
		return
	}
	x := slowRun{
		run: r, job: j, step: st, state: t, usual: usual, bySiblings: factor == slowFactor,
		span: span, progressed: progressed, remaining: remainingTime(span, progressed, r.percent),
	}
	r.expectedEnd = now.Add(min(x.remaining, maxRemaining))
	r.vm.slowRuns = append(r.vm.slowRuns, x)
}

// slowRun is a run that has progressed by a number of percentage points within span, much less
// than is usual.
type slowRun struct {
	*run
	job   *jobState
	step  *stepState
	state *taskState
	// usual is the usual run time, which is that of the siblings if bySiblings is set and else
	// that of the queue. remaining is the predicted remaining time of this run.
	usual, remaining time.Duration
	bySiblings       bool
	span             time.Duration
	progressed       int
}

// handleSlowVM pauses the VM of a slow run, and stops the run if its task ends sooner on another
// VM.
func (s *Scheduler) handleSlowVM(now time.Time, x slowRun) {
	if x.suspectedAt.IsZero() {
		x.suspectedAt = now
	}
	if x.mayPause(now) {
		x.vm.slowUntil = now.Add(slowPause)
	}
	s.reportDecision(Decision{Kind: VMSlow, Job: x.job.ID, Task: x.task, Attempt: x.attempt, VM: x.vm.id, Age: x.span, After: x.remaining})
	if x.step.def.Gang || x.state.slowStops >= maxSlowStops {
		return
	}
	if x.remaining.Seconds() > slowStopMargin*(x.usual+s.settings.TaskStopMax).Seconds() {
		x.state.slowStops++
		s.stopRun(now, x.run, "slow")
	}
}

// remainingTime predicts how much longer a run takes that has progressed by the given
// percentage points within span.
func remainingTime(span time.Duration, progressed, percent int) time.Duration {
	if progressed <= 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(span) * float64(100-percent) / float64(progressed))
}

// usualRunTime returns how long a run of the step usually takes, and the factor from
// which a run counts as slow. The time is 0 if nothing is known.
func (s *Scheduler) usualRunTime(j *jobState, st *stepState, r *run) (time.Duration, float64) {
	known := st.knownRunTimes(func(x *run) bool { return x.vm != r.vm })
	if len(known) >= minSiblings {
		return median(known), slowFactor
	}
	q := s.queueStats(j.Terms.Queue)
	if q.runs < minSamples {
		return 0, 1
	}
	return s.queueRunTime(q, st.def), queueSlowFactor
}

// queueRunTime returns the usual run time of a queue, or a longer one if the caller's estimate for the step
// is clearly longer than the queue's other estimates.
func (s *Scheduler) queueRunTime(q *queueStats, st *job.Step) time.Duration {
	usual := time.Duration(math.Exp(q.typical.MeanLogRunTime) * float64(time.Second))
	return scaled(usual, max(1, objective.Scale(st.Estimate, q.typical.MeanLogEstimate)))
}

// maxSuspicion is how long a single run may keep its VM paused.
const maxSuspicion = 4 * time.Second

// mayPause reports whether the run may pause its VM. Without another slow run there, only new runs can
// show whether the VM is slow, so the pause ends, and there is none if the task was slow elsewhere.
func (x slowRun) mayPause(now time.Time) bool {
	if otherSlow, _ := x.countOthers(now); otherSlow > 0 {
		return true
	}
	slowElsewhere := !x.bySiblings && x.state.slowStops > 0
	return !slowElsewhere && now.Sub(x.suspectedAt) < maxSuspicion
}

// knownRunTimes returns the run times of the step's tasks: of those that are done, and the
// projected ones of the runs that match.
func (st *stepState) knownRunTimes(matches func(x *run) bool) []time.Duration {
	known := slices.Clone(st.runTimes)
	for _, t := range st.live {
		for _, x := range t.runs {
			if matches(x) && x.phase == runConfirmed && x.fullyObserved() && x.percent >= minProjectedPercent {
				known = append(known, x.listedAt.Sub(x.confirmedAt)*100/time.Duration(x.percent))
			}
		}
	}
	return known
}

// slow reports whether the VM has recently had a slow run.
func (v *vmState) slow(now time.Time) bool { return now.Before(v.slowUntil) }
