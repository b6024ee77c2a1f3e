// Package forecast keeps the distributions of the run times of a queue's tasks, and tells whether
// a run that takes long is unusual in the queue. It uses no clock, network or goroutines.
package forecast

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
