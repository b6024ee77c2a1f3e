package straggler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"lavenderpond/core/straggler"
)

// Guards against verdicts that change unnoticed: the probability that the VM is at fault, for
// queues with and without a heavy tail and each number of other runs.
func TestVMFault(t *testing.T) {
	out := "tail  others: slow usual  fault\n"
	for _, tail := range []float64{0, 0.001, 0.03} {
		for slow := range 3 {
			for usual := range 4 {
				e := straggler.Evidence{TailShare: tail, RunningTailShare: 6 * tail, OtherSlow: slow, OtherUsual: usual}
				out += fmt.Sprintf("%.3f         %d     %d      %.3f\n", tail, slow, usual, e.VMFault())
			}
		}
	}
	golden.Assert(t, out, "vm_fault.txt")
}

// Guards against a stalled run that is taken for a long task and waited for, whatever the VM's
// other runs show.
func TestRunBeyondTailIsAtFault(t *testing.T) {
	e := straggler.Evidence{TailShare: 0.03, RunningTailShare: 0.2, OtherUsual: 5, BeyondTail: true}
	assert.Equal(t, e.VMFault(), 1.0)
}

// Guards against waiting for a VM that has become slow: a long task is slow from its beginning.
func TestRunThatSlowedDownShowsSlowVM(t *testing.T) {
	e := straggler.Evidence{TailShare: 0.03, RunningTailShare: 0.2}
	assert.Assert(t, e.VMFault() < straggler.FaultProbability)
	e.SlowedDown = true
	assert.Assert(t, e.VMFault() > straggler.FaultProbability)
}

// Guards against stopping a long task, which takes as long elsewhere, and against leaving a task
// on a slow VM.
func TestStopOnlyIfNewRunEndsSooner(t *testing.T) {
	r := straggler.Run{Usual: time.Second, Total: 7 * time.Second, Remaining: 6500 * time.Millisecond, Stop: 900 * time.Millisecond}
	assert.Assert(t, !r.StopEndsSooner(0.05))
	assert.Assert(t, r.StopEndsSooner(0.95))
	r.Remaining = 2 * time.Second
	assert.Assert(t, !r.StopEndsSooner(0.95))
}
