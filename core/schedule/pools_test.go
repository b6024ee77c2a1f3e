package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

const poolB = job.PoolName("b")

// newPoolsHarness returns a harness with two queues that have a pool each, and whose machines
// may move.
func newPoolsHarness(t testing.TB) *harness {
	h := newHarness(t)
	c := &job.Configuration{
		Version: 2,
		Queues: []job.Queue{
			{Name: "qa", Pool: poolA, MaxAttempts: 2, Stretch: 1.6, LatencyAllowance: time.Second},
			{Name: "qb", Pool: poolB, MaxAttempts: 2, Stretch: 1.6, LatencyAllowance: time.Second},
		},
		Pools:    []job.Pool{{Name: poolA}, {Name: poolB}},
		Accounts: []job.Account{{Name: "free"}},
	}
	c.Index()
	h.s.Configure(c)
	return h
}

// listVMs lists VMs of a pool in the directory.
func (h *harness) listVMs(pool job.PoolName, ids ...string) {
	for _, id := range ids {
		h.s.VMListed(h.now, job.VMRecord{
			ID: job.VMID(id), Pool: pool, Address: id, Capacity: job.Resources{CPU: 8000, MemMB: 8000},
			Machine: job.MachineID("m-" + id), Born: 1, Zone: "z",
		})
	}
}

// listMachines lists one machine for each VM.
func (h *harness) listMachines() {
	var ids []string
	for id := range h.s.vms.All() {
		ids = append(ids, string(id))
	}
	h.listMachinesOf(ids...)
}

// listMachinesOf lists the machines of the given VMs.
func (h *harness) listMachinesOf(ids ...string) {
	var list []job.Machine
	for _, n := range ids {
		id := job.VMID(n)
		v := h.s.vms.Get(id)
		list = append(list, job.Machine{
			ID: job.MachineID("m-" + n), Pool: v.pool, State: job.MachineUp, Zone: "z", Capacity: v.capacity, VM: id,
		})
	}
	h.s.MachinesListed(h.now, list)
}

// addJobTo submits a job to a queue.
func (h *harness) addJobTo(queue job.QueueName, id string, steps ...job.Step) {
	h.s.AddJob(h.now, h.jobOf(queue, id, steps...), nil, false)
}

func (h *harness) jobOf(queue job.QueueName, id string, steps ...job.Step) job.Job {
	q := h.s.config.Queue(queue)
	j := job.Job{ID: job.ID(id), Body: job.Body{Spec: "x", Steps: steps}}
	j.Terms = job.Terms{Queue: queue, Pool: q.Pool, Account: "free", MaxAttempts: 2, Stretch: q.Stretch, LatencyAllowance: q.LatencyAllowance}
	return j
}

// movesOf groups the moved machines by destination pool.
func movesOf(commands []Command) map[job.PoolName][]job.MachineID {
	out := map[job.PoolName][]job.MachineID{}
	for _, m := range commandsOfType[Move](commands) {
		out[m.Pool] = append(out[m.Pool], m.Machine)
	}
	return out
}

// Guards against moving machines to a pool for a job that can't start. After a takeover while
// a zone is cut off, a wide job may still run there and must not start again until that is
// known. If its demand counted, the idle machines would stand unused in its pool while the
// callers of the queue that bursts wait for them.
func TestJobThatCannotStartTakesNoMachines(t *testing.T) {
	h := newPoolsHarness(t)
	wide := job.Step{Count: 40, Resources: job.Resources{CPU: 2000, MemMB: 100}, Estimate: 2 * time.Second}
	h.s.AddInheritedVM(RosterVM{ID: "far", Address: "far", Pool: poolB, Born: 1})
	h.s.AddJob(h.now, h.jobOf("qb", "cut", wide), &job.Progress{State: job.Running, VMs: []job.VMID{"far"}}, true)
	h.listVMs(poolA, "a1")
	h.listVMs(poolB, "b1", "b2", "b3", "b4", "far")
	h.advance(0)
	for _, id := range []string{"a1", "b1", "b2", "b3", "b4"} {
		h.answerHold(id, nil)
	}
	h.listMachines()
	h.addJobTo("qa", "burst", wide)
	moves := movesOf(h.advance(firstReportGrace + 200*time.Millisecond))
	assert.Equal(t, len(moves[poolB]), 0)
	assert.Assert(t, len(moves[poolA]) >= 3, "%v", moves)
}

// Guards against a pool with spare capacity whose machines never become idle because a little
// runs on each of its VMs. When another pool is short, the next steps of its jobs must share a
// VM, so that the other VM becomes idle and its machine moves immediately.
func TestVMIsVacatedForPoolWithShortfall(t *testing.T) {
	h := newPoolsHarness(t)
	h.listVMs(poolA, "a1")
	h.listVMs(poolB, "b1", "b2")
	h.advance(0)
	for _, id := range []string{"a1", "b1", "b2"} {
		h.answerHold(id, nil)
	}
	h.listMachines()
	h.advance(30 * time.Millisecond)
	first := job.Step{Count: 1, Resources: job.Resources{CPU: 1000, MemMB: 5000}, Estimate: time.Second}
	next := job.Step{Count: 1, Resources: job.Resources{CPU: 1000, MemMB: 100}, Estimate: time.Second, After: []int{0}}
	h.addJobTo("qb", "j1", first, next)
	h.addJobTo("qb", "j2", first, next)
	starts := commandsOfType[Start](h.advance(0))
	assert.Equal(t, len(starts), 2)
	for _, c := range starts {
		h.confirm(c)
	}
	// The two ran on different VMs, since neither VM has the memory for both.
	assert.Assert(t, starts[0].VM != starts[1].VM)
	h.now = h.now.Add(2 * time.Second)
	h.addJobTo("qa", "burst", job.Step{Count: 60, Resources: job.Resources{CPU: 2000, MemMB: 100}, Estimate: 2 * time.Second})
	h.advance(sizingInterval)
	var nextVMs []job.VMID
	moved := 0
	for i, c := range starts {
		h.answerHold(string(c.VM), nil, job.End{Number: 1, Task: c.Order.Task, Attempt: c.Order.Attempt, How: job.EndedDone})
		commands := h.advance(sizingInterval)
		for _, n := range commandsOfType[Start](commands) {
			if h.s.jobs.Get(n.Order.Task.Job).Terms.Pool == poolB {
				nextVMs = append(nextVMs, n.VM)
				h.confirm(n)
			}
		}
		moved += len(commandsOfType[Move](commands))
		assert.Equal(t, len(nextVMs), i+1, fmt.Sprint(commands))
	}
	moved += len(commandsOfType[Move](h.advance(sizingInterval)))
	assert.Equal(t, nextVMs[0], nextVMs[1], "next steps run on different VMs")
	assert.Equal(t, moved, 1, "want one machine moved to the pool that bursts")
}
