// Package forecast predicts the run times of tasks from the distribution of those of earlier
// tasks in the same queue. It uses no clock, network or goroutines.
package forecast

import (
	"math"
	"time"
)

const (
	// LongRatio is the ratio of a run's time to the median of its siblings from which it
	// counts as long.
	LongRatio = 3
	// heavyTailShare is the share of long runs from which a tail is heavy. A log-normal
	// distribution with half a log unit of variation within a step stays below it.
	heavyTailShare = 0.01
	// minLongRuns is the weight of long runs without which a tail isn't heavy: one long run may
	// have many causes.
	minLongRuns = 1.5
	// minSamples is how many samples a distribution needs before it is used.
	minSamples = 50
	// estimateWeight is the weight of a caller's estimate against the learned run times.
	estimateWeight = 0.25
)

// Queue is what is known about the run times of a queue's tasks. The zero value knows nothing.
type Queue struct {
	// Times holds run times in seconds.
	Times Distribution
	// Ratios holds run times divided by the median of the siblings. Jobs of a queue differ in
	// size, and their steps' medians with them, so the tail shows in the ratios only.
	Ratios Distribution
}

// TailShare returns the share of runs that take more than LongRatio times the median of their
// siblings.
func (q *Queue) TailShare() float64 { return q.Ratios.ShareAbove(LongRatio) }

// RunningTailShare returns the share of long runs among those that are running at a moment,
// in which each run counts by its run time.
func (q *Queue) RunningTailShare() float64 { return q.Ratios.weightAbove(LongRatio) }

// HeavyTail reports whether so many of the known runs are long that a long run is no sign of a
// slow VM by itself.
func (q *Queue) HeavyTail() bool {
	share := q.TailShare()
	return share >= heavyTailShare && share*q.Ratios.Count() >= minLongRuns
}

// RunTime returns the quantile of the run time of a task with the caller's estimate, which is
// 0 if there is none. ok is false if too few runs are known.
func (q *Queue) RunTime(quantile float64, estimate time.Duration) (d time.Duration, ok bool) {
	return q.StepTime(quantile, estimate, 1)
}

// StepTime returns the quantile of the run time of the longest of n tasks. ok is false if too
// few runs are known.
func (q *Queue) StepTime(quantile float64, estimate time.Duration, n int) (d time.Duration, ok bool) {
	if q.Times.Count() < minSamples {
		return 0, false
	}
	return seconds(q.Times.QuantileOfMax(quantile, n) * q.correction(estimate)), true
}

// correction returns the factor by which a caller's estimate changes the queue's run times.
func (q *Queue) correction(estimate time.Duration) float64 {
	median := q.Times.Quantile(0.5)
	if estimate <= 0 || median <= 0 {
		return 1
	}
	return math.Pow(estimate.Seconds()/median, estimateWeight)
}

// StepTimeOf returns the quantile of the run time of the longest of n tasks whose siblings'
// median is known. ok is false if too few runs are known.
func (q *Queue) StepTimeOf(quantile float64, median time.Duration, n int) (d time.Duration, ok bool) {
	if q.Ratios.Count() < minSamples {
		return 0, false
	}
	return seconds(q.Ratios.QuantileOfMax(quantile, n) * median.Seconds()), true
}

// Remaining returns the expected remaining time of a run that has run for ran, given the
// median of its siblings. It is 0 if no known run took that long.
func (q *Queue) Remaining(ran, median time.Duration) time.Duration {
	if median <= 0 {
		return 0
	}
	mean, ok := q.Ratios.MeanAbove(ran.Seconds() / median.Seconds())
	if !ok {
		return 0
	}
	return max(0, seconds(mean*median.Seconds())-ran)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
