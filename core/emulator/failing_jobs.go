package emulator

import "lavenderpond/core/job"

// noTask is the task of a job without such a task.
var noTask job.TaskID

// anyTaskExhausted tells whether all attempts of one of the job's tasks have ended failed.
func (g *checker) anyTaskExhausted(t *trackedJob) bool {
	for step := range t.Body.Steps {
		for i := range t.Body.Steps[step].Count {
			if g.failedRuns[job.TaskID{Job: t.ID, Step: step, Index: i}] >= t.Terms.MaxAttempts {
				return true
			}
		}
	}
	return false
}

// checkMaxAttempts checks that a task isn't started after all its attempts were noted as
// failed.
func (g *checker) checkMaxAttempts(t *trackedJob, r *vmRun) {
	if n := g.notedFailed[r.task]; !r.longRunning && n >= t.Terms.MaxAttempts {
		g.violationf("BUDGET: %v attempt %d starts after %d failed ones were noted", r.task, r.attempt, n)
	}
}

// addFaultyTasks gives a job its failing or crashing task, on days that have such jobs.
func (w *World) addFaultyTasks(t *trackedJob, sc Scenario) {
	if w.chance(sc.FailingShare) {
		t.failingTask = w.randomTask(t)
		t.enlargeTasks()
	}
	if w.chance(sc.CrashingShare) {
		t.crashingTask = w.randomTask(t)
	}
}

// soleTaskCPU is more than half of a VM.
const soleTaskCPU = vmCPU * 6 / 10

// enlargeTasks makes the job's tasks so wide that each runs on a VM of its own: its end is then
// noted at once, whatever else isn't stored yet.
func (t *trackedJob) enlargeTasks() {
	for i := range t.Body.Steps {
		t.Body.Steps[i].Resources.CPU = soleTaskCPU
	}
}

// randomTask draws one of the job's tasks.
func (w *World) randomTask(t *trackedJob) job.TaskID {
	step := w.rng.IntN(len(t.Body.Steps))
	return job.TaskID{Job: t.ID, Step: step, Index: w.rng.IntN(t.Body.Steps[step].Count)}
}
