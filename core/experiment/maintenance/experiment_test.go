package maintenance

import (
	"testing"

	"gotest.tools/v3/assert"
)

// The caller of a pool whose budget is broken by a planned stop waits or is
// refused though nothing failed. The daemon's planner must make no such stop, in
// any run; the naive one is the red side of the comparison: it makes many.
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
	assert.Assert(t, naive > 0, "the naive planner broke no budget: the test has no teeth")
}
