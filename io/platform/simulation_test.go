package platform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	sim "lavenderpond/core/experiment/maintenance"
	"lavenderpond/core/fleet"
	"lavenderpond/core/maintenance"
	"lavenderpond/core/maintenance/spread"
	"lavenderpond/core/table"
)

var testTiming = maintenance.Timing{
	MaxViewAge: 10 * time.Second, HoldDuration: 90 * time.Second, RebootWindow: 20 * time.Second, MaxClockSkew: 5 * time.Second,
	ReturnTimeout: 3 * time.Minute, VerifyDuration: 5 * time.Second, MaxListLag: 30 * time.Second, DrainTimeout: 10 * time.Minute,
}

const testStep = 5 * time.Second

// faults are the faults that a zoneSimulation injects. Fractions are per call.
type faults struct {
	lostAnswers, tableDown float64
	// omittedVMs is the fraction of VMs that the reply to a bulk status check omits, half of
	// them after their drain order took effect.
	omittedVMs float64
	// pauses is the fraction of calls before which the caller is paused for up to two
	// minutes, while the fleet and the other controllers continue.
	pauses float64
	// listLag is how old the live list is.
	listLag time.Duration
	// staleEntry makes one entry dispatch by the view that it had at the start.
	staleEntry bool
	// rackFails makes a rack fail during the simulation.
	rackFails bool
	// moves is the fraction of steps in which an operator moves a VM.
	moves float64
	vms   sim.Faults
}

// maxUnseen is how long a failure may stay unknown to the planned stop that it should
// prevent: the live list lags, the holder of the lease may be paused, and so may the
// controller that sends the reboot.
func (f faults) maxUnseen() time.Duration {
	return f.listLag + leaseIntervals*testStep + testTiming.RebootWindow + 3*testStep
}

// zoneSimulation is one zone with two controllers and three entries, on top of a sim.World.
// Controllers access the World only through methods of the simulation, which fail and pause.
type zoneSimulation struct {
	t           *testing.T
	faults      faults
	rand        *rand.Rand
	world       *sim.World
	controllers []*Controller
	// views holds for each entry the states of the VMs by which it dispatches.
	views       []map[fleet.Ref]fleet.State
	listHistory []listSnapshot
	// active is the controller that ticks. The other one continues while it is paused.
	active int
	paused bool
	// ignoreDrain makes VMs accept work while they drain.
	ignoreDrain bool
	// pauseWhen selects the point at which the first controller is paused once, for ten
	// minutes.
	pauseWhen             func(point string, vm fleet.Ref) bool
	clockReadsSinceStatus int
	lastStatusVM          fleet.Ref
	// moving holds the VMs that an operator moves, with the pool that they come from.
	moving map[fleet.Ref]core.PoolID
	moves  int
}

type listSnapshot struct {
	at  time.Time
	vms []Liveness
}

func newZoneSimulation(t *testing.T, seed uint64, f faults) *zoneSimulation {
	size := sim.Size{Name: "test", Zones: 1, Pools: 4, PoolVMs: 10, SpareVMs: 6, RackVMs: 4, MaxUnavailable: 2}
	w := sim.NewWorld(seed, time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC), size, size.MaxUnavailable)
	w.RebootTime, w.DetectionDelay, w.Faults = 30*time.Second, f.maxUnseen(), f.vms
	s := &zoneSimulation{t: t, faults: f, rand: rand.New(rand.NewPCG(seed, 4)), world: w, views: make([]map[fleet.Ref]fleet.State, 3), moving: make(map[fleet.Ref]core.PoolID)}
	for i := range 2 {
		s.controllers = append(s.controllers, &Controller{
			Zone: "z0", Self: core.NewEntryID(fmt.Sprint("entry", i), w.Now), Table: s, Live: s, VMs: s,
			Now: s.now, Interval: testStep,
			Planner: spread.Planner{RepairAfter: 2 * time.Minute, StopTime: 2 * time.Minute},
			Driver:  maintenance.Driver{Timing: testTiming},
		})
	}
	order := func(build func(maintenance.WaveRow) (table.Transaction, error)) {
		row, err := maintenance.DecodeWave("z0", w.Table.Read(maintenance.WaveKey("z0")))
		assert.NilError(t, err)
		tx, err := build(row)
		assert.NilError(t, err)
		assert.NilError(t, w.Transact(tx))
	}
	order(func(r maintenance.WaveRow) (table.Transaction, error) {
		return maintenance.Plan(w.Now, r, maintenance.OperatorChange{Change: "plan"}, w.Now.Add(24*time.Hour), 3)
	})
	order(func(r maintenance.WaveRow) (table.Transaction, error) {
		return maintenance.Start(r, maintenance.OperatorChange{Change: "start"})
	})
	return s
}

// run simulates up to four hours. It returns when the maintenance has ended.
func (s *zoneSimulation) run() maintenance.Wave {
	for n := range 4 * 720 {
		if s.faults.rackFails && n == 60 {
			s.world.FailAll(s.world.Rack(s.rand.IntN(8)), 10*time.Minute)
		}
		s.advance()
		for i := range s.controllers {
			s.tick(i)
		}
		if w := s.wave(); w.Status != maintenance.Running {
			return w
		}
	}
	return s.wave()
}

func (s *zoneSimulation) wave() maintenance.Wave {
	row, err := maintenance.DecodeWave("z0", s.world.Table.Read(maintenance.WaveKey("z0")))
	assert.NilError(s.t, err)
	return row.Wave
}

// advance advances the World by one step and lets each entry dispatch by its own view.
func (s *zoneSimulation) advance() {
	s.world.Advance(testStep)
	s.moveRandomVM()
	for i := range s.views {
		if s.views[i] == nil || !s.faults.staleEntry || i > 0 {
			s.views[i] = make(map[fleet.Ref]fleet.State)
			for _, m := range s.world.VMs() {
				s.views[i][m.Ref] = s.world.Row(m.Ref).VM.State
			}
		}
	}
	for _, m := range s.world.VMs() {
		i := s.rand.IntN(len(s.views))
		if s.views[i][m.Ref] == fleet.Serving && s.rand.IntN(4) == 0 {
			s.world.Dispatch(m.Ref, time.Duration(s.rand.IntN(20))*time.Second)
		}
	}
	snapshot := listSnapshot{at: s.world.Now}
	for _, c := range s.controllers {
		snapshot.vms = append(snapshot.vms, Liveness{Name: c.Self.Name(), Zone: c.Zone, Started: c.Self.Started()})
	}
	for _, m := range s.world.VMs() {
		if m.Up || m.Planned {
			snapshot.vms = append(snapshot.vms, Liveness{Name: string(m.Ref.VM), Zone: m.Ref.Zone})
		}
	}
	s.listHistory = append(s.listHistory, snapshot)
}

// moveRandomVM lets an operator move a VM together with its place in the pool, in a race with
// drains, and keeps track of the actual sizes of the pools: the place leaves the old pool with
// the VM and counts in the new pool once the VM serves there.
func (s *zoneSimulation) moveRandomVM() {
	for ref, from := range s.moving {
		vm := s.world.Row(ref).VM
		switch {
		case from != "" && vm.Pool != from:
			s.world.Sizes[from]--
			s.moving[ref] = ""
		case vm.State == fleet.Serving && from == "":
			s.world.Sizes[vm.Pool]++
			s.moves++
			delete(s.moving, ref)
		case vm.State == fleet.Serving, vm.State == fleet.Failed && from != "":
			delete(s.moving, ref)
		}
	}
	if s.rand.Float64() >= s.faults.moves {
		return
	}
	machines, pools := s.world.VMs(), s.world.Pools()
	vm := s.world.Row(machines[s.rand.IntN(len(machines))].Ref)
	to := core.PoolID(fmt.Sprintf("pool%03d", s.rand.IntN(4)))
	tx, err := fleet.Rules{}.Permit(s.world.Now, vm, pools[vm.VM.Pool], fleet.Permit{
		Change: core.ChangeID(s.world.Now.String()), MoveTo: to, Resize: true, DrainBy: s.world.Now.Add(10 * time.Minute),
	})
	if err == nil && s.world.Transact(tx) == nil {
		s.moving[vm.Ref] = vm.VM.Pool
	}
}

// checkPools compares the pools' member counts with the VMs' rows. Each VM is in one pool.
func (s *zoneSimulation) checkPools() error {
	members := make(map[core.PoolID]int)
	for _, m := range s.world.VMs() {
		members[s.world.Row(m.Ref).VM.Pool]++
	}
	for id, pool := range s.world.Pools() {
		if pool.Pool.Members != members[id] {
			return fmt.Errorf("pool %s counts %d members, rows name it %d times", id, pool.Pool.Members, members[id])
		}
	}
	return nil
}

// pause is called between a controller's decision and its effect. At random, it lets the
// World and the other controller continue for a while.
func (s *zoneSimulation) pause() {
	if s.paused || s.rand.Float64() >= s.faults.pauses {
		return
	}
	s.paused = true
	for range s.rand.IntN(24) {
		s.advance()
		s.tick(1 - s.active)
	}
	s.paused = false
}

// tick runs a tick of controller i. It ignores errors, which come from lost answers and an
// unreachable table, and which the next tick must handle.
func (s *zoneSimulation) tick(i int) {
	before := s.active
	s.active = i
	_ = s.controllers[i].Tick(context.Background())
	s.active = before
}

func (s *zoneSimulation) Read(_ context.Context, key table.Key) (table.Row, error) {
	s.pause()
	return s.world.Table.Read(key), s.tableError()
}

func (s *zoneSimulation) Scan(_ context.Context, prefix string) ([]table.Row, table.Revision, error) {
	return s.world.Table.Scan(prefix), s.world.Table.Revision(), s.tableError()
}

func (s *zoneSimulation) Changes(_ context.Context, prefix string, since table.Revision) ([]table.Row, table.Revision, error) {
	return s.world.Table.Changes(prefix, since), s.world.Table.Revision(), s.tableError()
}

func (s *zoneSimulation) Transact(_ context.Context, tx table.Transaction) error {
	s.lastStatusVM = fleet.Ref{}
	s.pause()
	if err := s.tableError(); err != nil {
		return err
	}
	err := s.world.Transact(tx)
	if s.rand.Float64() < s.faults.lostAnswers {
		return table.ErrOutcomeUnknown
	}
	return err
}

func (s *zoneSimulation) tableError() error {
	if s.rand.Float64() < s.faults.tableDown {
		return table.ErrUnreachable
	}
	return nil
}

func (s *zoneSimulation) Live(context.Context, core.ZoneID) ([]Liveness, error) {
	i, _ := slices.BinarySearchFunc(s.listHistory, s.world.Now.Add(-s.faults.listLag), func(l listSnapshot, at time.Time) int {
		return l.at.Compare(at)
	})
	return s.listHistory[min(i, len(s.listHistory)-1)].vms, nil
}

func (s *zoneSimulation) Drain(_ context.Context, vm fleet.Ref, r DrainRequest) error {
	s.pause()
	if s.ignoreDrain {
		return nil
	}
	return s.world.Drain(vm, r.Until, r.Fence)
}

func (s *zoneSimulation) Status(_ context.Context, vm fleet.Ref) (VMStatus, error) {
	status := VMStatus{Up: s.world.VM(vm).Up, Running: s.world.Running(vm)}
	s.pause()
	s.lastStatusVM, s.clockReadsSinceStatus = vm, 0
	return status, nil
}

// CheckVMs checks one VM after the other, so that pauses happen between any two.
func (s *zoneSimulation) CheckVMs(ctx context.Context, zone core.ZoneID, requests []CheckRequest) ([]CheckResult, error) {
	var results []CheckResult
	for _, request := range requests {
		vm, roll := fleet.Ref{Zone: zone, VM: request.VM}, s.rand.Float64()
		if roll < s.faults.omittedVMs/2 {
			continue
		}
		result := CheckResult{VM: request.VM}
		if request.Drain != nil {
			result.Drained = s.Drain(ctx, vm, *request.Drain) == nil
		}
		result.VMStatus, _ = s.Status(ctx, vm)
		if roll >= s.faults.omittedVMs {
			results = append(results, result)
		}
	}
	s.pause()
	s.lastStatusVM = fleet.Ref{}
	if s.rand.Float64() < s.faults.lostAnswers {
		return nil, table.ErrUnreachable
	}
	return results, nil
}

func (s *zoneSimulation) Reboot(_ context.Context, vm fleet.Ref, r RebootRequest) error {
	s.pause()
	s.pauseAt("sent", vm)
	if s.faults.staleEntry && s.rand.IntN(4) == 0 {
		// The task of the entry with the stale view crosses the reboot.
		s.world.Dispatch(vm, 10*time.Second)
	}
	err := s.world.Reboot(vm, r.NotAfter, r.Fence)
	if err == nil && s.rand.Float64() < s.faults.lostAnswers {
		return table.ErrOutcomeUnknown
	}
	return err
}
