package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// roundWithoutStoring runs one round and stores none of its saves, as if the table were slow.
func (h *harness) roundWithoutStoring(d time.Duration) []Command {
	h.now = h.now.Add(d)
	h.s.Tick(h.now)
	h.s.Assign(h.now, h.now)
	return h.s.TakeCommands()
}

// firstEnd returns the successful end of the run that c started, numbered as its VM's first.
func firstEnd(c Start) job.End {
	return job.End{Number: 1, Task: c.Order.Task, Attempt: c.Order.Attempt, How: job.EndedDone}
}

// Guards against a transaction before each step of a job, which takes 0.3 s while the table is
// slow. When the first task is stored as started on one VM of a rack, a second step must start
// on the rack's other VM without another save.
func TestAllVMsOfARackAreStoredTogether(t *testing.T) {
	h := newHarness(t)
	for _, id := range []string{"one", "two"} {
		h.s.VMListed(h.now, job.VMRecord{
			ID: job.VMID(id), Pool: poolA, Address: id, Capacity: job.Resources{CPU: 8000, MemMB: 8000},
			Machine: job.MachineID("m-" + id), Born: 1, Labels: []job.Label{"r1-1"},
		})
	}
	h.advance(0)
	h.answerHold("one", nil)
	h.answerHold("two", nil)
	h.advance(30 * time.Millisecond)
	wide := smallStep
	wide.Resources.CPU = 8000
	second := wide
	second.After = []int{0}
	h.addJob("j", "free", wide, second)
	h.addJob("k", "free", wide)
	first := commandsOfType[Start](h.advance(10 * time.Millisecond))
	assert.Equal(t, len(first), 2, "want both jobs started, each on its own VM")
	for _, c := range first {
		h.confirm(c)
	}
	h.advance(0)
	mine, other := first[0], first[1]
	if mine.Order.Task.Job == "k" {
		mine, other = other, mine
	}
	// Both tasks end, and the VM of the first step takes no more tasks.
	h.answerHold(string(mine.VM), nil, firstEnd(mine))
	h.answerHold(string(other.VM), nil, firstEnd(other))
	h.s.vms.Get(mine.VM).draining = true
	next := onlyCommand[Start](h, h.roundWithoutStoring(10*time.Millisecond))
	assert.Equal(t, next.VM, other.VM)
	assert.Equal(t, next.Order.Task, job.TaskID{Job: "j", Step: 1})
}
