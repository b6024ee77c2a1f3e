package least

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/route"
)

var testStart = time.Unix(1_800_000_000, 0).UTC()

const pool = core.PoolID("p")

func targets(n int) (list []route.Target) {
	for i := range n {
		list = append(list, route.Target{VM: core.VMID(fmt.Sprint("vm", i)), Pool: pool, Slots: 8, Connections: 64})
	}
	return list
}

// randomWalk performs n random steps: picks, ends with random results, and updates that
// change the budget. It calls check after each step.
func randomWalk(r *Router, rng *rand.Rand, n int, check func(maxEjected int) error) error {
	const vms = 10
	now := testStart
	budget := 0
	running := map[core.VMID]int{}
	for range n {
		now = now.Add(time.Duration(rng.IntN(500)) * time.Millisecond)
		switch rng.IntN(8) {
		case 0:
			budget = rng.IntN(4)
			r.Update(now, targets(vms-rng.IntN(2)), []route.Pool{{ID: pool, MaxEjected: budget}})
		case 1, 2, 3:
			if vm, ok := r.Pick(now, route.Criteria{Pool: pool, NoProbe: rng.IntN(2) == 0}); ok {
				r.Started(now, vm)
				running[vm]++
				if running[vm] > 8 {
					return fmt.Errorf("target %s has %d requests in 8 slots", vm, running[vm])
				}
			}
		default:
			vm := core.VMID(fmt.Sprint("vm", rng.IntN(vms)))
			if running[vm] == 0 {
				continue
			}
			running[vm]--
			result := route.Result(rng.IntN(6))
			if vm < "vm4" {
				result = route.Failed
			}
			r.Ended(now, vm, result, time.Second)
		}
		if err := check(budget); err != nil {
			return err
		}
	}
	return nil
}

// Shows that each bound holds with all safeguards and is exceeded when its own
// safeguard is disabled.
func TestSlotAndEjectionBounds(t *testing.T) {
	for _, p := range []struct {
		name     string
		disabled disabledSafeguards
		check    func(r *Router, budget int) error
	}{
		{"slots", disabledSafeguards{slotBound: true}, func(*Router, int) error { return nil }},
		{"ejected", disabledSafeguards{ejectionBound: true}, func(r *Router, budget int) error {
			if n := len(r.Ejected(pool)); n > budget {
				return fmt.Errorf("%d targets ejected, want at most %d", n, budget)
			}
			return nil
		}},
	} {
		t.Run(p.name, func(t *testing.T) {
			run := func(seed uint64, disabled disabledSafeguards) error {
				rng := rand.New(rand.NewPCG(seed, 1))
				r := &Router{Rand: rng, disabled: disabled, Entries: rng.IntN(3)}
				return randomWalk(r, rng, 1500, func(budget int) error { return p.check(r, budget) })
			}
			failedSeeds := 0
			var first error
			for seed := range uint64(100) {
				assert.NilError(t, run(seed, disabledSafeguards{}), "seed %d", seed)
				if err := run(seed, p.disabled); err != nil {
					failedSeeds++
					if first == nil {
						first = fmt.Errorf("seed %d: %w", seed, err)
					}
				}
			}
			t.Logf("safeguard disabled: bound exceeded with %d of 100 seeds, first: %v", failedSeeds, first)
			assert.Assert(t, failedSeeds > 0, "the bound is never exceeded with the safeguard disabled")
		})
	}
}

// requestsToBadTargets returns the number of requests that bad targets receive within
// 20 s from a fully loaded pool of ten. Bad targets fail every request in 5 ms; the
// others take a second per request.
func requestsToBadTargets(bad, budget int, disabled disabledSafeguards) int {
	r := &Router{disabled: disabled}
	r.Update(testStart, targets(10), []route.Pool{{ID: pool, MaxEjected: budget}})
	isBad := map[core.VMID]bool{}
	for _, target := range targets(bad) {
		isBad[target.VM] = true
	}
	ends := map[core.VMID][]time.Time{}
	requests := 0
	for now := testStart; now.Before(testStart.Add(20 * time.Second)); now = now.Add(5 * time.Millisecond) {
		for _, target := range targets(10) {
			for len(ends[target.VM]) > 0 && !now.Before(ends[target.VM][0]) {
				ends[target.VM] = ends[target.VM][1:]
				if isBad[target.VM] {
					r.Ended(now, target.VM, route.Failed, 5*time.Millisecond)
				} else {
					r.Ended(now, target.VM, route.Succeeded, time.Second)
				}
			}
		}
		for vm, ok := r.Pick(now, route.Criteria{Pool: pool}); ok; vm, ok = r.Pick(now, route.Criteria{Pool: pool}) {
			r.Started(now, vm)
			end := now.Add(time.Second)
			if isBad[vm] {
				end = now.Add(5 * time.Millisecond)
				requests++
			}
			ends[vm] = append(ends[vm], end)
		}
	}
	return requests
}

// Guards against a target that quickly fails every request: it appears idle, so a fully
// loaded pool sends it nearly all requests and callers receive failures although nine
// VMs are healthy. Once ejected, it receives only probes. If the budget is exhausted it
// can't be ejected, and is paced to the load of one slot instead.
func TestBadTargetGetsFewRequests(t *testing.T) {
	unprotected := requestsToBadTargets(1, 1, disabledSafeguards{ejection: true})
	ejected, paced := requestsToBadTargets(1, 1, disabledSafeguards{}), requestsToBadTargets(1, 0, disabledSafeguards{})
	t.Logf("requests to the failing target: %d without ejection, %d ejected, %d paced", unprotected, ejected, paced)
	assert.Assert(t, unprotected > 10000, "%d requests without ejection, want more than 10000", unprotected)
	assert.Assert(t, ejected < 50, "%d requests with ejection, want fewer than 50", ejected)
	assert.Assert(t, paced < 100, "%d requests with pacing, want fewer than 100", paced)
}

// Guards against a pool whose targets all fail every request, so that none is an
// outlier and none can be ejected. Requests that can't be repeated would fail as fast
// as they arrive, with an unknown outcome. With pacing, nearly all of them wait or are
// refused.
func TestFailingPoolIsPaced(t *testing.T) {
	unprotected, paced := requestsToBadTargets(10, 1, disabledSafeguards{pacing: true}), requestsToBadTargets(10, 1, disabledSafeguards{})
	t.Logf("requests to a failing pool: %d without pacing, %d paced", unprotected, paced)
	assert.Assert(t, unprotected > 100000, "%d requests without pacing, want more than 100000", unprotected)
	assert.Assert(t, paced < 500, "%d requests with pacing, want fewer than 500", paced)
}

// An ejected target that works again must be restored by its probes, and until then it
// must receive only one request at a time.
func TestEjectedTargetReturns(t *testing.T) {
	r := &Router{}
	r.Update(testStart, targets(3), []route.Pool{{ID: pool, MaxEjected: 1}})
	for range minHealthResults {
		r.Started(testStart, "vm0")
		r.Ended(testStart, "vm0", route.Failed, 0)
	}
	assert.DeepEqual(t, r.Ejected(pool), []core.VMID{"vm0"})
	now := testStart.Add(probeBackoffStep)
	_, ok := r.Pick(now, route.Criteria{Pool: pool, NoProbe: true, Tried: []core.VMID{"vm1", "vm2"}})
	assert.Assert(t, !ok, "a request that can't be repeated was used as a probe")
	for range probesToReturn {
		vm, _ := r.Pick(now, route.Criteria{Pool: pool})
		assert.Equal(t, vm, core.VMID("vm0"))
		r.Started(now, vm)
		other, _ := r.Pick(now, route.Criteria{Pool: pool})
		assert.Assert(t, other != vm, "two concurrent probes")
		r.Ended(now, vm, route.Succeeded, time.Second)
	}
	assert.Equal(t, len(r.Ejected(pool)), 0)
}

// Overflow must leave a reserve for the lending pool's own queue and never use a pool
// that doesn't lend.
func TestOverflowLeavesTheReserve(t *testing.T) {
	r := &Router{}
	lender := route.Target{VM: "lender", Pool: "lends", Slots: 8}
	own := route.Target{VM: "closed", Pool: "keeps", Slots: 8}
	r.Update(testStart, []route.Target{lender, own}, []route.Pool{{ID: "lends", LendsIdle: true}, {ID: "keeps"}})
	criteria := route.Criteria{Pool: pool, Overflow: true}
	assert.Equal(t, r.Idle(testStart, criteria), core.Slots(8-DefaultLendReserve))
	n := core.Slots(0)
	for vm, ok := r.Pick(testStart, criteria); ok; vm, ok = r.Pick(testStart, criteria) {
		assert.Equal(t, vm, core.VMID("lender"))
		r.Started(testStart, vm)
		n++
	}
	assert.Equal(t, n, core.Slots(8-DefaultLendReserve))
	assert.Equal(t, r.Idle(testStart, route.Criteria{Pool: "lends"}), core.Slots(DefaultLendReserve))

	// Urgent requests may use the reserve as well.
	criteria.Urgent = true
	assert.Equal(t, r.Idle(testStart, criteria), core.Slots(DefaultLendReserve))
	for range DefaultLendReserve {
		vm, ok := r.Pick(testStart, criteria)
		assert.Assert(t, ok)
		assert.Equal(t, vm, core.VMID("lender"))
		r.Started(testStart, vm)
	}
	_, ok := r.Pick(testStart, criteria)
	assert.Assert(t, !ok)
}
