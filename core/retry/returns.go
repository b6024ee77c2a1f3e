package retry

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	// maxReturnDelay bounds the delay after which a refused caller is told to return. Callers
	// with a later turn are spread over the second half of it.
	maxReturnDelay = 20 * time.Second
	// slotRetention is how long a series of return times is kept after its last one.
	slotRetention = time.Minute
)

// Series names callers that return for the same capacity, such as a pool's.
type Series string

// ReturnTimes gives refused callers the times at which to return, such that they come back at
// the rate at which they can be served, and earlier refused ones first. The zero value is
// ready to use.
type ReturnTimes struct {
	// next is the next free time of each series.
	next      map[Series]time.Time
	nextPrune time.Time
}

// Next returns when a caller refused at now returns. roomAt is when there is room for it at the
// earliest, and interval is how long it takes until there is room for another one.
func (t *ReturnTimes) Next(now time.Time, s Series, roomAt time.Time, interval time.Duration, id string) time.Time {
	if t.next == nil {
		t.next = map[Series]time.Time{}
	}
	t.prune(now)
	at := roomAt
	for _, x := range [...]time.Time{now, t.next[s]} {
		if x.After(at) {
			at = x
		}
	}
	if at.Sub(now) > maxReturnDelay {
		return now.Add(maxReturnDelay/2 + time.Duration(fraction(id)*float64(maxReturnDelay/2)))
	}
	t.next[s] = at.Add(interval)
	return at
}

// prune removes the series that nobody was refused for lately.
func (t *ReturnTimes) prune(now time.Time) {
	if now.Before(t.nextPrune) {
		return
	}
	t.nextPrune = now.Add(slotRetention)
	for s, at := range t.next {
		if now.Sub(at) > slotRetention {
			delete(t.next, s)
		}
	}
}

// WholeSeconds rounds a delay to whole seconds, at least one. It rounds up with a probability of
// the fraction, which depends on the ID alone, so that the mean delay of many callers is kept.
func WholeSeconds(d time.Duration, id string) time.Duration {
	seconds, rest := math.Modf(d.Seconds())
	if fraction(id) < rest {
		seconds++
	}
	return time.Duration(max(1, seconds)) * time.Second
}

// Spread returns a delay between d and twice d that depends on the ID alone, so that callers that
// fail together don't return together.
func Spread(d time.Duration, id string) time.Duration {
	return d + time.Duration(fraction("spread "+id)*float64(d))
}

// fraction maps an ID to a number from 0 to 1.
func fraction(id string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // Writing to a hash never fails.
	// The upper bits of FNV hardly depend on the last bytes, so the bits are mixed.
	x := h.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}
