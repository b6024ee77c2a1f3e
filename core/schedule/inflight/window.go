// Package inflight limits the orders in flight to a service whose capacity isn't known.
package inflight

import "time"

const (
	// initialLimit is the limit before the first answer.
	initialLimit = 32
	// minLimit is the limit to which a service that answers nothing is probed.
	minLimit = 4
	// lateAnswer is the time to an answer from which the service counts as overloaded. The work
	// that an order is for has waited for long enough by then.
	lateAnswer = 500 * time.Millisecond
)

// Window is the limit on the orders in flight to a service. It grows by half with each full window of
// answers until the service refuses an order or answers late, is halved then, and grows by half an
// order with each full window from there on. The zero value is ready to use.
type Window struct {
	// grown is what the limit has gained over initialLimit, or lost.
	grown    float64
	inFlight int
	// congested is set once the service has refused an order or answered late.
	congested bool
	// halvedAt is when the limit was last halved. Orders sent before don't halve it again.
	halvedAt time.Time
}

// Free returns how many more orders may be sent now.
func (w *Window) Free() int { return max(0, w.Limit()-w.inFlight) }

// InFlight returns the number of orders that wait for their outcome.
func (w *Window) InFlight() int { return w.inFlight }

// Limit returns the most orders that may be in flight.
func (w *Window) Limit() int { return int(w.limit()) }

func (w *Window) limit() float64 { return initialLimit + w.grown }

// Ordered records that an order was given.
func (w *Window) Ordered() { w.inFlight++ }

// Withdrawn records that an order was not sent.
func (w *Window) Withdrawn() { w.inFlight = max(0, w.inFlight-1) }

// Answered records that an order was answered.
func (w *Window) Answered(sent, now time.Time) {
	if now.Sub(sent) >= lateAnswer {
		w.Refused(sent, now)
		return
	}
	// A limit that isn't reached says nothing about the service.
	if 2*w.inFlight >= w.Limit() {
		w.grow()
	}
	w.Withdrawn()
}

// grow raises the limit for one answer.
func (w *Window) grow() {
	if w.congested {
		w.grown += 1 / w.limit()
		return
	}
	w.grown++
}

// Refused records that the service refused an order because of its load, or left it unanswered.
func (w *Window) Refused(sent, now time.Time) {
	w.Withdrawn()
	if !sent.After(w.halvedAt) {
		return
	}
	w.congested, w.halvedAt = true, now
	w.grown = max(minLimit, w.limit()/2) - initialLimit
}
