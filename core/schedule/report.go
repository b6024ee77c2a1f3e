package schedule

import (
	"slices"
	"time"

	"lavenderpond/core/job"
)

// maxListedEnds is the maximum number of ends that a VM lists at a time.
const maxListedEnds = 500

// applyLists applies a VM's lists of ended and running tasks.
func (s *Scheduler) applyLists(now time.Time, v *vmState, r job.Report) {
	for _, e := range r.Finished {
		if e.Number > v.lastEnd {
			s.handleEnd(now, v, e)
		}
	}
	// The answer to a probe may overtake that to a hold, so only the newest list of
	// running tasks is applied.
	if r.Clock < v.listClock {
		return
	}
	v.listClock = r.Clock
	v.listCount++
	for i := range r.Running {
		s.applyRunning(now, v, r.Clock, &r.Running[i])
	}
	s.judgeSlowRuns(now, v)
	if len(r.Finished) >= maxListedEnds {
		// A run that is missing from the list may have ended without being among the
		// listed ends.
		return
	}
	for _, x := range v.runs.All() {
		if x.lastListCount != v.listCount {
			s.applyMissing(now, x, r.Clock)
		}
	}
}

// handleEnd handles the end of a run. The end is acknowledged to the VM, which then
// deletes it, only once everything known of the job is stored. This includes redundant
// ends, since what makes them redundant may not be stored yet.
func (s *Scheduler) handleEnd(now time.Time, v *vmState, e job.End) {
	v.lastEnd = e.Number
	if !s.applyEnd(now, v, e) {
		s.reportRedundantEnd(v, e)
	}
	end := unsavedEnd{endNumber: e.Number, job: e.Task.Job, save: s.saveSequenceOf(e.Task.Job)}
	if s.endStored(end) && len(v.unsavedEnds) == 0 {
		v.acknowledgedEnd = e.Number
		return
	}
	if len(v.unsavedEnds) == 0 {
		s.unsavedVMs = append(s.unsavedVMs, v)
	}
	v.unsavedEnds = append(v.unsavedEnds, end)
}

// reportRedundantEnd reports an end that changes nothing, because its job is over, its task is
// done or the failed run was counted before.
func (s *Scheduler) reportRedundantEnd(v *vmState, e job.End) {
	j, _, st, t := s.task(e.Task)
	if j == nil || st.def.LongRunning || (e.How != job.EndedDone && e.How != job.EndedFailed) {
		return
	}
	reason := "already counted"
	switch {
	case j.over():
		reason = "job is " + j.state.String()
	case t.done:
		reason = "task is done"
	}
	s.reportDecision(Decision{Kind: EndRedundant, Job: j.ID, Task: e.Task, Attempt: e.Attempt, VM: v.id, Reason: reason})
}

// applyEnd applies an end to its task and reports whether it must be stored.
func (s *Scheduler) applyEnd(now time.Time, v *vmState, e job.End) bool {
	j, o, st, t := s.task(e.Task)
	r := v.runs.Get(runKey{e.Task, e.Attempt})
	ranFor := time.Duration(0)
	if r != nil {
		ranFor = r.ranFor(now)
		s.release(now, r)
	}
	if j == nil {
		return false
	}
	s.reportDecision(Decision{
		Kind: TaskEnded, Job: j.ID, Task: e.Task, Attempt: e.Attempt, VM: v.id, Reason: e.How.String(),
		Age: ranFor, After: now.Sub(j.arrived),
	})
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	if j.over() {
		s.dropFinishedJobs()
		return false
	}
	switch {
	case e.How == job.EndedDone && !st.def.LongRunning:
		s.learnForecast(now, j, st, t, r, ranFor)
		return s.taskDone(now, j, o, st, t, v, ranFor)
	case e.How == job.EndedFailed:
		if !st.def.LongRunning {
			s.countFailure(now, v)
		}
		return s.taskFailed(now, j, st, t, e, v)
	}
	return false
}

// fullyObserved reports whether this owner has observed the task's whole work. A run that
// resumed from a checkpoint or started under a former owner did some of it before.
func (r *run) fullyObserved() bool { return !r.resumed && !r.adopted }

// ranFor returns how long the run took, or 0 if the run wasn't fully observed.
func (r *run) ranFor(now time.Time) time.Duration {
	switch {
	case !r.fullyObserved():
		return 0
	case r.confirmedAt.IsZero():
		return now.Sub(r.orderedAt)
	}
	return now.Sub(r.confirmedAt)
}

// taskDone handles the successful end of a task.
func (s *Scheduler) taskDone(now time.Time, j *jobState, o *occurrence, st *stepState, t *taskState, v *vmState, ranFor time.Duration) bool {
	if t.done {
		return false
	}
	s.countSuccess(v)
	if ranFor > 0 {
		s.learnRunTime(j, st.def, ranFor)
		s.learnUsualEnd(now, j, st, v, ranFor)
		st.addRunTime(ranFor)
	}
	if st.def.Gang {
		st.finishAll()
	} else {
		st.finishTask(t)
	}
	j.ratedAt = time.Time{}
	s.markDirty(j)
	for _, other := range slices.Clone(t.runs) {
		s.stopRun(now, other, "another run completed")
	}
	st.forget(t)
	if !st.complete() {
		return true
	}
	s.learnStep(now, j, st)
	o.doneSteps++
	if o.doneSteps < len(o.steps) {
		return true
	}
	j.doneOccurrences.Add(o.index)
	if j.doneOccurrences.Len() == j.Body.OccurrenceCount() {
		s.finish(now, j, job.Completed)
	}
	return true
}

// taskFailed handles a failed run.
func (s *Scheduler) taskFailed(now time.Time, j *jobState, st *stepState, t *taskState, e job.End, v *vmState) bool {
	t.avoidVM = v.id
	t.notBefore = now.Add(failurePause)
	if st.def.LongRunning {
		t.notBefore = now
		return false
	}
	if slices.Contains(t.failedAttempts, e.Attempt) {
		return false
	}
	if st.def.Gang {
		// A gang fails as a whole, so one count stands for all members.
		t = st.task(0)
		if slices.Contains(t.failedAttempts, e.Attempt) {
			return false
		}
	}
	t.failedAttempts = append(t.failedAttempts, e.Attempt)
	s.markDirty(j)
	if len(t.failedAttempts) >= s.maxAttempts(j) {
		s.finish(now, j, job.Failed)
	}
	return true
}

// failurePause delays the next start of a task whose run has failed, so that a VM on
// which every run fails is recognized first.
const failurePause = 50 * time.Millisecond

// applyRunning applies one entry of the list of running tasks.
func (s *Scheduler) applyRunning(now time.Time, v *vmState, clock job.VMClock, e *job.RunningTask) {
	r := v.runs.Get(runKey{e.Task, e.Attempt})
	if r == nil {
		s.adoptRun(now, v, clock, e, nil)
		return
	}
	if r.onlyRecorded() {
		s.release(now, r)
		s.adoptRun(now, v, clock, e, r)
		return
	}
	r.lastListCount = v.listCount
	if r.phase != runConfirmed {
		s.confirmRun(now, r, clock)
	}
	r.confirmedClock = max(r.confirmedClock, clock)
	r.percent, r.load, r.listedAt = e.Percent, e.Load, now
	if e.Checkpoint != "" {
		if _, _, _, t := s.task(e.Task); t != nil {
			t.checkpoint = e.Checkpoint
		}
	}
	s.updateAvailability(r)
	s.clearCrashes(r)
	s.checkProgress(now, r)
}

// updateAvailability records that a long-running task is available.
func (s *Scheduler) updateAvailability(r *run) {
	_, _, st, t := s.task(r.task)
	if t == nil || !st.def.LongRunning {
		return
	}
	if r.percent >= 100 && !r.stopping {
		t.unavailableSince = time.Time{}
	}
}

// adoptRun adds a run that this owner hasn't ordered. Either a former owner ordered it,
// or it is no longer wanted. record is the run that its stored record describes, or nil.
func (s *Scheduler) adoptRun(now time.Time, v *vmState, clock job.VMClock, e *job.RunningTask, record *run) {
	j, _, st, t := s.task(e.Task)
	owner, def := s.definition(e.Task)
	r := &run{
		task: e.Task, attempt: e.Attempt, vm: v, phase: runConfirmed, confirmedClock: clock,
		orderedAt: now, confirmedAt: now, percent: e.Percent, load: e.Load,
		pacePercent: 100, adopted: true, unknownJob: def == nil, lastListCount: v.listCount,
		stableClock: stableClockAfter(clock),
	}
	if record != nil {
		// The record is kept for the owner after this one, which counts a crash of the VM by it.
		r.recorded = record.recorded
		if record.stableClock > 0 {
			r.stableClock = min(r.stableClock, record.stableClock)
		}
	}
	if def != nil {
		r.reservation, r.quotaUsage, r.account = def.Reservation(), def.Resources, owner.Terms.Account
		r.setKind(def)
	}
	if t != nil {
		r.setCrashKind(t)
	}
	wanted := j != nil && !j.over() && !t.done && (t.activeRun() == nil || st.def.Speculative)
	s.addRun(now, r, st, t)
	s.reportDecision(Decision{Kind: TaskAdopted, Job: e.Task.Job, Task: e.Task, Attempt: e.Attempt, VM: v.id})
	if !wanted {
		s.stopRun(now, r, "no longer wanted")
		return
	}
	t.lastAttempt = max(t.lastAttempt, e.Attempt)
	if st.def.Gang {
		st.gangAttempt = max(st.gangAttempt, e.Attempt)
	}
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	s.markBegun(j)
	s.updateAvailability(r)
	s.recordStability(r)
	s.clearCrashes(r)
}

// applyMissing handles a run that is missing from a list. It frees the run only if the
// list is newer than anything that could still make it begin.
func (s *Scheduler) applyMissing(now time.Time, r *run, clock job.VMClock) {
	switch {
	case r.phase == runConfirmed && clock > r.confirmedClock+clockSlack:
		s.freeRun(now, r, "missing from the list")
	case r.phase == runUnanswered && clock > r.startBy+clockSlack && !r.stopping:
		r.vm.lostStarts = append(r.vm.lostStarts, r)
		s.freeRun(now, r, "did not start in time")
	case r.phase == runUnanswered && r.stopping && r.stopClock > 0 && clock > r.stopClock:
		r.vm.lostStarts = append(r.vm.lostStarts, r)
		s.freeRun(now, r, "stopped before it began")
	}
}
