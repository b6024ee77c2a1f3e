package platform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	sim "lavenderpond/core/experiment/maintenance"
	"lavenderpond/core/fleet"
	"lavenderpond/core/maintenance"
	"lavenderpond/core/table"
)

// slowZone is a zone with 1,430 VMs. Each call to the platform takes delay on the injected
// clock, and the other controller ticks during the calls, once per interval.
type slowZone struct {
	*zoneSimulation
	delay        time.Duration
	otherTickAt  time.Time
	otherTicking bool
	// checked counts the VMs checked in bulk during a tick, singleChecks those checked one
	// by one.
	checked, singleChecks int
	// alterReply, if set, replaces the reply to a bulk status check.
	alterReply func([]CheckResult) ([]CheckResult, error)
}

func newSlowZone(t *testing.T, delay time.Duration) *slowZone {
	size := sim.Size{Zones: 1, Pools: 31, PoolVMs: 46, SpareVMs: 4, RackVMs: 4, MaxUnavailable: 4}
	w := sim.NewWorld(1, time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC), size, size.MaxUnavailable)
	z := &slowZone{zoneSimulation: &zoneSimulation{t: t, rand: rand.New(rand.NewPCG(1, 4)), world: w}, delay: delay, otherTickAt: w.Now.Add(testStep)}
	for i := range 2 {
		z.controllers = append(z.controllers, &Controller{
			Zone: "z0", Self: core.EntryID(fmt.Sprint("entry", i)), Table: z, Live: z, VMs: z,
			Now: func() time.Time { return w.Now }, Interval: testStep, Driver: maintenance.Driver{Timing: testTiming},
		})
	}
	return z
}

// simulateCall advances the clock by the duration of a call.
func (z *slowZone) simulateCall() {
	z.world.Advance(z.delay)
	if z.otherTicking || z.world.Now.Before(z.otherTickAt) {
		return
	}
	z.otherTicking, z.otherTickAt = true, z.world.Now.Add(testStep)
	_ = z.controllers[1].Tick(z.t.Context())
	z.otherTicking = false
}

func (z *slowZone) Read(ctx context.Context, key table.Key) (table.Row, error) {
	z.simulateCall()
	return z.zoneSimulation.Read(ctx, key)
}

func (z *slowZone) Changes(ctx context.Context, prefix string, since table.Revision) ([]table.Row, table.Revision, error) {
	z.simulateCall()
	return z.zoneSimulation.Changes(ctx, prefix, since)
}

func (z *slowZone) Transact(ctx context.Context, tx table.Transaction) error {
	z.simulateCall()
	return z.zoneSimulation.Transact(ctx, tx)
}

// Live lists the VMs that are up. It doesn't lag.
func (z *slowZone) Live(context.Context, core.ZoneID) ([]Liveness, error) {
	var live []Liveness
	for _, m := range z.world.VMs() {
		if m.Up {
			live = append(live, Liveness{Name: string(m.Ref.VM), Zone: m.Ref.Zone})
		}
	}
	return live, nil
}

func (z *slowZone) CheckVMs(ctx context.Context, zone core.ZoneID, requests []CheckRequest) ([]CheckResult, error) {
	z.simulateCall()
	if !z.otherTicking {
		z.checked += len(requests)
	}
	results, err := z.zoneSimulation.CheckVMs(ctx, zone, requests)
	if z.alterReply != nil {
		return z.alterReply(results)
	}
	return results, err
}

func (z *slowZone) Status(ctx context.Context, vm fleet.Ref) (VMStatus, error) {
	z.simulateCall()
	z.singleChecks++
	return z.zoneSimulation.Status(ctx, vm)
}

// tick runs a tick of the first controller and returns how long it took.
func (z *slowZone) tick() time.Duration {
	z.checked = 0
	startedAt := z.world.Now
	assert.NilError(z.t, z.controllers[0].Tick(z.t.Context()))
	took := z.world.Now.Sub(startedAt)
	assert.Assert(z.t, z.checked <= maxChecksPerTick, "%d VMs checked in a tick", z.checked)
	z.world.Advance(testStep)
	return took
}

func (z *slowZone) count(state fleet.State) int {
	n := 0
	for _, m := range z.world.VMs() {
		if z.world.Row(m.Ref).VM.State == state {
			n++
		}
	}
	return n
}

func (z *slowZone) lease() maintenance.Lease {
	var l maintenance.Lease
	assert.NilError(z.t, z.world.Table.Read(maintenance.LeaseKey("z0")).Decode(&l))
	return l
}

// A zone of 1,430 VMs fails and later returns as a whole. If each VM were checked by a call
// of its own, the controller's tick would outlast its lease: the second entry would start to
// do the same work, the transactions of the two would conflict, and callers would wait
// for the zone's VMs. With bulk checks that are bounded per tick, and a lease that is
// renewed between them, one controller must record all VMs as failed and later return all of
// them to service.
func TestZoneReturns(t *testing.T) {
	z := newSlowZone(t, 7*time.Millisecond)
	all := len(z.world.VMs())
	z.tick()
	assert.Equal(t, z.count(fleet.Serving), all)

	const downFor = 15 * time.Minute
	z.world.FailAll(z.world.VMs(), downFor)
	returnAt := z.world.Now.Add(downFor)
	ticks, longest := 0, time.Duration(0)
	for ; z.count(fleet.Failed) < all; ticks++ {
		longest = max(longest, z.tick())
		assert.Assert(t, ticks < 40, "%d of %d recorded as failed", z.count(fleet.Failed), all)
	}
	t.Logf("%d ticks until all VMs are recorded as failed, the longest %s", ticks, longest)

	// A VM that has been out for long is checked once a minute.
	checks, minutes := 0, 0
	for ; z.world.Now.Add(2 * time.Minute).Before(returnAt); minutes++ {
		checks = 0
		for end := z.world.Now.Add(time.Minute); z.world.Now.Before(end); checks += z.checked {
			z.tick()
		}
	}
	t.Logf("%d status checks in the last of %d minutes out of service", checks, minutes)
	assert.Assert(t, checks < all+all/4, "%d status checks of %d VMs in a minute", checks, all)

	for z.world.Now.Before(returnAt) {
		z.tick()
	}
	for ticks = 0; z.count(fleet.Serving) < all; ticks++ {
		longest = max(longest, z.tick())
		assert.Assert(t, ticks < 40, "%d of %d VMs serve", z.count(fleet.Serving), all)
	}
	t.Logf("%d ticks and %s until all VMs serve, the longest %s", ticks, z.world.Now.Sub(returnAt), longest)
	assert.Equal(t, z.singleChecks, 0, "VMs checked one by one")
	assert.Assert(t, longest < 2*testStep)
	assert.Equal(t, z.lease().Epoch, core.Epoch(1), "the second entry must not take the lease")
}

// With calls that take nearly as long as the request timeout, planning alone makes a tick
// outlast the lease, regardless of the bounds on its status checks. The lease must be renewed
// within the tick, so that the second entry doesn't take it.
func TestLeaseKeptInLongTick(t *testing.T) {
	z := newSlowZone(t, DefaultTimeout-100*time.Millisecond)
	z.controllers[0].Planner = onePerPoolPlanner{}
	longest := time.Duration(0)
	for range 5 {
		longest = max(longest, z.tick())
	}
	t.Logf("the longest tick took %s", longest)
	assert.Assert(t, longest > leaseIntervals*testStep)
	assert.Equal(t, z.lease().Holder, z.controllers[0].Self)
	assert.Equal(t, z.lease().Epoch, core.Epoch(1))
}

// onePerPoolPlanner takes a VM out of each pool whose budget has headroom.
type onePerPoolPlanner struct{}

func (onePerPoolPlanner) Plan(_ time.Time, v maintenance.View) []maintenance.Command {
	var commands []maintenance.Command
	chosen := make(map[core.PoolID]bool)
	for _, vm := range v.VMs {
		if vm.VM.State == fleet.Serving && !chosen[vm.VM.Pool] && v.Pools[vm.VM.Pool].Pool.Headroom() > 0 {
			chosen[vm.VM.Pool] = true
			commands = append(commands, maintenance.TakeOut{VM: vm.Ref, Permit: fleet.Permit{Change: core.ChangeID(vm.Ref.VM)}})
		}
	}
	return commands
}

// The reply to a bulk status check is lost, omits some of the VMs, or names other VMs. VMs
// that serve callers must not be recorded as failed because of that, which would use up
// their pools' budgets. A VM that the reply omits stays as it is until a later reply
// contains it; a VM that the reply contains is processed.
func TestPartialCheckReply(t *testing.T) {
	for name, alterReply := range map[string]func([]CheckResult) ([]CheckResult, error){
		"lost":    func([]CheckResult) ([]CheckResult, error) { return nil, table.ErrUnreachable },
		"partial": func(results []CheckResult) ([]CheckResult, error) { return results[:len(results)/2], nil },
		"others":  func([]CheckResult) ([]CheckResult, error) { return []CheckResult{{VM: "vm99999"}}, nil },
	} {
		z := newSlowZone(t, time.Millisecond)
		all := len(z.world.VMs())
		z.tick()
		failing := z.world.VMs()[:100]
		z.world.FailAll(failing, time.Hour)
		for _, m := range z.world.VMs()[:200] {
			z.controllers[0].Suspect(m.Ref.VM)
		}
		z.alterReply = alterReply
		z.tick()
		failed := z.count(fleet.Failed)
		assert.Equal(t, z.count(fleet.Serving), all-failed, name)
		if name == "partial" {
			assert.Assert(t, failed > 0 && failed < len(failing), "%d recorded as failed", failed)
		} else {
			assert.Equal(t, failed, 0, name)
		}
		z.alterReply = nil
		z.tick()
		assert.Equal(t, z.count(fleet.Failed), len(failing), name)
		assert.Equal(t, z.count(fleet.Serving), all-len(failing), name)
	}
}

// The reply to a bulk status check is late. A VM was idle and refused work when it was
// queried, its hold expired while the reply was on its way, and an entry with a stale view
// then gave it a task. The VM must not be stopped: the clock is read after the reply, and a
// hold that has expired by then doesn't count.
func TestLateCheckReply(t *testing.T) {
	z := newSlowZone(t, time.Millisecond)
	z.otherTickAt = z.world.Now.AddDate(1, 0, 0)
	z.controllers[0].Planner = onePerPoolPlanner{}
	z.tick()
	z.controllers[0].Planner = nil
	z.tick()
	assert.Equal(t, z.count(fleet.Draining), len(z.world.Pools()))
	z.alterReply = func(results []CheckResult) ([]CheckResult, error) {
		z.world.Advance(testTiming.HoldDuration)
		for _, result := range results {
			z.world.Dispatch(fleet.Ref{Zone: "z0", VM: result.VM}, time.Hour)
		}
		return results, nil
	}
	z.tick()
	assert.Equal(t, z.count(fleet.Stopped)+z.count(fleet.Verifying), 0)
	assert.Equal(t, len(z.world.Interruptions), 0)
}

// If the only suspicion against a failed VM were lost, its pool's budget would be used as if
// the VM served. The VM must be recorded as failed even if a tick ends early because the
// table is unreachable, or if an entry takes over that never read a list with the VM on it.
func TestSuspicionNotLost(t *testing.T) {
	z := newSlowZone(t, time.Millisecond)
	z.otherTickAt = z.world.Now.AddDate(1, 0, 0)
	z.tick()
	failing := z.world.VMs()[700:702]
	z.world.FailAll(failing[:1], time.Hour)
	z.controllers[0].Suspect(failing[0].Ref.VM)
	z.alterReply = func(results []CheckResult) ([]CheckResult, error) {
		z.faults.tableDown = 1
		return results, nil
	}
	assert.ErrorIs(t, z.controllers[0].Tick(t.Context()), table.ErrUnreachable)
	z.alterReply, z.faults.tableDown = nil, 0
	z.tick()
	assert.Equal(t, z.count(fleet.Failed), 1, "after a tick that ended early")

	z.world.FailAll(failing[1:], time.Hour)
	z.world.Advance(leaseIntervals * testStep)
	assert.NilError(t, z.controllers[1].Tick(t.Context()))
	assert.Equal(t, z.count(fleet.Failed), 2, "after a takeover by another controller")
}
