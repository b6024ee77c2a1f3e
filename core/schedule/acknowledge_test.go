package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// newEnd returns the end of the run that c started.
func newEnd(number int64, c Start, how job.Ending) job.End {
	return job.End{Number: number, Task: c.Order.Task, Attempt: c.Order.Attempt, How: how}
}

// acknowledgedAt returns the highest end number that the holds among the commands acknowledge
// to the VM, or 0.
func acknowledgedAt(commands []Command, vm job.VMID) int64 {
	acknowledged := int64(0)
	for _, c := range commandsOfType[Hold](commands) {
		if c.VM == vm {
			acknowledged = max(acknowledged, c.Order.Noted)
		}
	}
	return acknowledged
}

// confirmedStarts returns the n starts of the next round, all of them confirmed.
func (h *harness) confirmedStarts(n int) []Start {
	h.t.Helper()
	starts := commandsOfType[Start](h.advance(0))
	assert.Equal(h.t, len(starts), n)
	for _, c := range starts {
		h.confirm(c)
	}
	return starts
}

// checkAcknowledgedOnceStored checks that the VM's first end is acknowledged once the save is
// stored, and not before.
func (h *harness) checkAcknowledgedOnceStored(vm job.VMID, save Save) {
	h.t.Helper()
	for range 20 {
		assert.Equal(h.t, acknowledgedAt(h.roundWithoutStoring(100*time.Millisecond), vm), int64(0))
	}
	h.store(save)
	h.answerHold(string(vm), nil)
	assert.Equal(h.t, acknowledgedAt(h.roundWithoutStoring(100*time.Millisecond), vm), int64(1))
}

// Guards against a VM that deletes a task's end while the stored job still counts as running.
// The job fails, and its save is in flight when a VM reports the end of another task of the
// job.
func TestEndOfFailedJobIsAcknowledgedOnceFailureIsStored(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one", "two")
	h.addJob("j", "free", job.Step{Count: 2, Resources: job.Resources{CPU: 5000, MemMB: 100}, Estimate: time.Second})
	starts := h.confirmedStarts(2)
	bad, good := starts[0], starts[1]
	h.answerHold(string(bad.VM), nil, newEnd(1, bad, job.EndedFailed))
	bad = onlyCommand[Start](h, h.advance(100*time.Millisecond))
	h.confirm(bad)
	h.answerHold(string(bad.VM), nil, newEnd(2, bad, job.EndedFailed))
	failure := onlyCommand[Save](h, h.roundWithoutStoring(100*time.Millisecond))
	assert.Equal(t, failure.Progress.State, job.Failed)
	h.answerHold(string(good.VM), nil, newEnd(1, good, job.EndedDone))
	h.checkAcknowledgedOnceStored(good.VM, failure)
}

// Guards against VMs that delete the ends of a gang before they are stored. The first end
// counts for all members, so the end of another member must wait for the same save.
func TestGangEndsAreAcknowledgedOnceGangIsStoredAsDone(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one", "two")
	h.addJob("j", "free", job.Step{Count: 2, Resources: job.Resources{CPU: 5000, MemMB: 100}, Estimate: time.Second, Gang: true})
	starts := h.confirmedStarts(2)
	first, second := starts[0], starts[1]
	h.answerHold(string(first.VM), nil, newEnd(1, first, job.EndedDone))
	done := onlyCommand[Save](h, h.roundWithoutStoring(time.Second))
	h.answerHold(string(second.VM), nil, newEnd(1, second, job.EndedDone))
	h.checkAcknowledgedOnceStored(second.VM, done)
}

// Guards against a restarted VM that deletes ends that nobody has read. A hold that was sent
// before the owner knew of the restart would acknowledge ends by their numbers before it, and
// the restarted VM numbers its ends from 1 again.
func TestHoldToSilentVMAcknowledgesNoEnd(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.addJob("j", "free", smallStep)
	start := onlyCommand[Start](h, h.advance(0))
	h.confirm(start)
	h.answerHold("one", nil, newEnd(1, start, job.EndedDone))
	h.answerHold("one", nil)
	assert.Equal(t, acknowledgedAt(h.advance(100*time.Millisecond), "one"), int64(1))
	h.s.HoldAnswered(h.now, Hold{VM: "one"}, Unanswered, job.Report{})
	sent := 0
	for range 20 {
		for _, c := range commandsOfType[Hold](h.advance(100 * time.Millisecond)) {
			sent++
			assert.Equal(t, c.Order.Noted, int64(0))
			h.s.HoldAnswered(h.now, c, Unanswered, job.Report{})
		}
	}
	assert.Assert(t, sent > 0)
}
