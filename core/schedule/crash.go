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
	// aloneFor is how long one whose next crash is the last waits for a VM without any
	// task that may crash it.
	aloneFor = 4 * time.Second
	// clearedAfter is how long a run must last to show that its task crashes no VM.
	clearedAfter = 5 * time.Second
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

// onTrial tells whether the task is given up with its next crash. It runs alone then, so that
// nothing else can be the cause.
func (c crashes) onTrial() bool { return len(c.attempts) >= crashesMost-1 }

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
	if t.crashes.onTrial() {
		t.apartUntil = now.Add(aloneFor)
	}
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

// clearCrashes forgets the crashes of a task that has been running for long.
func (s *Scheduler) clearCrashes(r *run) {
	j, _, _, t := s.task(r.task)
	if t == nil || !t.crashes.any() || !r.proven() {
		return
	}
	t.crashes = crashes{}
	r.vm.countKind(r, -1)
	r.suspect, r.trial = false, false
	r.vm.countKind(r, 1)
	s.markDirty(j)
}

// mustBeApart tells whether a task that has lost a VM has to wait for another VM than one
// with such a task: if that one crashes, it is known which of them is to blame.
func (t *taskState) mustBeApart(now time.Time, v *vmState) bool {
	if !t.crashes.any() || !now.Before(t.apartUntil) {
		return false
	}
	return v.suspects > 0 || (t.crashes.onTrial() && v.anyUnproven())
}

// anyUnproven tells whether a run on the VM may still crash it.
func (v *vmState) anyUnproven() bool {
	for _, r := range v.runs.All() {
		if !r.proven() {
			return true
		}
	}
	return false
}

// costOfCrash keeps tasks that have lost VMs away from each other and from all else that
// would be lost with their next one.
func costOfCrash(t *taskState, v *vmState) float64 {
	switch {
	case t.crashes.any():
		return costSuspect*float64(v.suspects) + costCrashRisk*(1-v.freeFraction())
	case v.suspects > 0:
		return costCrashRisk
	}
	return 0
}
