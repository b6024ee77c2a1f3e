// Package objective predicts how long jobs take and says by when they are due. The owner and the
// entry VMs use the same predictions, so that they agree on which jobs can be in time.
package objective

import (
	"math"
	"time"

	"lavenderpond/core/job"
)

const (
	// LateFactor is how many times its allowed time a job may take and still be of some use to
	// its caller.
	LateFactor = 3
	// estimateWeight is the weight of the caller's estimate against the queue's learned run
	// time. Estimates are off by up to 0.9 of a log unit; run times of a queue vary by about
	// half of one.
	estimateWeight = 0.25
	// roughness is by how much estimates are off, in log units.
	roughness = 0.9
	// defaultEstimate is used for tasks without an estimate.
	defaultEstimate = time.Second
	// defaultStretch is used for queues that set none.
	defaultStretch = 1.5
)

// Allowed returns how long a job may take to be in time, given how long its steps take if nothing
// delays them.
func Allowed(t *job.Terms, chain time.Duration) time.Duration {
	stretch := t.Stretch
	if stretch <= 0 {
		stretch = defaultStretch
	}
	return time.Duration(stretch*float64(chain)) + t.LatencyAllowance
}

// Estimate returns the caller's estimate of a task's run time, or the default if there is none.
func Estimate(estimate time.Duration) time.Duration {
	if estimate <= 0 {
		return defaultEstimate
	}
	return estimate
}

// Queue is what is known of the runs of a queue: the mean logarithms of their run times and of their
// callers' estimates, both in seconds.
type Queue struct {
	MeanLogRunTime, MeanLogEstimate float64
}

// RunTime predicts the run time of a task from the caller's estimate and the runs of its queue. An
// estimate that differs from the queue's others by more than estimates are off tells of another kind of
// task, and counts in full beyond that.
func RunTime(estimate time.Duration, q Queue) time.Duration {
	l := estimateWeight*LogEstimate(estimate) + (1-estimateWeight)*(q.MeanLogRunTime+excess(estimate, q.MeanLogEstimate))
	return time.Duration(math.Exp(l) * float64(time.Second))
}

// LogEstimate returns the logarithm of an estimate in seconds.
func LogEstimate(estimate time.Duration) float64 { return math.Log(Estimate(estimate).Seconds()) }

// Scale returns how many times as long as tasks with usual estimates, whose mean logarithm is given, a
// task takes at least by its own estimate, or at most if that is below 1.
func Scale(estimate time.Duration, meanLogEstimate float64) float64 {
	return math.Exp(excess(estimate, meanLogEstimate))
}

// excess returns by how much an estimate differs from the usual ones beyond its roughness, in log units.
func excess(estimate time.Duration, meanLogEstimate float64) float64 {
	d := LogEstimate(estimate) - meanLogEstimate
	return math.Copysign(max(0, math.Abs(d)-roughness), d)
}

// LongestPath returns how long the steps take if each begins as soon as all steps that it
// depends on are complete.
func LongestPath(steps []job.Step, duration func(i int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i := range steps {
		for _, a := range steps[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += duration(i)
		longest = max(longest, ends[i])
	}
	return longest
}
