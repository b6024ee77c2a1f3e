package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
)

var testStart = time.Unix(1_800_000_000, 0).UTC()

// checkRetryBound requests up to nine retries after each step, as in an outage, and
// returns an error if more are allowed than the budget permits.
func checkRetryBound(rng *rand.Rand, unbounded bool) error {
	b := TokenBucket{Ratio: 0.05 + rng.Float64()/4, Burst: float64(1 + rng.IntN(20)), unbounded: unbounded}
	first, allowed := 0, 0
	for range 500 {
		if rng.IntN(3) > 0 {
			b.First(testStart)
			first++
		}
		for range rng.IntN(10) {
			if b.Allow(testStart) {
				allowed++
			}
		}
		if bound := b.Ratio*float64(first) + b.Burst; float64(allowed) > bound+1e-6 {
			return fmt.Errorf("%d retries allowed after %d first attempts, want at most %.1f", allowed, first, bound)
		}
	}
	return nil
}

func TestBudgetBoundsRetries(t *testing.T) {
	unboundedFailures := 0
	for seed := range uint64(100) {
		assert.NilError(t, checkRetryBound(rand.New(rand.NewPCG(seed, 1)), false), "seed %d", seed)
		if checkRetryBound(rand.New(rand.NewPCG(seed, 1)), true) != nil {
			unboundedFailures++
		}
	}
	assert.Equal(t, unboundedFailures, 100, "the bound held with %d seeds although the budget was disabled", 100-unboundedFailures)
}

func TestBackoffGrowsToItsBound(t *testing.T) {
	for growth, want := range map[Growth][]time.Duration{
		Exponential: {250, 500, 1000, 2000, 4000, 5000, 5000},
		Linear:      {250, 500, 750, 1000, 1250, 1500, 1750},
	} {
		b := TokenBucket{Growth: growth}
		for n, ms := range want {
			full := ms * time.Millisecond
			for range 50 {
				d := b.Backoff(testStart, n+1).Sub(testStart)
				assert.Assert(t, d >= full/2 && d <= full, "retry %d waits %v, want between half of %v and all of it", n+1, d, full)
			}
		}
	}
}

func TestSafeToRetry(t *testing.T) {
	for _, p := range []Progress{NotSent, Refused, Sent} {
		assert.Assert(t, SafeToRetry(p, true), p.String())
		assert.Equal(t, SafeToRetry(p, false), p != Sent, p.String())
	}
	assert.Assert(t, !SafeToRetry(Progress(7), false), "an unknown progress must not allow a retry")
}

// Guards against a request that fails everywhere and is sent to every target until its
// deadline. It must end after MaxTargets different targets, with not_run only if none
// of them started it.
func TestFailedTargetsAreBounded(t *testing.T) {
	var refused, failed FailedTargets
	for n := range MaxTargets {
		_, done := refused.Exhausted()
		assert.Assert(t, !done)
		vm := core.VMID(fmt.Sprint("vm", n))
		refused.Add(vm, Refused)
		refused.Add(vm, Refused)
		failed.Add(vm, []Progress{Sent, Refused, Refused}[n])
	}
	answer, done := refused.Exhausted()
	assert.Assert(t, done)
	assert.Equal(t, core.CodeOf(answer), core.CodeCannotRun)
	answer, _ = failed.Exhausted()
	assert.Equal(t, core.CodeOf(answer), core.CodeTargetFailed)
	assert.Equal(t, len(failed.Targets()), MaxTargets)
}
