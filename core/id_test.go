package core_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
)

// TestIDsSpreadEvenly checks that sequentially numbered ids are distributed evenly over
// the shards and zones. Callers often number their ids, and an uneven distribution
// would send a whole batch of requests to one entry.
func TestIDsSpreadEvenly(t *testing.T) {
	zones := []core.ZoneID{"zone_a", "zone_b", "zone_c"}
	for _, format := range []string{"later-%d", "frame-%04d", "zone_a~night1-%d", "%d"} {
		shardCounts, zoneCounts := map[core.ShardIndex]int{}, map[core.ZoneID]int{}
		for n := range 3200 {
			key := core.RequestKey{Team: "lyra", ID: core.RequestID(fmt.Sprintf(format, n))}
			shardCounts[key.Shard(16)]++
			zoneCounts[key.Home(zones)]++
		}
		for i := range core.ShardIndex(16) {
			assert.Check(t, shardCounts[i] > 140 && shardCounts[i] < 270, "%s: shard %d has %d of 3200 ids", format, i, shardCounts[i])
		}
		if format != "zone_a~night1-%d" {
			for _, z := range zones {
				assert.Check(t, zoneCounts[z] > 900 && zoneCounts[z] < 1250, "%s: %s has %d of 3200 ids", format, z, zoneCounts[z])
			}
		}
	}
}
