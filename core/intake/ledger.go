package intake

import "time"

// Phase is what a connection is doing.
type Phase int

// The phases.
const (
	// Waiting means that no request is in progress.
	Waiting Phase = iota
	// Receiving means that a part of a request has arrived.
	Receiving
	// Serving means that a request has arrived whole and isn't answered yet. Such a connection is
	// never given up: the outcome of its request would be lost.
	Serving
)

// String returns the phase in snake case.
func (p Phase) String() string { return [...]string{"waiting", "receiving", "serving"}[p] }

// Ledger keeps account of the open connections of a listener, and of the memory that each of them
// makes the process hold. Beyond a limit it gives up the connections that others can do best
// without. The zero value has no limits.
//
// A new connection takes the place of the one that has waited longest without a request, or else of
// the one that has taken longest to send its request. A connection that needs more memory than is
// left takes it from those that hold more, the largest first. If there are none, it gets none itself.
// So a client that sends little is never given up for one that sends much.
type Ledger struct {
	// MaxConnections and MaxBytes are the limits of all connections together; 0 means no limit.
	MaxConnections int
	MaxBytes       int64

	bytes int64
	open  []*Holding
}

// Holding is what one connection makes the process hold.
type Holding struct {
	phase Phase
	// since is when the phase began.
	since time.Time
	bytes int64
	// index is the position in Ledger.open, or -1 once the connection isn't counted any more.
	index int
}

// Phase returns what the connection is doing.
func (h *Holding) Phase() Phase { return h.phase }

// Bytes returns the memory that the connection holds.
func (h *Holding) Bytes() int64 { return h.bytes }

// Closed reports whether the connection was given up or closed.
func (h *Holding) Closed() bool { return h.index < 0 }

// Connections returns the number of open connections.
func (l *Ledger) Connections() int { return len(l.open) }

// Bytes returns the memory that all connections hold together.
func (l *Ledger) Bytes() int64 { return l.bytes }

// Open counts a new connection that holds some memory from the start. It returns nil if there is no
// place for it, and the connections that have to be closed to make place.
func (l *Ledger) Open(now time.Time, bytes int64) (h *Holding, givenUp []*Holding) {
	if l.MaxConnections > 0 && len(l.open) >= l.MaxConnections {
		v := l.mostDispensable()
		if v == nil {
			return nil, nil
		}
		l.Close(v)
		givenUp = append(givenUp, v)
	}
	h = &Holding{since: now, index: len(l.open)}
	l.open = append(l.open, h)
	larger, ok := l.Add(h, bytes)
	givenUp = append(givenUp, larger...)
	if !ok {
		l.Close(h)
		return nil, givenUp
	}
	return h, givenUp
}

// Add lets an open connection hold more memory. If there isn't enough, ok is false and nothing
// changes. The connections that are given up for it have to be closed.
func (l *Ledger) Add(h *Holding, bytes int64) (givenUp []*Holding, ok bool) {
	after := h.bytes + bytes
	missing := l.bytes + bytes - l.MaxBytes
	if l.MaxBytes > 0 && missing > 0 {
		if l.bytesOfLarger(h, after) < missing {
			return nil, false
		}
		for ; missing > 0; missing = l.bytes + bytes - l.MaxBytes {
			v := l.largest(h)
			l.Close(v)
			givenUp = append(givenUp, v)
		}
	}
	h.bytes = after
	l.bytes += bytes
	return givenUp, true
}

// Shrink lets a connection hold no more than the given memory.
func (l *Ledger) Shrink(h *Holding, bytes int64) {
	if h.Closed() || bytes >= h.bytes {
		return
	}
	l.bytes -= h.bytes - bytes
	h.bytes = bytes
}

// Touch records that the phase of an open connection begins anew, so that it isn't given up before others.
func (l *Ledger) Touch(now time.Time, h *Holding) { h.since = now }

// SetPhase records what an open connection is doing from now on.
func (l *Ledger) SetPhase(now time.Time, h *Holding, p Phase) {
	if h.phase != p {
		h.phase, h.since = p, now
	}
}

// Close ends the account of a connection. Closing it again changes nothing.
func (l *Ledger) Close(h *Holding) {
	if h.Closed() {
		return
	}
	last := len(l.open) - 1
	l.open[h.index] = l.open[last]
	l.open[h.index].index = h.index
	l.open[last] = nil
	l.open = l.open[:last]
	h.index = -1
	l.bytes -= h.bytes
}

// mostDispensable returns the connection that makes place for a new one, or nil if all are served.
func (l *Ledger) mostDispensable() (out *Holding) {
	for _, h := range l.open {
		switch {
		case h.phase == Serving:
		case out == nil || h.phase < out.phase, h.phase == out.phase && h.since.Before(out.since):
			out = h
		}
	}
	return out
}

// mayGiveUp reports whether v may be given up so that h can hold the given memory.
func mayGiveUp(v, h *Holding, bytes int64) bool {
	return v != h && v.phase != Serving && v.bytes > bytes
}

// bytesOfLarger returns the memory of the connections that hold more than the given memory and may be given up
// for h.
func (l *Ledger) bytesOfLarger(h *Holding, bytes int64) (sum int64) {
	for _, v := range l.open {
		if mayGiveUp(v, h, bytes) {
			sum += v.bytes
		}
	}
	return sum
}

// largest returns the connection with the most memory that may be given up for h.
func (l *Ledger) largest(h *Holding) (out *Holding) {
	for _, v := range l.open {
		if mayGiveUp(v, h, 0) && (out == nil || v.bytes > out.bytes) {
			out = v
		}
	}
	return out
}
