package core_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
)

// TestIDsSpread: callers number their ids. Every shard and every zone must get a
// fair part of them, or one entry holds all the work of a night.
func TestIDsSpread(t *testing.T) {
	zones := []core.ZoneID{"zone_a", "zone_b", "zone_c"}
	for _, form := range []string{"later-%d", "frame-%04d", "zone_a~night1-%d", "%d"} {
		shards, homes := map[core.ShardIndex]int{}, map[core.ZoneID]int{}
		for n := range 3200 {
			key := core.RequestKey{Team: "lyra", ID: core.RequestID(fmt.Sprintf(form, n))}
			shards[key.Shard(16)]++
			homes[key.Home(zones)]++
		}
		for i := range core.ShardIndex(16) {
			assert.Check(t, shards[i] > 140 && shards[i] < 270, "%s: shard %d has %d of 3200 ids", form, i, shards[i])
		}
		if form != "zone_a~night1-%d" {
			for _, z := range zones {
				assert.Check(t, homes[z] > 900 && homes[z] < 1250, "%s: %s has %d of 3200 ids", form, z, homes[z])
			}
		}
	}
}
