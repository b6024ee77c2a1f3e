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

// slowZone is a zone of the two-year size. Each call to the platform takes delay on
// the injected clock; the other controller ticks meanwhile when its time comes.
type slowZone struct {
	*session
	delay     time.Duration
	otherAt   time.Time
	otherRuns bool
	// looked counts the VMs looked at in a tick, single those asked for one by one.
	looked, single int
	// answers, if set, alters the answer about many VMs.
	answers func([]VMLook) ([]VMLook, error)
}

func newSlowZone(t *testing.T, delay time.Duration) *slowZone {
	size := sim.Size{Zones: 1, Pools: 31, PoolVMs: 46, SpareVMs: 4, RackVMs: 4, MaxUnavailable: 4}
	w := sim.NewWorld(1, time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC), size, size.MaxUnavailable)
	z := &slowZone{session: &session{t: t, rand: rand.New(rand.NewPCG(1, 4)), world: w}, delay: delay, otherAt: w.Now.Add(testStep)}
	for i := range 2 {
		z.controllers = append(z.controllers, &Controller{
			Zone: "z0", Self: core.EntryID(fmt.Sprint("entry", i)), Table: z, Live: z, VMs: z,
			Now: func() time.Time { return w.Now }, Interval: testStep, Driver: maintenance.Driver{Timing: testTiming},
		})
	}
	return z
}

// pass takes the time of a call.
func (z *slowZone) pass() {
	z.world.Advance(z.delay)
	if z.otherRuns || z.world.Now.Before(z.otherAt) {
		return
	}
	z.otherRuns, z.otherAt = true, z.world.Now.Add(testStep)
	_ = z.controllers[1].Tick(z.t.Context())
	z.otherRuns = false
}

func (z *slowZone) Read(ctx context.Context, key table.Key) (table.Row, error) {
	z.pass()
	return z.session.Read(ctx, key)
}

func (z *slowZone) Changes(ctx context.Context, prefix string, since table.Revision) ([]table.Row, table.Revision, error) {
	z.pass()
	return z.session.Changes(ctx, prefix, since)
}

func (z *slowZone) Transact(ctx context.Context, tx table.Transaction) error {
	z.pass()
	return z.session.Transact(ctx, tx)
}

// Live lists the VMs that are up, without a lag.
func (z *slowZone) Live(context.Context, core.ZoneID) ([]Liveness, error) {
	var live []Liveness
	for _, m := range z.world.VMs() {
		if m.Up {
			live = append(live, Liveness{Name: string(m.Ref.VM), Zone: m.Ref.Zone})
		}
	}
	return live, nil
}

func (z *slowZone) Look(ctx context.Context, zone core.ZoneID, asks []LookRequest) ([]VMLook, error) {
	z.pass()
	if !z.otherRuns {
		z.looked += len(asks)
	}
	looks, err := z.session.Look(ctx, zone, asks)
	if z.answers != nil {
		return z.answers(looks)
	}
	return looks, err
}

func (z *slowZone) Status(ctx context.Context, vm fleet.Ref) (VMStatus, error) {
	z.pass()
	z.single++
	return z.session.Status(ctx, vm)
}

// tick lets the first controller work and returns how long it took.
func (z *slowZone) tick() time.Duration {
	z.looked = 0
	began := z.world.Now
	assert.NilError(z.t, z.controllers[0].Tick(z.t.Context()))
	took := z.world.Now.Sub(began)
	assert.Assert(z.t, z.looked <= looksPerTick, "%d VMs looked at in a tick", z.looked)
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

// A zone of 1,430 VMs is lost, and later returns as a whole. Looked at one by one,
// each of them would make the controller's tick longer than its lease: the second
// entry starts to do the same, their transactions fail in turn, and callers wait for
// the zone's VMs. Looks in bulk, bounded in a tick, with the lease renewed between
// them, keep one controller at work; all VMs are recorded, and later serve again.
func TestZoneReturns(t *testing.T) {
	z := newSlowZone(t, 7*time.Millisecond)
	all := len(z.world.VMs())
	z.tick()
	assert.Equal(t, z.count(fleet.Serving), all)

	const downFor = 15 * time.Minute
	z.world.FailAll(z.world.VMs(), downFor)
	back := z.world.Now.Add(downFor)
	ticks, longest := 0, time.Duration(0)
	for ; z.count(fleet.Failed) < all; ticks++ {
		longest = max(longest, z.tick())
		assert.Assert(t, ticks < 40, "%d of %d recorded", z.count(fleet.Failed), all)
	}
	t.Logf("%d ticks until all are recorded, the longest %s", ticks, longest)

	// Out for long, each VM is looked at once a minute.
	looked, minutes := 0, 0
	for ; z.world.Now.Add(2 * time.Minute).Before(back); minutes++ {
		looked = 0
		for end := z.world.Now.Add(time.Minute); z.world.Now.Before(end); looked += z.looked {
			z.tick()
		}
	}
	t.Logf("%d looks in the last of %d minutes out", looked, minutes)
	assert.Assert(t, looked < all+all/4, "%d looks at %d VMs in a minute", looked, all)

	for z.world.Now.Before(back) {
		z.tick()
	}
	for ticks = 0; z.count(fleet.Serving) < all; ticks++ {
		longest = max(longest, z.tick())
		assert.Assert(t, ticks < 40, "%d of %d serve", z.count(fleet.Serving), all)
	}
	t.Logf("%d ticks and %s until all serve, the longest %s", ticks, z.world.Now.Sub(back), longest)
	assert.Equal(t, z.single, 0, "VMs looked at one by one")
	assert.Assert(t, longest < 2*testStep)
	assert.Equal(t, z.lease().Epoch, core.Epoch(1), "the second entry never took the lease")
}

// The same with calls that take nearly as long as they may: a tick outlasts the
// lease by its planning alone, whatever bounds its looks. The lease is renewed
// within the tick, so that the second entry stays out of the way.
func TestLeaseKeptInLongTick(t *testing.T) {
	z := newSlowZone(t, DefaultTimeout-100*time.Millisecond)
	z.controllers[0].Planner = planMany{}
	longest := time.Duration(0)
	for range 5 {
		longest = max(longest, z.tick())
	}
	t.Logf("the longest tick took %s", longest)
	assert.Assert(t, longest > leaseIntervals*testStep)
	assert.Equal(t, z.lease().Holder, z.controllers[0].Self)
	assert.Equal(t, z.lease().Epoch, core.Epoch(1))
}

// planMany takes a VM out of each pool, if it may.
type planMany struct{}

func (planMany) Plan(_ time.Time, v maintenance.View) []maintenance.Command {
	var commands []maintenance.Command
	seen := make(map[core.PoolID]bool)
	for _, vm := range v.VMs {
		if vm.VM.State == fleet.Serving && !seen[vm.VM.Pool] && v.Pools[vm.VM.Pool].Pool.Headroom() > 0 {
			seen[vm.VM.Pool] = true
			commands = append(commands, maintenance.TakeOut{VM: vm.Ref, Permit: fleet.Permit{Change: core.ChangeID(vm.Ref.VM)}})
		}
	}
	return commands
}

// VMs that serve callers would be recorded as failed, and their pools' budgets be
// spent, by an answer about many VMs that is lost, or cut to a part of them, or that
// names others. What it leaves out is unknown and stays as it is; what it has counts,
// and the rest follows with the next answer.
func TestPartialLooks(t *testing.T) {
	for name, answers := range map[string]func([]VMLook) ([]VMLook, error){
		"lost":    func([]VMLook) ([]VMLook, error) { return nil, table.ErrUnreachable },
		"partial": func(looks []VMLook) ([]VMLook, error) { return looks[:len(looks)/2], nil },
		"others":  func([]VMLook) ([]VMLook, error) { return []VMLook{{VM: "vm99999"}}, nil },
	} {
		z := newSlowZone(t, time.Millisecond)
		all := len(z.world.VMs())
		z.tick()
		lost := z.world.VMs()[:100]
		z.world.FailAll(lost, time.Hour)
		for _, m := range z.world.VMs()[:200] {
			z.controllers[0].Suspect(m.Ref.VM)
		}
		z.answers = answers
		z.tick()
		failed := z.count(fleet.Failed)
		assert.Equal(t, z.count(fleet.Serving), all-failed, name)
		if name == "partial" {
			assert.Assert(t, failed > 0 && failed < len(lost), "%d", failed)
		} else {
			assert.Equal(t, failed, 0, name)
		}
		z.answers = nil
		z.tick()
		assert.Equal(t, z.count(fleet.Failed), len(lost), name)
		assert.Equal(t, z.count(fleet.Serving), all-len(lost), name)
	}
}

// A VM is stopped with callers' work on it, because an answer about many VMs is late:
// it was idle and refused work when it was asked, its hold lapsed on the answer's way,
// and an entry that is cut off gave it a task. The clock is read after the answer, and
// what was held only until then counts as not held.
func TestLateLook(t *testing.T) {
	z := newSlowZone(t, time.Millisecond)
	z.otherAt = z.world.Now.AddDate(1, 0, 0)
	z.controllers[0].Planner = planMany{}
	z.tick()
	z.controllers[0].Planner = nil
	z.tick()
	assert.Equal(t, z.count(fleet.Draining), len(z.world.Pools()))
	z.answers = func(looks []VMLook) ([]VMLook, error) {
		z.world.Advance(testTiming.HoldDuration)
		for _, l := range looks {
			z.world.Dispatch(fleet.Ref{Zone: "z0", VM: l.VM}, time.Hour)
		}
		return looks, nil
	}
	z.tick()
	assert.Equal(t, z.count(fleet.Stopped)+z.count(fleet.Verifying), 0)
	assert.Equal(t, len(z.world.CutOff), 0)
}

// A VM fails and its budget goes on as if it served: the one suspicion against it is
// lost when the tick ends early, since the table can't be reached, or when another
// entry takes over that hasn't seen a list on which the VM was.
func TestSuspicionKept(t *testing.T) {
	z := newSlowZone(t, time.Millisecond)
	z.otherAt = z.world.Now.AddDate(1, 0, 0)
	z.tick()
	lost := z.world.VMs()[700:702]
	z.world.FailAll(lost[:1], time.Hour)
	z.controllers[0].Suspect(lost[0].Ref.VM)
	z.answers = func(looks []VMLook) ([]VMLook, error) {
		z.faults.tableDown = 1
		return looks, nil
	}
	assert.ErrorIs(t, z.controllers[0].Tick(t.Context()), table.ErrUnreachable)
	z.answers, z.faults.tableDown = nil, 0
	z.tick()
	assert.Equal(t, z.count(fleet.Failed), 1, "after a tick that ended early")

	z.world.FailAll(lost[1:], time.Hour)
	z.world.Advance(leaseIntervals * testStep)
	assert.NilError(t, z.controllers[1].Tick(t.Context()))
	assert.Equal(t, z.count(fleet.Failed), 2, "at another controller")
}
