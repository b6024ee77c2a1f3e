// Package policy defines and registers the experiments on queueing, routing and retries.
package policy

import (
	"maps"
	"slices"

	"lavenderpond/core/experiment"
	"lavenderpond/core/experiment/replay"
)

// Comparison is an experiment that runs several policies under the same demand and
// faults.
type Comparison struct {
	ID        string
	Question  string
	Workloads []replay.Workload
	Faults    replay.Faults
	// Policies starts with the baseline.
	Policies []replay.Policy
}

var _ experiment.WorkloadFilter = Comparison{}

// Name implements experiment.Experiment.
func (c Comparison) Name() string { return c.ID }

// Help implements experiment.Experiment.
func (c Comparison) Help() string { return c.Question }

// Run implements experiment.Experiment.
func (c Comparison) Run(seed uint64) []experiment.Row {
	var rows []experiment.Row
	for _, w := range c.Workloads {
		for _, p := range c.Policies {
			measures := replay.Run(w, p, c.Faults, seed)
			for _, name := range slices.Sorted(maps.Keys(measures)) {
				rows = append(rows, experiment.Row{
					Experiment: c.ID, Workload: w.Name, Variant: p.Name, Seed: seed,
					Measure: name, Value: measures[name],
				})
			}
		}
	}
	return rows
}

// FilterWorkload implements experiment.WorkloadFilter.
func (c Comparison) FilterWorkload(workload string) experiment.Experiment {
	c.Workloads = slices.DeleteFunc(slices.Clone(c.Workloads), func(w replay.Workload) bool {
		return w.Name != workload
	})
	return c
}
