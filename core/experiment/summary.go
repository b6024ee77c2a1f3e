package experiment

import (
	"cmp"
	"maps"
	"slices"
)

// Baseline is the variant that others are compared with.
const Baseline = "naive"

// Stats describes the values of a measure over the seeds.
type Stats struct {
	Mean float64 `json:"mean"`
	P5   float64 `json:"p5"`
	P95  float64 `json:"p95"`
}

// Summary is a measure of a variant over all seeds of a workload.
type Summary struct {
	Workload string `json:"workload"`
	Measure  string `json:"measure"`
	Variant  string `json:"variant"`
	Seeds    int    `json:"seeds"`
	Value    Stats  `json:"value"`
	// Ratio is the value by the baseline's value at the same seed; nil if the
	// baseline has none, or is zero at a seed.
	Ratio *Stats `json:"ratio,omitempty"`
}

// groupKey names the rows that one Summary is made of.
type groupKey struct{ workload, measure, variant string }

// Summarize condenses rows of one experiment, by workload and measure.
func Summarize(rows []Row) []Summary {
	values := make(map[groupKey]map[uint64]float64)
	var order []groupKey
	for _, r := range rows {
		g := groupKey{r.Workload, r.Measure, r.Variant}
		if values[g] == nil {
			values[g] = make(map[uint64]float64)
			order = append(order, g)
		}
		values[g][r.Seed] = r.Value
	}
	// All variants of a measure stand together, in their order of registration.
	slices.SortStableFunc(order, func(a, b groupKey) int {
		return cmp.Or(cmp.Compare(a.workload, b.workload), cmp.Compare(a.measure, b.measure))
	})
	var summaries []Summary
	for _, g := range order {
		base := values[groupKey{g.workload, g.measure, Baseline}]
		summaries = append(summaries, Summary{
			Workload: g.workload, Measure: g.measure, Variant: g.variant,
			Seeds: len(values[g]),
			Value: statsOf(values[g]),
			Ratio: ratioStats(values[g], base),
		})
	}
	return summaries
}

func statsOf(values map[uint64]float64) Stats {
	sorted := slices.Sorted(maps.Values(values))
	sum := 0.0
	for _, v := range sorted {
		sum += v
	}
	n := len(sorted)
	return Stats{Mean: sum / float64(n), P5: sorted[percentileIndex(5, n)], P95: sorted[percentileIndex(95, n)]}
}

// percentileIndex is the index of a percentile of n sorted values, by the nearest rank.
func percentileIndex(percent, n int) int { return (percent*n+99)/100 - 1 }

func ratioStats(values, base map[uint64]float64) *Stats {
	ratio := make(map[uint64]float64)
	for seed, v := range values {
		if base[seed] == 0 {
			return nil
		}
		ratio[seed] = v / base[seed]
	}
	s := statsOf(ratio)
	return &s
}
