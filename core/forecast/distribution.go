package forecast

import (
	"math"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
	"github.com/pkg/errors"
)

const (
	// relativeAccuracy is the largest relative error of a quantile.
	relativeAccuracy = 0.05
	// maxBins bounds the memory and the snapshot of a distribution. Values up to e^10 times
	// the smallest are told apart.
	maxBins = 100
	// halfLife is the age at which a sample counts half as much as a new one.
	halfLife = 30 * time.Second
	// decayInterval is the minimum time between two corrections of the samples' weights.
	decayInterval = time.Second
	// minFactor is the factor of weights below which old samples are dropped. A weight must not
	// become 0.
	minFactor = 1e-6
	// minValue keeps the logarithms of values finite.
	minValue = 0.001
)

// Distribution is a distribution of positive values in which old samples count less. The zero
// value is empty.
type Distribution struct {
	sketch *ddsketch.DDSketch
	// decayedAt is the time up to which the samples' weights are corrected.
	decayedAt time.Time
	// tail is the upper tail if tailKnown is set. Samples change it.
	tail      Tail
	tailKnown bool
}

// Add adds a sample.
func (d *Distribution) Add(now time.Time, value float64) error {
	if d.sketch == nil {
		s, err := newSketch()
		if err != nil {
			return err
		}
		d.sketch, d.decayedAt = s, now
	}
	d.tailKnown = false
	if err := d.decay(now); err != nil {
		return err
	}
	return errors.Wrap(d.sketch.Add(max(value, minValue)), "add a sample")
}

// newSketch returns an empty sketch.
func newSketch() (*ddsketch.DDSketch, error) {
	m, err := mapping.NewLogarithmicMapping(relativeAccuracy)
	if err != nil {
		return nil, errors.Wrap(err, "create a sketch")
	}
	return ddsketch.NewDDSketchFromStoreProvider(m, newStore), nil
}

func newStore() store.Store { return store.NewCollapsingLowestDenseStore(maxBins) }

// decay reduces the weight of the samples by their age.
func (d *Distribution) decay(now time.Time) error {
	age := now.Sub(d.decayedAt)
	if age < decayInterval {
		return nil
	}
	d.decayedAt = now
	return reduceWeight(d.sketch, age)
}

// reduceWeight reduces the weight of samples that were corrected an age ago.
func reduceWeight(s *ddsketch.DDSketch, age time.Duration) error {
	factor := math.Exp2(-max(age, 0).Seconds() / halfLife.Seconds())
	if factor < minFactor {
		s.Clear()
		return nil
	}
	return errors.Wrap(s.Reweight(factor), "reduce the weight of old samples")
}

// Count returns the sum of the samples' weights. A new sample has weight 1.
func (d *Distribution) Count() float64 {
	if d.sketch == nil {
		return 0
	}
	return d.sketch.GetCount()
}

// Quantile returns the value below which the share q of the samples lies, or 0 if there are
// none. Its relative error is at most 0.05.
func (d *Distribution) Quantile(q float64) float64 {
	if d.Count() == 0 {
		return 0
	}
	v, err := d.sketch.GetValueAtQuantile(min(max(q, 0), 1))
	if err != nil {
		return 0
	}
	return v
}

// upperTail returns the tail above a limit, which is the same in each call.
func (d *Distribution) upperTail(limit float64) Tail {
	if d.Count() == 0 {
		return Tail{}
	}
	if !d.tailKnown {
		d.tail, d.tailKnown = d.computeTail(limit), true
	}
	return d.tail
}

// computeTail returns the tail above a limit of a distribution that isn't empty.
func (d *Distribution) computeTail(limit float64) Tail {
	count, sum, sumOfAll := 0.0, 0.0, 0.0
	d.sketch.ForEach(func(v, n float64) bool {
		sumOfAll += n * v
		if v > limit {
			count += n
			sum += n * v
		}
		return false
	})
	t := Tail{Share: count / d.Count(), RunningShare: sum / sumOfAll, Most: d.Quantile(tailQuantile)}
	t.Heavy = t.Share >= heavyTailShare && count >= minLongRuns
	return t
}
