package schedule

import (
	"fmt"
	"slices"
	"time"

	"lavenderpond/core/job"
)

const (
	// crashesMost is how many VMs may crash under a task until its job is given up.
	crashesMost = 3
	// crashesAtStartMost is the same for VMs that were found silent within crashAtStart of
	// the task's start: that tells it from tasks that only ran beside another.
	crashesAtStartMost = 2
	crashAtStart       = 100 * time.Millisecond
	// apartFor is how long a task that has lost a VM waits for one without another such
	// task, counted from the loss.
	apartFor = 2 * time.Second
	// clearedAfter is how long a run must last to show that its task crashes no VM.
	clearedAfter = 10 * time.Second
	// lapsedFor is how long it is remembered which runs were freed since their VM's lease
	// was over: the VM may turn out to have crashed.
	lapsedFor = 30 * time.Second
)

// crashes are the VMs that crashed under a task. Its zero value is none.
type crashes struct {
	attempts []job.Attempt
	// atStart is how many came within crashAtStart of the start.
	atStart int
}

func (c crashes) any() bool { return len(c.attempts) > 0 }

// tooMany tells whether the task must not start any more.
func (c crashes) tooMany() bool {
	return len(c.attempts) >= crashesMost || c.atStart >= crashesAtStartMost
}

// crashedUnder takes in that a VM's life has ended under a run that is not released yet.
// One that may not have begun counts too: the VM may have crashed before its answer.
func (s *Scheduler) crashedUnder(now time.Time, r *run) {
	j, _, _, t := s.task(r.task)
	if t == nil || t.done || j.over() || r.vm.draining || slices.Contains(t.crashes.attempts, r.attempt) {
		return
	}
	t.crashes.attempts = append(t.crashes.attempts, r.attempt)
	if r.crashedAtStart() {
		t.crashes.atStart++
	}
	t.apartUntil = now.Add(apartFor)
	s.markDirty(j)
	s.decided(Decision{
		What: TaskLostVM, Job: j.ID, Task: r.task, Attempt: r.attempt, VM: r.vm.id,
		Reason: fmt.Sprintf("%d VMs lost, %d of them at its start", len(t.crashes.attempts), t.crashes.atStart),
	})
	if t.crashes.tooMany() {
		s.giveUp(now, j, r)
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
	return r.phase == runConfirmed && !r.adopted && r.vm.silent && r.vm.silentSince.Sub(r.orderedAt) <= crashAtStart
}

// crashedUnderLapsed takes in that a VM's life was over when its lease seemed to run out.
func (s *Scheduler) crashedUnderLapsed(now time.Time, v *vmState) {
	for _, r := range v.lapsed {
		s.crashedUnder(now, r)
	}
	v.lapsed = nil
}

// clearCrashes forgets the crashes of a task that has been running for long.
func (s *Scheduler) clearCrashes(now time.Time, r *run) {
	j, _, _, t := s.task(r.task)
	if t == nil || !t.crashes.any() || now.Sub(r.confirmedAt) < clearedAfter {
		return
	}
	t.crashes = crashes{}
	if r.suspect {
		r.suspect = false
		r.vm.suspects--
	}
	s.markDirty(j)
}

// record stores a start before it is sent, if a new owner could not know of it else: it
// must count a crash that this owner doesn't live to see.
func (s *Scheduler) record(j *jobState, t *taskState, r *run) {
	if !j.takenOver && !t.crashes.any() {
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
			t.crashes = crashes{attempts: c.Attempts, atStart: c.AtStart}
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
		if x.Born != 0 && v.born > x.Born {
			s.crashedUnder(now, r)
			continue
		}
		t.attempt = max(t.attempt, x.Attempt)
		s.addRun(r, st, t)
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
			Attempts: slices.Clone(t.crashes.attempts), AtStart: t.crashes.atStart,
		})
	}
	for _, r := range t.runs {
		if r.recorded {
			p.Started = append(p.Started, job.TaskStart{
				Occurrence: id.Occurrence, Step: id.Step, Task: id.Index, Attempt: r.attempt, VM: r.vm.id, Born: r.vm.born,
			})
		}
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
