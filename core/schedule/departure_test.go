package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// fourCoreStep is a step of tasks two of which fill a VM.
func fourCoreStep(tasks int) job.Step {
	return job.Step{Count: tasks, Resources: job.Resources{CPU: 4000, MemMB: 100}, Estimate: 2 * time.Second}
}

// newBurstHarness returns a harness with one VM in pool A, the given number of idle VMs in pool B,
// and a job for pool A that needs the given number of tasks.
func newBurstHarness(t testing.TB, idle, tasks int) (*harness, *decisionRecorder) {
	h := newPoolsHarness(t)
	recorder := &decisionRecorder{}
	h.s.settings.Observer = recorder
	ids := []string{"a"}
	for i := range idle {
		ids = append(ids, fmt.Sprintf("b%04d", i))
	}
	h.listVMs(poolA, "a")
	h.listVMs(poolB, ids[1:]...)
	h.advance(0)
	for _, id := range ids {
		h.answerHold(id, nil)
	}
	h.listMachines()
	h.advance(2 * time.Second)
	for _, id := range ids {
		h.answerHold(id, nil)
	}
	h.addJobTo("qa", "burst", fourCoreStep(tasks))
	return h, recorder
}

// answerMoves answers moves as accepted, and lets the holds of their VMs go unanswered.
func (h *harness) answerMoves(moves []Move, outcome Outcome) {
	for _, m := range moves {
		id := h.s.machines.Get(m.Machine).VM
		h.s.MoveAnswered(h.now, m, outcome, job.MachineAccepted)
		if outcome == Answered {
			h.s.HoldAnswered(h.now, Hold{VM: id}, Unanswered, job.Report{})
		}
	}
}

// Guards against orders for machines that pile up at their service: as long as none is answered, no
// more may be in flight, whatever the number of idle machines.
func TestMovesInFlightAreLimited(t *testing.T) {
	for _, idle := range []int{200, 400} {
		h, _ := newBurstHarness(t, idle, 4*idle)
		sent := 0
		for range 10 {
			sent += len(commandsOfType[Move](h.advance(sizingInterval)))
		}
		assert.Equal(t, sent, h.s.moves.Limit(), "%d idle machines", idle)
	}
}

// Guards against orders that follow the number of idle machines: the same burst takes the same
// machines from a fleet of twice the size.
func TestMovesFollowBurst(t *testing.T) {
	var ordered []int
	for _, idle := range []int{120, 240, 480} {
		h, _ := newBurstHarness(t, idle, 12)
		n := 0
		for range 20 {
			moves := commandsOfType[Move](h.advance(sizingInterval))
			h.answerMoves(moves, Answered)
			n += len(moves)
		}
		ordered = append(ordered, n)
	}
	assert.Assert(t, ordered[0] > 0)
	assert.Equal(t, ordered[1], ordered[0])
	assert.Equal(t, ordered[2], ordered[0])
}

// Guards against VMs that leave on the owner's order and are taken for lost ones: their silence
// must neither be reported nor stored, at any number of moves.
func TestDepartingVMsAreNotLost(t *testing.T) {
	for _, tasks := range []int{8, 16, 32} {
		h, recorder := newBurstHarness(t, 100, tasks)
		commands := h.advance(sizingInterval)
		moves := commandsOfType[Move](commands)
		assert.Assert(t, len(moves) >= tasks/4, "%d moves for %d tasks", len(moves), tasks)
		assert.Equal(t, len(commandsOfType[DropVM](commands)), len(moves))
		h.answerMoves(moves, Answered)
		for range 3 {
			saves := commandsOfType[SaveVM](h.advance(leaseSaveDelay))
			assert.Equal(t, len(saves), 0)
		}
		for _, d := range recorder.decisions {
			assert.Assert(t, d.Kind != VMSilent && d.Kind != VMLeaseStored, "%+v", d)
		}
	}
}

// Guards against a lost VM that is taken for one that leaves, so that the next owner doesn't know
// what may run there.
func TestRefusedMoveKeepsVMInRoster(t *testing.T) {
	h, recorder := newBurstHarness(t, 3, 8)
	moves := commandsOfType[Move](h.advance(sizingInterval))
	assert.Assert(t, len(moves) > 0)
	h.answerMoves(moves, Unhealthy)
	saved := map[job.VMID]bool{}
	for _, c := range commandsOfType[SaveVM](h.advance(time.Millisecond)) {
		saved[c.VM.ID] = true
	}
	for _, m := range moves {
		v := h.s.vms.Get(h.s.machines.Get(m.Machine).VM)
		assert.Assert(t, saved[v.id] && !v.departing)
		h.s.HoldAnswered(h.now, Hold{VM: v.id}, Unanswered, job.Report{})
	}
	h.advance(time.Millisecond)
	silent := 0
	for _, d := range recorder.decisions {
		if d.Kind == VMSilent {
			silent++
		}
	}
	assert.Equal(t, silent, len(moves))
}

// Guards against tasks that start on a VM whose machine may still be moved: an attempt that got no answer may be executed although a later one was refused.
func TestRefusalAfterUnansweredMoveReleasesNothing(t *testing.T) {
	for _, outcome := range []Outcome{Answered, Unhealthy, NotDone} {
		h, _ := newBurstHarness(t, 3, 8)
		moves := commandsOfType[Move](h.advance(sizingInterval))
		assert.Assert(t, len(moves) > 0)
		h.answerMoves(moves, Unanswered)
		again := commandsOfType[Move](h.advance(moveRetryDelay + time.Millisecond))
		assert.DeepEqual(t, again, moves)
		for _, m := range again {
			h.s.MoveAnswered(h.now, m, outcome, job.MachineBusy)
		}
		h.advance(time.Millisecond)
		for _, m := range moves {
			x := h.s.machines.Get(m.Machine)
			assert.Equal(t, x.movingTo, m.Pool, "%v", outcome)
			assert.Assert(t, h.s.vms.Get(x.VM).cordoned())
		}
		assert.DeepEqual(t, commandsOfType[Move](h.advance(moveRetryDelay+time.Millisecond)), moves)
	}
}
