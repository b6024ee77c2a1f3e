package fairshare

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

var start = time.Unix(1_800_000_000, 0)

func equalWeights(job.AccountName) float64 { return 1 }

func notInUse(job.PoolName) bool { return false }

// demand returns the demand of a pool that is full.
func demand(waiting map[job.AccountName]job.Resources) Demand {
	return Demand{Pool: "p", Waiting: waiting, Weight: equalWeights}
}

// Guards against a mean that depends on how often it is read, and against accounts that are kept
// after their usage has decayed.
func TestMeanDecaysOverWindow(t *testing.T) {
	var l Ledger
	room := job.Resources{CPU: 1000}
	l.Add(start, "p", "a", room)
	for i := range 10 {
		l.Prune(start.Add(time.Duration(i)*Window/10), notInUse)
	}
	l.Remove(start.Add(Window), "p", "a", room)
	h := l.pools["p"].holdings["a"]
	assert.Assert(t, math.Abs(h.mean[0]-1000*(1-1/math.E)) < 1e-6, "%v", h.mean)
	l.Prune(start.Add(2*Window), notInUse)
	assert.Assert(t, math.Abs(h.mean[0]-1000*(1-1/math.E)/math.E) < 1e-6, "%v", h.mean)
	l.Prune(start.Add(20*Window), func(job.PoolName) bool { return true })
	assert.Equal(t, len(l.pools["p"].holdings), 1)
	l.Prune(start.Add(20*Window), notInUse)
	assert.Assert(t, l.Empty())
}

// Guards against accounts told apart by CPU alone: one that holds most of the accelerators is
// above its share, though it holds little CPU.
func TestDominantResourceDecides(t *testing.T) {
	var l Ledger
	l.Add(start, "p", "gpu", job.Resources{CPU: 1000, GPU: 8})
	l.Add(start, "p", "cpu", job.Resources{CPU: 3000, GPU: 1})
	d := l.Divide(start, demand(map[job.AccountName]job.Resources{"gpu": {CPU: 1000, GPU: 8}, "cpu": {CPU: 3000, GPU: 1}}))
	assert.Assert(t, d.Above("gpu") && !d.Above("none"))
	assert.Assert(t, d.Compare("cpu", "gpu") < 0)
}

// Guards against shares that bind although there is room for all.
func TestNoDivisionWhileThereIsRoom(t *testing.T) {
	var l Ledger
	x := demand(map[job.AccountName]job.Resources{"a": {CPU: 5000}})
	x.Free = job.Resources{CPU: 5000}
	assert.Assert(t, l.Divide(start, x) == nil)
}

// Guards against usage that counts in full though the row that holds it is old, or that is lost
// because the clock of the process that stored it was ahead.
func TestRestoredUsageDecaysWithItsAge(t *testing.T) {
	var l Ledger
	l.Add(start, "p", "a", job.Resources{CPU: 100_000, MemMB: 300})
	now := start.Add(10 * Window)
	stored := l.Save(now, start, "p")
	for age, keep := range map[time.Duration]float64{0: 1, Window: 1 / math.E, -Window: 1} {
		var next Ledger
		assert.Equal(t, next.Restore(now, start.Add(age), "p", stored), max(0, age))
		assert.Assert(t, math.Abs(next.pools["p"].holdings["a"].mean[0]-100_000*keep) < 10)
	}
	var late Ledger
	late.Restore(now, start.Add(100*Window), "p", stored)
	assert.Assert(t, late.Empty(), "rows of pools that were full long ago take no memory")
	assert.Assert(t, !l.Changed(now.Add(time.Second/10), "p"))
	l.Remove(now, "p", "a", job.Resources{CPU: 100_000, MemMB: 300})
	assert.Assert(t, !l.Changed(now.Add(Window), "p"), "a reader knows the decay")
	l.Add(now.Add(Window), "p", "b", job.Resources{CPU: 100_000})
	assert.Assert(t, l.Changed(now.Add(2*Window), "p"))
}

// Guards against rows that the table refuses: one of 620 accounts stays under 64 KiB.
func TestRowOfAllAccountsFitsTheTable(t *testing.T) {
	const maxRowBytes = 64 << 10
	var l Ledger
	for i := range 620 {
		l.Add(start, "p", job.AccountName(fmt.Sprintf("account-%04d", i)), job.Resources{CPU: 1_000_000, MemMB: 1_000_000, GPU: 13})
	}
	b, err := json.Marshal(l.Save(start.Add(10*Window), start, "p"))
	assert.NilError(t, err)
	assert.Assert(t, len(b) < maxRowBytes, "%d bytes", len(b))
	t.Logf("%d bytes", len(b))
}

// BenchmarkDivide measures the division of a full pool among 20 and among 620 accounts.
func BenchmarkDivide(b *testing.B) {
	for _, n := range []int{20, 620} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var l Ledger
			waiting := map[job.AccountName]job.Resources{}
			for i := range n {
				a := job.AccountName(fmt.Sprint(i))
				l.Add(start, "p", a, job.Resources{CPU: int64(i), MemMB: 100})
				waiting[a] = job.Resources{CPU: int64(1000 + i*37%500), MemMB: 100}
			}
			for b.Loop() {
				l.Divide(start, demand(waiting))
			}
		})
	}
}
