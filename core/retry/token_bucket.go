package retry

import (
	"math/rand/v2"
	"time"
)

// Defaults of a TokenBucket.
const (
	// DefaultRatio is the number of retries allowed per first attempt.
	DefaultRatio = 0.1
	// DefaultBurst is the maximum number of saved retries, which may be used in one burst.
	DefaultBurst = 10
	// DefaultStep is the base delay of the backoff.
	DefaultStep = 250 * time.Millisecond
	// DefaultMaxBackoff is the maximum backoff.
	DefaultMaxBackoff = 5 * time.Second
)

// Growth selects how the backoff grows with the number of retries.
type Growth int

// Values of Growth.
const (
	// Exponential doubles the backoff with each retry.
	Exponential Growth = iota
	// Linear adds one step with each retry.
	Linear
)

// TokenBucket implements Budget. Each first attempt adds Ratio of a retry to the
// bucket, which holds at most Burst retries. Over any period, the number of retries is
// therefore at most Ratio times the number of first attempts plus Burst, regardless of
// how many requests fail. The zero value is ready to use with the defaults.
type TokenBucket struct {
	Ratio float64
	Burst float64
	// Step and MaxBackoff determine the backoff.
	Step, MaxBackoff time.Duration
	Growth           Growth
	// Rand is the source of jitter. Each entry should use a different seed.
	Rand *rand.Rand

	// spent is the number of retries taken and not yet replenished by first attempts.
	spent float64
	// unbounded disables the budget, in tests only.
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

// Backoff implements Budget. The retry starts at a random time in the second half of
// the backoff, so that requests that failed together aren't retried together.
func (b *TokenBucket) Backoff(now time.Time, n int) time.Time {
	d := b.backoffDelay(max(1, n))
	if b.Rand == nil {
		b.Rand = rand.New(rand.NewPCG(1, 1))
	}
	return now.Add(d/2 + time.Duration(b.Rand.Int64N(int64(d/2)+1)))
}

func (b *TokenBucket) backoffDelay(n int) time.Duration {
	step := orDefault(b.Step, DefaultStep)
	maxBackoff := orDefault(b.MaxBackoff, DefaultMaxBackoff)
	if b.Growth == Linear {
		return min(time.Duration(n)*step, maxBackoff)
	}
	for ; n > 1 && step < maxBackoff; n-- {
		step *= 2
	}
	return min(step, maxBackoff)
}

func orDefault[T float64 | time.Duration](v, fallback T) T {
	if v <= 0 {
		return fallback
	}
	return v
}
