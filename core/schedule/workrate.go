package schedule

import (
	"math"
	"time"
)

// workRate is the rate at which work arrives, in core-seconds per second, averaged over
// arrivalDecay. The zero value has seen no work.
type workRate struct {
	mean   float64
	seenAt time.Time
}

// add adds work, in core-seconds.
func (r *workRate) add(now time.Time, work float64) {
	r.mean = r.at(now) + work/arrivalDecay.Seconds()
	r.seenAt = now
}

// at returns the rate, which decays while no work arrives.
func (r *workRate) at(now time.Time) float64 {
	return r.mean * math.Exp(-now.Sub(r.seenAt).Seconds()/arrivalDecay.Seconds())
}
