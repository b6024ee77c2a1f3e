package indexset

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// Compares the set with a map.
func TestSetMatchesMap(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		var s Set
		twin := map[int]bool{}
		for range 60 {
			i := random.IntN(40)
			if random.IntN(10) == 0 {
				s.AddBelow(i)
				for k := range i {
					twin[k] = true
				}
			} else {
				s.Add(i)
				twin[i] = true
			}
			assert.Assert(t, slices.Equal(s.All(), slices.Sorted(maps.Keys(twin))), "seed %d", seed)
			assert.Equal(t, s.Len(), len(twin), "seed %d", seed)
			for k := range 41 {
				assert.Equal(t, s.Has(k), twin[k], "seed %d, index %d", seed, k)
			}
		}
		assert.Equal(t, len(s.All()), s.Before()+len(s.Beyond()), "seed %d", seed)
	}
}
