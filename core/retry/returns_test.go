package retry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// herd is what the callers of a herd got.
type herd struct {
	served, tries int
	longest       time.Duration
}

// playHerd plays callers who all come at once to a service that takes a job every interval, and
// refuses what it can't start within a second. next returns when a refused caller returns.
func playHerd(callers int, interval time.Duration, next func(now, free time.Time, id string) time.Time) herd {
	type caller struct {
		id string
		at time.Time
	}
	var h herd
	begin := time.Unix(1_800_000_000, 0)
	waiting := make([]caller, callers)
	for i := range waiting {
		waiting[i] = caller{fmt.Sprintf("%016x", i), begin}
	}
	for free, now := begin, begin; len(waiting) > 0; now = now.Add(10 * time.Millisecond) {
		if now.After(free) {
			free = now
		}
		left := waiting[:0]
		for _, c := range waiting {
			switch {
			case c.at.After(now):
			case free.Sub(now) <= time.Second:
				h.tries++
				h.served++
				h.longest = max(h.longest, now.Sub(begin))
				free = free.Add(interval)
				continue
			default:
				h.tries++
				c.at = next(now, free, c.id)
			}
			left = append(left, c)
		}
		waiting = left
	}
	return h
}

// Load: ten times as many callers as a pool can take at once return after a mass restart. Told when
// there is room, they are all served about as soon as with a retry each second, with less than two
// tries each instead of six.
func TestHerdReturnsAtTheRateThatIsServed(t *testing.T) {
	const callers, interval = 1000, 10 * time.Millisecond
	naive := playHerd(callers, interval, func(now, _ time.Time, _ string) time.Time { return now.Add(time.Second) })
	var r ReturnTimes
	told := playHerd(callers, interval, func(now, free time.Time, id string) time.Time {
		return now.Add(WholeSeconds(r.Next(now, "pool", free, interval, id).Sub(now), id))
	})
	assert.Equal(t, naive.served, callers)
	assert.Equal(t, told.served, callers)
	assert.Assert(t, naive.tries > 5*callers, "%+v", naive)
	assert.Assert(t, told.tries < 2*callers, "%+v", told)
	assert.Assert(t, told.longest < naive.longest+2*time.Second, "%+v %+v", told, naive)
}

// Checks that callers of a series return in the order of their refusals, and that a series doesn't
// delay another.
func TestEarlierRefusedReturnFirst(t *testing.T) {
	var r ReturnTimes
	now := time.Unix(1_800_000_000, 0)
	last := now
	for i := range 50 {
		at := r.Next(now, "a", now.Add(time.Second), 100*time.Millisecond, "id")
		assert.Assert(t, at.After(last), "%d", i)
		last = at
	}
	assert.Assert(t, r.Next(now, "b", now, time.Second, "id").Equal(now))
}

// Guards against callers who are told to return after hours because much is refused.
func TestReturnDelayIsBounded(t *testing.T) {
	var r ReturnTimes
	now := time.Unix(1_800_000_000, 0)
	for i := range 1000 {
		d := r.Next(now, "a", now.Add(time.Hour), time.Hour, fmt.Sprint(i)).Sub(now)
		assert.Assert(t, d >= maxReturnDelay/2 && d <= maxReturnDelay, "%v", d)
	}
}

// Checks that rounding to whole seconds keeps the mean, and that callers that fail together are
// spread over the interval.
func TestWholeSecondsKeepTheMean(t *testing.T) {
	var rounded, spread time.Duration
	for i := range 10_000 {
		id := fmt.Sprintf("%016x", i)
		rounded += WholeSeconds(2300*time.Millisecond, id)
		spread += WholeSeconds(Spread(time.Second, id), id)
	}
	assert.Assert(t, abs(rounded/10_000-2300*time.Millisecond) < 20*time.Millisecond, "%v", rounded/10_000)
	assert.Assert(t, abs(spread/10_000-1500*time.Millisecond) < 20*time.Millisecond, "%v", spread/10_000)
}

func abs(d time.Duration) time.Duration { return max(d, -d) }
