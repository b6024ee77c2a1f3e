package schedule

import (
	"math"
	"time"
)

// decayingPeak is the maximum of past values, each of which decays exponentially. Its zero value
// has seen none.
type decayingPeak struct {
	value float64
	at    time.Time
}

// raise raises the peak to x if that is larger. decay is the time constant.
func (p *decayingPeak) raise(now time.Time, x float64, decay time.Duration) {
	if !p.at.IsZero() {
		p.value *= math.Exp(-now.Sub(p.at).Seconds() / decay.Seconds())
	}
	p.at = now
	p.value = max(p.value, x)
}
