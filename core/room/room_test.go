package room_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
	"lavenderpond/core/room"
	"lavenderpond/core/schedule/sizing"
)

var now = time.Unix(1_800_000_000, 0)

const vmCPU = 32_000

func idle(id, pool string, since time.Duration) sizing.Machine {
	return sizing.Machine{ID: job.MachineID(id), Pool: job.PoolName(pool), CPU: vmCPU, IdleSince: now.Add(-since)}
}

func idleMachines(pool string, n int) []sizing.Machine {
	var out []sizing.Machine
	for i := range n {
		out = append(out, idle(fmt.Sprintf("%s%02d", pool, i), pool, time.Second))
	}
	return out
}

// Guards against a pool whose work can complete in time, and waits for machines that another
// pool keeps for its late work.
func TestLateWorkKeepsNoMachineFromUrgentWork(t *testing.T) {
	pools := []room.Pool{
		{Name: "late", Urgent: vmCPU, Total: 9 * vmCPU, Have: 5 * vmCPU},
		{Name: "urgent", Urgent: 4 * vmCPU, Total: 4 * vmCPU, Have: vmCPU},
	}
	moves := room.Plan(now, pools, idleMachines("late", 5))
	assert.Equal(t, fmt.Sprint(moves), "[{late00 late urgent} {late01 late urgent} {late02 late urgent}]")
	emptying := room.Empty(pools, []sizing.VM{
		{ID: "v1", Pool: "late", CPU: vmCPU, Used: 20_000}, {ID: "v2", Pool: "late", CPU: vmCPU, Used: 10_000},
		{ID: "v3", Pool: "late", CPU: vmCPU, Used: 30_000}, {ID: "v4", Pool: "late", CPU: vmCPU, Used: vmCPU},
	}, 6*vmCPU)
	assert.Equal(t, fmt.Sprint(emptying.ForUrgent, emptying.ForTotal), "[v2 v1 v3] []")
}

// Guards against an overloaded pool that takes every machine, so that the work of a pool with an
// ordinary load waits too.
func TestOverloadedPoolLeavesOthersWhatTheyNeed(t *testing.T) {
	pools := []room.Pool{
		{Name: "flooded", Urgent: 100 * vmCPU, Total: 200 * vmCPU, Have: 9 * vmCPU},
		{Name: "usual", Urgent: 3 * vmCPU, Total: 3 * vmCPU, Have: vmCPU},
	}
	emptying := room.Empty(pools, []sizing.VM{
		{ID: "v1", Pool: "flooded", CPU: vmCPU, Used: vmCPU}, {ID: "v2", Pool: "flooded", CPU: vmCPU, Used: vmCPU},
		{ID: "v3", Pool: "flooded", CPU: vmCPU, Used: vmCPU},
	}, 10*vmCPU)
	assert.Equal(t, fmt.Sprint(emptying.ForUrgent), "[v1 v2]")
	moves := room.Plan(now, pools, idleMachines("flooded", 3))
	assert.Equal(t, fmt.Sprint(moves), "[{flooded00 flooded usual} {flooded01 flooded usual}]")
}

// Guards against a burst that takes the machines of other pools' late work while machines that are
// off would do.
func TestOrderOfDonors(t *testing.T) {
	pools := []room.Pool{
		{Name: "burst", Urgent: 5 * vmCPU, Total: 5 * vmCPU, Have: vmCPU},
		{Name: "late", Urgent: vmCPU, Total: 3 * vmCPU, Have: 4 * vmCPU},
		{Name: "off", Standby: true},
	}
	machines := append(idleMachines("late", 3), idleMachines("off", 3)...)
	moves := room.Plan(now, pools, machines)
	assert.Equal(t, fmt.Sprint(moves), "[{late00 late burst} {off00 off burst} {off01 off burst} {off02 off burst}]")
}

// Guards against moving a machine that became idle a moment ago, when the next task of its pool
// is probably on its way.
func TestRecentlyIdleMachineStays(t *testing.T) {
	pools := []room.Pool{{Name: "burst", Urgent: 3 * vmCPU, Total: 3 * vmCPU}, {Name: "quiet", Have: 2 * vmCPU}}
	assert.Equal(t, len(room.Plan(now, pools, []sizing.Machine{idle("q1", "quiet", 10*time.Millisecond)})), 0)
}

// Guards against machines that move back and forth, and against pools that are left below what
// they keep: after the moves of a round are done, the next round plans none.
func TestPlanSettles(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 2))
		pools, machines := randomFleet(rng)
		for range 3 {
			apply(pools, machines, room.Plan(now, pools, machines))
		}
		moves := room.Plan(now, pools, machines)
		assert.Equal(t, len(moves), 0, "seed %d: %v", seed, moves)
	}
}

// randomFleet returns four pools of idle machines and a standby pool.
func randomFleet(rng *rand.Rand) ([]room.Pool, []sizing.Machine) {
	pools := []room.Pool{{Name: "off", Standby: true}}
	machines := idleMachines("off", rng.IntN(10))
	for i := range 4 {
		name := fmt.Sprintf("p%d", i)
		n := rng.IntN(20)
		urgent := rng.Int64N(15 * vmCPU)
		pools = append(pools, room.Pool{
			Name: job.PoolName(name), Urgent: urgent, Total: urgent + rng.Int64N(10*vmCPU), Have: int64(n) * vmCPU,
		})
		machines = append(machines, idleMachines(name, n)...)
	}
	return pools, machines
}

func apply(pools []room.Pool, machines []sizing.Machine, moves []sizing.Move) {
	for _, m := range moves {
		for i := range pools {
			switch pools[i].Name {
			case m.To:
				pools[i].Have += vmCPU
			case m.From:
				pools[i].Have -= vmCPU
			}
		}
		for i := range machines {
			if machines[i].ID == m.Machine {
				machines[i].Pool = m.To
			}
		}
	}
}
