package schedule

import (
	"slices"
	"time"

	"lavenderpond/core/job"
)

// expiredRunRetention is how long runs that were freed because their VM's lease expired are
// remembered. The VM may turn out to have crashed.
const expiredRunRetention = 30 * time.Second

// countExpiredRunCrashes counts a crash for the runs that were freed when the VM's lease
// expired, once the VM is known to have crashed.
func (s *Scheduler) countExpiredRunCrashes(now time.Time, v *vmState) {
	for _, r := range v.expiredRuns {
		s.countCrash(now, r)
	}
	s.forgetExpiredRuns(v)
}

// addExpiredRun remembers until forgetAt a run that was freed because its VM's lease has expired.
func (s *Scheduler) addExpiredRun(r *run, forgetAt time.Time) {
	j, _, st, t := s.task(r.task)
	if t == nil || j.over() {
		return
	}
	r.vm.expiredRuns = append(r.vm.expiredRuns, r)
	r.vm.expiredRunsUntil = later(r.vm.expiredRunsUntil, forgetAt)
	t.expiredRuns = append(t.expiredRuns, r)
	st.update(t)
	s.markDirty(j)
}

// forgetExpiredRuns forgets the runs of a VM that were freed because its lease expired. Either
// it is known whether the VM crashed, or it never will be.
func (s *Scheduler) forgetExpiredRuns(v *vmState) {
	for _, r := range v.expiredRuns {
		j, _, st, t := s.task(r.task)
		if t == nil || j.over() {
			continue
		}
		t.expiredRuns = slices.DeleteFunc(t.expiredRuns, func(o *run) bool { return o == r })
		st.update(t)
		s.markDirty(j)
	}
	v.expiredRuns = nil
}

// mayReachCrashLimit reports whether the task would reach the crash limit if each VM whose lease
// expired under it has crashed. It must not start until that is known.
func (t *taskState) mayReachCrashLimit() bool {
	return len(t.expiredRuns) > 0 && len(t.crashes.attempts)+len(t.expiredRuns) >= maxCrashes
}

// recordStart stores a start before it is sent if a new owner would not know of it otherwise.
// A new owner must count a crash that happens after this owner's end.
func (s *Scheduler) recordStart(j *jobState, t *taskState, r *run) {
	if !j.takenOver && !t.crashes.any() && len(t.expiredRuns) == 0 {
		return
	}
	r.recorded = true
	s.markDirty(j)
	r.requiredSave = max(r.requiredSave, s.nextSaveSequence())
}

// restoreCrashes restores stored crashes.
func (j *jobState) restoreCrashes(p *job.Progress) {
	for _, c := range p.Crashed {
		if t := j.taskAt(c.Occurrence, c.Step, c.Task); t != nil {
			t.crashes = crashes{attempts: c.Attempts, confirmed: c.Confirmed, atStart: c.AtStart, soleSuspect: c.SoleSuspect}
			j.occurrence(c.Occurrence).steps[c.Step].update(t)
		}
	}
}

// restoreStarts restores the recorded starts of a former owner on their VMs.
func (s *Scheduler) restoreStarts(now time.Time, j *jobState, p *job.Progress) {
	for _, x := range p.Started {
		t, v := j.taskAt(x.Occurrence, x.Step, x.Task), s.vms.Get(x.VM)
		if t == nil || t.done || v == nil {
			continue
		}
		st := &j.occurrence(x.Occurrence).steps[x.Step]
		r := &run{
			task: job.TaskID{Job: j.ID, Occurrence: x.Occurrence, Step: x.Step, Index: x.Task}, attempt: x.Attempt, vm: v,
			phase: runUnanswered, adopted: true, recorded: true,
			reservation: st.def.Reservation(), quotaUsage: st.def.Resources, account: j.Terms.Account, pacePercent: 100,
		}
		r.setKind(st.def)
		r.setCrashKind(t)
		if x.Born != 0 && x.Born == v.born {
			r.stableClock = x.StableAt
		}
		t.lastAttempt = max(t.lastAttempt, x.Attempt)
		switch {
		case x.Born != 0 && v.born > x.Born:
			s.countCrash(now, r)
		case x.LeaseExpired:
			s.addExpiredRun(r, restoredForgetAt(now, x))
		default:
			s.addRun(now, r, st, t)
		}
	}
}

// restoredForgetAt returns when a run whose lease expired under a former owner is forgotten.
func restoredForgetAt(now time.Time, x job.TaskStart) time.Time {
	if x.ForgetAt.IsZero() {
		return now.Add(expiredRunRetention)
	}
	return x.ForgetAt
}

// onlyRecorded reports whether the run is known only from a former owner's record.
func (r *run) onlyRecorded() bool { return r.adopted && r.phase == runUnanswered }

// taskAt returns a task of the job, or nil.
func (j *jobState) taskAt(occurrence, step, index int) *taskState {
	o := j.occurrence(occurrence)
	if o == nil || step >= len(j.Body.Steps) || index >= j.Body.Steps[step].Count {
		return nil
	}
	return o.steps[step].task(index)
}

// addCrashes adds a task's crashes and recorded starts to the progress to be stored.
func (t *taskState) addCrashes(p *job.Progress, id job.TaskID) {
	if t.done {
		return
	}
	if t.crashes.any() {
		p.Crashed = append(p.Crashed, job.TaskCrashes{
			Occurrence: id.Occurrence, Step: id.Step, Task: id.Index,
			Attempts: slices.Clone(t.crashes.attempts), Confirmed: t.crashes.confirmed, AtStart: t.crashes.atStart, SoleSuspect: t.crashes.soleSuspect,
		})
	}
	for _, r := range t.runs {
		if r.recorded {
			p.Started = append(p.Started, r.startRecord(false))
		}
	}
	for _, r := range t.expiredRuns {
		x := r.startRecord(true)
		x.ForgetAt = r.vm.expiredRunsUntil
		p.Started = append(p.Started, x)
	}
}

// startRecord returns the stored form of the run's start.
func (r *run) startRecord(leaseExpired bool) job.TaskStart {
	return job.TaskStart{
		Occurrence: r.task.Occurrence, Step: r.task.Step, Task: r.task.Index, Attempt: r.attempt,
		VM: r.vm.id, Born: r.vm.born, LeaseExpired: leaseExpired, StableAt: r.stableClock,
	}
}
