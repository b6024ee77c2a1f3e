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

// randomFullPools is how many random pools are played, and randomPoolTime how long each.
const (
	randomFullPools = 60
	randomPoolTime  = 60 * time.Second
)

// Guards against waves in nearly full pools that keep tasks away, or leave machines that can be emptied.
func TestWavesInRandomFullPools(t *testing.T) {
	for seed := range uint64(randomFullPools) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playRandomFullPool(t, seed) })
	}
}

// playRandomFullPool plays one or two waves in a random pool in which little room is left.
func playRandomFullPool(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	p := newEmulatedPool(t, 2+rng.IntN(4))
	jobs := p.fill(rng)
	waves := 1 + rng.IntN(2)
	for n := range waves {
		wave := job.Wave{Number: int64(n + 1), Revision: 1, MaxConcurrent: 1 + rng.IntN(2)}
		for _, i := range rng.Perm(len(p.machines))[:1+rng.IntN(len(p.machines))] {
			wave.Machines = append(wave.Machines, p.machines[i])
		}
		p.s.AddWave(p.now, wave, job.WaveProgress{})
	}
	if rng.IntN(2) == 0 {
		p.refuse = rng.IntN(3)
	}
	if rng.IntN(2) == 0 {
		p.run(time.Duration(rng.IntN(4000)) * time.Millisecond)
		p.takeOver()
	}
	p.checkRoomIsUsed(randomPoolTime, jobs)

	for _, w := range p.s.waves.All() {
		p.checkEmptied(w)
	}
}

// fill adds long-running jobs until little room is left, and returns their IDs.
func (p *emulatedPool) fill(rng *rand.Rand) []string {
	var jobs []string
	left := int64(len(p.machines)) * 8000
	for n := 0; n < 8 && left > 2000; n++ {
		st := job.Step{HasDisruptionBudget: rng.IntN(3) > 0, DisruptionBudget: rng.IntN(3)}
		count, cpu := 1+rng.IntN(6), int64(500*(1+rng.IntN(9)))
		if rng.IntN(3) == 0 {
			st.MaxPerVM = 1 + rng.IntN(2)
			count = min(count, st.MaxPerVM*len(p.machines))
		}
		if int64(count)*cpu > left {
			continue
		}
		left -= int64(count) * cpu
		id := fmt.Sprintf("job-%d", n)
		p.lasting(id, count, cpu, st)
		if p.absent(id) > 0 {
			p.s.Cancel(p.now, job.ID(id))
			p.run(200 * time.Millisecond)
			left += int64(count) * cpu
			continue
		}
		jobs = append(jobs, id)
	}
	return jobs
}

// checkRoomIsUsed runs the pool for d and checks that no task is away for long while a VM has room for it.
func (p *emulatedPool) checkRoomIsUsed(d time.Duration, jobs []string) {
	p.t.Helper()
	since := map[job.TaskID]time.Time{}
	for end := p.now.Add(d); p.now.Before(end); {
		p.run(poolRound)
		for _, id := range jobs {
			for _, task := range p.absentTasks(id) {
				if p.vmWithRoom(task) == "" {
					delete(since, task)
					continue
				}
				if since[task].IsZero() {
					since[task] = p.now
				}
				assert.Assert(p.t, p.now.Sub(since[task]) < time.Second, "%v stays away although %s has room", task, p.vmWithRoom(task))
			}
			for _, task := range p.runningTasks(id) {
				delete(since, task)
			}
		}
	}
}

// runningTasks returns the tasks of a job that run, and absentTasks the others.
func (p *emulatedPool) runningTasks(id string) []job.TaskID {
	var out []job.TaskID
	for _, tasks := range p.running {
		for _, r := range tasks {
			if r.Task.Job == job.ID(id) {
				out = append(out, r.Task)
			}
		}
	}
	return out
}

func (p *emulatedPool) absentTasks(id string) []job.TaskID {
	running := p.runningTasks(id)
	var out []job.TaskID
	for i := range p.bodies[job.ID(id)].Steps[0].Count {
		if task := (job.TaskID{Job: job.ID(id), Index: i}); !slices.Contains(running, task) {
			out = append(out, task)
		}
	}
	return out
}

// vmWithRoom returns a VM that could run a task, or "".
func (p *emulatedPool) vmWithRoom(id job.TaskID) job.VMID {
	for _, m := range p.machines {
		if vm := p.vms[m]; vm != "" && p.fits(id, p.running[vm]) {
			return vm
		}
	}
	return ""
}

// fits reports whether a VM that runs the given tasks could run another.
func (p *emulatedPool) fits(id job.TaskID, running []job.RunningTask) bool {
	def := p.bodies[id.Job].Steps[id.Step]
	free, same := job.Resources{CPU: 8000, MemMB: 8000}, 0
	for _, r := range running {
		free = free.Sub(p.bodies[r.Task.Job].Steps[r.Task.Step].Resources)
		if r.Task.StepID() == id.StepID() {
			same++
		}
	}
	return def.Resources.FitsIn(free) && (def.MaxPerVM == 0 || same < def.MaxPerVM)
}

// checkEmptied checks that each machine that a wave has left out can't be emptied.
func (p *emulatedPool) checkEmptied(w *waveState) {
	for _, id := range w.Machines {
		if w.done[id] {
			continue
		}
		vm := p.vms[id]
		assert.Assert(p.t, vm != "", "%s is away", id)
		assert.Assert(p.t, p.blocked()[id] != "", "%s is neither maintained nor reported", id)
		assert.Assert(p.t, !p.canEmpty(id, p.running[vm], map[job.StepID]int{}), "%s could be emptied: %v", id, p.running)
	}
}

// canEmpty tries each way to place the tasks of a machine elsewhere, or to let them be away.
func (p *emulatedPool) canEmpty(id job.MachineID, tasks []job.RunningTask, away map[job.StepID]int) bool {
	if len(tasks) == 0 {
		return true
	}
	task := tasks[0].Task
	def := p.bodies[task.Job].Steps[task.Step]
	budget := 1
	if def.HasDisruptionBudget {
		budget = def.DisruptionBudget
	}
	if budget == 0 {
		return false
	}
	for _, m := range p.machines {
		vm := p.vms[m]
		if m == id || vm == "" || !p.fits(task, p.running[vm]) {
			continue
		}
		p.running[vm] = append(p.running[vm], tasks[0])
		empty := p.canEmpty(id, tasks[1:], away)
		p.running[vm] = p.running[vm][:len(p.running[vm])-1]
		if empty {
			return true
		}
	}
	if away[task.StepID()] >= budget {
		return false
	}
	away[task.StepID()]++
	empty := p.canEmpty(id, tasks[1:], away)
	away[task.StepID()]--
	return empty
}
