package emulator

import (
	"math/rand/v2"
	"time"

	"lavenderpond/core/job"
)

// FullPools fills the pools with long-running tasks of different sizes. Its zero value adds none.
type FullPools struct {
	// Share is the share of each pool's CPU that the tasks reserve.
	Share float64
}

const (
	// minFillCPU and maxFillCPU bound the CPU of a task that fills a pool, maxFillTasks their number in a
	// step, and maxFillBudget its disruption budget.
	minFillCPU    = 1000
	maxFillCPU    = 12_000
	maxFillTasks  = 8
	maxFillBudget = 2
	// fillMemMB is the memory of such a task.
	fillMemMB = 500
	// maxFillJobs bounds the jobs that fill a pool.
	maxFillJobs = 40
)

// schedule schedules the submissions of the jobs that fill the pools.
func (f FullPools) schedule(w *World, sc Scenario) {
	if f.Share == 0 {
		return
	}
	rng := rand.New(rand.NewPCG(sc.Seed, 10))
	for _, queue := range []job.QueueName{"one", "two"} {
		left := int64(f.Share * float64(sc.VMsPerPool) * float64(vmCPU))
		for n := 0; n < maxFillJobs && left >= minFillCPU; n++ {
			step := randomFillStep(rng, sc.VMsPerPool)
			cpu := step.Resources.Mul(step.Count).CPU
			if cpu > left {
				continue
			}
			left -= cpu
			w.at(leadTime-3*time.Second+time.Duration(n)*50*time.Millisecond, func() { w.submitFillJob(queue, step) })
		}
	}
}

// randomFillStep returns a step of long-running tasks for a pool of n VMs.
func randomFillStep(rng *rand.Rand, n int) job.Step {
	step := job.Step{
		Count: 1 + rng.IntN(maxFillTasks), LongRunning: true,
		Resources: job.Resources{CPU: minFillCPU + rng.Int64N(maxFillCPU-minFillCPU), MemMB: fillMemMB},
	}
	if rng.IntN(4) > 0 {
		step.HasDisruptionBudget, step.DisruptionBudget = true, rng.IntN(maxFillBudget+1)
	}
	if rng.IntN(2) == 0 {
		step.MaxPerVM = 1 + rng.IntN(2)
		step.Count = min(step.Count, step.MaxPerVM*n)
	}
	return step
}

// submitFillJob submits a job of one long-running step.
func (w *World) submitFillJob(queue job.QueueName, step job.Step) {
	t := &trackedJob{submittedAt: w.now, mayBeStored: true, meanRunTime: longRunningStartup}
	t.Job = job.Job{ID: w.newJobID(), Terms: w.terms(queue, "second"), Body: job.Body{Spec: "lasting", Steps: []job.Step{step}}}
	w.jobs[t.ID] = t
	w.table.submit(t.Job)
}

// checkObstructed checks that the machines that a wave has left out can't be emptied.
func (c *checker) checkObstructed(wave int64) {
	for _, id := range c.notBegun(wave) {
		m := c.w.findMachine(id)
		if m.state != job.MachineUp || m.vm == nil {
			continue
		}
		var tasks []job.TaskID
		for _, r := range m.vm.runs {
			tasks = append(tasks, r.task)
		}
		if p := (placements{w: c.w}); p.canEmpty(m.vm, tasks) {
			c.violationf("maintenance wave %d is not completed, and %s could be emptied: %v", wave, id, tasks)
		}
	}
}

// placements tries all ways to place the tasks of a VM elsewhere. Its zero value has placed none.
type placements struct {
	w     *World
	moved []placedTask
	away  map[job.StepID]int
}

type placedTask struct {
	task job.TaskID
	to   *vm
}

// canEmpty reports whether each of the tasks has room on another VM, or may be away.
func (p *placements) canEmpty(from *vm, tasks []job.TaskID) bool {
	if len(tasks) == 0 {
		return true
	}
	id, step := tasks[0], p.w.stepOf(tasks[0])
	budget := 1
	if step.HasDisruptionBudget {
		budget = step.DisruptionBudget
	}
	if budget <= p.w.absentOf(id.StepID()) {
		return false
	}
	for _, m := range p.w.machines {
		if m.vm == nil || m.vm == from || m.vm.pool != from.pool || !p.fits(id, m.vm) {
			continue
		}
		p.moved = append(p.moved, placedTask{id, m.vm})
		if p.canEmpty(from, tasks[1:]) {
			return true
		}
		p.moved = p.moved[:len(p.moved)-1]
	}
	if p.away == nil {
		p.away = map[job.StepID]int{}
	}
	if p.away[id.StepID()]+p.w.absentOf(id.StepID()) >= budget {
		return false
	}
	p.away[id.StepID()]++
	defer func() { p.away[id.StepID()]-- }()
	return p.canEmpty(from, tasks[1:])
}

// fits reports whether a VM has room for a task beside those that were placed there.
func (p *placements) fits(id job.TaskID, v *vm) bool {
	step := p.w.stepOf(id)
	if !v.hasRoom(p.w.jobs[id.Job], id) {
		return false
	}
	free, same := v.capacity().Sub(v.used()), 0
	for _, r := range v.runs {
		if r.task.StepID() == id.StepID() {
			same++
		}
	}
	for _, x := range p.moved {
		if x.to != v {
			continue
		}
		free = free.Sub(p.w.stepOf(x.task).Reservation())
		if x.task.StepID() == id.StepID() {
			same++
		}
	}
	return step.Reservation().FitsIn(free) && (step.MaxPerVM == 0 || same < step.MaxPerVM)
}

// stepOf returns the step of a task.
func (w *World) stepOf(id job.TaskID) *job.Step { return &w.jobs[id.Job].Body.Steps[id.Step] }

// absentOf counts the tasks of a step that must run but don't.
func (w *World) absentOf(step job.StepID) int {
	n := 0
	for _, id := range w.checker.absentTasks() {
		if id.StepID() == step {
			n++
		}
	}
	return n
}

// lacksRoom reports whether no VM has room for a task of full pools.
func (c *checker) lacksRoom(id job.TaskID) bool {
	return c.w.fullPools.Share > 0 && c.w.vmWithRoom(id) == nil
}
