package deadline

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type thing struct {
	at    time.Time
	index int
}

func (t *thing) Deadline() time.Time { return t.at }
func (t *thing) Place() *int         { return &t.index }

// TestAgainstSorting compares with a list that is sorted anew each time, under random
// additions, removals and changes of a deadline.
func TestAgainstSorting(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		var h Heap[*thing]
		var naive []*thing
		instant := func() time.Time { return time.Unix(int64(r.IntN(50)), 0) }
		for range 300 {
			switch n := len(naive); {
			case n == 0 || r.IntN(3) == 0:
				one := &thing{at: instant()}
				h.Push(one)
				naive = append(naive, one)
			case r.IntN(2) == 0:
				i := r.IntN(n)
				h.Remove(naive[i])
				naive = slices.Delete(naive, i, i+1)
			default:
				one := naive[r.IntN(n)]
				one.at = instant()
				h.Fix(one)
			}
			slices.SortFunc(naive, func(a, b *thing) int { return a.at.Compare(b.at) })
			now := instant()
			first, due := h.Due(now)
			assert.Equal(t, h.Len(), len(naive), "seed %d", seed)
			assert.Equal(t, due, len(naive) > 0 && !now.Before(naive[0].at), "seed %d", seed)
			assert.Assert(t, !due || first.at.Equal(naive[0].at), "seed %d", seed)
		}
	}
}
