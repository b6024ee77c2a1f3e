package schedule

import (
	"slices"
	"strconv"
	"time"

	"lavenderpond/core/forecast"
	"lavenderpond/core/job"
	"lavenderpond/core/objective"
	"lavenderpond/core/straggler"
)

const (
	// paceMaxAge is the age up to which the pace of a run, or an end, tells of its VM's present
	// speed. VMs report their runs every 0.7 s at least.
	paceMaxAge = time.Second
	// beyondTailFactor is how many times longer than nearly all known runs a run must be
	// predicted to take for it not to be a long task.
	beyondTailFactor = 1.5
	// matureFactor is how many usual run times a queue must have been observed for before its
	// usual run time is learned from: in the beginning only short runs have ended.
	matureFactor = 4
	// minUsualRuns is how many other runs on the VM must progress as usual for a run to be
	// counted in the statistics of long runs.
	minUsualRuns = 2
)

// pace is how a run progressed in comparison to its siblings.
type pace struct {
	at   time.Time
	slow bool
	// wasUsual is set once the run has progressed as its siblings did.
	wasUsual bool
}

// recordPace records a comparison by the given factor.
func (r *run) recordPace(now time.Time, slow bool, factor float64) {
	r.pace.at, r.pace.slow = now, slow
	// The factor for runs without siblings is too wide to tell a long task from others.
	if !slow && factor == slowFactor {
		r.pace.wasUsual = true
	}
}

// queueForecast returns the forecast of a queue, which is created on first use.
func (s *Scheduler) queueForecast(n job.QueueName) *forecast.Queue {
	f := s.forecasts[n]
	if f == nil {
		f = &forecast.Queue{}
		s.forecasts[n] = f
	}
	return f
}

// judgeSlowRuns decides for each slow run of a list whether the VM is slow or the task is long.
// It is called once all runs of the list are compared with their siblings, since they are
// evidence for one another.
func (s *Scheduler) judgeSlowRuns(now time.Time, v *vmState) {
	if len(v.slowRuns) == 0 {
		return
	}
	slow := v.slowRuns
	v.slowRuns = nil
	if !s.settings.Policy.RunTimeForecast {
		for _, x := range slow {
			s.judgeWithoutTail(now, x)
			s.stopStalled(now, x.run, x.step, x.state, x.usual)
		}
		return
	}
	evidence := make([]straggler.Evidence, len(slow))
	for i, x := range slow {
		evidence[i] = x.evidence(now, s.queueForecast(x.job.Terms.Queue))
	}
	for i, x := range slow {
		s.judgeSlowRun(now, x, evidence[i])
		s.stopStalled(now, x.run, x.step, x.state, x.usual)
	}
}

// judgeSlowRun decides whether the VM of a slow run is slow or the task is long. In queues
// without a heavy tail the VM is always taken to be slow.
func (s *Scheduler) judgeSlowRun(now time.Time, x slowRun, e straggler.Evidence) {
	f := s.queueForecast(x.job.Terms.Queue)
	s.learnLongTask(now, f, x, e)
	if !x.tail(f).Heavy {
		s.judgeWithoutTail(now, x)
		return
	}
	s.runTimeSaves.mark(x.job.Terms.Queue)
	p := e.VMFault()
	if p >= straggler.FaultProbability {
		x.state.long = false
		s.handleSlowVM(now, x)
		return
	}
	if !x.state.long {
		x.state.long = true
		if !x.bySiblings {
			// The objective allows for the size of the whole job.
			x.job.typicalRun, x.job.typicalLogEstimate = x.projected(), objective.LogEstimate(x.step.def.Estimate)
		}
		s.reportDecision(Decision{
			Kind: TaskLong, Job: x.job.ID, Task: x.task, Attempt: x.attempt, VM: x.vm.id, Age: x.span, After: x.remaining,
			Reason: "vm_fault_percent " + strconv.Itoa(int(100*p)),
		})
	}
	cost := straggler.Run{Usual: x.usual, Remaining: x.remaining, Total: x.projected(), Stop: s.settings.TaskStopMax}
	// Between two lists a long run may advance by less than a percent, which isn't reported.
	if x.progressed > 0 && !x.step.def.Gang && x.state.slowStops < maxSlowStops && cost.StopEndsSooner(p) {
		x.state.slowStops++
		s.stopRun(now, x.run, "slow")
	}
}

// projected returns the total time that the run would take at its present pace.
func (x slowRun) projected() time.Duration {
	return time.Duration(float64(x.span) * 100 / float64(max(x.progressed, 1)))
}

// tail returns the tail that the run belongs to if its VM is healthy.
func (x slowRun) tail(f *forecast.Queue) forecast.Tail {
	if x.bySiblings {
		return f.LongRuns()
	}
	return f.LargeSteps()
}

// evidence collects what the other runs on the VM and those of the same step show.
func (x slowRun) evidence(now time.Time, f *forecast.Queue) straggler.Evidence {
	// VMs report whole percents, so the run may be almost one percentage point further.
	atLeast := x.span.Seconds() * 100 / float64(x.progressed+1)
	tail := x.tail(f)
	e := straggler.Evidence{
		TailShare: tail.Share, RunningTailShare: tail.RunningShare, SlowedDown: x.pace.wasUsual,
		BeyondTail: atLeast > beyondTailFactor*tail.Most*x.usual.Seconds(),
	}
	e.OtherSlow, e.OtherUsual = x.countOthers(now)
	if !x.bySiblings {
		e.SiblingsSlow, e.SiblingsUsual = x.countSiblings(now)
	}
	if now.Sub(x.vm.usualEndAt) <= paceMaxAge {
		e.OtherUsual++
	}
	return e
}

// judgeWithoutTail decides about a slow run in a queue of which no long tasks are known.
func (s *Scheduler) judgeWithoutTail(now time.Time, x slowRun) {
	if !x.isLong(now) {
		s.handleSlowVM(now, x)
		return
	}
	if !x.state.long {
		x.state.long = true
		s.reportDecision(Decision{
			Kind: TaskLong, Job: x.job.ID, Task: x.task, Attempt: x.attempt, VM: x.vm.id, Age: x.span, After: x.remaining,
			Reason: "other runs show a sound vm",
		})
	}
}

// isLong reports whether other runs show that a task is long which is slow in comparison with its queue:
// those on its VM progress and end as usual, or all of its step that run on other VMs are as slow.
func (x slowRun) isLong(now time.Time) bool {
	if x.bySiblings {
		return false
	}
	slow, usual := x.countSiblings(now)
	return x.provenHealthy(now) || (slow > 0 && usual == 0)
}

// usualEndFactor is the multiple of its predicted time up to which a run has ended as usual.
const usualEndFactor = 2

// learnUsualEnd records that a run has ended on the VM as usual.
func (s *Scheduler) learnUsualEnd(now time.Time, j *jobState, st *stepState, v *vmState, ranFor time.Duration) {
	q := s.queueStats(j.Terms.Queue)
	if q.runs >= minSamples && ranFor <= usualEndFactor*s.queueRunTime(q, st.def) {
		v.usualEnds[0], v.usualEnds[1] = now, v.usualEnds[0]
	}
}

// recent reports whether the pace tells of the present speed of the run's VM.
func (p pace) recent(now time.Time) bool { return !p.at.IsZero() && now.Sub(p.at) <= paceMaxAge }

// countOthers counts the other runs on the VM that recently progressed slowly or as usual. Those
// of the same step count only if they were compared with one another: if the step is large, they
// are slow as well in comparison with the queue.
func (x slowRun) countOthers(now time.Time) (slow, usual int) {
	for _, o := range x.vm.runs.All() {
		sameStep := o.task.StepID() == x.task.StepID()
		switch {
		case o == x.run || o.stopping || !o.pace.recent(now) || (sameStep && !x.bySiblings):
		case o.pace.slow:
			slow++
		default:
			usual++
		}
	}
	return slow, usual
}

// countSiblings counts the runs of the same step on other VMs that recently progressed slowly or
// as usual.
func (x slowRun) countSiblings(now time.Time) (slow, usual int) {
	for _, t := range x.step.live {
		for _, o := range t.runs {
			switch {
			case o.vm == x.vm || !o.pace.recent(now):
			case o.pace.slow:
				slow++
			default:
				usual++
			}
		}
	}
	return slow, usual
}

// provenHealthy reports whether the VM's other runs show that it isn't slow.
func (x slowRun) provenHealthy(now time.Time) bool {
	slow, usual := x.countOthers(now)
	for _, at := range x.vm.usualEnds {
		if !at.IsZero() && now.Sub(at) <= paceMaxAge {
			usual++
		}
	}
	return slow == 0 && usual >= minUsualRuns && !x.vm.slow(now)
}

// learnLongTask adds a long task, or a large step, to the queue's forecast while it still runs: it
// ends many run times later than those that show it to be long, and may be stopped before.
func (s *Scheduler) learnLongTask(now time.Time, f *forecast.Queue, x slowRun, e straggler.Evidence) {
	healthy := x.provenHealthy(now)
	if x.progressed <= 0 || e.SlowedDown {
		return
	}
	if !x.bySiblings {
		q := s.queueStats(x.job.Terms.Queue)
		mature := now.Sub(q.firstRunAt) >= matureFactor*x.usual
		if !x.step.sizeCounted && mature && (healthy || (e.SiblingsSlow > 0 && e.SiblingsUsual == 0)) {
			x.step.sizeCounted = true
			s.addSample(now, &f.Sizes, x.projected().Seconds()/x.usual.Seconds())
		}
		return
	}
	if !x.state.tailCounted && healthy {
		x.state.tailCounted = true
		s.addSample(now, &f.Ratios, x.projected().Seconds()/x.usual.Seconds())
	}
}

// learnForecast adds the run time of a task that is done to the queue's forecast. r is nil if
// the run isn't known.
func (s *Scheduler) learnForecast(now time.Time, j *jobState, st *stepState, t *taskState, r *run, ranFor time.Duration) {
	if !s.settings.Policy.RunTimeForecast || t.done || ranFor <= 0 || r.reportedLate(now) {
		return
	}
	f := s.queueForecast(j.Terms.Queue)
	if q := s.queueStats(j.Terms.Queue); q.firstRunAt.IsZero() {
		q.firstRunAt = now
	}
	if !r.vm.slow(now) {
		s.addSample(now, &f.Times, ranFor.Seconds())
	}
	if len(st.runTimes) < minSiblings {
		return
	}
	ratio := ranFor.Seconds() / median(slices.Clone(st.runTimes)).Seconds()
	if ratio < forecast.LongRatio {
		r.vm.usualEndAt = now
	}
	// Long runs must not be learned from slow VMs, nor the share of long runs be overestimated by
	// leaving out usual ones.
	if x := (slowRun{run: r, step: st, bySiblings: true}); !t.tailCounted && x.provenHealthy(now) {
		s.addSample(now, &f.Ratios, ratio)
	}
}

// learnSize adds the size of a complete step to the queue's forecast, given its typical run time.
func (s *Scheduler) learnSize(now time.Time, j *jobState, st *stepState, typical float64) {
	if !s.settings.Policy.RunTimeForecast || st.sizeCounted {
		return
	}
	// The mean of the queue's run times follows the runs of the last step, the median doesn't.
	f := s.queueForecast(j.Terms.Queue)
	usual := f.Times.Quantile(0.5)
	if f.Times.Count() < minSamples || now.Sub(s.queueStats(j.Terms.Queue).firstRunAt).Seconds() < matureFactor*usual {
		return
	}
	st.sizeCounted = true
	s.addSample(now, &f.Sizes, typical/usual)
}

// median returns the median of the durations, which it sorts.
func median(d []time.Duration) time.Duration {
	slices.Sort(d)
	return d[len(d)/2]
}

// reportedLate reports whether the end of a run may have been reported long after it, because
// its VM was out of reach.
func (r *run) reportedLate(now time.Time) bool {
	last := r.confirmedAt
	if r.listedAt.After(last) {
		last = r.listedAt
	}
	return now.Sub(last) > paceMaxAge || r.vm.silentSince.After(r.confirmedAt)
}

// addSample adds a sample to a distribution.
func (s *Scheduler) addSample(now time.Time, d *forecast.Distribution, value float64) {
	if err := d.Add(now, value); err != nil {
		s.reportDecision(Decision{Kind: ForecastFailed, Reason: err.Error()})
	}
}

// hasLongTask reports whether a task of the step takes long on any VM.
func (s *stepState) hasLongTask() bool {
	return s.longTaskDone || slices.ContainsFunc(s.live, func(t *taskState) bool { return t.long })
}
