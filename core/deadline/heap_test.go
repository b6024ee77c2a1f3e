package deadline

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type testItem struct {
	at    time.Time
	index int
}

func (t *testItem) Deadline() time.Time { return t.at }
func (t *testItem) HeapIndex() *int     { return &t.index }

// TestHeapMatchesSortedSlice compares the heap with a slice that is sorted after every
// operation, under random insertions, removals and deadline changes.
func TestHeapMatchesSortedSlice(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		var h Heap[*testItem]
		var reference []*testItem
		randomTime := func() time.Time { return time.Unix(int64(r.IntN(50)), 0) }
		for range 300 {
			switch n := len(reference); {
			case n == 0 || r.IntN(3) == 0:
				item := &testItem{at: randomTime()}
				h.Push(item)
				reference = append(reference, item)
			case r.IntN(2) == 0:
				i := r.IntN(n)
				h.Remove(reference[i])
				reference = slices.Delete(reference, i, i+1)
			default:
				item := reference[r.IntN(n)]
				item.at = randomTime()
				h.Fix(item)
			}
			slices.SortFunc(reference, func(a, b *testItem) int { return a.at.Compare(b.at) })
			now := randomTime()
			first, due := h.Due(now)
			assert.Equal(t, h.Len(), len(reference), "seed %d", seed)
			assert.Equal(t, due, len(reference) > 0 && !now.Before(reference[0].at), "seed %d", seed)
			assert.Assert(t, !due || first.at.Equal(reference[0].at), "seed %d", seed)
		}
	}
}
