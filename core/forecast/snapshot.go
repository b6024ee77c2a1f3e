package forecast

import (
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/pkg/errors"
)

// maxSnapshotBytes bounds an encoded distribution: a bin takes 9 bytes at most.
const maxSnapshotBytes = 1024

// Snapshot is the stored state of a Queue, of 3 kB at most.
type Snapshot struct {
	Times  []byte `json:"times,omitempty"`
	Ratios []byte `json:"ratios,omitempty"`
	Sizes  []byte `json:"sizes,omitempty"`
}

// Snapshot returns the state to be stored.
func (q *Queue) Snapshot() Snapshot {
	return Snapshot{Times: q.Times.encode(), Ratios: q.Ratios.encode(), Sizes: q.Sizes.encode()}
}

// Restore returns the stored state of a queue. age is the time since the snapshot, by which its
// samples have lost weight.
func Restore(now time.Time, age time.Duration, s Snapshot) (*Queue, error) {
	q := &Queue{}
	if err := q.Times.decode(now, age, s.Times); err != nil {
		return nil, errors.Wrap(err, "restore run times")
	}
	if err := q.Ratios.decode(now, age, s.Ratios); err != nil {
		return nil, errors.Wrap(err, "restore ratios")
	}
	if err := q.Sizes.decode(now, age, s.Sizes); err != nil {
		return nil, errors.Wrap(err, "restore sizes")
	}
	return q, nil
}

func (d *Distribution) encode() []byte {
	if d.Count() == 0 {
		return nil
	}
	var b []byte
	d.sketch.Encode(&b, true)
	return b
}

func (d *Distribution) decode(now time.Time, age time.Duration, b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if len(b) > maxSnapshotBytes {
		return errors.Errorf("a snapshot of %d bytes exceeds %d; it isn't one of this version", len(b), maxSnapshotBytes)
	}
	m, err := mapping.NewLogarithmicMapping(relativeAccuracy)
	if err != nil {
		return errors.Wrap(err, "create a sketch")
	}
	s, err := ddsketch.DecodeDDSketch(b, newStore, m)
	if err != nil {
		return errors.Wrap(err, "decode a snapshot")
	}
	if err := reduceWeight(s, age); err != nil {
		return err
	}
	d.sketch, d.decayedAt, d.tailKnown = s, now, false
	return nil
}
