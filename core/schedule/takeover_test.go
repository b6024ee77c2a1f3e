package schedule

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a new owner that calls hundreds of VMs that are gone before those that
// are there: no task starts on a VM before it is held.
func TestListedVMsAreHeldFirst(t *testing.T) {
	h := newHarness(t)
	h.s.Inherit(RosterVM{ID: "gone", Address: "gone", Pool: poolA, Machine: "m-gone"})
	h.s.Inherit(RosterVM{ID: "there", Address: "there", Pool: poolA, Machine: "m-there"})
	h.seen("there")
	assert.Equal(t, string(one[Hold](h, h.step(0)).VM), "there")
	h.lists("there", nil)
	held := map[string]bool{}
	for _, c := range only[Hold](h.step(unlistedPause)) {
		held[string(c.VM)] = true
	}
	assert.Assert(t, held["gone"], "it may still run tasks, and is asked a little later")
}
