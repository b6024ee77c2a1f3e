package fair

import "time"

const (
	// estimateGain is the weight of the newest run in the moving average.
	estimateGain = 0.1
	// lowQuantile is the quantile of run times that low tracks, and lowStep is the
	// relative step of its stochastic approximation.
	lowQuantile = 0.1
	lowStep     = 0.1
	// minSamples is the number of runs required before an estimate takes precedence
	// over the caller's declaration.
	minSamples = 5
)

// estimate tracks measured run times. The zero value has no samples.
type estimate struct {
	samples int
	mean    float64
	// low is about the tenth percentile of run times, so few runs are shorter.
	low float64
}

// add includes a measured run time in the estimate.
func (e *estimate) add(run time.Duration) {
	s := run.Seconds()
	e.samples++
	if e.samples == 1 {
		e.mean, e.low = s, s
		return
	}
	// The first runs are averaged with equal weights, so that the very first one loses
	// its influence quickly.
	e.mean += (s - e.mean) * max(estimateGain, 1/float64(e.samples))
	if s < e.low {
		e.low *= 1 - lowStep*(1-lowQuantile)
	} else {
		e.low *= 1 + lowStep*lowQuantile
	}
}

func (e *estimate) trusted() bool { return e.samples >= minSamples }

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

const (
	// correctionDecay is the factor by which each new wait reduces the previous sums.
	correctionDecay = 0.98
	minCorrection   = 0.5
	maxCorrection   = 4
)

// correction tracks the ratio of actual to predicted waits. Predictions don't account
// for work that arrives later and is served first. The zero value corrects nothing.
type correction struct{ predicted, waited float64 }

func (c *correction) add(predicted, waited time.Duration) {
	c.predicted = c.predicted*correctionDecay + predicted.Seconds()
	c.waited = c.waited*correctionDecay + waited.Seconds()
}

func (c *correction) apply(wait time.Duration) time.Duration {
	if c.predicted == 0 {
		return wait
	}
	return secondsToDuration(wait.Seconds() * min(max(c.waited/c.predicted, minCorrection), maxCorrection))
}
