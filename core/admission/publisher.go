package admission

import (
	"encoding/json"
	"math"
	"slices"
	"time"
)

const (
	// minPublishInterval is the least time between two forecasts in the table.
	minPublishInterval = 200 * time.Millisecond
	// refreshInterval is when an unchanged forecast is written again while a pool is full.
	// Readers use a forecast for 1.5 s.
	refreshInterval = 600 * time.Millisecond
	// materialChange is the relative change of a figure that is worth a new forecast.
	materialChange = 0.1
	// smallWork is the change in core-seconds that is never worth one.
	smallWork CoreSeconds = 20
	// publishBudget is how many bytes of forecasts are stored per second at most.
	publishBudget = 10_000
)

// Publisher decides when the owner stores a forecast. The zero value has stored none.
type Publisher struct {
	// After is a sequence below those of all forecasts.
	After Sequence

	last   Forecast
	lastAt time.Time
	// nextAt is the earliest time of the next forecast.
	nextAt time.Time
}

// Next returns the forecast to store now, with its sequence, or false if none is due. Without
// a full pool, only the change to that is stored.
func (p *Publisher) Next(now time.Time, f Forecast) (Forecast, bool) {
	switch {
	case now.Before(p.nextAt):
		return Forecast{}, false
	case !f.Scarce() && !p.last.Scarce():
		return Forecast{}, false
	case now.Sub(p.lastAt) < refreshInterval && !changed(p.last, f):
		return Forecast{}, false
	}
	f.Sequence = max(p.After, p.last.Sequence) + 1
	p.last, p.lastAt, p.nextAt = f, now, now.Add(max(minPublishInterval, sendTime(f)))
	return f, true
}

// sendTime returns how long a forecast takes at the rate of publishBudget.
func sendTime(f Forecast) time.Duration {
	b, err := json.Marshal(f)
	if err != nil {
		// Only figures that aren't numbers can't be encoded. Storing the forecast reports them.
		return 0
	}
	return time.Duration(float64(len(b)) / publishBudget * float64(time.Second))
}

// changed reports whether two forecasts differ materially.
func changed(a, b Forecast) bool {
	if len(a.Pools) != len(b.Pools) || !slices.Equal(a.BeyondShare, b.BeyondShare) {
		return true
	}
	for i := range b.Pools {
		p, q := &a.Pools[i], &b.Pools[i]
		if p.Name != q.Name || differ(CoreSeconds(p.Cores), CoreSeconds(q.Cores)) ||
			differ(p.workBefore(InTimeRank, math.MaxInt), q.workBefore(InTimeRank, math.MaxInt)) ||
			differ(p.workBefore(BeyondShareRank, math.MaxInt), q.workBefore(BeyondShareRank, math.MaxInt)) {
			return true
		}
	}
	return false
}

func differ(a, b CoreSeconds) bool {
	d := math.Abs(float64(a - b))
	return d > float64(smallWork) && d > materialChange*math.Abs(float64(a))
}
