// Package contact decides whether a call to the table is worth sending. The table
// may be out of reach for this process or for all, wholly or in single parts.
package contact

import "time"

// Part names a part of the table.
type Part string

const (
	// maxAnswerAge is how old the table's last word may be, of any part, until it counts
	// as out of reach. A weak entry VM reads every 450 ms; a slow table adds to that.
	maxAnswerAge = 700 * time.Millisecond
	// tableProbeInterval and probePart are the pauses between the calls that find out whether
	// the table, or one part of it, is back.
	tableProbeInterval = 100 * time.Millisecond
	partProbeInterval  = 200 * time.Millisecond
)

// Decision says what to do with a call.
type Decision int

// The verdicts.
const (
	// Call: nothing speaks against it.
	Call Decision = iota
	// Probe: it is likely to fail; others of its kind are refused until it has ended.
	Probe
	// Refuse: it would fail. The caller can go to another process at once.
	Refuse
)

// String returns the verdict in snake case.
func (v Decision) String() string { return [...]string{"call", "probe", "refuse"}[v] }

// Breaker is what a process knows of the table. Its zero value has heard nothing.
//
// Whether a part answers is known from that part alone. When some parts are down and
// the one with the owner's rows is among them, a process that went by that one refused
// every caller, though most of their jobs could have been stored.
type Breaker struct {
	lastAnswer  time.Time
	nextProbeAt time.Time
	failedParts map[Part]*failedPart
}

// failedPart is a part whose last call failed.
type failedPart struct {
	nextProbeAt time.Time
}

// RecordAnswer notes that a part has answered. It tells whether it hadn't before.
func (t *Breaker) RecordAnswer(now time.Time, p Part) (regained bool) {
	t.RecordContact(now)
	regained = t.failedParts[p] != nil
	delete(t.failedParts, p)
	return regained
}

// RecordContact notes an answer that is of no part.
func (t *Breaker) RecordContact(now time.Time) {
	if now.After(t.lastAnswer) {
		t.lastAnswer = now
	}
	t.nextProbeAt = time.Time{}
}

// RecordFailure notes that a part was asked and did not answer, or refused. It tells whether
// it had answered before.
func (t *Breaker) RecordFailure(now time.Time, p Part) (lost bool) {
	if t.failedParts == nil {
		t.failedParts = map[Part]*failedPart{}
	}
	if t.failedParts[p] != nil {
		return false
	}
	t.failedParts[p] = &failedPart{nextProbeAt: now.Add(partProbeInterval)}
	return true
}

// SinceLastAnswer returns how old the table's last word is.
func (t *Breaker) SinceLastAnswer(now time.Time) time.Duration { return now.Sub(t.lastAnswer) }

// Decide says what to do with a call to a part. A probe is taken to be sent.
func (t *Breaker) Decide(now time.Time, p Part) Decision {
	if t.SinceLastAnswer(now) > maxAnswerAge {
		return allowProbe(now, &t.nextProbeAt, tableProbeInterval)
	}
	if down := t.failedParts[p]; down != nil {
		return allowProbe(now, &down.nextProbeAt, partProbeInterval)
	}
	return Call
}

// allowProbe lets one call through in each pause.
func allowProbe(now time.Time, next *time.Time, pause time.Duration) Decision {
	if now.Before(*next) {
		return Refuse
	}
	*next = now.Add(pause)
	return Probe
}
