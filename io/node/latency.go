package node

import (
	"sync"
	"time"
)

const (
	// answerTimeoutFactor is the timeout of a table call in multiples of the average
	// latency. When the table is slow, each call that is abandoned and sent again occupies
	// its partition of the table as long as the first one did. With a fixed timeout of 300
	// ms and answers after 140 ms, 154 of 174 submissions a second ended with an unknown
	// outcome.
	answerTimeoutFactor = 5
	// answerSmoothing divides the influence of an answered call on the average latency,
	// and timeoutSmoothing that of a call without an answer, which counts with the time
	// that it waited. A table that slows down must be recognized after one or two calls.
	answerSmoothing  = 8
	timeoutSmoothing = 2
)

// latencyEstimator keeps a moving average of the table's latency. The zero value has
// observed no calls.
type latencyEstimator struct {
	mu      sync.Mutex
	average time.Duration
}

// observe records how long a call took and whether it was answered.
func (e *latencyEstimator) observe(took time.Duration, answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if answered {
		e.average += (took - e.average) / answerSmoothing
		return
	}
	e.average += max(0, took-e.average) / timeoutSmoothing
}

// timeout returns how long to wait for an answer, at least minimum.
func (e *latencyEstimator) timeout(minimum time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(minimum, answerTimeoutFactor*e.average)
}

// slowerThan reports whether the average latency exceeds d.
func (e *latencyEstimator) slowerThan(d time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.average > d
}

// averageLatency returns the average latency.
func (e *latencyEstimator) averageLatency() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.average
}
