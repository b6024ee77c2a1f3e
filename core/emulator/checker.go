package emulator

import (
	"fmt"
	"slices"
	"time"

	"lavenderpond/core/job"
)

// checker verifies the invariants of the system from what VMs, machines and callers see. Of
// the decisions of the scheduler it uses only which tasks were given up.
type checker struct {
	w          *World
	violations []string
	// lateOrderShare is the share of orders that get no answer and are delivered later.
	lateOrderShare float64
	// evacuationLimit is how long tasks may still start in an availability zone after the
	// request to evacuate it.
	evacuationLimit time.Duration
	// running are the current runs of each task.
	running map[job.TaskID][]*taskRun
	// doneAt is when each task was first done. acknowledgedDone are the tasks whose successful
	// end an owner has acknowledged.
	doneAt           map[job.TaskID]time.Time
	acknowledgedDone map[job.TaskID]bool
	// failedRuns counts the failed runs of each task, acknowledgedFailures those of them
	// whose end an owner has acknowledged.
	failedRuns, acknowledgedFailures map[job.TaskID]int
	// crashes counts the VMs that crashed while they ran each task, startsAfterCrashLimit
	// the starts of crashing tasks after crashLimit such crashes.
	crashes, startsAfterCrashLimit map[job.TaskID]int
	// lastCrash is when a VM last crashed while it ran each task.
	lastCrash map[job.TaskID]time.Time
	// givenUp are the tasks that an owner has reported as given up.
	givenUp map[job.TaskID]bool
	// mayFailFromCrashes are the jobs that may be shown as failed because of crashes.
	mayFailFromCrashes map[job.ID]bool
	// lastStart is when each task was last started.
	lastStart map[job.TaskID]time.Time
	// states are the states of jobs that callers see.
	states map[job.ID]job.State
	// inMaintenance are the machines in maintenance, each with its wave.
	inMaintenance map[job.MachineID]int64
	// waveStates are the last published states of the maintenance waves.
	waveStates map[int64]job.WaveState
	// stoppedAt is when each long-running task with a disruption budget was stopped by an
	// order. The entry is removed once the startup of its next run is over.
	stoppedAt map[job.TaskID]time.Time
	// absences are those of long-running tasks, disturbances what excuses long ones.
	absences     absences
	disturbances disturbances
}

func newChecker(w *World) *checker {
	return &checker{
		w: w, running: map[job.TaskID][]*taskRun{}, doneAt: map[job.TaskID]time.Time{},
		acknowledgedDone: map[job.TaskID]bool{}, failedRuns: map[job.TaskID]int{}, acknowledgedFailures: map[job.TaskID]int{},
		crashes: map[job.TaskID]int{}, lastCrash: map[job.TaskID]time.Time{}, startsAfterCrashLimit: map[job.TaskID]int{}, mayFailFromCrashes: map[job.ID]bool{}, givenUp: map[job.TaskID]bool{},
		states:    map[job.ID]job.State{},
		lastStart: map[job.TaskID]time.Time{}, inMaintenance: map[job.MachineID]int64{}, waveStates: map[int64]job.WaveState{}, stoppedAt: map[job.TaskID]time.Time{},
		absences: newAbsences(),
	}
}

// violationf records a violated invariant.
func (c *checker) violationf(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%7.3f s: ", c.w.Elapsed().Seconds())+fmt.Sprintf(format, args...))
}

// taskStarted checks a start: the task does not run already, and no successful end of the task
// was acknowledged; the steps before it are done; the VM, its zone and its job may take the start;
// and the account stays within its quota.
func (c *checker) taskStarted(v *vm, r *taskRun) {
	t := c.w.jobs[r.task.Job]
	step := &t.Body.Steps[r.task.Step]
	c.lastStart[r.task] = c.w.now
	if !t.mayBeStored {
		c.violationf("%v starts on %s although every submission of its job was refused", r.task, v.id)
	}
	if len(c.running[r.task]) > 0 && !step.Speculative {
		other := c.running[r.task][0]
		c.violationf("%v attempt %d starts on %s while attempt %d has been running since %.3f s", r.task, r.attempt, v.id, other.attempt, other.startedAt.Sub(epoch).Seconds())
	}
	if c.acknowledgedDone[r.task] && !step.Speculative {
		c.violationf("%v attempt %d starts on %s after an owner acknowledged the task as done", r.task, r.attempt, v.id)
	}
	c.checkMaxAttempts(t, r)
	c.checkStartsAfterCrashes(t, v, r)
	c.checkCapacity(v, r)
	if requestedAt, ok := c.w.evacuated[v.machine.zone]; ok && c.w.now.Sub(requestedAt) > c.evacuationLimit {
		c.violationf("%v starts on %s in zone %s, which has been evacuated since %.3f s", r.task, v.id, v.machine.zone, requestedAt.Sub(epoch).Seconds())
	}
	if step.LongRunning {
		c.absenceEnded(r.task)
		c.w.after(longRunningStartup, func() { c.startupDone(r) })
	}
	for _, a := range step.After {
		for i := range t.Body.Steps[a].Count {
			predecessor := job.TaskID{Job: r.task.Job, Occurrence: r.task.Occurrence, Step: a, Index: i}
			if c.doneAt[predecessor].IsZero() {
				c.violationf("%v starts before %v of an earlier step is done", r.task, predecessor)
			}
		}
	}
	if c.states[r.task.Job] == job.Completed {
		c.violationf("%v starts after its job was shown as completed", r.task)
	}
	if t.cancelledAt.IsZero() || c.w.now.Sub(t.cancelledAt) < 3*time.Second || c.lateOrderShare > 0 {
		c.running[r.task] = append(c.running[r.task], r)
		c.checkQuota(t)
		return
	}
	c.violationf("%v starts %s after its job was cancelled", r.task, c.w.now.Sub(t.cancelledAt))
	c.running[r.task] = append(c.running[r.task], r)
}

// checkQuota checks the CPU that an account uses. It tolerates a tenth of the quota plus the
// largest running task of the account above the quota.
func (c *checker) checkQuota(t *trackedJob) {
	account := c.w.config.Account(t.Terms.Account)
	if account == nil || account.Quota.CPU == 0 {
		return
	}
	used, largest := int64(0), int64(0)
	for id, runs := range c.running {
		other := c.w.jobs[id.Job]
		if other.Terms.Account != t.Terms.Account {
			continue
		}
		cpu := other.Body.Steps[id.Step].Resources.CPU
		used += cpu * int64(len(runs))
		largest = max(largest, cpu)
	}
	if used > account.Quota.CPU*11/10+largest {
		c.violationf("account %s exceeds its quota: CPU %d of %d", t.Terms.Account, used, account.Quota.CPU)
	}
}

// removeRun removes a run that is over from the current ones.
func (c *checker) removeRun(r *taskRun) {
	runs := c.running[r.task]
	for i, other := range runs {
		if other == r {
			c.running[r.task] = append(runs[:i:i], runs[i+1:]...)
		}
	}
	if len(c.running[r.task]) == 0 {
		delete(c.running, r.task)
		c.absences.since[r.task] = c.w.now
	}
}

// taskEnded records the end of a run.
func (c *checker) taskEnded(_ *vm, r *taskRun, how job.Ending) {
	c.removeRun(r)
	switch {
	case how == job.EndedDone && c.doneAt[r.task].IsZero():
		c.doneAt[r.task] = c.w.now
	case how == job.EndedFailed:
		c.failedRuns[r.task]++
	}
}

// runLost records a run that was lost with its VM. The task may be started again.
func (c *checker) runLost(_ *vm, r *taskRun) { c.removeRun(r) }

// endAcknowledged records that an owner has acknowledged an end, which occurred at ended. It
// checks that the task was not started again after that, unless the lease of its VM was found
// expired in the meantime.
func (c *checker) endAcknowledged(v *vm, e job.End, ended time.Time) {
	if e.How == job.EndedFailed {
		c.acknowledgedFailures[e.Task]++
	}
	if e.How != job.EndedDone {
		return
	}
	lastStart := c.lastStart[e.Task]
	if v.leaseExpiredAt.Before(ended) && lastStart.After(ended) && !c.w.jobs[e.Task.Job].Body.Steps[e.Task.Step].Speculative {
		c.violationf("%v was started again at %.3f s although its end on %s at %.3f s was not acknowledged yet", e.Task, lastStart.Sub(epoch).Seconds(), v.id, ended.Sub(epoch).Seconds())
	}
	c.acknowledgedDone[e.Task] = true
}

// taskStopping checks that a long-running step does not miss more tasks because of stop orders
// than its disruption budget allows. Tasks of cancelled jobs, on draining VMs or still in their
// startup do not count.
func (c *checker) taskStopping(v *vm, r *taskRun) {
	t := c.w.jobs[r.task.Job]
	step := &t.Body.Steps[r.task.Step]
	if !step.HasDisruptionBudget || !t.cancelledAt.IsZero() || v.draining || c.w.now.Sub(r.startedAt) < longRunningStartup {
		return
	}
	c.stoppedAt[r.task] = c.w.now
	others := 0
	for i := range step.Count {
		id := r.task
		id.Index = i
		_, stopped := c.stoppedAt[id]
		if i != r.task.Index && stopped {
			others++
		}
	}
	if others >= step.DisruptionBudget {
		c.violationf("%v is stopped while %d other tasks of its step are stopped; the disruption budget is %d", r.task, others, step.DisruptionBudget)
	}
}

// startupDone records that the startup of a long-running task is over. From then on the task
// no longer counts as stopped by an order.
func (c *checker) startupDone(r *taskRun) {
	if slices.Contains(c.running[r.task], r) && !r.stopping {
		delete(c.stoppedAt, r.task)
	}
}

// vmRemoved checks that a move or maintenance of a machine ends no task that was not
// ordered to stop.
func (c *checker) vmRemoved(v *vm) {
	for _, r := range v.runs {
		if !r.stopping {
			c.violationf("%v is lost: the machine of %s is taken out of service while the task runs", r.task, v.id)
		}
	}
}

// maintenanceStarted checks that not too many machines are in maintenance for a wave.
func (c *checker) maintenanceStarted(m *machine, wave int64) {
	c.inMaintenance[m.id] = wave
	n := 0
	for _, other := range c.inMaintenance {
		if other == wave {
			n++
		}
	}
	if limit := c.w.waves.maxConcurrent(wave); n > limit {
		c.violationf("%d machines are in maintenance for wave %d, the limit is %d", n, wave, limit)
	}
}

// machineReturned records that a machine is in service again.
func (c *checker) machineReturned(m *machine) { delete(c.inMaintenance, m.id) }

// wavePublished checks that the maintenance of all machines of a completed wave has begun.
func (c *checker) wavePublished(wave int64, s job.WaveState) {
	c.waveStates[wave] = s
	if s != job.WaveCompleted {
		return
	}
	for _, id := range c.notBegun(wave) {
		c.violationf("wave %d is completed, and the maintenance of %s hasn't begun", wave, id)
	}
}

// notBegun returns the machines of a wave that exist and whose maintenance for it hasn't begun.
func (c *checker) notBegun(wave int64) []job.MachineID {
	var out []job.MachineID
	for _, id := range c.w.waves.inForce(wave).Machines {
		if m := c.w.findMachine(id); m != nil && !m.maintainedFor[wave] {
			out = append(out, id)
		}
	}
	return out
}

// waveRewritten records that a wave was requested anew, and so isn't completed.
func (c *checker) waveRewritten(wave int64) { delete(c.waveStates, wave) }

// jobStatePublished checks and records the state of a job that callers see from now on.
func (c *checker) jobStatePublished(id job.ID, s job.State) {
	t := c.w.jobs[id]
	if c.states[id] == s {
		return
	}
	c.states[id] = s
	switch s {
	case job.Completed:
		t.completedAt = c.w.now
		c.w.Stats.Completed++
		if c.w.now.Sub(t.submittedAt) <= t.latencyTarget() {
			c.w.Stats.InTime++
		}
		for step := range t.Body.Steps {
			for i := range t.Body.Steps[step].Count {
				if c.doneAt[job.TaskID{Job: id, Step: step, Index: i}].IsZero() {
					c.violationf("%s is shown as completed before task %d.%d is done", id, step, i)
				}
			}
		}
	case job.Failed:
		c.w.Stats.Failed++
		if !t.allTasksFail && t.failingTask == noTask && t.crashingTask == noTask {
			c.w.Stats.GivenUp++
		}
		if !c.anyTaskExhausted(t) && !c.mayFailFromCrashes[id] {
			c.violationf("%s is shown as failed although no task has failed all attempts or may be given up", id)
		}
	case job.Cancelled:
		c.w.Stats.Cancelled++
		if t.cancelledAt.IsZero() {
			c.violationf("%s is shown as cancelled although its caller did not cancel it", id)
		}
	case job.Pending, job.Running:
	}
}
