package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// chooseExhaustively picks the best VM by examining all VMs of the pool.
func chooseExhaustively(a *assignment, p placement) *vmState {
	var best *vmState
	for _, v := range a.vms {
		fits := p.step.def.Reservation().FitsIn(v.freeCapacity())
		if !fits || (v.yielding && !p.job.longRunning) || !p.step.eligible(p.id.StepID(), v) || !p.step.approval.permits(a.now, v) || !a.s.usable(a.now, v) {
			continue
		}
		if best == nil || a.cost(p, v) < a.cost(p, best) {
			best = v
		}
	}
	return best
}

func randomVM(rng *rand.Rand, i int) *vmState {
	sizes := []int64{8000, 16000, 32000}
	v := &vmState{
		id: job.VMID(fmt.Sprintf("vm-%02d", i)), zone: job.ZoneName(rune('a' + i%3)), rack: job.Label(fmt.Sprintf("r%d", i/4)),
		capacity: job.Resources{CPU: sizes[rng.IntN(3)], MemMB: 16000}, labels: map[job.Label]bool{}, listed: true, reported: true,
		vacating: rng.IntN(6) == 0, yielding: rng.IntN(6) == 0, longRunningRuns: rng.IntN(2), servingRuns: rng.IntN(2), spareCPURuns: rng.IntN(2),
	}
	v.clock.Observe(1, startTime)
	v.used = job.Resources{CPU: rng.Int64N(v.capacity.CPU + 1), MemMB: rng.Int64N(v.capacity.MemMB)}
	if rng.IntN(4) == 0 {
		v.capacity = v.capacity.Sub(job.Resources{CPU: rng.Int64N(v.capacity.CPU + 1), MemMB: rng.Int64N(v.capacity.MemMB)})
	}
	if rng.IntN(3) == 0 {
		v.labels["fast"] = true
	}
	if rng.IntN(8) == 0 {
		v.suspectUntil = startTime.Add(1)
	}
	return v
}

func randomStep(rng *rand.Rand) job.Step {
	st := job.Step{Count: 1, Resources: job.Resources{CPU: 100 + rng.Int64N(12000), MemMB: rng.Int64N(8000)}}
	switch rng.IntN(6) {
	case 0:
		st.LongRunning = true
	case 1:
		st.SpareCPU = true
	case 2:
		st.TailLatencyTarget = 1
	case 3:
		st.Requires = "fast"
	case 4:
		st.PreferredRack = "r1"
	}
	return st
}

// Guards against an index that skips the best VM, or the only one with room.
func TestChooseVMMatchesExhaustiveSearch(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for round := range 400 {
		var vms []*vmState
		for i := range 1 + rng.IntN(30) {
			vms = append(vms, randomVM(rng, i))
		}
		a := &assignment{s: New(Settings{}), now: startTime, poolQueue: &poolQueue{vms: vms}, index: newVMIndex(vms, job.Resources{})}
		for range 40 {
			def := randomStep(rng)
			p := placement{job: &jobState{zone: "b", longRunning: def.LongRunning}, step: &stepState{def: &def}, task: &taskState{}}
			p.job.possibleVMs.Set(vms[0].id, 1)
			want := chooseExhaustively(a, p)
			n := a.chooseVM(p)
			if want == nil {
				assert.Equal(t, n, -1, "round %d", round)
				continue
			}
			assert.Assert(t, n >= 0, "round %d: no VM chosen, but %s has room", round, want.id)
			got := a.index.vms[n].vm
			assert.Equal(t, a.cost(p, got), a.cost(p, want), "round %d", round)
			got.used = got.used.Add(def.Reservation())
			a.index.reposition(n)
		}
	}
}
