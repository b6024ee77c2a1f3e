package experiment

import (
	"cmp"
	"maps"
	"slices"
)

// Baseline is the variant that others are compared with.
const Baseline = "naive"

// Spread describes the values of a measure over the seeds.
type Spread struct {
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
	Value    Spread `json:"value"`
	// Ratio is the value by the baseline's value at the same seed; nil if the
	// baseline has none, or is zero at a seed.
	Ratio *Spread `json:"ratio,omitempty"`
}

// group names the rows that one Summary is made of.
type group struct{ workload, measure, variant string }

// Summarize condenses rows of one experiment, by workload and measure.
func Summarize(rows []Row) []Summary {
	values := make(map[group]map[uint64]float64)
	var order []group
	for _, r := range rows {
		g := group{r.Workload, r.Measure, r.Variant}
		if values[g] == nil {
			values[g] = make(map[uint64]float64)
			order = append(order, g)
		}
		values[g][r.Seed] = r.Value
	}
	// All variants of a measure stand together, in their order of registration.
	slices.SortStableFunc(order, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.workload, b.workload), cmp.Compare(a.measure, b.measure))
	})
	var summaries []Summary
	for _, g := range order {
		base := values[group{g.workload, g.measure, Baseline}]
		summaries = append(summaries, Summary{
			Workload: g.workload, Measure: g.measure, Variant: g.variant,
			Seeds: len(values[g]),
			Value: spread(values[g]),
			Ratio: ratios(values[g], base),
		})
	}
	return summaries
}

func spread(values map[uint64]float64) Spread {
	sorted := slices.Sorted(maps.Values(values))
	sum := 0.0
	for _, v := range sorted {
		sum += v
	}
	n := len(sorted)
	return Spread{Mean: sum / float64(n), P5: sorted[rank(5, n)], P95: sorted[rank(95, n)]}
}

// rank is the index of a percentile of n sorted values, by the nearest rank.
func rank(percent, n int) int { return (percent*n+99)/100 - 1 }

func ratios(values, base map[uint64]float64) *Spread {
	ratio := make(map[uint64]float64)
	for seed, v := range values {
		if base[seed] == 0 {
			return nil
		}
		ratio[seed] = v / base[seed]
	}
	s := spread(ratio)
	return &s
}
