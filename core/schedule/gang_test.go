package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// Guards against a gang that starts incomplete. When a VM refuses one member, the other would
// wait for it for seconds and end without it, and the job would be late. The other member
// must be stopped immediately, and the gang must restart when it has ended.
func TestIncompleteGangIsStopped(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one", "two", "three")
	gang := smallStep
	gang.Count, gang.Gang, gang.Resources.CPU = 2, true, 8000
	h.addJob("j", "free", gang)
	starts := commandsOfType[Start](h.advance(10 * time.Millisecond))
	assert.Equal(t, len(starts), 2)
	h.confirm(starts[0])
	h.s.StartAnswered(h.now, starts[1], Answered, job.Report{Clock: h.clock(), Born: 1, Refused: job.RefusedCapacity})
	stop := onlyCommand[Stop](h, h.advance(time.Millisecond))
	assert.Equal(t, stop.VM, starts[0].VM)
	assert.Equal(t, stop.Attempt, starts[0].Order.Attempt)
	c := starts[0]
	h.answerHold(string(c.VM), nil, job.End{Number: 1, Task: c.Order.Task, Attempt: c.Order.Attempt, How: job.EndedStopped})
	again := commandsOfType[Start](h.advance(time.Millisecond))
	assert.Equal(t, len(again), 2)
	assert.Assert(t, again[0].Order.Attempt > c.Order.Attempt)
	assert.Equal(t, again[0].Order.Attempt, again[1].Order.Attempt)
}
