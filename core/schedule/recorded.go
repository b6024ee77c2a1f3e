package schedule

import (
	"slices"
	"time"

	"lavenderpond/core/job"
)

// lapsedFor is how long it is remembered which runs were freed since their VM's lease was
// over: the VM may turn out to have crashed.
const lapsedFor = 30 * time.Second

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
	r.after = max(r.after, s.nextSaveSequence())
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
