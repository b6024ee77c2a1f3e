package emulator

import "lavenderpond/core/job"

// noTask is the task of a job without such a task.
var noTask job.TaskID

// anyTried tells whether all attempts of one of the job's tasks have ended failed.
func (g *judge) anyTried(t *truth) bool {
	for step := range t.Body.Steps {
		for i := range t.Body.Steps[step].Count {
			if g.failed[job.TaskID{Job: t.ID, Step: step, Index: i}] >= t.Terms.MaxAttempts {
				return true
			}
		}
	}
	return false
}

// checkBudget checks that a task isn't started after all its attempts were noted as
// failed.
func (g *judge) checkBudget(t *truth, r *vmRun) {
	if n := g.notedFailed[r.task]; !r.lasting && n >= t.Terms.MaxAttempts {
		g.broken("BUDGET: %v attempt %d starts after %d failed ones were noted", r.task, r.attempt, n)
	}
}

// addFlaws gives a job its failing or crashing task, on days that have such jobs.
func (w *World) addFlaws(t *truth, d Day) {
	if w.chance(d.FailingShare) {
		t.failing = w.anyTask(t)
		t.widen()
	}
	if w.chance(d.CrashingShare) {
		t.crashing = w.anyTask(t)
	}
}

// wideCPU is more than half of a VM.
const wideCPU = vmCPU * 6 / 10

// widen makes the job's tasks so wide that each runs on a VM of its own: its end is then
// noted at once, whatever else isn't stored yet.
func (t *truth) widen() {
	for i := range t.Body.Steps {
		t.Body.Steps[i].Resources.CPU = wideCPU
	}
}

// anyTask draws one of the job's tasks.
func (w *World) anyTask(t *truth) job.TaskID {
	step := w.rng.IntN(len(t.Body.Steps))
	return job.TaskID{Job: t.ID, Step: step, Index: w.rng.IntN(t.Body.Steps[step].Count)}
}
