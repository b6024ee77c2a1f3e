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
	now    time.Time
	rng    *rand.Rand
	events eventQueue
	serial int64

	table    *table
	nodes    []*node
	vms      map[job.VMID]*vm
	order    []*vm
	machines []*machine
	jobs     map[job.ID]*truth
	conf     *job.Configuration
	// evacuated are the availability zones in which nothing may start, and since when.
	evacuated map[job.ZoneName]time.Time
	judge     *judge
	nextVM    int
	trace     func(line string)
	Figures   Figures
	wave      job.Wave
	hasWave   bool
	// lateToUnheld lets late starts reach a new life before any owner has held it.
	lateToUnheld bool
}

// Figures count what happened.
type Figures struct {
	Jobs, Completed, Failed, Cancelled int
	InTime                             int
	// GivenUp counts the jobs that were shown as failed though none of their tasks was
	// at fault.
	GivenUp                    int
	Starts, TakeOvers, Crashes int
	Moves, Upkeeps             int
	// LongestGap is the longest time without an owner that starts tasks.
	LongestGap time.Duration
}

// epoch is when the days begin; any fixed time will do.
var epoch = time.Unix(1_800_000_000, 0)

type event struct {
	at     time.Time
	serial int64
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].serial < q[j].serial
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
	w.serial++
	heap.Push(&w.events, event{at: w.now.Add(max(0, d)), serial: w.serial, run: f})
}

// at runs f at an instant of the day, counted from its beginning.
func (w *World) at(d time.Duration, f func()) { w.after(epoch.Add(d).Sub(w.now), f) }

// Since returns how much of the day has passed.
func (w *World) Since() time.Duration { return w.now.Sub(epoch) }

// run plays until the instant.
func (w *World) run(until time.Duration) {
	end := epoch.Add(until)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// between returns a random period.
func (w *World) between(from, to time.Duration) time.Duration {
	if to <= from {
		return from
	}
	return from + time.Duration(w.rng.Int64N(int64(to-from)))
}

// chance is true with probability p.
func (w *World) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

// hop is the time of one way between two processes.
func (w *World) hop() time.Duration { return w.between(300*time.Microsecond, 900*time.Microsecond) }

// tell writes a line to the day's trace, if it has one.
func (w *World) tell(format string, args ...any) {
	if w.trace != nil {
		w.trace(fmt.Sprintf("%8.3f ", w.Since().Seconds()) + fmt.Sprintf(format, args...))
	}
}
