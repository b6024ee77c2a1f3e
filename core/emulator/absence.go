package emulator

import (
	"time"

	"lavenderpond/core/job"
)

const (
	// maxAbsence is how long a long-running task may be without a run in a fleet that has been
	// undisturbed for undisturbedPeriod and has room for the task.
	maxAbsence = 9 * time.Second
	// roomPeriod is for how long a VM must have room for a task whose absence counts.
	roomPeriod = 3 * time.Second
	// undisturbedPeriod is how long after the last disturbance absences may exceed maxAbsence.
	undisturbedPeriod = contactPeriod + ownerReactionTime
	// ownerReactionTime is how long an owner that is in contact with the table may take to start
	// tasks that a disturbance has ended.
	ownerReactionTime = 7 * time.Second
	// absenceCheckInterval is the time between two checks of all absences.
	absenceCheckInterval = 50 * time.Millisecond
)

// absences records how long long-running tasks are without a run.
type absences struct {
	// since is when the last run of each task ended, reported the tasks whose present absence
	// was reported as a violation.
	since    map[job.TaskID]time.Time
	reported map[job.TaskID]bool
	// roomSince is since when some VM has room for each absent task.
	roomSince map[job.TaskID]time.Time
	// longest is the longest absence of any task, total the sum of the absences of each.
	longest time.Duration
	total   map[job.TaskID]time.Duration
}

func newAbsences() absences {
	return absences{since: map[job.TaskID]time.Time{}, reported: map[job.TaskID]bool{}, roomSince: map[job.TaskID]time.Time{}, total: map[job.TaskID]time.Duration{}}
}

// add counts an absence.
func (a *absences) add(id job.TaskID, d time.Duration) {
	a.longest = max(a.longest, d)
	a.total[id] += d
}

// mostAbsence returns the largest total of a task.
func (a *absences) mostAbsence() time.Duration {
	most := time.Duration(0)
	for _, d := range a.total {
		most = max(most, d)
	}
	return most
}

// absentSince returns since when a task has no run. A task that has never run counts from when
// its job was stored.
func (c *checker) absentSince(id job.TaskID) time.Time {
	if at, ok := c.absences.since[id]; ok {
		return at
	}
	return c.w.jobs[id.Job].storedAt
}

// absenceEnded records that a run of a long-running task starts.
func (c *checker) absenceEnded(id job.TaskID) {
	if len(c.running[id]) > 0 || !c.mustRun(id) {
		return
	}
	c.absences.add(id, c.w.now.Sub(c.absentSince(id)))
	delete(c.absences.reported, id)
	delete(c.absences.roomSince, id)
}

// mustRun reports whether a task of a long-running job must run: its job is not over, and the
// task neither fails by itself nor crashes its VMs, and was not given up.
func (c *checker) mustRun(id job.TaskID) bool {
	t := c.w.jobs[id.Job]
	over := !t.cancelledAt.IsZero() || c.states[id.Job].Final()
	faulty := t.allTasksFail || id == t.failingTask || id == t.crashingTask
	return !over && !faulty && !c.givenUpWithCause(id)
}

// absentTasks returns the long-running tasks that must run but don't, in order of submission.
func (c *checker) absentTasks() []job.TaskID {
	var out []job.TaskID
	for _, s := range c.w.table.submitted {
		if !s.job.Body.LongRunning() {
			continue
		}
		for i := range s.job.Body.Steps[0].Count {
			id := job.TaskID{Job: s.job.ID, Index: i}
			if len(c.running[id]) == 0 && c.mustRun(id) {
				out = append(out, id)
			}
		}
	}
	return out
}

// checkAbsences checks that no long-running task is absent for too long, and repeats itself.
func (w *World) checkAbsences() {
	w.after(absenceCheckInterval, w.checkAbsences)
	c := w.checker
	if w.now.Sub(c.disturbances.end()) <= undisturbedPeriod {
		return
	}
	for _, id := range c.absentTasks() {
		c.checkAbsence(id)
	}
}

// checkAbsence reports a violation if a task is absent for too long although a VM has room for
// it. An absence is reported once.
func (c *checker) checkAbsence(id job.TaskID) {
	v := c.w.vmWithRoom(id)
	if v == nil {
		delete(c.absences.roomSince, id)
		return
	}
	if c.absences.roomSince[id].IsZero() {
		c.absences.roomSince[id] = c.w.now
	}
	absent := c.w.now.Sub(c.absentSince(id))
	if absent <= maxAbsence || c.w.now.Sub(c.absences.roomSince[id]) < roomPeriod || c.absences.reported[id] {
		return
	}
	c.absences.reported[id] = true
	c.violationf("%v is long-running and has not run for %s although %s has room and the fleet was last disturbed at %.3f s", id, absent, v.id, c.disturbances.end().Sub(epoch).Seconds())
}

// vmWithRoom returns a VM that could start a task now, or nil.
func (w *World) vmWithRoom(id job.TaskID) *vm {
	t := w.jobs[id.Job]
	pool := w.config.Queue(t.Terms.Queue).Pool
	for _, m := range w.machines {
		if v := m.vm; v != nil && v.pool == pool && v.hasRoom(t, id) {
			return v
		}
	}
	return nil
}

// hasRoom reports whether the VM could start a task of the job now.
func (v *vm) hasRoom(t *trackedJob, id job.TaskID) bool {
	record, listed := v.w.table.vms[v.id]
	current := listed && record.Born == job.Born(v.startedAt.UnixMilli())
	if !v.up || !current || v.draining {
		return false
	}
	if _, evacuated := v.w.evacuated[v.machine.zone]; evacuated {
		return false
	}
	step := &t.Body.Steps[id.Step]
	return !v.reachesMaxPerVM(step, id) && step.Reservation().FitsIn(v.capacity().Sub(v.used()))
}

// reachesMaxPerVM reports whether the VM runs as many tasks of the step as it may.
func (v *vm) reachesMaxPerVM(step *job.Step, id job.TaskID) bool {
	if step.MaxPerVM == 0 {
		return false
	}
	n := 0
	for _, r := range v.runs {
		if r.task.Job == id.Job && r.task.Step == id.Step {
			n++
		}
	}
	return n >= step.MaxPerVM
}

// countAbsences adds the absences to the statistics, among them those that last to the end.
func (w *World) countAbsences() {
	c := w.checker
	for _, id := range c.absentTasks() {
		c.absences.add(id, w.now.Sub(c.absentSince(id)))
	}
	w.Stats.LongestAbsence = c.absences.longest
	w.Stats.MostAbsence = c.absences.mostAbsence()
}
