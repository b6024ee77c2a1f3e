package fair

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/queue"
)

const q = core.QueueID("q")

var testStart = time.Unix(1_800_000_000, 0).UTC()

func acceptAll(queue.Item) bool { return true }

func item(team string, n int, urgent bool, within time.Duration) queue.Item {
	return queue.Item{
		Key:   core.RequestKey{Team: core.TeamID(team), ID: core.RequestID(fmt.Sprint(n))},
		Queue: q, Urgent: urgent, Deadline: testStart.Add(within), DeclaredRun: time.Second,
	}
}

func fixedBound(n int) func(core.QueueID) int { return func(core.QueueID) int { return n } }

// Shows that each property holds with all safeguards and is violated when its own
// safeguard is disabled.
func TestProperties(t *testing.T) {
	for _, p := range []struct {
		name     string
		disabled disabledSafeguards
		check    func(disabled disabledSafeguards, rng *rand.Rand) error
	}{
		{"weighted shares", disabledSafeguards{fairness: true}, checkShares},
		{"urgent flood starves no team", disabledSafeguards{urgentBound: true}, checkUrgentBound},
		{"expired items are never popped", disabledSafeguards{expiryCheck: true}, checkNoExpiredItems},
		{"work conservation", disabledSafeguards{teamSkipping: true}, checkWorkConserving},
	} {
		t.Run(p.name, func(t *testing.T) {
			failedSeeds := 0
			var first error
			for seed := range uint64(200) {
				assert.NilError(t, p.check(disabledSafeguards{}, rand.New(rand.NewPCG(seed, 1))), "seed %d", seed)
				if err := p.check(p.disabled, rand.New(rand.NewPCG(seed, 1))); err != nil {
					failedSeeds++
					if first == nil {
						first = fmt.Errorf("seed %d: %w", seed, err)
					}
				}
			}
			t.Logf("safeguard disabled: property violated with %d of 200 seeds, first: %v", failedSeeds, first)
			assert.Assert(t, failedSeeds > 0, "the property is never violated with the safeguard disabled")
		})
	}
}

// checkShares serves teams that always have waiting items, with runs of different
// lengths. The slot time per share of two teams may differ by no more than their
// longest runs per share, because each team had at most one run charged before it was
// measured.
func checkShares(disabled disabledSafeguards, rng *rand.Rand) error {
	shares := map[core.TeamID]int{"a": 1, "b": 2, "c": 1 + rng.IntN(6), "d": 9}
	f := Queue{Share: func(t core.TeamID) int { return shares[t] }, MaxQueued: fixedBound(1 << 20), disabled: disabled}
	got := map[core.TeamID]float64{}
	longest := 0.0
	for n := range 300 {
		for team := range shares {
			f.Push(testStart, item(string(team), n, false, 24*time.Hour), 1<<20)
		}
	}
	for range 250 {
		i, _ := f.Pop(testStart, q, acceptAll)
		run := 0.1 + rng.ExpFloat64()
		longest = math.Max(longest, run)
		got[i.Key.Team] += run
		f.Observe(testStart, q, i.Key.Team, secondsToDuration(run))
	}
	for a := range shares {
		for b := range shares {
			wa, wb := float64(shares[a]), float64(shares[b])
			if gap := math.Abs(got[a]/wa - got[b]/wb); gap > longest/wa+longest/wb {
				return fmt.Errorf("team %s got %.2f s and team %s %.2f s of slot time with shares %v and a longest run of %.2f s", a, got[a], b, got[b], shares, longest)
			}
		}
	}
	return nil
}

// checkUrgentBound adds a flood of urgent work from one team. The other team must
// receive half of the runs, less those by which urgent work may be ahead.
func checkUrgentBound(disabled disabledSafeguards, rng *rand.Rand) error {
	f := Queue{MaxQueued: fixedBound(1 << 20), disabled: disabled}
	const n = 200
	for i := range n {
		f.Push(testStart, item("flood", i, true, 24*time.Hour), 1<<20)
		f.Push(testStart, item("calm", i, false, 24*time.Hour), 1<<20)
	}
	calm, served := 0, 100+rng.IntN(n-100)
	for range served {
		i, _ := f.Pop(testStart, q, acceptAll)
		if i.Key.Team == "calm" {
			calm++
		}
		f.Observe(testStart, q, i.Key.Team, time.Second)
	}
	if calm < served/2-urgentLeadRuns {
		return fmt.Errorf("team calm got %d of %d runs", calm, served)
	}
	return nil
}

// checkNoExpiredItems pops at random times, sometimes after a call of Expired.
func checkNoExpiredItems(disabled disabledSafeguards, rng *rand.Rand) error {
	f := Queue{disabled: disabled}
	now := testStart
	for n := range 100 {
		f.Push(now, item("a", n, rng.IntN(2) == 0, time.Duration(rng.IntN(20))*time.Second), 1<<20)
		now = now.Add(time.Duration(rng.IntN(1000)) * time.Millisecond)
		if rng.IntN(4) == 0 {
			f.Expired(now)
		}
		if i, ok := f.Pop(now, q, acceptAll); ok && !now.Before(i.Deadline) {
			return fmt.Errorf("popped an item at %v, after its deadline %v", now, i.Deadline)
		}
	}
	return nil
}

// checkWorkConserving keeps some teams at their limit. Pop must find the work of any other
// team.
func checkWorkConserving(disabled disabledSafeguards, rng *rand.Rand) error {
	f := Queue{MaxQueued: fixedBound(1 << 20), disabled: disabled}
	free := map[core.TeamID]int{}
	for n := range 100 {
		team := fmt.Sprint("team", rng.IntN(10))
		f.Push(testStart, item(team, n, rng.IntN(2) == 0, time.Hour), 1<<20)
		free[core.TeamID(team)]++
	}
	blocked := map[core.TeamID]bool{}
	for f.Len(q) > 0 {
		blocked[core.TeamID(fmt.Sprint("team", rng.IntN(10)))] = rng.IntN(3) > 0
		runnable := 0
		for team, n := range free {
			if !blocked[team] {
				runnable += n
			}
		}
		i, ok := f.Pop(testStart, q, func(i queue.Item) bool { return !blocked[i.Key.Team] })
		if ok != (runnable > 0) {
			return fmt.Errorf("Pop returned %t with %d items of teams below their limit", ok, runnable)
		}
		if ok {
			free[i.Key.Team]--
		}
	}
	return nil
}

// Guards against an order of service that depends on the order of cancellations, as it
// would if the heap order weren't restored after a compaction. The remaining requests
// must be served in the same order whichever way the others were cancelled, and each
// cancelled request must be gone immediately.
func TestCancelOrderDoesNotMatter(t *testing.T) {
	failedSeeds, firstFailedSeed := 0, uint64(0)
	for seed := range uint64(100) {
		assert.Assert(t, sameOrderAfterCancels(t, disabledSafeguards{}, seed), "seed %d", seed)
		if !sameOrderAfterCancels(t, disabledSafeguards{reordering: true}, seed) {
			failedSeeds++
			if failedSeeds == 1 {
				firstFailedSeed = seed
			}
		}
	}
	t.Logf("safeguard disabled: property violated with %d of 100 seeds, first %d", failedSeeds, firstFailedSeed)
	assert.Assert(t, failedSeeds > 0, "the property is never violated with the safeguard disabled")
}

// sameOrderAfterCancels cancels 60 of 100 items in two different orders and reports
// whether the rest is served in the same order.
func sameOrderAfterCancels(t *testing.T, disabled disabledSafeguards, seed uint64) bool {
	cancelled := rand.New(rand.NewPCG(seed, 2)).Perm(100)[:60]
	serve := func() (served []core.RequestKey) {
		f := Queue{disabled: disabled}
		for n := range 100 {
			f.Push(testStart, item(fmt.Sprint("team", n%7), n, n%3 == 0, time.Duration(1+n%11)*time.Minute), 1<<20)
		}
		for _, n := range cancelled {
			key := core.RequestKey{Team: core.TeamID(fmt.Sprint("team", n%7)), ID: core.RequestID(fmt.Sprint(n))}
			assert.Assert(t, f.Remove(key) && !f.Remove(key), "seed %d", seed)
		}
		for i, ok := f.Pop(testStart, q, acceptAll); ok; i, ok = f.Pop(testStart, q, acceptAll) {
			served = append(served, i.Key)
		}
		return served
	}
	first := serve()
	slices.Reverse(cancelled)
	second := serve()
	assert.Equal(t, len(first), 40)
	return slices.Equal(first, second)
}

// Guards against cancellations whose cost grows with the queue. An entry is examined
// again only when a heap is compacted, and a heap is compacted only when more than half
// of its entries are marked. With a compaction at each cancellation, n cancellations
// would cost n squared.
func TestCancellationCostIsConstant(t *testing.T) {
	perCancellation := func(disabled disabledSafeguards, n int) float64 {
		f := Queue{MaxQueued: fixedBound(1 << 20), disabled: disabled}
		for i := range n {
			f.Push(testStart, item("a", i, false, time.Hour), 1<<20)
		}
		heaps := []*lazyHeap{&f.expiry, &f.queues[q].teams["a"].normal}
		examined := 0
		for i := range n {
			before := []int{len(heaps[0].entries), len(heaps[1].entries)}
			assert.Assert(t, f.Remove(core.RequestKey{Team: "a", ID: core.RequestID(fmt.Sprint(i))}))
			for k, l := range heaps {
				if len(l.entries) < before[k] {
					examined += before[k]
				}
				assert.Assert(t, len(l.entries) <= 2*l.liveCount(), "the heap keeps %d entries for %d waiting items", len(l.entries), l.liveCount())
			}
		}
		return float64(examined) / float64(n)
	}
	for _, n := range []int{1000, 4000} {
		lazy, eager := perCancellation(disabledSafeguards{}, n), perCancellation(disabledSafeguards{lazyRemoval: true}, n)
		t.Logf("%d cancellations examine %.1f entries each; %.0f if each one compacts the heap", n, lazy, eager)
		assert.Assert(t, lazy <= 4.1 && eager > float64(n)/2)
	}
}

// Guards against refused callers that retry together. A burst is refused while it waits
// for slots; the times to retry must be in the future, and about as far apart as slots
// become free.
func TestRetryTimesAreSpread(t *testing.T) {
	f := Queue{MaxQueued: fixedBound(50)}
	for n := range 10 {
		f.Push(testStart, item("a", n, false, time.Hour), 1<<20)
		f.Pop(testStart, q, acceptAll)
		f.Observe(testStart, q, "a", time.Second)
	}
	var times []time.Time
	for n := range 150 {
		if refusal, ok := f.Push(testStart, item("a", 100+n, false, time.Hour), 0); !ok {
			assert.Equal(t, refusal.Code, core.CodeQueueFull)
			times = append(times, refusal.ComeBackAt)
		}
	}
	assert.Assert(t, len(times) > 100, "only %d requests were refused", len(times))
	perSecond := map[int]int{}
	for _, at := range times {
		assert.Assert(t, !at.Before(testStart.Add(minRetryDelay)) && at.Before(testStart.Add(maxRetryDelay+time.Second)), at.String())
		perSecond[int(at.Sub(testStart).Seconds())]++
	}
	for second, n := range perSecond {
		assert.Assert(t, n <= 15, "%d callers return in second %d", n, second)
	}
}
