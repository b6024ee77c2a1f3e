package maintenance

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestNoPlannedStopBeyondBudget checks that the daemon's planner never exceeds a pool's
// budget by a planned stop, never interrupts running work and misses no VM. Beyond the
// budget, callers of the pool would wait or be refused although nothing failed. The naive
// planner must exceed budgets in the same runs, since the test would otherwise prove
// nothing.
func TestNoPlannedStopBeyondBudget(t *testing.T) {
	naive := 0
	for seed := range uint64(20) {
		for _, row := range (Experiment{Size: Today}).Run(seed) {
			switch {
			case row.Variant != "spread" && row.Measure == "breaches":
				naive += int(row.Value)
			case row.Variant == "spread" && (row.Measure == "breaches" || row.Measure == "cut_off" || row.Measure == "missed"):
				assert.Equal(t, row.Value, 0.0, "seed %d: %s", seed, row.Measure)
			}
		}
	}
	t.Logf("naive: %d breaches in 20 seeds", naive)
	assert.Assert(t, naive > 0, "the naive planner exceeded no budget, so the test proves nothing")
}
