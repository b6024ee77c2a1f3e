// Package contact decides whether a call to the table is worth sending. The table
// may be out of reach for this process or for all, wholly or in single parts.
package contact

import "time"

// Part names a part of the table.
type Part string

const (
	// staleAfter is how old the table's last word may be, of any part, until it counts
	// as out of reach. A weak entry VM reads every 450 ms; a slow table adds to that.
	staleAfter = 700 * time.Millisecond
	// probeTable and probePart are the pauses between the calls that find out whether
	// the table, or one part of it, is back.
	probeTable = 100 * time.Millisecond
	probePart  = 200 * time.Millisecond
)

// Verdict says what to do with a call.
type Verdict int

// The verdicts.
const (
	// Call: nothing speaks against it.
	Call Verdict = iota
	// Probe: it is likely to fail; others of its kind are refused until it has ended.
	Probe
	// Refuse: it would fail. The caller can go to another process at once.
	Refuse
)

// String returns the verdict in snake case.
func (v Verdict) String() string { return [...]string{"call", "probe", "refuse"}[v] }

// Table is what a process knows of the table. Its zero value has heard nothing.
//
// Whether a part answers is known from that part alone. When some parts are down and
// the one with the owner's rows is among them, a process that went by that one refused
// every caller, though most of their jobs could have been stored.
type Table struct {
	heard   time.Time
	probeAt time.Time
	parts   map[Part]*part
}

// part is a part whose last call failed.
type part struct {
	probeAt time.Time
}

// Heard notes that a part has answered. It tells whether it hadn't before.
func (t *Table) Heard(now time.Time, p Part) (regained bool) {
	t.HeardAny(now)
	regained = t.parts[p] != nil
	delete(t.parts, p)
	return regained
}

// HeardAny notes an answer that is of no part.
func (t *Table) HeardAny(now time.Time) {
	if now.After(t.heard) {
		t.heard = now
	}
	t.probeAt = time.Time{}
}

// Failed notes that a part was asked and did not answer, or refused. It tells whether
// it had answered before.
func (t *Table) Failed(now time.Time, p Part) (lost bool) {
	if t.parts == nil {
		t.parts = map[Part]*part{}
	}
	if t.parts[p] != nil {
		return false
	}
	t.parts[p] = &part{probeAt: now.Add(probePart)}
	return true
}

// Age returns how old the table's last word is.
func (t *Table) Age(now time.Time) time.Duration { return now.Sub(t.heard) }

// Decide says what to do with a call to a part. A probe is taken to be sent.
func (t *Table) Decide(now time.Time, p Part) Verdict {
	if t.Age(now) > staleAfter {
		return probe(now, &t.probeAt, probeTable)
	}
	if x := t.parts[p]; x != nil {
		return probe(now, &x.probeAt, probePart)
	}
	return Call
}

// probe lets one call through in each pause.
func probe(now time.Time, next *time.Time, pause time.Duration) Verdict {
	if now.Before(*next) {
		return Refuse
	}
	*next = now.Add(pause)
	return Probe
}
