package room

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFillAgainstUnitByUnit compares fill with a naive version that gives one unit after the
// other to the pool that has received the least and still wants more.
func TestFillAgainstUnitByUnit(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		available := rng.Int64N(60)
		pools := make([]Pool, 4)
		granted := make([]int64, 4)
		for i := range pools {
			pools[i].Urgent = rng.Int64N(30)
		}
		for range available {
			least := -1
			for i := range pools {
				if granted[i] < pools[i].Urgent && (least < 0 || granted[i] < granted[least]) {
					least = i
				}
			}
			if least < 0 {
				break
			}
			granted[least]++
		}
		fill(pools, available, func(p *Pool) *int64 { return &p.Urgent }, func(*Pool) int64 { return 0 })
		for i := range pools {
			assert.Assert(t, max(pools[i].Urgent-granted[i], granted[i]-pools[i].Urgent) <= 1, "seed %d: %v, want %v", seed, pools, granted)
		}
	}
}
