package experiment

import (
	"cmp"
	"maps"
	"slices"
)

// Baseline is the variant with which the others are compared.
const Baseline = "naive"

// Stats describes the distribution of a measure over the seeds: its mean and its 5th and
// 95th percentiles.
type Stats struct {
	Mean float64 `json:"mean"`
	P5   float64 `json:"p5"`
	P95  float64 `json:"p95"`
}

// Summary condenses a measure of one variant and workload over all seeds.
type Summary struct {
	Workload string `json:"workload"`
	Measure  string `json:"measure"`
	Variant  string `json:"variant"`
	Seeds    int    `json:"seeds"`
	Value    Stats  `json:"value"`
	// Ratio is the value divided by the baseline's value for the same seed. It is nil if
	// the baseline's value is missing or zero for any seed.
	Ratio *Stats `json:"ratio,omitempty"`
}

// groupKey identifies the rows from which a Summary is computed.
type groupKey struct{ workload, measure, variant string }

// Summarize condenses the rows of one experiment over their seeds. The result is sorted
// by workload and measure.
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
	// The variants of a measure keep the order in which they ran.
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

// percentileIndex returns the index of a percentile in n sorted values, by the
// nearest-rank method.
func percentileIndex(percent, n int) int { return (percent*n+99)/100 - 1 }

// ratioStats describes the ratio of values to base per seed. It returns nil if base lacks
// a seed or is zero there.
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
