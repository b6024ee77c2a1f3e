package spread_test

import (
	"fmt"
	"testing"

	sim "lavenderpond/core/experiment/maintenance"
	"lavenderpond/core/maintenance"
	"lavenderpond/core/maintenance/spread"
)

// BenchmarkPlan measures one call of Plan for a zone in the middle of a wave, at three
// zone sizes. The second is a zone of the fleet size expected in two years.
func BenchmarkPlan(b *testing.B) {
	for _, pools := range []int{21, 214, 2140} {
		size := sim.Size{Zones: 7, Pools: pools, PoolVMs: 46, SpareVMs: 156, RackVMs: 4, MaxUnavailable: 4}
		w := sim.NewWorld(1, testStart, size, size.MaxUnavailable)
		v := (&sim.Zone{World: w, ID: "z0"}).View()
		v.Wave = maintenance.Wave{Status: maintenance.Running, PlannedAt: testStart, Deadline: testStart.AddDate(0, 0, 49), MaxNotBack: 20}
		for i := range v.VMs {
			if i%2 == 0 {
				v.VMs[i].VM.LastMaintained, v.VMs[i].VM.Wave = testStart.Add(1), v.Wave.Name("z0")
			}
		}
		b.Run(fmt.Sprintf("vms=%d", len(v.VMs)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				spread.Planner{}.Plan(testStart, v)
			}
		})
	}
}
