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
	assert.Equal(t, objective.RunTime(0, objective.Queue{}), time.Second)
}

// Guards against a task of another kind that is predicted to take as long as its queue's usual tasks, and
// against rough estimates that outweigh what is known of the queue.
func TestRunTimeFollowsClearlyDifferentEstimate(t *testing.T) {
	usual := objective.Queue{MeanLogRunTime: math.Log(0.5), MeanLogEstimate: math.Log(0.5)}
	overestimated := objective.Queue{MeanLogRunTime: math.Log(0.5), MeanLogEstimate: math.Log(5)}
	for name, c := range map[string]struct {
		queue       objective.Queue
		estimate    time.Duration
		least, most time.Duration
	}{
		"usual":                        {usual, 500 * time.Millisecond, 499 * time.Millisecond, 501 * time.Millisecond},
		"rough":                        {usual, time.Second, 500 * time.Millisecond, 700 * time.Millisecond},
		"far longer":                   {usual, 80 * time.Second, 20 * time.Second, 80 * time.Second},
		"far shorter":                  {usual, 5 * time.Millisecond, 5 * time.Millisecond, 50 * time.Millisecond},
		"all overestimated":            {overestimated, 5 * time.Second, 500 * time.Millisecond, time.Second},
		"overestimated and far longer": {overestimated, 800 * time.Second, 20 * time.Second, 200 * time.Second},
	} {
		d := objective.RunTime(c.estimate, c.queue)
		assert.Assert(t, d >= c.least && d <= c.most, "%s: %s", name, d)
	}
}
