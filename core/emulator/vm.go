package emulator

import (
	"fmt"
	"slices"
	"time"

	"lavenderpond/core/job"
)

// Durations and capacity of the emulated VMs. CPU is in thousandths of a core.
const (
	defaultLeaseMax    = 6 * time.Second
	taskStopMax        = 400 * time.Millisecond
	longRunningStartup = 700 * time.Millisecond
	maintenancePeriod  = 2 * time.Second
	movePeriod         = 1500 * time.Millisecond
	vmCPU              = 32000
	vmMemMB            = 65536
)

// machine is a physical machine. It runs at most one VM at a time.
type machine struct {
	id    job.MachineID
	pool  job.PoolName
	zone  job.ZoneName
	rack  job.Label
	state job.MachineState
	vm    *vm
	// resizes is set if its VMs change their capacity while they run, ignoresCapacity if
	// they also start tasks that exceed it.
	resizes, ignoresCapacity bool
	// slowdown multiplies the run times on its VMs.
	slowdown float64
	// fence is the highest fence of any order so far, issuer the entry VM that sent the
	// last order, at lastOrderAt.
	fence       job.Fence
	issuer      string
	lastOrderAt time.Time
	// maintainedFor holds the waves for which its maintenance has begun.
	maintainedFor map[int64]bool
	// removed is set once the machine is removed for good.
	removed bool
}

// vm is one life of a VM, from its start to its crash or removal. A VM that starts again
// is another vm, possibly under the same ID.
type vm struct {
	w         *World
	id        job.VMID
	machine   *machine
	pool      job.PoolName
	startedAt time.Time
	clockRate float64
	up        bool
	listed    bool
	draining  bool
	// leavesAt is when a draining VM leaves.
	leavesAt time.Time
	// fence is the highest fence of any order so far, lease the time on the clock of the VM
	// at which its lease expires.
	fence job.Fence
	lease job.VMClock
	// capacities has all capacities so far, the current one last.
	capacities []capacityChange
	// runs are the current runs, unacknowledgedEnds the ends that no owner has acknowledged
	// yet. lastEnd is the number of the latest end.
	runs               []*taskRun
	unacknowledgedEnds []job.End
	lastEnd            int64
	// endedAt is when each end occurred, by its number. leaseExpiredAt is when the lease
	// was last found expired.
	endedAt        map[int64]time.Time
	leaseExpiredAt time.Time
	// closedAttempts is the highest attempt of each task that was stopped or has ended on
	// this VM. Start orders for it or for earlier attempts are refused.
	closedAttempts map[job.TaskID]job.Attempt
	// slowdown multiplies run times. Tasks that start while failing is set will fail; tasks
	// that start while hanging is set never end.
	slowdown float64
	failing  bool
	hanging  bool
}

// taskRun is a run of a task on a VM.
type taskRun struct {
	task      job.TaskID
	attempt   job.Attempt
	startedAt time.Time
	// runTime is the time from the start to the planned end; 0 if the run hangs or is
	// long-running and has no planned end.
	runTime time.Duration
	// fails is set if the run will end as failed.
	fails       bool
	resources   job.Resources
	longRunning bool
	// stopping is set once a stop order has arrived.
	stopping bool
	// startedBy is the entry VM that ordered the start.
	startedBy string
}

// clock returns the VM's clock, which begins at 0 with the VM and may run up to 2% slow.
func (v *vm) clock() job.VMClock {
	return job.VMClock(float64(v.w.now.Sub(v.startedAt).Milliseconds()) * v.clockRate)
}

// used returns the resources of all current runs.
func (v *vm) used() job.Resources {
	var sum job.Resources
	for _, r := range v.runs {
		sum = sum.Add(r.resources)
	}
	return sum
}

// startVM starts a VM on a machine, under the given ID or, if that is empty, a new one.
func (w *World) startVM(m *machine, id job.VMID) *vm {
	if id == "" {
		w.nextVM++
		id = job.VMID(fmt.Sprintf("vm-%04d", w.nextVM))
	}
	v := &vm{
		w: w, id: id, machine: m, pool: m.pool, startedAt: w.now, clockRate: 1 - 0.02*w.rng.Float64(), up: true, listed: true,
		closedAttempts: map[job.TaskID]job.Attempt{}, slowdown: m.slowdown, endedAt: map[int64]time.Time{}, capacities: []capacityChange{{fullCapacity, w.now}},
	}
	if m.resizes {
		v.scheduleResize()
	}
	m.vm, m.state = v, job.MachineUp
	w.vms[id] = v
	w.allVMs = append(w.allVMs, v)
	w.after(w.randomBetween(50*time.Millisecond, 300*time.Millisecond), func() { w.table.putVM(v) })
	w.enforceLease(v)
	return v
}

// enforceLease ends all running tasks once the lease has expired. It repeats while the VM is
// up.
func (w *World) enforceLease(v *vm) {
	if !v.up {
		return
	}
	if v.clock() > v.lease {
		v.leaseExpiredAt = w.now
	}
	if len(v.runs) > 0 && v.clock() > v.lease {
		for _, r := range slices.Clone(v.runs) {
			v.endRun(r, job.EndedLeaseExpired)
		}
	}
	w.after(10*time.Millisecond, func() { w.enforceLease(v) })
}

// endRun ends a run and adds its end to those to report.
func (v *vm) endRun(r *taskRun, how job.Ending) {
	v.runs = slices.DeleteFunc(v.runs, func(o *taskRun) bool { return o == r })
	v.lastEnd++
	v.endedAt[v.lastEnd] = v.w.now
	v.unacknowledgedEnds = append(v.unacknowledgedEnds, job.End{Number: v.lastEnd, Task: r.task, Attempt: r.attempt, How: how})
	v.closedAttempts[r.task] = max(v.closedAttempts[r.task], r.attempt)
	v.w.checker.taskEnded(v, r, how)
}

// terminate ends the VM. Its running tasks are lost without a report.
func (v *vm) terminate() {
	if !v.up {
		return
	}
	v.up = false
	for _, r := range v.runs {
		v.w.checker.runLost(v, r)
	}
	v.runs = nil
}

// extendLease extends the lease to the deadline of an order, at most the longest lease from now.
func (v *vm) extendLease(deadline job.VMClock) {
	limit := v.clock() + job.VMClock(v.w.leaseMax.Milliseconds())
	v.lease = max(v.lease, min(deadline, limit))
}

// newReport returns a report without lists of tasks.
func (v *vm) newReport(refused job.Refusal) job.Report {
	return job.Report{Clock: v.clock(), Refused: refused}
}

// cannotRefuseLate reports whether this VM has no means to refuse a late order: the VM
// started after the order was sent, and no owner that knows of this has sent it a hold order
// yet. So the VM has seen no higher fence, and its clock is behind all deadlines.
func (v *vm) cannotRefuseLate(f job.Fence, sent time.Time) bool {
	return v.startedAt.After(sent) && v.fence <= f
}

// rejectsFence reports whether an order with fence f is stale, and otherwise records f.
func (v *vm) rejectsFence(f job.Fence) bool {
	if f < v.fence {
		return true
	}
	v.fence = f
	return false
}

// startTask carries out a start order.
func (v *vm) startTask(o job.StartOrder, issuer string) job.Report {
	if v.rejectsFence(o.Fence) {
		return v.newReport(job.RefusedStaleFence)
	}
	for _, r := range v.runs {
		if r.task == o.Task && r.attempt == o.Attempt {
			v.extendLease(o.Deadline)
			return v.newReport(job.NotRefused)
		}
	}
	if o.Deadline < v.clock() {
		return v.newReport(job.RefusedLate)
	}
	v.extendLease(o.Deadline)
	if v.closedAttempts[o.Task] >= o.Attempt {
		return v.newReport(job.RefusedStaleAttempt)
	}
	t := v.w.jobs[o.Task.Job]
	step := &t.Body.Steps[o.Task.Step]
	if !v.fits(step.Reservation()) {
		return v.newReport(job.RefusedCapacity)
	}
	r := &taskRun{
		task: o.Task, attempt: o.Attempt, startedAt: v.w.now, resources: step.Reservation(), longRunning: step.LongRunning, startedBy: issuer,
		fails: v.failing || t.allTasksFail || o.Task == t.failingTask || v.w.chance(t.failureRate),
	}
	v.runs = append(v.runs, r)
	v.w.checker.taskStarted(v, r)
	runTime := t.runTime(o.Task)
	switch r.task {
	case t.crashingTask:
		v.scheduleCrash(r, runTime)
		return v.newReport(job.NotRefused)
	case t.failingTask:
		// Shorter runs let all attempts fail before the other tasks of the step are done.
		runTime = v.w.randomBetween(runTime/10, runTime)
	}
	v.scheduleEnd(r, runTime)
	return v.newReport(job.NotRefused)
}

// scheduleEnd schedules the end of a run. One that fails does so after half its run time;
// hanging runs and those of long-running tasks have no planned end.
func (v *vm) scheduleEnd(r *taskRun, runTime time.Duration) {
	if v.hanging {
		return
	}
	if r.fails {
		runTime /= 2
	}
	if r.longRunning && !r.fails {
		return
	}
	r.runTime = time.Duration(float64(runTime) * v.slowdown)
	v.w.after(r.runTime, func() {
		if !v.up || !slices.Contains(v.runs, r) {
			return
		}
		how := job.EndedDone
		if r.fails {
			how = job.EndedFailed
		}
		v.endRun(r, how)
	})
}

// progressPercent returns the reported progress. A long-running task reports 100 once its
// startup is over.
func (r *taskRun) progressPercent(now time.Time) int {
	ran := now.Sub(r.startedAt)
	switch {
	case r.longRunning && ran >= longRunningStartup:
		return 100
	case r.longRunning, r.runTime <= 0:
		return 0
	}
	return int(min(99, 100*ran/r.runTime))
}

// stopTask carries out a stop order. The run ends some time later, within taskStopMax.
func (v *vm) stopTask(t job.TaskID, a job.Attempt, f job.Fence) job.Report {
	if v.rejectsFence(f) {
		return v.newReport(job.RefusedStaleFence)
	}
	v.closedAttempts[t] = max(v.closedAttempts[t], a)
	for _, r := range v.runs {
		if r.task == t && r.attempt <= a && !r.stopping {
			r.stopping = true
			v.w.checker.taskStopping(v, r)
			v.w.after(v.w.randomBetween(taskStopMax/4, taskStopMax), func() {
				if v.up && slices.Contains(v.runs, r) {
					v.endRun(r, job.EndedStopped)
				}
			})
		}
	}
	return v.newReport(job.NotRefused)
}

// hold carries out a hold order: it extends the lease, forgets the ends that the owner has
// acknowledged, and answers once there is an end to report or the wait is over.
func (v *vm) hold(o job.HoldOrder, answer func(job.Report)) {
	if v.rejectsFence(o.Fence) {
		answer(v.newReport(job.RefusedStaleFence))
		return
	}
	if o.Deadline > 0 {
		v.extendLease(o.Deadline)
	}
	v.unacknowledgedEnds = slices.DeleteFunc(v.unacknowledgedEnds, func(e job.End) bool {
		if e.Number <= o.Noted {
			v.w.checker.endAcknowledged(v, e, v.endedAt[e.Number])
			return true
		}
		return false
	})
	v.awaitEnd(v.w.now.Add(o.Wait), answer)
}

// awaitEnd polls for an end to report every 5 ms.
func (v *vm) awaitEnd(until time.Time, answer func(job.Report)) {
	if !v.up {
		return
	}
	if len(v.unacknowledgedEnds) == 0 && v.w.now.Before(until) {
		v.w.after(5*time.Millisecond, func() { v.awaitEnd(until, answer) })
		return
	}
	r := v.newReport(job.NotRefused)
	r.Born = job.Born(v.startedAt.UnixMilli())
	r.Lists = true
	r.Finished = slices.Clone(v.unacknowledgedEnds)
	for _, run := range v.runs {
		r.Running = append(r.Running, job.RunningTask{Task: run.task, Attempt: run.attempt, Percent: run.progressPercent(v.w.now)})
	}
	answer(r)
}
