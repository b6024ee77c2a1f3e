package admission

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Load: a pool that is full for ten seconds while its figures change all the time. At most five
// forecasts a second are stored, at least one while a reader uses the last, and none without need.
func TestForecastsAreStoredAtABoundedRate(t *testing.T) {
	var p Publisher
	_, due := p.Next(start, Forecast{})
	assert.Assert(t, !due, "nothing is full")
	stored, last := 0, start
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		f, due := p.Next(now, forecast(0, CoreSeconds(1000*(i%7)), 0))
		if due {
			stored++
			assert.Equal(t, f.Sequence, Sequence(stored))
			last = now
		}
		assert.Assert(t, now.Sub(last) < maxForecastAge)
	}
	assert.Equal(t, stored, 50)
	end := start.Add(11 * time.Second)
	f, due := p.Next(end, Forecast{})
	assert.Assert(t, due && !f.Scarce(), "the pool has room again")
	_, due = p.Next(end.Add(time.Hour), Forecast{})
	assert.Assert(t, !due)
}

// Load: the forecast of many full pools changes all the time. Its bytes a second stay bounded.
func TestLargeForecastsAreStoredLessOften(t *testing.T) {
	var p Publisher
	bytes := 0
	for i := range 1000 {
		f := forecast(0, CoreSeconds(1000*(i%7)), 0)
		for range 5 {
			f.Pools = append(f.Pools, f.Pools...)
		}
		if f, due := p.Next(start.Add(time.Duration(i)*10*time.Millisecond), f); due {
			b, err := json.Marshal(f)
			assert.NilError(t, err)
			bytes += len(b)
		}
	}
	assert.Assert(t, bytes > 50_000 && bytes < 11*publishBudget, "%d", bytes)
}

// Checks that an unchanged forecast is stored again only to keep it in use.
func TestUnchangedForecastIsRefreshed(t *testing.T) {
	var p Publisher
	stored := 0
	for i := range 300 {
		if _, due := p.Next(start.Add(time.Duration(i)*10*time.Millisecond), forecast(0, 100, 0)); due {
			stored++
		}
	}
	assert.Equal(t, stored, 5)
}
