package objective_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
	"lavenderpond/core/objective"
)

// TestLongestPathAgainstAllPaths compares LongestPath with a naive version that walks each path.
func TestLongestPathAgainstAllPaths(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 1))
		steps := make([]job.Step, 1+rng.IntN(6))
		took := make([]time.Duration, len(steps))
		for i := range steps {
			took[i] = time.Duration(rng.IntN(10)) * time.Second
			for a := range i {
				if rng.IntN(2) == 0 {
					steps[i].After = append(steps[i].After, a)
				}
			}
		}
		var walk func(i int) time.Duration
		walk = func(i int) time.Duration {
			before := time.Duration(0)
			for _, a := range steps[i].After {
				before = max(before, walk(a))
			}
			return before + took[i]
		}
		want := time.Duration(0)
		for i := range steps {
			want = max(want, walk(i))
		}
		assert.Equal(t, objective.LongestPath(steps, func(i int) time.Duration { return took[i] }), want, "seed %d", seed)
	}
}

// Guards against jobs without an objective: callers may state no estimate, and queues no stretch.
func TestDefaults(t *testing.T) {
	assert.Equal(t, objective.Allowed(&job.Terms{LatencyAllowance: time.Second}, 2*time.Second), 4*time.Second)
	assert.Equal(t, objective.Estimate(0), time.Second)
	assert.Equal(t, objective.RunTime(0, math.Log(1)), time.Second)
}
