package schedule

import (
	"slices"
	"time"

	"lavenderpond/core/job"
)

// endsListed is how many ends a VM lists at a time.
const endsListed = 500

// takeLists takes in a VM's lists of ends and of what runs.
func (s *Scheduler) takeLists(now time.Time, v *vmState, r job.Report) {
	for _, e := range r.Finished {
		if e.Number > v.seen {
			s.takeEnd(now, v, e)
		}
	}
	// A look may overtake a hold: what runs is taken from the newest list only.
	if r.Clock < v.listClock {
		return
	}
	v.listClock = r.Clock
	v.lists++
	for i := range r.Running {
		s.takeRunning(now, v, r.Clock, &r.Running[i])
	}
	if len(r.Finished) >= endsListed {
		// A run that isn't on the list may have ended behind those that are.
		return
	}
	for _, x := range v.runs.All() {
		if x.list != v.lists {
			s.takeMissing(now, x, r.Clock)
		}
	}
}

// takeEnd takes in the end of a run. It is noted at the VM, which then forgets it, only
// once all that is known of its job is stored. That holds for an end that changes nothing
// as well: what makes it redundant may not be stored yet.
func (s *Scheduler) takeEnd(now time.Time, v *vmState, e job.End) {
	v.seen = e.Number
	if !s.applyEnd(now, v, e) {
		s.tellRedundant(v, e)
	}
	save := s.saveSequenceOf(e.Task.Job)
	if save <= s.storedSequence && len(v.unsure) == 0 {
		v.noted = e.Number
		return
	}
	v.unsure = append(v.unsure, unsavedEnd{number: e.Number, save: save})
}

// tellRedundant logs an end that decides nothing any more, though it would have if it had
// come first.
func (s *Scheduler) tellRedundant(v *vmState, e job.End) {
	j, _, st, t := s.task(e.Task)
	if j == nil || st.def.Lasting || (e.How != job.EndedDone && e.How != job.EndedFailed) {
		return
	}
	why := "already counted"
	switch {
	case j.over():
		why = "job is " + j.state.String()
	case t.done:
		why = "task is done"
	}
	s.decided(Decision{What: EndRedundant, Job: j.ID, Task: e.Task, Attempt: e.Attempt, VM: v.id, Reason: why})
}

// applyEnd applies an end to its task and tells whether it must be stored.
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
	s.decided(Decision{
		What: TaskEnded, Job: j.ID, Task: e.Task, Attempt: e.Attempt, VM: v.id, Reason: e.How.String(),
		Age: ranFor, After: now.Sub(j.arrived),
	})
	if e.Checkpoint != "" {
		t.saved = e.Checkpoint
	}
	if j.over() {
		s.forgetClosed()
		return false
	}
	switch {
	case e.How == job.EndedDone && !st.def.Lasting:
		return s.taskDone(now, j, o, st, t, v, ranFor)
	case e.How == job.EndedFailed:
		if !st.def.Lasting {
			s.judgeFailure(now, v)
		}
		return s.taskFailed(now, j, st, t, e, v)
	}
	return false
}

// wholly tells whether this owner has seen all of the run's work: one that went on
// from a checkpoint or under a former owner has done a part before.
func (r *run) wholly() bool { return !r.resumed && !r.adopted }

// ranFor returns how long the run took, or 0 if that isn't known of all of it.
func (r *run) ranFor(now time.Time) time.Duration {
	switch {
	case !r.wholly():
		return 0
	case r.confirmedAt.IsZero():
		return now.Sub(r.orderedAt)
	}
	return now.Sub(r.confirmedAt)
}

// taskDone takes in that a task has ended well.
func (s *Scheduler) taskDone(now time.Time, j *jobState, o *occurrence, st *stepState, t *taskState, v *vmState, ranFor time.Duration) bool {
	if t.done {
		return false
	}
	s.judgeSuccess(v)
	if ranFor > 0 {
		s.learnRunTime(j, ranFor)
		st.took = append(st.took, ranFor)
	}
	if st.def.Gang {
		for i := range st.tasks {
			st.tasks[i].done = true
		}
		st.done = len(st.tasks)
	} else {
		t.done = true
		st.done++
	}
	st.recount()
	j.ratedAt = time.Time{}
	s.markDirty(j)
	for _, other := range slices.Clone(t.runs) {
		s.stop(now, other, "another run is done")
	}
	if !st.complete() {
		return true
	}
	s.learnStep(j, st)
	o.done++
	if o.done < len(o.steps) {
		return true
	}
	j.doneCount++
	if j.doneCount == len(j.occurrences) {
		s.finish(now, j, job.Completed)
	}
	return true
}

// taskFailed takes in that a run has failed.
func (s *Scheduler) taskFailed(now time.Time, j *jobState, st *stepState, t *taskState, e job.End, v *vmState) bool {
	t.shunned = v.id
	t.notBefore = now.Add(failurePause)
	if st.def.Lasting {
		t.notBefore = now
		return false
	}
	if slices.Contains(t.failed, e.Attempt) {
		return false
	}
	if st.def.Gang {
		// A gang fails as one: one count stands for all members.
		t = &st.tasks[0]
		if slices.Contains(t.failed, e.Attempt) {
			return false
		}
	}
	t.failed = append(t.failed, e.Attempt)
	s.markDirty(j)
	if len(t.failed) >= s.maxAttempts(j) {
		s.finish(now, j, job.Failed)
	}
	return true
}

// failurePause keeps a task whose run has failed from starting again before a
// VM that fails all that it starts is known as such.
const failurePause = 50 * time.Millisecond

// takeRunning takes in one entry of the list of what runs.
func (s *Scheduler) takeRunning(now time.Time, v *vmState, clock job.VMClock, e *job.RunningTask) {
	r := v.runs.Get(runKey{e.Task, e.Attempt})
	if r != nil && r.unseen() {
		s.release(now, r)
		r = nil
	}
	if r == nil {
		s.foundRun(now, v, clock, e)
		return
	}
	r.list = v.lists
	if r.phase != runConfirmed {
		s.confirm(now, r, clock)
	}
	r.confirmedClock = max(r.confirmedClock, clock)
	r.percent, r.load, r.listedAt = e.Percent, e.Load, now
	if e.Checkpoint != "" {
		if _, _, _, t := s.task(e.Task); t != nil {
			t.saved = e.Checkpoint
		}
	}
	s.seeAtWork(r)
	s.clearCrashes(r)
	s.watchPace(now, r)
}

// seeAtWork notes whether a lasting task is at work.
func (s *Scheduler) seeAtWork(r *run) {
	_, _, st, t := s.task(r.task)
	if t == nil || !st.def.Lasting {
		return
	}
	if r.percent >= 100 && !r.stopping {
		t.awaySince = time.Time{}
	}
}

// foundRun takes in a run that this owner hasn't ordered: one of a former
// owner, or one that is not wanted any more.
func (s *Scheduler) foundRun(now time.Time, v *vmState, clock job.VMClock, e *job.RunningTask) {
	j, _, st, t := s.task(e.Task)
	r := &run{
		task: e.Task, attempt: e.Attempt, vm: v, phase: runConfirmed, confirmedClock: clock,
		orderedAt: now, confirmedAt: now, percent: e.Percent, load: e.Load,
		pace: 100, adopted: true, stray: j == nil, list: v.lists,
	}
	if j != nil {
		r.claim, r.cost, r.account = st.def.Claim(), st.def.Room, j.Terms.Account
		r.setKind(st.def)
	}
	wanted := j != nil && !j.over() && !t.done && (t.live() == nil || st.def.Speculative)
	s.addRun(r, st, t)
	s.decided(Decision{What: TaskFound, Job: e.Task.Job, Task: e.Task, Attempt: e.Attempt, VM: v.id})
	if !wanted {
		s.stop(now, r, "not wanted")
		return
	}
	t.attempt = max(t.attempt, e.Attempt)
	if st.def.Gang {
		st.gangAttempt = max(st.gangAttempt, e.Attempt)
	}
	if e.Checkpoint != "" {
		t.saved = e.Checkpoint
	}
	s.begin(j)
	s.seeAtWork(r)
}

// takeMissing takes in that a list lacks a run, if the list is newer than all
// that could still bring the run about.
func (s *Scheduler) takeMissing(now time.Time, r *run, clock job.VMClock) {
	switch {
	case r.phase == runConfirmed && clock > r.confirmedClock+clockSlack:
		s.free(now, r, "list lacks it")
	case r.phase == runUnanswered && clock > r.startBy+clockSlack && !r.stopping:
		r.vm.lost = append(r.vm.lost, r)
		s.free(now, r, "did not start in time")
	case r.phase == runUnanswered && r.stopping && r.stopClock > 0 && clock > r.stopClock:
		r.vm.lost = append(r.vm.lost, r)
		s.free(now, r, "stopped before it began")
	}
}
