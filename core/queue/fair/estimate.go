package fair

import "time"

const (
	// estimateGain is the weight of the newest run in the mean.
	estimateGain = 0.1
	// lowQuantile is the quantile of run times that low tracks, and lowStep the
	// relative step of its stochastic approximation.
	lowQuantile = 0.1
	lowStep     = 0.1
	// minSamples is how many runs are needed before an estimate is trusted more
	// than a caller's word.
	minSamples = 5
)

// estimate tracks measured run times. Its zero value has seen none.
type estimate struct {
	samples int
	mean    float64
	// low is about the tenth percentile: hardly any run is shorter.
	low float64
}

// add takes a measured run into the estimate.
func (e *estimate) add(run time.Duration) {
	s := run.Seconds()
	e.samples++
	if e.samples == 1 {
		e.mean, e.low = s, s
		return
	}
	// The first runs are averaged evenly, so the start isn't held for long.
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
	// correctionDecay is how much of the sums a new wait leaves.
	correctionDecay = 0.98
	minCorrection   = 0.5
	maxCorrection   = 4
)

// correction learns by how much waits differ from their predictions, which know
// nothing of the work that will come and go first. Its zero value corrects
// nothing.
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
