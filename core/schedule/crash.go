package schedule

import (
	"fmt"
	"slices"
	"time"

	"lavenderpond/core/job"
)

const (
	// maxCrashes is how many VMs may crash under a task before it is given up.
	maxCrashes = 4
	// maxCrashesAsSoleSuspect is the limit for crashes that only the task can have caused, of at least
	// minCrashesToJudge in all. A VM may also crash by itself under a task that runs alone, but hardly twice.
	maxCrashesAsSoleSuspect = 2
	minCrashesToJudge       = 3
	// maxCrashesBeforeIsolation is how many VMs may crash under a task before it runs alone.
	maxCrashesBeforeIsolation = 2
	// maxCrashesAtStart is the limit for VMs that were found silent within
	// startCrashWindow of the task's start. The short window excludes tasks that merely
	// ran beside the one at fault.
	maxCrashesAtStart = 2
	startCrashWindow  = 100 * time.Millisecond
	// separationPeriod is how long after its VM's crash a task waits for a VM that runs no
	// other task under which a VM crashed.
	separationPeriod = 2 * time.Second
	// isolationWait is how long a task that must run alone waits for a VM without any run that may
	// crash it.
	isolationWait = 4 * time.Second
	// stableAfter is how long a run must last to show that its task doesn't crash VMs.
	stableAfter = 5 * time.Second
)

// crashes counts the VMs that crashed under a task. Its zero value means none.
type crashes struct {
	attempts []job.Attempt
	// confirmed counts the crashes under runs that the VM had confirmed to this owner. Of
	// these, atStart counts those within startCrashWindow of the start, and soleSuspect
	// those for which no other run on the VM could be the cause.
	confirmed, atStart, soleSuspect int
}

func (c crashes) any() bool { return len(c.attempts) > 0 }

// String returns the counts as text.
func (c crashes) String() string {
	return fmt.Sprintf("%d VM crashes, %d under confirmed runs, %d at task start, %d as sole suspect", len(c.attempts), c.confirmed, c.atStart, c.soleSuspect)
}

// limitReached reports whether the task must not start any more.
func (c crashes) limitReached() bool {
	isCause := len(c.attempts) >= minCrashesToJudge && c.soleSuspect >= maxCrashesAsSoleSuspect
	return isCause || c.atStart >= maxCrashesAtStart || len(c.attempts) >= maxCrashes
}

// needsIsolation reports whether the task runs without others on its VM, so that nothing else can be the
// cause of the next crash, and the next crash of another task's VM doesn't count against it.
func (c crashes) needsIsolation() bool { return len(c.attempts) >= maxCrashesBeforeIsolation }

// countCrash counts a VM's crash against the task of a run that is not released yet. A
// run that may not have begun counts too, since the VM may have crashed before it
// answered. A stable run has shown that its task doesn't crash VMs.
func (s *Scheduler) countCrash(now time.Time, r *run) {
	j, _, st, t := s.task(r.task)
	if t == nil || t.done || j.over() || r.stable() || r.vm.draining || slices.Contains(t.crashes.attempts, r.attempt) {
		return
	}
	t.crashes.attempts = append(t.crashes.attempts, r.attempt)
	if r.phase == runConfirmed {
		t.crashes.addConfirmed(r)
	}
	st.update(t)
	t.separateUntil = now.Add(separationPeriod)
	if t.crashes.needsIsolation() {
		t.separateUntil = now.Add(isolationWait)
	}
	s.markDirty(j)
	s.reportDecision(Decision{
		Kind: TaskLostVM, Job: j.ID, Task: r.task, Attempt: r.attempt, VM: r.vm.id,
		Reason: t.crashes.String(),
	})
	if t.crashes.limitReached() {
		s.giveUp(now, j, r)
	}
}

// addConfirmed counts a crash under a run that the VM had confirmed.
func (c *crashes) addConfirmed(r *run) {
	c.confirmed++
	if r.crashedAtStart() {
		c.atStart++
	}
	if r.isSoleSuspect() {
		c.soleSuspect++
	}
}

// giveUp ends a job because one of its tasks must not start any more. A long-running job
// continues with its remaining tasks.
func (s *Scheduler) giveUp(now time.Time, j *jobState, r *run) {
	s.reportDecision(Decision{Kind: TaskGivenUp, Job: j.ID, Task: r.task, Reason: "VMs crashed under it"})
	if !j.longRunning || j.noTaskCanRun() {
		s.finish(now, j, job.Failed)
	}
}

// givenUp reports whether the task must not start any more and has no run left.
func (t *taskState) givenUp() bool { return t.crashes.limitReached() && len(t.runs) == 0 }

// noTaskCanRun reports whether no task of the job can run any more.
func (j *jobState) noTaskCanRun() bool {
	for _, o := range j.occurrences {
		for i := range o.steps {
			for _, t := range o.steps[i].live {
				if !t.done && !t.crashes.limitReached() {
					return false
				}
			}
			if o.steps[i].newTasks() > 0 {
				return false
			}
		}
	}
	return j.nextOccurrence >= j.Body.OccurrenceCount()
}

// setCrashKind sets what the crashes under the run's task mean for other tasks on the VM. It is called before
// the run is added to the VM.
func (r *run) setCrashKind(t *taskState) {
	r.crashSuspect, r.isolated = t.crashes.any(), t.crashes.needsIsolation()
}

// crashedAtStart reports whether the run had only just begun when its VM crashed. The
// crash came before the VM was found silent.
func (r *run) crashedAtStart() bool {
	return !r.adopted && r.vm.silent && r.vm.silentSince.Sub(r.orderedAt) <= startCrashWindow
}

// isSoleSuspect reports whether nothing else on the VM can have caused the crash.
func (r *run) isSoleSuspect() bool {
	for _, other := range r.vm.runs.All() {
		if other != r && other.phase != runPlanned && !other.stable() {
			return false
		}
	}
	return !slices.ContainsFunc(r.vm.expiredRuns, func(other *run) bool { return other != r && !other.stable() })
}

// stable reports whether the run had already lasted for stableAfter when its VM last reported
// it.
func (r *run) stable() bool {
	return r.phase == runConfirmed && r.confirmedClock >= r.stableClock
}

// stableClockAfter returns when a run that began at the given reading of its VM's clock is stable.
func stableClockAfter(clock job.VMClock) job.VMClock {
	return clock + job.VMClock(stableAfter.Milliseconds())
}

// recordStability stores when the run is stable if VMs have crashed under its task. The next owner
// can't see how long the run has lasted.
func (s *Scheduler) recordStability(r *run) {
	j, _, _, t := s.task(r.task)
	if t == nil || j.over() || !t.crashes.any() {
		return
	}
	r.recorded = true
	s.markDirty(j)
}

// clearCrashes resets the crash counts of a task whose run is stable.
func (s *Scheduler) clearCrashes(r *run) {
	j, _, _, t := s.task(r.task)
	if t == nil || !t.crashes.any() || !r.stable() {
		return
	}
	t.crashes = crashes{}
	r.vm.adjustKindCounts(r, -1)
	r.crashSuspect, r.isolated = false, false
	r.vm.adjustKindCounts(r, 1)
	s.markDirty(j)
}

// mustBeSeparate reports whether a task under which a VM crashed must avoid this VM because
// another task under which a VM crashed runs there. Keeping them apart shows which of them
// is at fault if a VM crashes.
func (t *taskState) mustBeSeparate(now time.Time, v *vmState) bool {
	if !t.crashes.any() || !now.Before(t.separateUntil) {
		return false
	}
	return v.crashSuspects > 0 || (t.crashes.needsIsolation() && v.anyUnstable())
}

// anyUnstable reports whether a run on the VM may still crash it.
func (v *vmState) anyUnstable() bool {
	for _, r := range v.runs.All() {
		if !r.stable() {
			return true
		}
	}
	return false
}

// crashCost keeps tasks that have lost VMs apart from each other, and from other tasks
// that would be lost with their next VM.
func crashCost(t *taskState, v *vmState) float64 {
	switch {
	case t.crashes.any():
		return costSuspect*float64(v.crashSuspects) + costCrashRisk*(1-v.freeFraction())
	case v.crashSuspects > 0:
		return costCrashRisk
	}
	return 0
}
