// Package experiment replays seeded demand and faults against the real decision
// code with an injected clock, and reports rows of figures. It is no cluster
// simulator: service times and faults are simple seeded fakes.
package experiment

import (
	"sort"

	"lavenderpond/core"
)

// Row is one figure of one run.
type Row struct {
	Experiment string  `json:"experiment"`
	Workload   string  `json:"workload"`
	Variant    string  `json:"variant"`
	Seed       uint64  `json:"seed"`
	Measure    string  `json:"measure"`
	Value      float64 `json:"value"`
}

// Experiment runs one comparison. The same seed gives the same rows.
type Experiment interface {
	Name() string
	// Help says in a sentence what is compared with what.
	Help() string
	Run(seed uint64) []Row
}

// WorkloadFilter is an Experiment that can run one of its workloads alone.
type WorkloadFilter interface {
	FilterWorkload(workload string) Experiment
}

var registry = map[string]Experiment{}

// Register adds e. It is called from the init functions of experiments.
func Register(e Experiment) { registry[e.Name()] = e }

// All returns the registered experiments by name.
func All() []Experiment {
	var all []Experiment
	for _, e := range registry {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name() < all[j].Name() })
	return all
}

// Get returns the experiment of that name.
func Get(name string) (Experiment, error) {
	e, ok := registry[name]
	if !ok {
		return nil, core.Errorf(core.CodeNotFound, "no experiment %q", name)
	}
	return e, nil
}
