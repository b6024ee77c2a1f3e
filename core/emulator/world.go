// Package emulator plays whole days of a deployment in virtual time: the table,
// VMs, machines, callers and entry VMs, with faults between and in them. The
// entry VMs run the real decision code of core/lease and core/schedule. The same
// seed always plays the same day.
package emulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"lavenderpond/core/job"
)

// World is one day while it is played.
type World struct {
	now     time.Time
	rng     *rand.Rand
	events  eventQueue
	lastSeq int64

	table    *table
	entryVMs []*entryVM
	vms      map[job.VMID]*vm
	allVMs   []*vm
	machines []*machine
	jobs     map[job.ID]*trackedJob
	config   *job.Configuration
	// evacuated are the availability zones in which nothing may start, and since when.
	evacuated map[job.ZoneName]time.Time
	checker   *checker
	nextVM    int
	trace     func(line string)
	Stats     Stats
	wave      job.Wave
	hasWave   bool
	// lateStartsBeforeHold lets late starts reach a new life before any owner has held it.
	lateStartsBeforeHold bool
}

// Stats count what happened.
type Stats struct {
	Jobs, Completed, Failed, Cancelled int
	InTime                             int
	// GivenUp counts the jobs that were shown as failed though none of their tasks was
	// at fault.
	GivenUp                    int
	Starts, Takeovers, Crashes int
	Moves, MaintenanceStarts   int
	// LongestGap is the longest time without an owner that starts tasks.
	LongestGap time.Duration
}

// epoch is when the days begin; any fixed time will do.
var epoch = time.Unix(1_800_000_000, 0)

type event struct {
	at  time.Time
	seq int64
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// after runs f once d has passed.
func (w *World) after(d time.Duration, f func()) {
	w.lastSeq++
	heap.Push(&w.events, event{at: w.now.Add(max(0, d)), seq: w.lastSeq, run: f})
}

// at runs f at an instant of the day, counted from its beginning.
func (w *World) at(d time.Duration, f func()) { w.after(epoch.Add(d).Sub(w.now), f) }

// Elapsed returns how much of the day has passed.
func (w *World) Elapsed() time.Duration { return w.now.Sub(epoch) }

// runUntil plays until the instant.
func (w *World) runUntil(until time.Duration) {
	end := epoch.Add(until)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// randomBetween returns a random period.
func (w *World) randomBetween(from, to time.Duration) time.Duration {
	if to <= from {
		return from
	}
	return from + time.Duration(w.rng.Int64N(int64(to-from)))
}

// chance is true with probability p.
func (w *World) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

// networkDelay is the time of one way between two processes.
func (w *World) networkDelay() time.Duration {
	return w.randomBetween(300*time.Microsecond, 900*time.Microsecond)
}

// tracef writes a line to the day's trace, if it has one.
func (w *World) tracef(format string, args ...any) {
	if w.trace != nil {
		w.trace(fmt.Sprintf("%8.3f ", w.Elapsed().Seconds()) + fmt.Sprintf(format, args...))
	}
}
