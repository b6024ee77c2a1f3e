package node

import (
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lavenderpond/core/policy"
)

// Guards against a running owner that keeps scheduling by the policy of its start.
func TestOwnerFollowsChangedPolicy(t *testing.T) {
	n := &Node{log: zerolog.Nop(), metrics: newProcessMetrics()}
	assert.DeepEqual(t, *n.currentPolicy(), policy.Policy{})
	o := &owner{node: n, tenure: &tenure{}}
	o.scheduler = o.newScheduler(nil)
	n.SetPolicy(policy.Policy{FairShares: true})
	o.followPolicy()
	assert.Assert(t, o.policy.FairShares && n.currentPolicy() == o.policy)
	assert.DeepEqual(t, o.scheduler.Policy(), policy.Policy{FairShares: true})
}
