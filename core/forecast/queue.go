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
	// LargeRatio is the ratio of a step's typical run time to that of its queue from which the
	// step counts as large.
	LargeRatio = 6
	// heavyTailShare is the share of long runs, or of large steps, from which a tail is heavy.
	// Log-normal distributions stay far below it with a third of a log unit of variation within
	// a step, and half of one between steps.
	heavyTailShare = 0.005
	// tailQuantile is the quantile that nearly all values stay below.
	tailQuantile = 0.999
	// minLongRuns is the weight of the values in a tail without which it isn't heavy: one long
	// run may have many causes.
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
	// Ratios holds run times divided by the median of the siblings.
	Ratios Distribution
	// Sizes holds steps' typical run times divided by that of the queue.
	Sizes Distribution
}

// Tail describes the upper tail of a distribution of ratios.
type Tail struct {
	// Share is the share of the values above the limit, and RunningShare their share of those
	// that are running at a moment, in which each counts by its run time.
	Share, RunningShare float64
	// Heavy is set if a value above the limit isn't unusual by itself.
	Heavy bool
	// Most is a value that nearly all others stay below.
	Most float64
}

// LongRuns returns the tail of the runs that are longer than their siblings.
func (q *Queue) LongRuns() Tail { return q.Ratios.upperTail(LongRatio) }

// LargeSteps returns the tail of the steps whose runs are all longer than is usual in the queue.
func (q *Queue) LargeSteps() Tail { return q.Sizes.upperTail(LargeRatio) }

// upperTail returns the tail above a limit.
func (d *Distribution) upperTail(limit float64) Tail {
	t := Tail{Share: d.ShareAbove(limit), RunningShare: d.weightAbove(limit), Most: d.Quantile(tailQuantile)}
	t.Heavy = t.Share >= heavyTailShare && t.Share*d.Count() >= minLongRuns
	return t
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
