package node

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a heap that grows without bound, or that grows for a process with CPU
// time to spare.
func TestGCPercentFollowsCollectionCost(t *testing.T) {
	assert.Equal(t, nextGCPercent(60, 0.2, 0.8), 120)
	assert.Equal(t, nextGCPercent(480, 0.2, 0.8), 480)
	assert.Equal(t, nextGCPercent(60, 0.002, 0.008), 60)
	assert.Equal(t, nextGCPercent(120, 0.03, 0.97), 120)
	assert.Equal(t, nextGCPercent(120, 0, 1), 60)
	assert.Equal(t, nextGCPercent(60, 0, 1), 60)
	assert.Equal(t, nextGCPercent(240, 0, 0), 240)
}
