package maintenance

import (
	"fmt"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/experiment"
	"lavenderpond/core/fleet"
	"lavenderpond/core/maintenance"
	"lavenderpond/core/maintenance/fixed"
	"lavenderpond/core/maintenance/spread"
	"lavenderpond/core/table"
)

// The fleet sizes of the experiment: the current one and the one expected in two years.
var (
	Today = Size{Name: "today", Zones: 3, Pools: 4, PoolVMs: 10, SpareVMs: 10, RackVMs: 4, MaxUnavailable: 2}
	// TwoYears has 214 pools of 46 VMs and a spare pool, 10,000 VMs in total.
	TwoYears = Size{Name: "two_years", Zones: 7, Pools: 214, PoolVMs: 46, SpareVMs: 156, RackVMs: 4, MaxUnavailable: 4}
)

// failureRates are the rates that users expect at the two-year size: of 10,000 VMs, 170
// fail per day, and of 2,500 racks, one fails per week. The other two values are
// assumptions: a tenth of the failures lasts for hours, and after 0.5% of the reboots the
// VM stays down for hours.
var failureRates = Faults{FailuresPerVMDay: 170.0 / 10000, LongFailureShare: 0.1, FailuresPerRackWeek: 1.0 / 2500, NotBackShare: 0.005}

// Durations of the experiment. A step corresponds to a tick of the controller.
const (
	stepTime         = time.Minute
	rebootTime       = 3 * time.Minute
	drainTime        = 20 * time.Minute
	maintenanceCycle = 7 * 7 * 24 * time.Hour
	// stepsPerSample is the number of steps between two samples of the whole fleet.
	stepsPerSample = 10
)

// runStart is the simulated time at which a rollout starts, an arbitrary date.
var runStart = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

func init() {
	experiment.Register(Experiment{Size: Today})
	experiment.Register(Experiment{Size: TwoYears})
}

// Experiment maintains every VM of a fleet once, with the daemon's planner and with the
// naive planner, at the same failure rates.
type Experiment struct{ Size Size }

var _ experiment.Experiment = Experiment{}

// Name implements experiment.Experiment.
func (e Experiment) Name() string { return "maintenance_" + e.Size.Name }

// Help implements experiment.Experiment.
func (e Experiment) Help() string {
	return "compares the spread planner with naive fixed-size waves while VMs and racks fail"
}

// Run implements experiment.Experiment.
//
// The naive planner runs with two wave sizes. The first is the sum of the pools' budgets
// per zone, so that the rollout takes a comparable time. The second is an eighth of it, but
// at least one VM, as a cautious operator would choose.
func (e Experiment) Run(seed uint64) []experiment.Row {
	waveSize := max(1, e.Size.Pools*e.Size.MaxUnavailable/e.Size.Zones)
	var rows []experiment.Row
	for _, v := range []struct {
		name     string
		planner  maintenance.Planner
		budgeted bool
	}{
		{"spread", spread.Planner{}, true},
		{"naive", fixed.Planner{BatchSize: waveSize}, false},
		{"naive_small", fixed.Planner{BatchSize: max(1, waveSize/8)}, false},
	} {
		r := e.runRollout(seed, v.planner, v.budgeted)
		for _, m := range r.measures() {
			rows = append(rows, experiment.Row{
				Experiment: e.Name(), Workload: e.Size.Name, Variant: v.name, Seed: seed, Measure: m.name, Value: m.value,
			})
		}
	}
	return rows
}

// rollout is the state of one rollout: the maintenance of every VM of the fleet.
type rollout struct {
	size  Size
	world *World
	zones []*Zone
	// endedAt is when the last zone finished. It is zero if a zone did not finish.
	endedAt time.Time
	halts   int
	steps   int
	// idleSpareVMs is the sum over all samples of the idle spare VMs, missingVMs that of
	// the VMs that the pools lacked beyond their budgets.
	idleSpareVMs, missingVMs int
}

// runRollout maintains the fleet until every zone has finished or the deadline has passed.
// If budgeted is false, the rows of the pools allow any number of stops, as for a planner
// without budgets.
func (e Experiment) runRollout(seed uint64, p maintenance.Planner, budgeted bool) *rollout {
	rowBudget := e.Size.MaxUnavailable
	if !budgeted {
		rowBudget = e.Size.PoolVMs
	}
	w := NewWorld(seed, runStart, e.Size, rowBudget)
	w.Faults, w.RebootTime, w.DrainTime, w.DetectionDelay = failureRates, rebootTime, drainTime, 2*stepTime
	r := &rollout{size: e.Size, world: w}
	for i := range e.Size.Zones {
		z := &Zone{World: w, ID: core.ZoneID(fmt.Sprintf("z%d", i)), Planner: p}
		r.zones = append(r.zones, z)
		z.startWave(w.Now.Add(maintenanceCycle), max(maintenance.DefaultMaxNotBack, len(w.vms)/e.Size.Zones/50))
	}
	for w.Now.Before(runStart.Add(maintenanceCycle)) && r.step() {
		r.steps++
	}
	return r
}

// startWave plans and starts the maintenance of all VMs of the zone.
func (z *Zone) startWave(deadline time.Time, maxNotBack int) {
	for _, build := range []func(maintenance.WaveRow) (table.Transaction, error){
		func(r maintenance.WaveRow) (table.Transaction, error) {
			return maintenance.Plan(z.World.Now, r, maintenance.OperatorChange{Author: "experiment", Change: "plan"}, deadline, maxNotBack)
		},
		func(r maintenance.WaveRow) (table.Transaction, error) {
			return maintenance.Start(r, maintenance.OperatorChange{Author: "experiment", Change: "start"})
		},
	} {
		if err := z.ApplyOperatorChange(build); err != nil {
			panic(err)
		}
	}
}

// step advances the fleet by one step and reports whether a zone still runs its wave.
func (r *rollout) step() bool {
	r.world.Advance(stepTime)
	working := false
	for _, z := range r.zones {
		if err := z.Tick(); err != nil {
			panic(err)
		}
		switch z.Wave().Status {
		case maintenance.Running:
			working = true
		case maintenance.Halted:
			// The operator resumes a halted wave immediately.
			r.halts++
			working = true
			err := z.ApplyOperatorChange(func(w maintenance.WaveRow) (table.Transaction, error) {
				return maintenance.Start(w, maintenance.OperatorChange{Author: "experiment", Change: core.ChangeID(fmt.Sprint(r.world.Now))})
			})
			if err != nil {
				panic(err)
			}
		}
	}
	if r.steps%stepsPerSample == 0 {
		r.sample()
	}
	if !working {
		r.endedAt = r.world.Now
	}
	return working
}

// sample adds the idle spare VMs and the missing VMs at the current time to the sums.
func (r *rollout) sample() {
	missing := make(map[core.PoolID]int)
	for _, v := range r.world.vms {
		switch serves := r.world.serves(v); {
		case v.row.VM.Pool == SparePool && serves:
			r.idleSpareVMs++
		case v.row.VM.Pool != SparePool && serves:
			missing[v.row.VM.Pool]--
		}
	}
	for id, size := range r.world.Sizes {
		if id != SparePool {
			r.missingVMs += max(0, missing[id]+size-r.world.Budget)
		}
	}
}

type measure struct {
	name  string
	value float64
}

func (r *rollout) measures() []measure {
	missed, reboots := 0, 0
	for _, v := range r.world.vms {
		if v.row.VM.LastMaintained.Before(runStart) {
			missed++
		}
		reboots += v.Reboots
	}
	moves := 0
	for _, z := range r.zones {
		moves += z.Moves
	}
	endedAt := r.endedAt
	if endedAt.IsZero() {
		endedAt = r.world.Now
	}
	samples := float64(r.steps/stepsPerSample + 1)
	return []measure{
		{"rollout_hours", endedAt.Sub(runStart).Hours()},
		{"breaches", float64(len(r.world.Breaches))},
		{"cut_off", float64(len(r.world.Interruptions))},
		{"short_vm_hours", float64(r.missingVMs) * stepsPerSample * stepTime.Hours()},
		{"moves", float64(moves)},
		{"stops", float64(r.world.Stops)},
		{"halts", float64(r.halts)},
		{"missed", float64(missed)},
		{"spare_idle_mean", float64(r.idleSpareVMs) / samples},
		{"vms_failed", float64(r.failedVMs())},
	}
}

func (r *rollout) failedVMs() int {
	n := 0
	for _, v := range r.world.vms {
		if v.row.VM.State == fleet.Failed {
			n++
		}
	}
	return n
}
