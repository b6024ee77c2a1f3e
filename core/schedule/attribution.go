package schedule

import (
	"slices"
	"strconv"
	"time"

	"lavenderpond/core/forecast"
	"lavenderpond/core/job"
	"lavenderpond/core/straggler"
)

const (
	// paceMaxAge is the age up to which the pace of a run, or an end, tells of its VM's present
	// speed. VMs report their runs every 0.7 s at least.
	paceMaxAge = time.Second
	// beyondTailFactor is how many times longer than nearly all known runs a run must be
	// predicted to take for it not to be a long task.
	beyondTailFactor = 1.5
	// tailQuantile is the quantile that nearly all known runs stay below.
	tailQuantile = 0.999
	// stallFactor is how many usual run times a run must stand still before it is stopped as
	// stalled. The period doubles with each such stop of its task, at most maxStallDoublings
	// times.
	stallFactor       = 2
	maxStallDoublings = 5
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

// recordPace records a comparison by the given factor, since which the run has progressed by
// some percentage points.
func (r *run) recordPace(now time.Time, progressed int, slow bool, factor float64) {
	if progressed > 0 || r.movedAt.IsZero() {
		r.movedAt = now
	}
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
	evidence := make([]straggler.Evidence, len(slow))
	for i, x := range slow {
		evidence[i] = x.evidence(now, s.queueForecast(x.job.Terms.Queue))
	}
	for i, x := range slow {
		s.judgeSlowRun(now, x, evidence[i])
	}
}

// judgeSlowRun decides whether the VM of a slow run is slow or the task is long. In queues
// without a heavy tail the VM is always taken to be slow.
func (s *Scheduler) judgeSlowRun(now time.Time, x slowRun, e straggler.Evidence) {
	f := s.queueForecast(x.job.Terms.Queue)
	s.learnLongTask(now, f, x, e)
	if !f.HeavyTail() {
		s.handleSlowVM(now, x)
		return
	}
	p := e.VMFault()
	if p >= straggler.FaultProbability {
		x.state.long = false
		s.handleSlowVM(now, x)
		s.stopStalled(now, x)
		return
	}
	if !x.state.long {
		x.state.long = true
		s.reportDecision(Decision{
			Kind: TaskLong, Job: x.job.ID, Task: x.task, Attempt: x.attempt, VM: x.vm.id, Age: x.span, After: x.remaining,
			Reason: "vm_fault_percent " + strconv.Itoa(int(100*p)),
		})
	}
	cost := straggler.Run{Usual: x.usual, Remaining: x.remaining, Total: x.projected(), Stop: s.settings.TaskStopMax}
	if !x.step.def.Gang && x.state.slowStops < maxSlowStops && cost.StopEndsSooner(p) {
		x.state.slowStops++
		s.stopRun(now, x.run, "slow")
	}
}

// stopStalled stops a run that stands still after the stops of its task are used up. In a queue
// with a heavy tail they may have been spent on a long task.
func (s *Scheduler) stopStalled(now time.Time, x slowRun) {
	patience := stallFactor * x.usual << min(x.state.stallStops, maxStallDoublings)
	if x.stopping || x.progressed > 0 || x.step.def.Gang || now.Before(x.movedAt.Add(patience)) {
		return
	}
	x.state.stallStops++
	s.stopRun(now, x.run, "stalled")
}

// projected returns the total time that the run would take at its present pace.
func (x slowRun) projected() time.Duration {
	return time.Duration(float64(x.span) * 100 / float64(max(x.progressed, 1)))
}

// evidence collects what the VM's other runs show.
func (x slowRun) evidence(now time.Time, f *forecast.Queue) straggler.Evidence {
	// VMs report whole percents, so the run may be almost one percentage point further.
	atLeast := x.span.Seconds() * 100 / float64(x.progressed+1)
	e := straggler.Evidence{
		TailShare: f.TailShare(), RunningTailShare: f.RunningTailShare(), SlowedDown: x.pace.wasUsual,
		BeyondTail: atLeast > beyondTailFactor*f.Ratios.Quantile(tailQuantile)*x.usual.Seconds(),
	}
	e.OtherSlow, e.OtherUsual = x.vm.countPaces(now, x.run)
	if now.Sub(x.vm.usualEndAt) <= paceMaxAge {
		e.OtherUsual++
	}
	return e
}

// countPaces counts the runs on the VM other than r that recently progressed slowly or as usual.
func (v *vmState) countPaces(now time.Time, r *run) (slow, usual int) {
	for _, o := range v.runs.All() {
		switch {
		case o == r || o.stopping || o.pace.at.IsZero() || now.Sub(o.pace.at) > paceMaxAge:
		case o.pace.slow:
			slow++
		default:
			usual++
		}
	}
	return slow, usual
}

// provenHealthy reports whether the VM's runs other than r show that it isn't slow.
func (v *vmState) provenHealthy(now time.Time, r *run) bool {
	slow, usual := v.countPaces(now, r)
	return slow == 0 && usual >= minUsualRuns && !v.slow(now)
}

// learnLongTask adds a long task to the queue's statistics while it still runs: it ends many
// run times later than those that show it to be long, and may be stopped before. A comparison
// with the queue's run times isn't enough: after a takeover, only short runs have ended yet.
func (s *Scheduler) learnLongTask(now time.Time, f *forecast.Queue, x slowRun, e straggler.Evidence) {
	if x.state.tailCounted || !x.bySiblings || x.progressed <= 0 || e.SlowedDown || !x.vm.provenHealthy(now, x.run) {
		return
	}
	if ratio := x.projected().Seconds() / x.usual.Seconds(); ratio >= forecast.LongRatio {
		x.state.tailCounted = true
		s.addSample(now, &f.Ratios, ratio)
	}
}

// learnForecast adds the run time of a task that is done to the queue's forecast. r is nil if
// the run isn't known.
func (s *Scheduler) learnForecast(now time.Time, j *jobState, st *stepState, t *taskState, r *run, ranFor time.Duration) {
	if !s.settings.Policy.RunTimeForecast || t.done || ranFor <= 0 || r.reportedLate(now) {
		return
	}
	f := s.queueForecast(j.Terms.Queue)
	if !r.vm.slow(now) {
		s.addSample(now, &f.Times, ranFor.Seconds())
	}
	if len(st.runTimes) < minSiblings {
		return
	}
	known := slices.Sorted(slices.Values(st.runTimes))
	ratio := ranFor.Seconds() / known[len(known)/2].Seconds()
	if ratio < forecast.LongRatio {
		r.vm.usualEndAt = now
	}
	// Long runs must not be learned from slow VMs, nor the share of long runs be overestimated by
	// leaving out usual ones.
	if !t.tailCounted && r.vm.provenHealthy(now, r) {
		s.addSample(now, &f.Ratios, ratio)
	}
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
	return slices.ContainsFunc(s.tasks, func(t taskState) bool { return t.long })
}
