package emulator

import "lavenderpond/core/job"

// noTask is the failing or crashing task of a job that has none.
var noTask job.TaskID

// anyTaskExhausted reports whether all attempts of one of the job's tasks have failed.
func (c *checker) anyTaskExhausted(t *trackedJob) bool {
	for step := range t.Body.Steps {
		for i := range t.Body.Steps[step].Count {
			if c.failedRuns[job.TaskID{Job: t.ID, Step: step, Index: i}] >= t.Terms.MaxAttempts {
				return true
			}
		}
	}
	return false
}

// checkMaxAttempts checks that a task is not started after an owner has acknowledged the
// failure of all its attempts.
func (c *checker) checkMaxAttempts(t *trackedJob, r *taskRun) {
	if n := c.acknowledgedFailures[r.task]; !r.longRunning && n >= t.Terms.MaxAttempts {
		c.violationf("%v attempt %d starts after the failure of %d attempts was acknowledged", r.task, r.attempt, n)
	}
}

// addFaultyTasks gives a random share of jobs a failing or a crashing task, in scenarios that
// have such jobs.
func (w *World) addFaultyTasks(t *trackedJob, sc Scenario) {
	if w.chance(sc.FailingShare) {
		t.failingTask = w.randomTask(t)
		t.enlargeTasks()
	}
	if w.chance(sc.CrashingShare) {
		t.crashingTask = w.randomTask(t)
	}
}

// soleTaskCPU is 6/10 of the CPU of a VM, so that only one such task fits on a VM.
const soleTaskCPU = vmCPU * 6 / 10

// enlargeTasks makes the tasks of the job so large that each runs on a VM of its own. An end
// is then acknowledged immediately, even while ends of other tasks are not stored yet.
func (t *trackedJob) enlargeTasks() {
	for i := range t.Body.Steps {
		t.Body.Steps[i].Resources.CPU = soleTaskCPU
	}
}

// randomTask returns a random task of the job.
func (w *World) randomTask(t *trackedJob) job.TaskID {
	step := w.rng.IntN(len(t.Body.Steps))
	return job.TaskID{Job: t.ID, Step: step, Index: w.rng.IntN(t.Body.Steps[step].Count)}
}
