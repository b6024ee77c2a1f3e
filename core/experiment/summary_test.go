package experiment_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"lavenderpond/core/experiment"
)

// TestSummarize checks that ratios are computed per seed, and that a measure that is zero
// in the baseline has no ratio.
func TestSummarize(t *testing.T) {
	var rows []experiment.Row
	for seed := uint64(1); seed <= 20; seed++ {
		v := float64(seed)
		rows = append(rows,
			experiment.Row{Workload: "w", Variant: "naive", Seed: seed, Measure: "m", Value: v},
			experiment.Row{Workload: "w", Variant: "new", Seed: seed, Measure: "m", Value: 2 * v},
			experiment.Row{Workload: "w", Variant: "naive", Seed: seed, Measure: "zero"},
			experiment.Row{Workload: "w", Variant: "new", Seed: seed, Measure: "zero", Value: v})
	}
	got := experiment.Summarize(rows)
	assert.Equal(t, len(got), 4)
	assert.DeepEqual(t, got[1], experiment.Summary{
		Workload: "w", Measure: "m", Variant: "new", Seeds: 20,
		Value: experiment.Stats{Mean: 21, P5: 2, P95: 38},
		Ratio: &experiment.Stats{Mean: 2, P5: 2, P95: 2},
	})
	assert.Assert(t, got[3].Ratio == nil)
}
