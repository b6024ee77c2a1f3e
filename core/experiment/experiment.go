// Package experiment compares variants of the decision code under pseudo-random demand
// and faults, with a simulated clock, and reports the measured values. It doesn't model a
// real cluster: service times and faults are drawn from simple random distributions.
package experiment

import (
	"sort"

	"lavenderpond/core"
)

// Row is one measured value of one run.
type Row struct {
	Experiment string  `json:"experiment"`
	Workload   string  `json:"workload"`
	Variant    string  `json:"variant"`
	Seed       uint64  `json:"seed"`
	Measure    string  `json:"measure"`
	Value      float64 `json:"value"`
}

// Experiment compares variants with each other. The same seed produces the same rows.
type Experiment interface {
	Name() string
	// Help describes in one sentence what is compared.
	Help() string
	Run(seed uint64) []Row
}

// WorkloadFilter is implemented by experiments that can run one of their workloads
// alone.
type WorkloadFilter interface {
	FilterWorkload(workload string) Experiment
}

var registry = map[string]Experiment{}

// Register makes e available under its name. The init functions of the packages that
// define experiments call it.
func Register(e Experiment) { registry[e.Name()] = e }

// All returns the registered experiments, sorted by name.
func All() []Experiment {
	var all []Experiment
	for _, e := range registry {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name() < all[j].Name() })
	return all
}

// Get returns the experiment with the given name, or an error with CodeNotFound.
func Get(name string) (Experiment, error) {
	e, ok := registry[name]
	if !ok {
		return nil, core.Errorf(core.CodeNotFound, "no experiment %q", name)
	}
	return e, nil
}
