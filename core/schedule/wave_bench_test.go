package schedule

import (
	"fmt"
	"testing"
	"time"

	"lavenderpond/core/job"
)

// newObstructedFleetHarness returns a harness with a pool of VMs that are full of long-running tasks, and a
// wave none of whose machines can be emptied.
func newObstructedFleetHarness(t testing.TB, vms, inWave int) *harness {
	h := newHarness(t)
	wave := job.Wave{Number: 1, Revision: 1, MaxConcurrent: 4}
	var machines []job.Machine
	for i := range vms {
		vm := fmt.Sprintf("vm-%04d", i)
		h.listVM(vm)
		machines = append(machines, job.Machine{ID: job.MachineID("m-" + vm), Pool: poolA, State: job.MachineUp, VM: job.VMID(vm)})
		if i < inWave {
			wave.Machines = append(wave.Machines, job.MachineID("m-"+vm))
		}
	}
	h.advance(0)
	for _, v := range h.s.vms.All() {
		h.answerHold(string(v.id), nil)
	}
	h.s.MachinesListed(h.now, machines)
	h.advance(30 * time.Millisecond)
	h.addJob("lasting", "free", job.Step{
		Count: 3 * vms, MaxPerVM: 3, LongRunning: true, HasDisruptionBudget: true, DisruptionBudget: 2, Resources: job.Resources{CPU: 2500, MemMB: 100},
	})
	running := map[job.VMID][]job.RunningTask{}
	for range 20 {
		for _, c := range commandsOfType[Start](h.advance(10 * time.Millisecond)) {
			h.confirm(c)
			running[c.VM] = append(running[c.VM], runningTask(c, 100))
		}
	}
	for id, tasks := range running {
		h.answerHold(string(id), tasks)
	}
	h.s.AddWave(h.now, wave, job.WaveProgress{})
	h.advance(10 * time.Millisecond)
	return h
}

// BenchmarkObstructedWave measures a round while no machine of a wave can be emptied.
func BenchmarkObstructedWave(b *testing.B) {
	for _, vms := range []int{50, 300, 1000} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			h := newObstructedFleetHarness(b, vms, vms/3)
			for b.Loop() {
				h.now = h.now.Add(20 * time.Millisecond)
				h.s.Tick(h.now)
				h.s.TakeCommands()
			}
		})
	}
}
