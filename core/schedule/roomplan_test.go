package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
	"lavenderpond/core/policy"
	"lavenderpond/core/room"
)

// newRoomHarness returns a harness with two pools of two VMs each, whose machines move by the
// rank of the work that waits.
func newRoomHarness(t *testing.T) *harness {
	h := newPoolsHarness(t)
	h.s.settings.Policy = policy.Policy{RankedRoom: true}
	h.listVMs(poolA, "a1", "a2")
	h.listVMs(poolB, "b1", "b2")
	h.advance(0)
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		h.answerHold(id, nil)
	}
	h.listMachines()
	h.advance(30 * time.Millisecond)
	return h
}

// fillPool starts a job of tasks that occupy both VMs of a pool, and returns the starts.
func (h *harness) fillPool(queue job.QueueName, id string) []Start {
	h.addJobTo(queue, id, job.Step{Count: 8, Resources: job.Resources{CPU: 2000, MemMB: 100}, Estimate: time.Second})
	starts := commandsOfType[Start](h.advance(0))
	for _, c := range starts {
		h.confirm(c)
	}
	return starts
}

// Guards against a pool that waits for machines while those of another pool run work whose
// results are of no use any more.
func TestUselessRunsYieldToUrgentWork(t *testing.T) {
	h := newRoomHarness(t)
	running := map[job.VMID][]job.RunningTask{}
	for _, c := range h.fillPool("qb", "useless") {
		running[c.VM] = append(running[c.VM], runningTask(c, 50))
	}
	assert.Equal(t, len(running["b1"]), 4)
	h.now = h.now.Add(20 * time.Second)
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		h.answerHold(id, running[job.VMID(id)])
	}
	h.addJobTo("qa", "urgent", job.Step{Count: 16, Resources: job.Resources{CPU: 2000, MemMB: 100}, Estimate: time.Second})
	commands := h.advance(sizingInterval)
	stops := commandsOfType[Stop](commands)
	assert.Equal(t, len(stops), 8, "%v", commands)
	for _, c := range stops {
		assert.Equal(t, c.Task.Job, job.ID("useless"))
	}
	for _, c := range stops {
		h.answerHold(string(c.VM), nil)
	}
	assert.Equal(t, len(movesOf(h.advance(sizingInterval))[poolA]), 2)
}

// Guards against stopping work that can still complete in time for the work of another pool.
func TestWorkInTimeDoesNotYield(t *testing.T) {
	h := newRoomHarness(t)
	assert.Equal(t, len(h.fillPool("qb", "running")), 8)
	h.addJobTo("qa", "urgent", job.Step{Count: 16, Resources: job.Resources{CPU: 2000, MemMB: 100}, Estimate: time.Second})
	assert.Equal(t, len(commandsOfType[Stop](h.advance(sizingInterval))), 0)
}

// yieldingVMs counts the VMs that yield.
func (h *harness) yieldingVMs() int {
	n := 0
	for _, v := range h.s.vms.All() {
		if v.yielding {
			n++
		}
	}
	return n
}

// addUseless fills a pool with a job whose result is of no use 20 s later, when the next job of
// another pool lacks room.
func (h *harness) addUseless(step job.Step) {
	h.addJobTo("qb", "useless", step)
	running := map[job.VMID][]job.RunningTask{}
	for _, c := range commandsOfType[Start](h.advance(0)) {
		h.confirm(c)
		running[c.VM] = append(running[c.VM], runningTask(c, 50))
	}
	h.now = h.now.Add(20 * time.Second)
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		h.answerHold(id, running[job.VMID(id)])
	}
}

var fillingStep = job.Step{Count: 8, Resources: job.Resources{CPU: 2000, MemMB: 100}, Estimate: time.Second}

func (h *harness) addUrgent(id string) {
	step := fillingStep
	step.Count = 16
	h.addJobTo("qa", id, step)
}

// Guards against VMs that take no tasks for ever because they yielded when the operators switched
// the policy off.
func TestYieldingEndsWithPolicy(t *testing.T) {
	h := newRoomHarness(t)
	h.addUseless(fillingStep)
	h.addUrgent("urgent")
	h.advance(sizingInterval)
	assert.Equal(t, h.yieldingVMs(), 2)
	h.s.SetPolicy(policy.Policy{})
	h.advance(sizingInterval)
	assert.Equal(t, h.yieldingVMs(), 0)
}

// Guards against VMs that take no tasks for ever because the list of machines became empty while
// they yielded.
func TestYieldingEndsWithoutMachines(t *testing.T) {
	h := newRoomHarness(t)
	h.addUseless(fillingStep)
	h.addUrgent("urgent")
	h.advance(sizingInterval)
	assert.Equal(t, h.yieldingVMs(), 2)
	h.s.MachinesListed(h.now, nil)
	h.advance(sizingInterval)
	assert.Equal(t, h.yieldingVMs(), 0)
}

// Guards against VMs that stand empty while the table is out of reach, for machines that the owner
// may not move.
func TestNothingYieldsWithoutRightToOrderMachines(t *testing.T) {
	h := newRoomHarness(t)
	h.addUseless(fillingStep)
	h.s.SetRights(Rights{StartTasks: true, ExtendLeases: true})
	h.addUrgent("urgent")
	assert.Equal(t, len(commandsOfType[Stop](h.advance(sizingInterval))), 0)
	assert.Equal(t, h.yieldingVMs(), 0)
}

// Guards against a run that is stopped and started for as long as urgent work comes and goes, so
// that its accepted job never ends.
func TestUselessRunIsStoppedSeldom(t *testing.T) {
	h := newRoomHarness(t)
	h.addUseless(fillingStep)
	stops := map[job.TaskID]int{}
	for i := range 5 {
		id := fmt.Sprint("urgent", i)
		h.addUrgent(id)
		for _, c := range commandsOfType[Stop](h.advance(sizingInterval)) {
			stops[c.Task]++
			r := h.s.vms.Get(c.VM).runs.Get(runKey{c.Task, c.Attempt})
			h.s.release(h.now, r)
		}
		h.s.Cancel(h.now, job.ID(id))
		h.s.SetPolicy(policy.Policy{})
		for _, c := range commandsOfType[Start](h.advance(time.Second)) {
			h.confirm(c)
		}
		h.s.SetPolicy(policy.Policy{RankedRoom: true})
	}
	assert.Equal(t, len(stops), 8)
	for id, n := range stops {
		assert.Assert(t, n <= maxRoomStops, "%v: %d", id, n)
	}
}

// Guards against a gang that lacks the member that was stopped for other work, and against one
// that starts on VMs that should become idle.
func TestGangsAndYielding(t *testing.T) {
	h := newRoomHarness(t)
	gang := fillingStep
	gang.Gang = true
	h.addUseless(gang)
	h.addUrgent("urgent")
	assert.Equal(t, len(commandsOfType[Stop](h.advance(sizingInterval))), 0)
	assert.Equal(t, h.yieldingVMs(), 2)
	for _, v := range h.s.vms.All() {
		for _, r := range v.runs.All() {
			if r.task.Job == "useless" {
				h.s.release(h.now, r)
			}
		}
	}
	assert.Equal(t, len(commandsOfType[Start](h.assignOnly())), 0)
}

// assignOnly plays the assignment of a round, without the other work.
func (h *harness) assignOnly() []Command {
	h.s.Assign(h.now, h.now)
	return h.s.TakeCommands()
}

// Guards against stopping a run that is of use, because its job's late limit was predicted before
// the queue's run times were known.
func TestLateLimitIsCurrentBeforeStop(t *testing.T) {
	h := newRoomHarness(t)
	h.addUseless(fillingStep)
	for range 2 * minSamples {
		h.s.learnRunTime(h.s.jobs.Get("useless"), &smallStep, time.Minute)
	}
	h.addUrgent("urgent")
	assert.Equal(t, len(commandsOfType[Stop](h.advance(sizingInterval))), 0)
}

// Guards against a pool that seems to need less than its work in time, because late runs on VMs
// that don't count as its capacity are taken off.
func TestLateRunsElsewhereAreNotTakenOff(t *testing.T) {
	h := newRoomHarness(t)
	h.addUseless(fillingStep)
	for _, r := range h.s.vms.Get("b2").runs.All() {
		h.s.release(h.now, r)
	}
	half := fillingStep
	half.Count = 4
	h.s.vms.Get("b1").draining = true
	h.addJobTo("qb", "in time", half)
	for _, c := range commandsOfType[Start](h.assignOnly()) {
		h.confirm(c)
	}
	used := h.s.vms.Get("b2").used.CPU
	assert.Equal(t, used, int64(8000))
	late := int64(0)
	for _, d := range h.s.demand(h.now) {
		late += d.lateRunning
	}
	assert.Equal(t, late, int64(0))
}

// Guards against stopping a scheduled occurrence that has begun on time, because its job arrived
// long before.
func TestScheduledOccurrenceIsNotStopped(t *testing.T) {
	h := newRoomHarness(t)
	j := h.jobOf("qb", "scheduled", fillingStep)
	j.Body.Occurrences, j.Body.FirstDue = 1, h.now.Add(19*time.Second)
	h.s.AddJob(h.now, j, nil, false)
	h.now = h.now.Add(20 * time.Second)
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		h.answerHold(id, nil)
	}
	starts := commandsOfType[Start](h.advance(0))
	assert.Equal(t, len(starts), 8)
	for _, c := range starts {
		h.confirm(c)
	}
	h.addUrgent("urgent")
	assert.Equal(t, len(commandsOfType[Stop](h.advance(sizingInterval))), 0)
}

// Guards against machines that a pool takes for urgent work although its VMs have room beside the
// long-running tasks that are kept apart.
func TestUrgentWorkSharesVMsOfLongRunningTasks(t *testing.T) {
	h := newRoomHarness(t)
	lasting := job.Step{Count: 1, Resources: job.Resources{CPU: 1000, MemMB: 100}, LongRunning: true, MaxPerVM: 1}
	h.addJobTo("qa", "lasting", lasting)
	h.advance(0)
	h.addJobTo("qa", "urgent", job.Step{Count: 1, Resources: job.Resources{CPU: 1000, MemMB: 100}, Estimate: time.Second})
	capacity := h.s.poolCapacity(h.now)
	for _, p := range h.s.roomPools(h.now, h.s.demand(h.now), &capacity) {
		assert.Assert(t, p.Urgent <= p.Have, "%+v", p)
	}
}

// Guards against a shortage that is too small to move a machine for, and keeps a pool that lacks
// room for other work from getting any.
func TestSmallShortageLeavesSizingToOthers(t *testing.T) {
	h := newRoomHarness(t)
	pools := []room.Pool{{Name: poolA, Urgent: 17_000, Total: 17_000, Have: 16_000}, {Name: poolB, Urgent: 1000, Total: 9000, Have: 16_000}}
	assert.Assert(t, room.Scarce(pools))
	assert.Assert(t, !h.s.orderRoom(h.now, pools))
}
