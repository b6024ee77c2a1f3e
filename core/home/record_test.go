package home

import (
	"testing"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
)

// TestEndedRecordsAreSmall checks that an ended record, which is kept until after
// its deadline, retains only what later attempts need.
func TestEndedRecordsAreSmall(t *testing.T) {
	h := &Home{}
	req := core.Request{Key: core.RequestKey{Team: "lyra", ID: "frame-1"}, KeyDigest: "good", Body: []byte("frames")}
	r := h.newRecord(req)
	r.tried = []core.VMID{"vm_1"}
	sum := r.bodyHash
	answer := core.Done{VM: "vm_2", Body: []byte("plate")}
	h.finish(r, answer)
	assert.DeepEqual(t, r.request, core.Request{Key: req.Key})
	assert.Assert(t, r.tried == nil)
	assert.Equal(t, r.bodyHash, sum)
	assert.DeepEqual(t, r.answer, core.Answer(answer))
}
