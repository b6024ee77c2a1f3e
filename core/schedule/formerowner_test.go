package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// stale takes away the right that only an owner has that has proved its tenure just now.
func (h *harness) stale() { h.s.SetRights(Rights{Start: true, Hold: true}) }

// Guards against a former owner that starts a task again elsewhere since it can't reach its VM, where the present owner has noted the end.
func TestFormerOwnerRestartsNothingThatLapsed(t *testing.T) {
	c := newCrashing(t, "one", "two")
	c.job("j", "free", small)
	o, ok := c.startOf(job.TaskID{Job: "j"})
	assert.Assert(t, ok)
	c.confirm(o)
	c.step(30 * time.Millisecond)
	c.full = true
	c.goDark(o.VM, 5*time.Second)
	c.stale()
	c.full = false
	for range 20 {
		c.listAll(o.VM)
		assert.Equal(t, len(only[Start](c.step(100*time.Millisecond))), 0)
	}
	c.s.SetRights(Rights{Order: true, Start: true, Hold: true})
	c.listAll(o.VM)
	assert.Equal(t, len(only[Start](c.step(100*time.Millisecond))), 1)
}

// Guards against a former owner that starts a task again since its VM lives anew: the end may have been noted before.
func TestFormerOwnerRestartsNothingThatItsVMLost(t *testing.T) {
	c := newCrashing(t, "one", "two")
	c.job("j", "free", small)
	o, ok := c.startOf(job.TaskID{Job: "j"})
	assert.Assert(t, ok)
	c.confirm(o)
	c.stale()
	c.crash(o.VM)
	for range 20 {
		assert.Equal(t, len(only[Start](c.step(100*time.Millisecond))), 0)
	}
	c.s.SetRights(Rights{Order: true, Start: true, Hold: true})
	assert.Equal(t, len(only[Start](c.step(100*time.Millisecond))), 1)
}

// Guards against a former owner that takes a VM out of its reach for free, where the present owner has found tasks.
func TestFormerOwnerStartsNothingThatMayRunUnheard(t *testing.T) {
	h := newHarness(t)
	h.s.AddInheritedVM(RosterVM{ID: "dark", Address: "dark", Pool: poolA})
	h.ready("one")
	j := job.Job{ID: "there", Terms: job.Terms{Queue: "q", Pool: poolA}, Body: job.Body{Steps: []job.Step{small}}}
	h.s.AddJob(h.now, j, &job.Progress{State: job.Running, VMs: []job.VMID{"dark"}}, true)
	h.stale()
	for range 110 {
		h.lists("one", nil)
		assert.Equal(t, len(only[Start](h.step(100*time.Millisecond))), 0)
	}
	h.s.SetRights(Rights{Order: true, Start: true, Hold: true})
	h.lists("one", nil)
	assert.Equal(t, len(only[Start](h.step(100*time.Millisecond))), 1)
}
