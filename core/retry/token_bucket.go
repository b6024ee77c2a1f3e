package retry

import (
	"math/rand/v2"
	"time"
)

// The defaults of a TokenBucket.
const (
	// DefaultRatio is the share of first attempts that may be retried.
	DefaultRatio = 0.1
	// DefaultBurst is how many retries may come at once after quiet times.
	DefaultBurst = 10
	// DefaultStep is the unit of back-off.
	DefaultStep = 250 * time.Millisecond
	// DefaultMaxBackoff bounds the back-off.
	DefaultMaxBackoff = 5 * time.Second
)

// Growth says how the back-off grows with the number of retries.
type Growth int

// The ways in which a back-off grows.
const (
	// Exponential doubles the back-off with each retry.
	Exponential Growth = iota
	// Linear adds a step with each retry.
	Linear
)

// TokenBucket is a Budget: a first attempt earns Ratio of a retry, at most Burst
// retries are saved. So over any time retries are at most Ratio of the first
// attempts plus Burst, however much fails. Its zero value works, with defaults.
type TokenBucket struct {
	Ratio float64
	Burst float64
	// Step and MaxBackoff shape the back-off.
	Step, MaxBackoff time.Duration
	Growth           Growth
	// Rand gives the jitter. Entries should be seeded differently.
	Rand *rand.Rand

	// spent counts the retries taken and not yet earned back.
	spent float64
	// unbounded switches the budget off, in tests only.
	unbounded bool
}

var _ Budget = (*TokenBucket)(nil)

// First implements Budget.
func (b *TokenBucket) First(time.Time) {
	b.spent = max(0, b.spent-orDefault(b.Ratio, DefaultRatio))
}

// Allow implements Budget.
func (b *TokenBucket) Allow(time.Time) bool {
	if b.unbounded {
		return true
	}
	if b.spent+1 > orDefault(b.Burst, DefaultBurst) {
		return false
	}
	b.spent++
	return true
}

// Backoff implements Budget. The retry starts at a random time in the second
// half of the back-off, so requests that failed together don't return together.
func (b *TokenBucket) Backoff(now time.Time, n int) time.Time {
	d := b.backoffDelay(max(1, n))
	if b.Rand == nil {
		b.Rand = rand.New(rand.NewPCG(1, 1))
	}
	return now.Add(d/2 + time.Duration(b.Rand.Int64N(int64(d/2)+1)))
}

func (b *TokenBucket) backoffDelay(n int) time.Duration {
	step := orDefault(b.Step, DefaultStep)
	longest := orDefault(b.MaxBackoff, DefaultMaxBackoff)
	if b.Growth == Linear {
		return min(time.Duration(n)*step, longest)
	}
	for ; n > 1 && step < longest; n-- {
		step *= 2
	}
	return min(step, longest)
}

func orDefault[T float64 | time.Duration](v, fallback T) T {
	if v <= 0 {
		return fallback
	}
	return v
}
