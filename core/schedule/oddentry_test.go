package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// Guards against pools that are sized by the entry of a VM that doesn't exist.
func TestEntryWithoutVMChangesNoPoolSize(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("1", "2")
	h.listMachines()
	before := h.s.poolCapacity(h.now)
	h.s.VMListed(h.now, job.VMRecord{
		ID: "odd", Pool: poolA, Address: "odd", Capacity: job.Resources{CPU: 10_000_000, MemMB: 1 << 30}, Machine: "m-odd", Born: 1,
	})
	after := h.s.poolCapacity(h.now)
	assert.Equal(t, after.largestVMCPU, before.largestVMCPU)
	assert.Assert(t, after.available[poolA] <= before.available[poolA]+before.largestVMCPU)
	h.now = h.now.Add(time.Second)
	assert.Equal(t, h.s.poolCapacity(h.now).available[poolA], before.available[poolA])
}
