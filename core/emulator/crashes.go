package emulator

import (
	"slices"
	"time"

	"lavenderpond/core/job"
)

const (
	// minCrashDelay and maxCrashDelay bound the time from the start of a crashing task to
	// the crash of its VM.
	minCrashDelay = time.Millisecond
	maxCrashDelay = time.Second
	// minDowntime and maxDowntime bound the time until that VM starts again.
	minDowntime = time.Second
	maxDowntime = 5 * time.Second
	// minCrashesToGiveUp is how many VMs must have crashed while they ran a task before the
	// task may be given up, which fails its job.
	minCrashesToGiveUp = 2
	// crashLimit is the number of crashes after which a crashing task may be started only
	// maxStartsAfterCrashLimit times more.
	crashLimit               = 3
	maxStartsAfterCrashLimit = 2
	// maxRestartDelay is how long a long-running task may be missing after a crash: the
	// lease of the silent VM must expire before the task is started elsewhere.
	maxRestartDelay = 8 * time.Second
)

// scheduleCrash schedules the crash of a VM by a task that runs on it. The VM does not
// crash if the run ends before. Until the crash the task reports progress like any other.
func (v *vm) scheduleCrash(r *taskRun, runTime time.Duration) {
	r.runTime = runTime
	v.w.after(v.w.randomBetween(minCrashDelay, maxCrashDelay), func() {
		if !v.up || !slices.Contains(v.runs, r) {
			return
		}
		v.w.tracef("%v crashes %s", r.task, v.id)
		downtime := v.w.randomBetween(minDowntime, maxDowntime)
		v.w.checker.disturbances.vmCrashed(v.w.now, downtime)
		v.w.crashVM(v, downtime, v.w.chance(0.5))
	})
}

// vmCrashed counts the crash of a VM for all tasks that run on it.
func (c *checker) vmCrashed(v *vm) {
	for _, r := range v.runs {
		c.crashes[r.task]++
		c.lastCrash[r.task] = c.w.now
		if c.crashes[r.task] >= minCrashesToGiveUp {
			c.mayFailFromCrashes[r.task.Job] = true
		}
	}
}

// checkStartsAfterCrashes checks that a task that crashes its VMs is not started without limit.
func (c *checker) checkStartsAfterCrashes(t *trackedJob, v *vm, r *taskRun) {
	if r.task != t.crashingTask || c.crashes[r.task] < crashLimit {
		return
	}
	c.startsAfterCrashLimit[r.task]++
	if n := c.startsAfterCrashLimit[r.task]; n == maxStartsAfterCrashLimit+1 {
		c.violationf("%v attempt %d on %s is start %d after %d VMs crashed while they ran the task", r.task, r.attempt, v.id, n, crashLimit)
	}
}

// mustFinish reports whether the job must finish or, if long-running, keep running. Jobs with
// a task that crashes its VMs may be given up.
func (t *trackedJob) mustFinish() bool { return t.crashingTask == noTask }

// taskGivenUp records that an owner has given up a task.
func (c *checker) taskGivenUp(id job.TaskID) {
	c.givenUp[id] = true
	if id != c.w.jobs[id.Job].crashingTask {
		c.w.Stats.SoundTasksGivenUp++
	}
}

// givenUpWithCause reports whether an owner has given up the task after enough crashes.
func (c *checker) givenUpWithCause(id job.TaskID) bool {
	return c.givenUp[id] && c.crashes[id] >= minCrashesToGiveUp
}

// anyLongRunningGivenUp reports whether a long-running task was given up. Its step then lacks
// the task permanently, so its disruption budget may never allow the maintenance of the
// machines that run the other tasks of the step.
func (c *checker) anyLongRunningGivenUp() bool {
	for id := range c.givenUp {
		if c.w.jobs[id.Job].Body.LongRunning() && c.givenUpWithCause(id) {
			return true
		}
	}
	return false
}

// checkLongRunning checks that all tasks of a long-running job run, except those that were
// given up.
func (c *checker) checkLongRunning(t *trackedJob) {
	for i := range t.Body.Steps[0].Count {
		id := job.TaskID{Job: t.ID, Index: i}
		if at, ok := c.lastCrash[id]; ok && c.w.now.Sub(at) < maxRestartDelay {
			continue
		}
		if len(c.running[id]) == 0 && !c.givenUpWithCause(id) && !c.lacksRoom(id) {
			c.violationf("%s.0.0.%d is long-running and does not run", t.ID, i)
		}
	}
}
