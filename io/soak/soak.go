package soak

import (
	"context"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/io/supervisor"
	"lavenderpond/platform/standin"
)

// Soak configures a soak test.
type Soak struct {
	Seed uint64
	// Binary is the path of the daemon to run. Settings and logs are written to Folder.
	Binary, Folder string
	// Entries, Machines and Callers are the numbers of daemons, machines and callers; 0 means
	// the default.
	Entries, Machines, Callers int
	// FaultPeriod is how long faults are injected and jobs are submitted.
	FaultPeriod time.Duration
	// Policy says which decisions under scarcity the daemons are told to make. The zero value
	// means NoPolicy. Other modes need a daemon that accepts a policy file.
	Policy PolicyMode
	// Crowds adds clients that don't keep to the limits.
	Crowds bool
	// OnFault, if set, is called with a description of each fault.
	OnFault func(line string)
}

const (
	// maxSettleTime is how long after the last fault accepted jobs may take to finish. Leases
	// of unreachable VMs expire after 10 s, and tasks that waited for that run afterwards.
	// Jobs whose tasks crash VMs must be given up, and waves be completed, within the same time.
	maxSettleTime = 40 * time.Second
	// settlePollInterval is the interval at which unfinished jobs are checked.
	settlePollInterval = 200 * time.Millisecond
	// leadTime is how long the daemons run before callers start.
	leadTime = 1500 * time.Millisecond

	defaultEntries, defaultMachines, defaultCallers = 4, 6, 4
)

// Run runs the soak test. It returns the violated invariants and a summary of the run.
func (s Soak) Run(ctx context.Context) (violations []string, summary string, err error) {
	if err := os.MkdirAll(s.Folder, 0o700); err != nil {
		return nil, "", errors.Wrap(err, "create folder for settings and logs")
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{
		binary: s.Binary, folder: s.Folder, table: standin.NewTable(),
		checker: NewChecker(), rng: rand.New(rand.NewPCG(s.Seed, 1)),
	}
	f.table.OnChange = f.checker.RowChanged
	f.machinesService = &standin.Machines{Host: f, Table: f.table, PageSize: machinesPageSize}
	defer f.close()
	defer cancel()
	if err := s.writePolicy(f); err != nil {
		return nil, "", err
	}
	if err := f.build(ctx, orDefault(s.Entries, defaultEntries), orDefault(s.Machines, defaultMachines)); err != nil {
		return nil, "", err
	}
	for _, e := range f.entries {
		if err := f.startDaemon(e); err != nil {
			return nil, "", err
		}
	}
	supervisor.Sleep(ctx, leadTime)
	submitting, stop := context.WithTimeout(ctx, s.FaultPeriod)
	defer stop()
	var g supervisor.Group
	for i := range orDefault(s.Callers, defaultCallers) {
		c := newCaller(f, i+1, rand.New(rand.NewPCG(s.Seed, uint64(i+2))))
		if i == 0 {
			c.submit(ctx, standin.Spec{CPU: 1000, LongRunning: true}, []standin.StepBody{{Count: 3, CPU: 1000, MemMB: 100, LongRunning: true}})
		}
		g.Go(func() { c.run(ctx, submitting) })
	}
	s.injectFaults(submitting, f)
	for until := time.Now().Add(maxSettleTime); !f.checker.Settled() && time.Now().Before(until); {
		supervisor.Sleep(ctx, settlePollInterval)
	}
	cancel()
	g.Wait()
	f.checker.Finish()
	return f.checker.Violations(), f.checker.Summary(), nil
}

// loadSeed, waveSeed and crowdSeed select the streams of random numbers for load faults, wave faults and
// crowds.
const loadSeed, waveSeed, crowdSeed = math.MaxUint64, math.MaxUint64 - 1, math.MaxUint64 - 2

// injectFaults injects faults, load that exceeds the capacity and maintenance waves until ctx
// ends.
func (s Soak) injectFaults(ctx context.Context, f *fleet) {
	var mu sync.Mutex
	report := func(line string) {
		mu.Lock()
		defer mu.Unlock()
		if s.OnFault != nil {
			s.OnFault(line)
		}
	}
	var g supervisor.Group
	g.Go(func() {
		f.injectFaults(ctx, loadFaults, meanLoadFaultInterval, rand.New(rand.NewPCG(s.Seed, loadSeed)), report)
	})
	g.Go(func() {
		rng := rand.New(rand.NewPCG(s.Seed, waveSeed))
		report("wave " + f.beginWave(rng, nil))
		f.injectFaults(ctx, waveFaults, meanWaveFaultInterval, rng, report)
	})
	if s.Crowds {
		g.Go(func() {
			f.injectFaults(ctx, crowdFaults, meanCrowdInterval, rand.New(rand.NewPCG(s.Seed, crowdSeed)), report)
		})
	}
	f.injectFaults(ctx, faults, meanFaultInterval, rand.New(rand.NewPCG(s.Seed, 0)), report)
	g.Wait()
}

// writePolicy writes the daemons' policy file, if they get one.
func (s Soak) writePolicy(f *fleet) error {
	if s.Policy == "" || s.Policy == NoPolicy {
		return nil
	}
	f.policyFile = filepath.Join(s.Folder, "policy.ini")
	text := s.Policy.policyText(rand.New(rand.NewPCG(s.Seed, 1)))
	return errors.Wrap(os.WriteFile(f.policyFile, []byte(text), 0o600), "write policy of daemons")
}

// orDefault returns n if it is positive, and fallback otherwise.
func orDefault(n, fallback int) int {
	if n > 0 {
		return n
	}
	return fallback
}
