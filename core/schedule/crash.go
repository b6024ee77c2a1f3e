package schedule

import (
	"fmt"
	"slices"
	"time"

	"lavenderpond/core/job"
)

const (
	// crashesMost is how many VMs may crash under a task until it is given up.
	crashesMost = 4
	// crashesToBlame is the same if it was certainly running there, and one of the crashes
	// can only be its own doing.
	crashesToBlame = 3
	// crashesAtStartMost is the same for VMs that were found silent within crashAtStart of
	// the task's start: that tells it from tasks that only ran beside another.
	crashesAtStartMost = 2
	crashAtStart       = 100 * time.Millisecond
	// apartFor is how long a task that has lost a VM waits for one without another such
	// task, counted from the loss.
	apartFor = 2 * time.Second
	// clearedAfter is how long a run must last to show that its task crashes no VM.
	clearedAfter = 5 * time.Second
	// lapsedFor is how long it is remembered which runs were freed since their VM's lease
	// was over: the VM may turn out to have crashed.
	lapsedFor = 30 * time.Second
)

// crashes are the VMs that crashed under a task. Its zero value is none.
type crashes struct {
	attempts []job.Attempt
	// certain is how many came under a run that the VM had confirmed to this owner. Of these,
	// atStart came within crashAtStart of the start, and alone while nothing else on the
	// VM could have been the cause.
	certain, atStart, alone int
}

func (c crashes) any() bool { return len(c.attempts) > 0 }

// String tells the counts.
func (c crashes) String() string {
	return fmt.Sprintf("%d VMs lost, %d certainly, %d at its start, %d alone", len(c.attempts), c.certain, c.atStart, c.alone)
}

// tooMany tells whether the task must not start any more.
func (c crashes) tooMany() bool {
	toBlame := c.certain >= crashesToBlame && c.alone > 0
	return toBlame || c.atStart >= crashesAtStartMost || len(c.attempts) >= crashesMost
}

// crashedUnder takes in that a VM's life has ended under a run that is not released yet.
// One that may not have begun counts too: the VM may have crashed before its answer.
func (s *Scheduler) crashedUnder(now time.Time, r *run) {
	j, _, _, t := s.task(r.task)
	if t == nil || t.done || j.over() || r.vm.draining || slices.Contains(t.crashes.attempts, r.attempt) {
		return
	}
	t.crashes.attempts = append(t.crashes.attempts, r.attempt)
	if r.phase == runConfirmed {
		t.crashes.addCertain(r)
	}
	t.apartUntil = now.Add(apartFor)
	s.markDirty(j)
	s.decided(Decision{
		What: TaskLostVM, Job: j.ID, Task: r.task, Attempt: r.attempt, VM: r.vm.id,
		Reason: t.crashes.String(),
	})
	if t.crashes.tooMany() {
		s.giveUp(now, j, r)
	}
}

// addCertain counts a crash under a run that the VM had confirmed.
func (c *crashes) addCertain(r *run) {
	c.certain++
	if r.crashedAtStart() {
		c.atStart++
	}
	if r.crashedAlone() {
		c.alone++
	}
}

// giveUp ends a job of which a task must not start any more. The other tasks of a lasting
// job go on: they serve without it.
func (s *Scheduler) giveUp(now time.Time, j *jobState, r *run) {
	s.decided(Decision{What: TaskGivenUp, Job: j.ID, Task: r.task, Reason: "VMs crash under it"})
	if !j.lasting || j.nothingLeft() {
		s.finish(now, j, job.Failed)
	}
}

// nothingLeft tells whether no task of the job can run any more.
func (j *jobState) nothingLeft() bool {
	for _, o := range j.occurrences {
		for i := range o.steps {
			for t := range o.steps[i].tasks {
				if x := &o.steps[i].tasks[t]; !x.done && !x.crashes.tooMany() {
					return false
				}
			}
		}
	}
	return true
}

// crashedAtStart tells whether the run had only just begun when its VM crashed, which was
// before it was found silent.
func (r *run) crashedAtStart() bool {
	return !r.adopted && r.vm.silent && r.vm.silentSince.Sub(r.orderedAt) <= crashAtStart
}

// crashedAlone tells whether nothing else on the VM can have been the cause.
func (r *run) crashedAlone() bool {
	for _, other := range r.vm.runs.All() {
		if other != r && other.phase != runPlanned && !other.proven() {
			return false
		}
	}
	return !slices.ContainsFunc(r.vm.lapsed, func(other *run) bool { return other != r && !other.proven() })
}

// proven tells whether the run had lasted for long at its VM's last word.
func (r *run) proven() bool {
	return r.phase == runConfirmed && r.vm.answered.Sub(r.confirmedAt) >= clearedAfter
}

// crashedUnderLapsed takes in that a VM's life was over when its lease seemed to run out.
func (s *Scheduler) crashedUnderLapsed(now time.Time, v *vmState) {
	for _, r := range v.lapsed {
		s.crashedUnder(now, r)
	}
	s.forgetLapsed(v)
}

// lapse remembers a run that is freed since its VM's lease has run out.
func (s *Scheduler) lapse(now time.Time, r *run) {
	j, _, _, t := s.task(r.task)
	if t == nil || j.over() {
		return
	}
	r.vm.lapsed = append(r.vm.lapsed, r)
	r.vm.lapsedUntil = now.Add(lapsedFor)
	t.lapsed = append(t.lapsed, r)
	s.markDirty(j)
}

// forgetLapsed forgets the lapsed runs of a VM: it is known what became of them, or never
// will be.
func (s *Scheduler) forgetLapsed(v *vmState) {
	for _, r := range v.lapsed {
		j, _, st, t := s.task(r.task)
		if t == nil || j.over() {
			continue
		}
		t.lapsed = slices.DeleteFunc(t.lapsed, func(o *run) bool { return o == r })
		st.recount()
		s.markDirty(j)
	}
	v.lapsed = nil
}

// clearCrashes forgets the crashes of a task that has been running for long.
func (s *Scheduler) clearCrashes(r *run) {
	j, _, _, t := s.task(r.task)
	if t == nil || !t.crashes.any() || !r.proven() {
		return
	}
	t.crashes = crashes{}
	if r.suspect {
		r.suspect = false
		r.vm.suspects--
	}
	s.markDirty(j)
}

// mayBeTooMany tells whether the task must wait until it is known what became of the VMs
// where it lapsed: if they crashed, it must not start any more.
func (t *taskState) mayBeTooMany() bool {
	return len(t.lapsed) > 0 && len(t.crashes.attempts)+len(t.lapsed) >= crashesMost
}

// record stores a start before it is sent, if a new owner could not know of it else: it
// must count a crash that this owner doesn't live to see.
func (s *Scheduler) record(j *jobState, t *taskState, r *run) {
	if !j.takenOver && !t.crashes.any() && len(t.lapsed) == 0 {
		return
	}
	r.recorded = true
	s.markDirty(j)
	r.after = max(r.after, s.nextSave())
}

// restoreCrashes applies stored crashes.
func (j *jobState) restoreCrashes(p *job.Progress) {
	for _, c := range p.Crashed {
		if t := j.taskAt(c.Occurrence, c.Step, c.Task); t != nil {
			t.crashes = crashes{attempts: c.Attempts, certain: c.Certain, atStart: c.AtStart, alone: c.Alone}
			j.occurrences[c.Occurrence].steps[c.Step].recount()
		}
	}
}

// restoreStarts puts the recorded starts of a former owner back on their VMs.
func (s *Scheduler) restoreStarts(now time.Time, j *jobState, p *job.Progress) {
	for _, x := range p.Started {
		t, v := j.taskAt(x.Occurrence, x.Step, x.Task), s.vms.Get(x.VM)
		if t == nil || t.done || v == nil {
			continue
		}
		st := &j.occurrences[x.Occurrence].steps[x.Step]
		r := &run{
			task: job.TaskID{Job: j.ID, Occurrence: x.Occurrence, Step: x.Step, Index: x.Task}, attempt: x.Attempt, vm: v,
			phase: runUnanswered, adopted: true, recorded: true, suspect: t.crashes.any(),
			claim: st.def.Claim(), cost: st.def.Room, account: j.Terms.Account, pace: 100,
		}
		r.setKind(st.def)
		t.attempt = max(t.attempt, x.Attempt)
		switch {
		case x.Born != 0 && v.born > x.Born:
			s.crashedUnder(now, r)
		case x.Lapsed:
			s.lapse(now, r)
		default:
			s.addRun(r, st, t)
		}
	}
}

// unseen tells whether the run is known from a former owner's record only.
func (r *run) unseen() bool { return r.adopted && r.phase == runUnanswered }

// taskAt returns a task of the job, or nil.
func (j *jobState) taskAt(occurrence, step, index int) *taskState {
	if occurrence >= len(j.occurrences) || step >= len(j.Body.Steps) || index >= j.Body.Steps[step].Count {
		return nil
	}
	return &j.occurrences[occurrence].steps[step].tasks[index]
}

// addCrashes adds what must be stored of a task's crashes and recorded starts.
func (t *taskState) addCrashes(p *job.Progress, id job.TaskID) {
	if t.done {
		return
	}
	if t.crashes.any() {
		p.Crashed = append(p.Crashed, job.TaskCrashes{
			Occurrence: id.Occurrence, Step: id.Step, Task: id.Index,
			Attempts: slices.Clone(t.crashes.attempts), Certain: t.crashes.certain, AtStart: t.crashes.atStart, Alone: t.crashes.alone,
		})
	}
	for _, r := range t.runs {
		if r.recorded {
			p.Started = append(p.Started, r.start(false))
		}
	}
	for _, r := range t.lapsed {
		p.Started = append(p.Started, r.start(true))
	}
}

// start returns what is stored of the run's start.
func (r *run) start(lapsed bool) job.TaskStart {
	return job.TaskStart{
		Occurrence: r.task.Occurrence, Step: r.task.Step, Task: r.task.Index, Attempt: r.attempt,
		VM: r.vm.id, Born: r.vm.born, Lapsed: lapsed,
	}
}

// mustBeApart tells whether a task that has lost a VM has to wait for another VM than one
// with such a task: if that one crashes, it is known which of them is to blame.
func (t *taskState) mustBeApart(now time.Time, v *vmState) bool {
	return t.crashes.any() && v.suspects > 0 && now.Before(t.apartUntil)
}

// costOfCrash keeps tasks that have lost VMs away from each other and from all else that
// would be lost with their next one.
func costOfCrash(t *taskState, v *vmState) float64 {
	switch {
	case t.crashes.any():
		return costSuspects*float64(v.suspects) + costCompany*(1-v.freeShare())
	case v.suspects > 0:
		return costCompany
	}
	return 0
}
