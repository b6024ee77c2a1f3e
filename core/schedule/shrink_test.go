package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// shrinkingFleet simulates a few VMs whose capacity changes while they run tasks, and which
// stop answering at times.
type shrinkingFleet struct {
	*harness
	rng              *rand.Rand
	enforcesCapacity bool
	vms              []*shrinkingVM
	steps            map[job.ID]job.Step
	events           []shrinkingEvent
}

// shrinkingEvent is an event that is due later.
type shrinkingEvent struct {
	at  time.Time
	run func()
}

type shrinkingVM struct {
	id string
	// cpu is the VM's capacity, reportedCPU the capacity that the scheduler was last told.
	cpu, reportedCPU int64
	silent           bool
	lease            job.VMClock
	runs             []*shrinkingRun
	// unansweredStarts are starts that got no answer but may still be executed.
	unansweredStarts []*shrinkingRun
	barredAttempts   map[job.TaskID]job.Attempt
	ended            []job.End
	lastEnd          int64
}

type shrinkingRun struct {
	task     job.TaskID
	attempt  job.Attempt
	cpu      int64
	deadline job.VMClock
}

// after schedules an event in d.
func (f *shrinkingFleet) after(d time.Duration, run func()) {
	f.events = append(f.events, shrinkingEvent{f.now.Add(d), run})
}

// between returns a duration in milliseconds from least to below most.
func (f *shrinkingFleet) between(least, most int) time.Duration {
	return time.Duration(least+f.rng.IntN(most-least)) * time.Millisecond
}

func (f *shrinkingFleet) vm(id job.VMID) *shrinkingVM {
	return f.vms[slices.IndexFunc(f.vms, func(v *shrinkingVM) bool { return v.id == string(id) })]
}

// used returns the CPU of all tasks that run on the VM or may still begin there.
func (v *shrinkingVM) used(clock job.VMClock) int64 {
	sum := int64(0)
	for _, r := range v.runs {
		sum += r.cpu
	}
	for _, r := range v.unansweredStarts {
		if v.mayBegin(r, clock) {
			sum += r.cpu
		}
	}
	return sum
}

func (v *shrinkingVM) mayBegin(r *shrinkingRun, clock job.VMClock) bool {
	return clock <= r.deadline && v.barredAttempts[r.task] < r.attempt
}

// begin starts a task, which ends after a while unless it is a long-running task.
func (f *shrinkingFleet) begin(v *shrinkingVM, r *shrinkingRun) {
	v.runs = append(v.runs, r)
	v.lease = max(v.lease, r.deadline)
	if !f.steps[r.task.Job].LongRunning {
		f.after(f.between(50, 1500), func() { v.end(r, job.EndedDone) })
	}
}

func (v *shrinkingVM) end(r *shrinkingRun, how job.Ending) {
	i := slices.Index(v.runs, r)
	if i < 0 {
		return
	}
	v.runs = slices.Delete(v.runs, i, i+1)
	v.lastEnd++
	v.ended = append(v.ended, job.End{Number: v.lastEnd, Task: r.task, Attempt: r.attempt, How: how})
	v.barredAttempts[r.task] = max(v.barredAttempts[r.task], r.attempt)
}

// expireLease ends all runs once the VM's lease has expired.
func (f *shrinkingFleet) expireLease(v *shrinkingVM) {
	if f.clock() <= v.lease {
		return
	}
	for _, r := range slices.Clone(v.runs) {
		v.end(r, job.EndedLeaseExpired)
	}
}

func (f *shrinkingFleet) report() job.Report { return job.Report{Clock: f.clock(), Born: 1} }

// start executes a start, and asserts that it fits.
func (f *shrinkingFleet) start(c Start) {
	v := f.vm(c.VM)
	r := &shrinkingRun{c.Order.Task, c.Order.Attempt, f.steps[c.Order.Task.Job].Resources.CPU, c.Order.Deadline}
	used := v.used(f.clock())
	assert.Assert(f.t, used+r.cpu <= v.reportedCPU, "%v on %s: used CPU %d plus reservation %d exceeds capacity %d", r.task, v.id, used, r.cpu, v.reportedCPU)
	answer := func(outcome Outcome, rep job.Report) { f.s.StartAnswered(f.now, c, outcome, rep) }
	switch {
	case v.silent || f.rng.IntN(20) == 0:
		v.unansweredStarts = append(v.unansweredStarts, r)
		f.after(f.between(1, 900), func() {
			if v.mayBegin(r, f.clock()) {
				f.begin(v, r)
			}
			v.unansweredStarts = slices.DeleteFunc(v.unansweredStarts, func(o *shrinkingRun) bool { return o == r })
		})
		f.after(f.between(300, 1000), func() { answer(Unanswered, job.Report{}) })
	case f.enforcesCapacity && used+r.cpu > v.cpu:
		rep := f.report()
		rep.Refused = job.RefusedCapacity
		answer(Answered, rep)
	default:
		f.begin(v, r)
		answer(Answered, f.report())
	}
}

func (f *shrinkingFleet) stop(c Stop) {
	v := f.vm(c.VM)
	if v.silent {
		f.s.StopAnswered(f.now, c, Unanswered, job.Report{})
		return
	}
	v.barredAttempts[c.Task] = max(v.barredAttempts[c.Task], c.Attempt)
	for _, r := range v.runs {
		if r.task == c.Task && r.attempt <= c.Attempt {
			f.after(f.between(10, 400), func() { v.end(r, job.EndedStopped) })
		}
	}
	f.s.StopAnswered(f.now, c, Answered, f.report())
}

func (f *shrinkingFleet) hold(c Hold) {
	v := f.vm(c.VM)
	if v.silent {
		f.s.HoldAnswered(f.now, c, Unanswered, job.Report{})
		return
	}
	v.lease = max(v.lease, c.Order.Deadline)
	v.ended = slices.DeleteFunc(v.ended, func(e job.End) bool { return e.Number <= c.Order.Noted })
	rep := f.report()
	rep.Lists, rep.Finished = true, slices.Clone(v.ended)
	for _, r := range v.runs {
		rep.Running = append(rep.Running, job.RunningTask{Task: r.task, Attempt: r.attempt, Percent: 100})
	}
	f.s.HoldAnswered(f.now, c, Answered, rep)
}

// round runs one scheduling round and executes the resulting commands.
func (f *shrinkingFleet) round() {
	f.now = f.now.Add(10 * time.Millisecond)
	due := f.events
	f.events = nil
	for _, e := range due {
		if f.now.Before(e.at) {
			f.events = append(f.events, e)
			continue
		}
		e.run()
		f.execute()
	}
	for _, v := range f.vms {
		f.expireLease(v)
	}
	f.s.Tick(f.now)
	f.s.Assign(f.now, f.now)
	f.execute()
}

func (f *shrinkingFleet) execute() {
	for _, c := range f.s.TakeCommands() {
		switch c := c.(type) {
		case Start:
			f.start(c)
		case Stop:
			f.after(f.between(0, 40), func() { f.stop(c) })
		case Hold:
			f.after(f.between(0, 200), func() { f.hold(c) })
		default:
			f.after(f.between(0, 300), func() { f.store(c) })
		}
	}
}

// resize changes a VM's capacity. If VMs enforce their capacity, the scheduler may learn of
// it late.
func (f *shrinkingFleet) resize(v *shrinkingVM, cpu int64) {
	v.cpu = cpu
	tell := func() {
		v.reportedCPU = v.cpu
		f.harness.resize(v.id, v.cpu)
	}
	if !f.enforcesCapacity {
		tell()
		return
	}
	f.after(f.between(0, 1500), tell)
}

// submit adds a random job.
func (f *shrinkingFleet) submit(n int) {
	def := job.Step{Count: 1 + f.rng.IntN(4), Resources: job.Resources{CPU: 200 + f.rng.Int64N(3800)}, Estimate: time.Second}
	def.Gang, def.LongRunning = f.rng.IntN(5) == 0, f.rng.IntN(9) == 0
	id := job.ID(fmt.Sprintf("j-%d", n))
	f.steps[id] = def
	f.addJob(string(id), "free", def)
}

// makeRandomChange is called in each round. In some rounds it resizes or silences a VM, submits
// jobs or cancels one.
func (f *shrinkingFleet) makeRandomChange(round int) {
	v := f.vms[f.rng.IntN(len(f.vms))]
	switch f.rng.IntN(40) {
	case 0, 1:
		f.resize(v, f.rng.Int64N(9000))
	case 2:
		v.silent = f.rng.IntN(3) == 0
	case 3, 4, 5:
		f.submit(round)
	case 6:
		f.s.Cancel(f.now, job.ID(fmt.Sprintf("j-%d", f.rng.IntN(round+1))))
	}
}

func newShrinkingFleet(t *testing.T, seed uint64, enforcesCapacity bool) *shrinkingFleet {
	f := &shrinkingFleet{harness: newHarness(t), rng: rand.New(rand.NewPCG(seed, 1)), enforcesCapacity: enforcesCapacity, steps: map[job.ID]job.Step{}}
	for _, id := range []string{"one", "two", "three"} {
		v := &shrinkingVM{id: id, barredAttempts: map[job.TaskID]job.Attempt{}, lease: 6000}
		v.runs = []*shrinkingRun{{task: job.TaskID{Job: job.ID("former-" + id)}, attempt: 7, cpu: f.rng.Int64N(8000), deadline: 6000}}
		f.vms = append(f.vms, v)
		f.resize(v, 8000)
	}
	for n := range 4 {
		// Jobs are named after the round that submits them. Numbers below zero stand for jobs
		// from before the first round.
		f.submit(-1 - n)
	}
	return f
}

// Guards against starts beyond the capacity of a VM that shrinks and grows, and against jobs
// that don't complete once capacity is free.
func TestStartsFitShrinkingVMs(t *testing.T) {
	for seed := range uint64(80) {
		f := newShrinkingFleet(t, seed, seed%2 == 0)
		for round := range 800 {
			f.makeRandomChange(round)
			f.round()
		}
		for _, v := range f.vms {
			v.silent = false
			f.resize(v, 16000)
		}
		for id, j := range f.s.jobs.All() {
			if j.longRunning {
				f.s.Cancel(f.now, id)
			}
		}
		for end := f.now.Add(30 * time.Second); f.s.jobs.Len() > 0 && f.now.Before(end); {
			f.round()
		}
		assert.Equal(t, f.s.jobs.Len(), 0, "seed %d: jobs not ended: %v", seed, f.s.jobs.Keys())
	}
}
