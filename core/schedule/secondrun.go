package schedule

import (
	"slices"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/policy"
)

// secondRunMargin is the factor by which the remaining time of a run on a slow VM must exceed
// the predicted time of a second run.
const secondRunMargin = 1.3

// runAtRisk is a run whose task may end sooner in a second run.
type runAtRisk struct {
	*run
	job    *jobState
	step   *stepState
	state  *taskState
	reason string
}

// maySecondRuns reports whether second runs may start. Only an owner that has recently confirmed
// its ownership is sure that no other one knows of the first run's end.
func (s *Scheduler) maySecondRuns() bool {
	return s.settings.Policy.SecondRuns && s.rights.OrderMachines
}

// maySecondRun reports whether a second run of a task of the step may start.
func (s *Scheduler) maySecondRun(st *job.Step) bool {
	return s.maySecondRuns() && st.Speculative && !st.Gang && !st.LongRunning
}

// enqueueRunsAtRisk adds the runs at risk to the queues of their pools.
func (s *Scheduler) enqueueRunsAtRisk(now, wall time.Time, waiting poolQueues) {
	if !s.maySecondRuns() {
		return
	}
	for _, v := range s.vms.All() {
		if !v.silent && !v.unresponsive && !v.slow(now) {
			continue
		}
		for _, r := range v.runs.All() {
			x, ok := s.atRisk(now, r)
			if !ok || s.settings.Policy.Exempt(wall, policy.SecondRuns, x.job.Terms.Account, x.job.Terms.Queue) {
				continue
			}
			q := waiting.queue(s.pool(x.job), x.step.def.Reservation())
			q.atRisk = append(q.atRisk, x)
		}
	}
}

// atRisk reports whether the task of a run may end sooner in a second run, and the step allows
// one. A task has two runs at most.
func (s *Scheduler) atRisk(now time.Time, r *run) (runAtRisk, bool) {
	j, _, st, t := s.task(r.task)
	if t == nil || !s.maySecondRun(st.def) || j.over() || j.refused.any() || t.done || len(t.runs) > 1 {
		return runAtRisk{}, false
	}
	// A task under which a VM has crashed, or may have, is started once at a time.
	if t.crashes.any() || len(t.expiredRuns) > 0 || j.inherited || r.phase == runPlanned {
		return runAtRisk{}, false
	}
	x := runAtRisk{run: r, job: j, step: st, state: t}
	switch {
	case r.vm.silent:
		x.reason = "silent"
	case r.vm.unresponsive && r.phase != runConfirmed:
		x.reason = "unanswered"
	case r.pace.slow && r.vm.slow(now) && r.expectedEnd.Sub(now).Seconds() > secondRunMargin*s.predictRunTime(j, st.def).Seconds():
		x.reason = "slow"
	default:
		return runAtRisk{}, false
	}
	return x, true
}

// startSecondRuns starts second runs of tasks, as far as capacity is free that no job needs that
// can be in time. The first run that ends counts, and the other one is stopped.
func (a *assignment) startSecondRuns() {
	if len(a.atRisk) == 0 || a.inTimeJobWaits() {
		return
	}
	slices.SortStableFunc(a.atRisk, func(x, y runAtRisk) int {
		return compareCandidates(a.s.rateJob(a.now, x.job), a.s.rateJob(a.now, y.job))
	})
	for _, x := range a.atRisk {
		if a.s.rateJob(a.now, x.job).rank <= rankLate {
			a.startSecondRun(x)
		}
	}
}

// inTimeJobWaits reports whether a job that can be in time waits for capacity after this round.
func (a *assignment) inTimeJobWaits() bool {
	return slices.ContainsFunc(a.jobs, func(j *jobState) bool {
		return a.s.rateJob(a.now, j).rank <= rankInTime && a.waitsForCapacity(j)
	})
}

// waitsForCapacity reports whether a task of the job fits on no VM, or a gang not on all.
func (a *assignment) waitsForCapacity(j *jobState) bool {
	for _, o := range j.occurrences {
		for i := range o.steps {
			st := &o.steps[i]
			if st.openTasks == 0 || !o.ready(i) {
				continue
			}
			gangWaits := st.def.Gang && a.s.withinQuota(j, st.def.Resources.Mul(st.def.Count))
			if gangWaits || a.index.isUnplaceable(st.def.Reservation()) {
				return true
			}
		}
	}
	return false
}

// startSecondRun starts a second run of a task on another VM.
func (a *assignment) startSecondRun(x runAtRisk) {
	if a.now.Before(x.state.notBefore) || a.s.mayHaveEnded(x.state) || !a.s.withinQuota(x.job, x.step.def.Resources) {
		return
	}
	if !a.approved(x.job, x.step) {
		a.requestApproval(x.job, x.job.occurrences[x.task.Occurrence], x.task.Step)
		return
	}
	n := a.chooseVM(placement{job: x.job, step: x.step, task: x.state, id: x.task})
	if n < 0 || a.index.vms[n].vm == x.vm {
		return
	}
	v := a.index.vms[n].vm
	a.s.reportDecision(Decision{
		Kind: SecondRun, Job: x.job.ID, Task: x.task, Attempt: x.attempt, VM: x.vm.id, Reason: x.reason,
		Age: a.now.Sub(x.vm.lastAnswer), After: a.now.Sub(x.orderedAt),
	})
	a.startTask(x.job, x.step, x.task, x.state, v, a.s.nextAttempt(x.state))
	a.index.reposition(n)
}
