package emulator

import "lavenderpond/core/job"

// addLongTasks makes a random share of the job's tasks long, in scenarios that have such tasks.
func (w *World) addLongTasks(t *trackedJob, sc Scenario) {
	if sc.LongTaskShare == 0 {
		return
	}
	t.longTasks = map[job.TaskID]bool{}
	for step := range t.Body.Steps {
		for i := range t.Body.Steps[step].Count {
			if w.chance(sc.LongTaskShare) {
				t.longTasks[job.TaskID{Job: t.ID, Step: step, Index: i}] = true
			}
		}
	}
}

// hasLongTask reports whether a task of the step is long.
func (t *trackedJob) hasLongTask(step int) bool {
	for id := range t.longTasks {
		if id.Step == step {
			return true
		}
	}
	return false
}
