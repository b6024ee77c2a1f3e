package emulator

import (
	"fmt"
	"slices"
	"time"

	"lavenderpond/core/job"
)

// Periods and bounds of the emulated VMs.
const (
	leaseMax     = 6 * time.Second
	taskStop     = 400 * time.Millisecond
	startup      = 700 * time.Millisecond
	upkeepPeriod = 2 * time.Second
	movePeriod   = 1500 * time.Millisecond
	vmCPU        = 32000
	vmMemMB      = 65536
)

// machine is a machine; each of its lives is a vm.
type machine struct {
	id    job.MachineID
	pool  job.PoolName
	zone  job.ZoneName
	rack  job.Label
	state job.MachineState
	life  *vm
	// shrinks is set if its lives shrink and grow, unguarded if they start what doesn't
	// fit.
	shrinks, unguarded bool
	// fence is the highest that an order carried, holder who sent it.
	fence    job.Fence
	holder   string
	lastFrom time.Time
}

// vm is one life of a VM.
type vm struct {
	w       *World
	id      job.VMID
	machine *machine
	pool    job.PoolName
	born    time.Time
	rate    float64
	up      bool
	listed  bool
	drains  bool
	fence   job.Fence
	lease   job.VMClock
	// rooms are those it has had, the present one last.
	rooms  []roomSince
	runs   []*vmRun
	ended  []job.End
	number int64
	// endedAt is when each end came; lapsed is when the lease was last over.
	endedAt map[int64]time.Time
	lapsed  time.Time
	// barred is the highest attempt of each task that was stopped or has ended here.
	barred map[job.TaskID]job.Attempt
	// slow multiplies run times, failing makes all that starts fail.
	slow    float64
	failing bool
	hanging bool
}

type vmRun struct {
	task    job.TaskID
	attempt job.Attempt
	began   time.Time
	// takes is how long it runs; 0 if it stands still or lasts.
	takes   time.Duration
	fails   bool
	room    job.Resources
	lasting bool
	stops   bool
	// startedBy is who ordered it.
	startedBy string
}

func (v *vm) clock() job.VMClock {
	return job.VMClock(float64(v.w.now.Sub(v.born).Milliseconds()) * v.rate)
}

func (v *vm) used() job.Resources {
	var sum job.Resources
	for _, r := range v.runs {
		sum = sum.Add(r.room)
	}
	return sum
}

// newLife puts a new VM on a machine, under a new ID or the one given.
func (w *World) newLife(m *machine, id job.VMID) *vm {
	if id == "" {
		w.nextVM++
		id = job.VMID(fmt.Sprintf("vm-%04d", w.nextVM))
	}
	v := &vm{
		w: w, id: id, machine: m, pool: m.pool, born: w.now, rate: 1 - 0.02*w.rng.Float64(), up: true, listed: true,
		barred: map[job.TaskID]job.Attempt{}, slow: 1, endedAt: map[int64]time.Time{}, rooms: []roomSince{{fullRoom, w.now}},
	}
	if m.shrinks {
		v.resizeSoon()
	}
	m.life, m.state = v, job.MachineUp
	w.vms[id] = v
	w.order = append(w.order, v)
	w.after(w.between(50*time.Millisecond, 300*time.Millisecond), func() { w.table.putVM(v) })
	w.watchLease(v)
	return v
}

// watchLease ends what runs when the lease is over.
func (w *World) watchLease(v *vm) {
	if !v.up {
		return
	}
	if v.clock() > v.lease {
		v.lapsed = w.now
	}
	if len(v.runs) > 0 && v.clock() > v.lease {
		for _, r := range slices.Clone(v.runs) {
			v.end(r, job.EndedLeaseExpired)
		}
	}
	w.after(10*time.Millisecond, func() { w.watchLease(v) })
}

// end ends a run and lists it.
func (v *vm) end(r *vmRun, how job.Ending) {
	v.runs = slices.DeleteFunc(v.runs, func(o *vmRun) bool { return o == r })
	v.number++
	v.endedAt[v.number] = v.w.now
	v.ended = append(v.ended, job.End{Number: v.number, Task: r.task, Attempt: r.attempt, How: how})
	v.barred[r.task] = max(v.barred[r.task], r.attempt)
	v.w.judge.ended(v, r, how)
}

// die ends the life; all that ran is gone without a trace.
func (v *vm) die() {
	if !v.up {
		return
	}
	v.up = false
	for _, r := range v.runs {
		v.w.judge.gone(v, r)
	}
	v.runs = nil
}

// extend takes a deadline that any order carried.
func (v *vm) extend(deadline job.VMClock) {
	limit := v.clock() + job.VMClock(leaseMax.Milliseconds())
	v.lease = max(v.lease, min(deadline, limit))
}

func (v *vm) report(refused job.Refusal) job.Report {
	return job.Report{Clock: v.clock(), Refused: refused}
}

// canNotBar tells whether this life began after an order was sent and no owner that knows of
// it has held it yet: it has seen no higher fence, and its clock is behind all deadlines.
func (v *vm) canNotBar(f job.Fence, sent time.Time) bool { return v.born.After(sent) && v.fence <= f }

func (v *vm) fenced(f job.Fence) bool {
	if f < v.fence {
		return true
	}
	v.fence = f
	return false
}

func (v *vm) start(o job.StartOrder, from string) job.Report {
	if v.fenced(o.Fence) {
		return v.report(job.RefusedStaleFence)
	}
	for _, r := range v.runs {
		if r.task == o.Task && r.attempt == o.Attempt {
			v.extend(o.Deadline)
			return v.report(job.NotRefused)
		}
	}
	if o.Deadline < v.clock() {
		return v.report(job.RefusedLate)
	}
	v.extend(o.Deadline)
	if v.barred[o.Task] >= o.Attempt {
		return v.report(job.RefusedStaleAttempt)
	}
	t := v.w.jobs[o.Task.Job]
	step := &t.Body.Steps[o.Task.Step]
	if !v.fits(step.Reservation()) {
		return v.report(job.RefusedCapacity)
	}
	r := &vmRun{
		task: o.Task, attempt: o.Attempt, began: v.w.now, room: step.Reservation(), lasting: step.LongRunning, startedBy: from,
		fails: v.failing || t.poison || o.Task == t.failing || v.w.chance(t.errorShare),
	}
	v.runs = append(v.runs, r)
	v.w.judge.started(v, r)
	work := t.runTime(o.Task)
	switch r.task {
	case t.crashing:
		v.crashSoon(r, work)
		return v.report(job.NotRefused)
	case t.failing:
		// All its attempts may fail before its siblings are done.
		work = v.w.between(work/10, work)
	}
	v.schedule(r, work)
	return v.report(job.NotRefused)
}

// schedule ends the run when its work is done.
func (v *vm) schedule(r *vmRun, work time.Duration) {
	if v.hanging {
		return
	}
	if r.fails {
		work /= 2
	}
	if r.lasting && !r.fails {
		return
	}
	r.takes = time.Duration(float64(work) * v.slow)
	v.w.after(r.takes, func() {
		if !v.up || !slices.Contains(v.runs, r) {
			return
		}
		how := job.EndedDone
		if r.fails {
			how = job.EndedFailed
		}
		v.end(r, how)
	})
}

// percent is how far the run has come; a lasting one is at work after its startup.
func (r *vmRun) percent(now time.Time) int {
	ran := now.Sub(r.began)
	switch {
	case r.lasting && ran >= startup:
		return 100
	case r.lasting, r.takes <= 0:
		return 0
	}
	return int(min(99, 100*ran/r.takes))
}

func (v *vm) stop(t job.TaskID, a job.Attempt, f job.Fence) job.Report {
	if v.fenced(f) {
		return v.report(job.RefusedStaleFence)
	}
	v.barred[t] = max(v.barred[t], a)
	for _, r := range v.runs {
		if r.task == t && r.attempt <= a && !r.stops {
			r.stops = true
			v.w.judge.stopping(v, r)
			v.w.after(v.w.between(taskStop/4, taskStop), func() {
				if v.up && slices.Contains(v.runs, r) {
					v.end(r, job.EndedStopped)
				}
			})
		}
	}
	return v.report(job.NotRefused)
}

// hold answers once there is an end to report or the wait is over.
func (v *vm) hold(o job.HoldOrder, answer func(job.Report)) {
	if v.fenced(o.Fence) {
		answer(v.report(job.RefusedStaleFence))
		return
	}
	if o.Deadline > 0 {
		v.extend(o.Deadline)
	}
	v.ended = slices.DeleteFunc(v.ended, func(e job.End) bool {
		if e.Number <= o.Noted {
			v.w.judge.noted(v, e, v.endedAt[e.Number])
			return true
		}
		return false
	})
	v.awaitEnd(v.w.now.Add(o.Wait), answer)
}

func (v *vm) awaitEnd(until time.Time, answer func(job.Report)) {
	if !v.up {
		return
	}
	if len(v.ended) == 0 && v.w.now.Before(until) {
		v.w.after(5*time.Millisecond, func() { v.awaitEnd(until, answer) })
		return
	}
	r := v.report(job.NotRefused)
	r.Born = job.Born(v.born.UnixMilli())
	r.Lists = true
	r.Finished = slices.Clone(v.ended)
	for _, x := range v.runs {
		r.Running = append(r.Running, job.RunningTask{Task: x.task, Attempt: x.attempt, Percent: x.percent(v.w.now)})
	}
	answer(r)
}
