package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// Guards against acknowledging an end before all earlier ends are stored: a VM deletes them
// together with it. The second end, of an unknown job, needs no save itself.
func TestNoEndIsAcknowledgedBeforeEarlierEndsAreStored(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.addJob("j", "free", smallStep)
	start := onlyCommand[Start](h, h.advance(0))
	h.confirm(start)
	unknown := job.End{Number: 2, Task: job.TaskID{Job: "unknown"}, How: job.EndedDone}
	h.answerHold("one", nil, newEnd(1, start, job.EndedDone), unknown)
	save := onlyCommand[Save](h, h.roundWithoutStoring(time.Second))
	h.answerHold("one", nil, newEnd(1, start, job.EndedDone), unknown)
	assert.Equal(t, acknowledgedAt(h.roundWithoutStoring(time.Second), "one"), int64(0))
	h.store(save)
	h.answerHold("one", nil)
	assert.Equal(t, acknowledgedAt(h.roundWithoutStoring(time.Second), "one"), int64(2))
}

// Guards against acknowledging an end because the save of an earlier end is stored.
func TestStoredSaveAcknowledgesOnlyItsOwnEnd(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.addJob("j", "free", smallStep)
	h.addJob("k", "free", smallStep)
	starts := commandsOfType[Start](h.advance(0))
	assert.Equal(t, len(starts), 2)
	var saves []Save
	for i, c := range starts {
		h.confirm(c)
		h.answerHold("one", nil, newEnd(int64(i+1), c, job.EndedDone))
		saves = append(saves, onlyCommand[Save](h, h.roundWithoutStoring(time.Millisecond)))
	}
	for i, c := range saves {
		h.store(c)
		h.answerHold("one", nil)
		assert.Equal(t, acknowledgedAt(h.roundWithoutStoring(time.Second), "one"), int64(i+1))
	}
}

// Guards against end numbers that are kept across a restart of the VM, which numbers its ends
// from 1 again. The new ends would be skipped, or deleted before anyone has seen them.
func TestRestartResetsEndNumbers(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.addJob("j", "free", smallStep)
	h.addJob("k", "free", smallStep)
	starts := h.confirmedStarts(2)
	h.answerHold("one", nil, newEnd(1, starts[0], job.EndedDone))
	h.advance(0)
	h.answerHold("one", nil, newEnd(2, starts[1], job.EndedDone))
	unstored := onlyCommand[Save](h, h.roundWithoutStoring(time.Second))
	restartedReport := func(clock job.VMClock, ended ...job.End) {
		h.s.HoldAnswered(h.now, Hold{VM: "one"}, Answered, job.Report{Clock: clock, Born: 2, Lists: true, Finished: ended})
	}
	restartedReport(10)
	h.s.VMListed(h.now, entryOf("one", 8000, 2))
	h.store(unstored)
	hold := onlyCommand[Hold](h, h.advance(100*time.Millisecond))
	assert.Equal(t, hold.Order.Noted, int64(0))
	h.addJob("l", "free", smallStep)
	next := onlyCommand[Start](h, h.advance(time.Millisecond))
	h.s.StartAnswered(h.now, next, Answered, job.Report{Clock: 30, Born: 2})
	restartedReport(1000, newEnd(1, next, job.EndedDone))
	assert.Equal(t, onlyCommand[Save](h, h.roundWithoutStoring(time.Second)).Progress.State, job.Completed)
}
