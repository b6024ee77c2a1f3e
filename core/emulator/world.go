// Package emulator is a deterministic discrete-event simulation of a deployment in
// virtual time: the table, VMs, machines, callers and entry VMs, with faults in them
// and in the connections between them. The entry VMs run the production decision code
// of core/lease and core/schedule. A checker verifies invariants during the run. The
// same scenario with the same seed always gives the same run.
package emulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/policy"
)

// World is the state of a running simulation.
type World struct {
	now     time.Time
	rng     *rand.Rand
	events  eventQueue
	lastSeq int64

	table    *table
	entryVMs []*entryVM
	// vms has the latest VM under each ID, allVMs every VM that ever ran, in order of creation.
	vms      map[job.VMID]*vm
	allVMs   []*vm
	machines []*machine
	jobs     map[job.ID]*trackedJob
	config   *job.Configuration
	// evacuated maps the availability zones in which no task may start to the time of
	// the request.
	evacuated map[job.ZoneName]time.Time
	checker   *checker
	// nextVM is the number in the latest ID of a VM.
	nextVM int
	trace  func(line string)
	Stats  Stats
	// waves are the requested maintenance waves, lists the lists of machines that owners read.
	waves  *waveRequests
	lists  *machineLists
	policy policy.Policy
	// fullPools is how full long-running tasks make the pools.
	fullPools FullPools
	// unansweredMachineOrderShare is the share of orders for machines that get no answer.
	unansweredMachineOrderShare float64
	// demand is the part of the mean load that each account asks for.
	demand map[job.AccountName]float64
	// lateStartsBeforeHold lets late start orders reach a restarted VM before any owner
	// has sent it a hold order.
	lateStartsBeforeHold bool
	// leaseMax is the longest lease that VMs grant.
	leaseMax time.Duration
}

// Stats counts the events of a run.
type Stats struct {
	Jobs, Completed, Failed, Cancelled int
	// InTime counts the jobs that completed within their latency target.
	InTime int
	// GivenUp counts the jobs that were shown as failed although none of their tasks
	// was set up to fail or to crash its VM.
	GivenUp                    int
	Starts, Takeovers, Crashes int
	Moves, MaintenanceStarts   int
	// SlowStops counts the runs that were stopped as slow.
	SlowStops int
	// SoundTasksGivenUp counts the tasks that were given up because of crashes that other tasks or faults
	// have caused.
	SoundTasksGivenUp int
	// LongestGap is the longest time without an owner that may start tasks.
	LongestGap time.Duration
	// LongestAbsence is the longest time that a long-running task was without a run,
	// MostAbsence the most that one was in total.
	LongestAbsence, MostAbsence time.Duration
	// Accounts and Queues are what the callers of each account and of each queue got.
	Accounts map[job.AccountName]Service
	Queues   map[job.QueueName]Service
	// Recovery is the time from the end of the last surge or fault until the share of jobs in
	// time is back above its goal, or NotRecovered.
	Recovery time.Duration
}

// epoch is the virtual time at which every run begins. Any fixed time would do.
var epoch = time.Unix(1_800_000_000, 0)

// event is a callback due at a virtual time. seq orders events that are due at the same time.
type event struct {
	at  time.Time
	seq int64
	run func()
}

// eventQueue is a heap of events in the order in which they run.
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

// after schedules f to run once d has passed.
func (w *World) after(d time.Duration, f func()) {
	w.lastSeq++
	heap.Push(&w.events, event{at: w.now.Add(max(0, d)), seq: w.lastSeq, run: f})
}

// at schedules f to run at time d after the start of the run.
func (w *World) at(d time.Duration, f func()) { w.after(epoch.Add(d).Sub(w.now), f) }

// Elapsed returns the virtual time since the start of the run.
func (w *World) Elapsed() time.Duration { return w.now.Sub(epoch) }

// runUntil processes all events up to the given time after the start of the run.
func (w *World) runUntil(until time.Duration) {
	end := epoch.Add(until)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// randomBetween returns a random duration in [from, to).
func (w *World) randomBetween(from, to time.Duration) time.Duration {
	if to <= from {
		return from
	}
	return from + time.Duration(w.rng.Int64N(int64(to-from)))
}

// chance returns true with probability p.
func (w *World) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

// networkDelay returns a random one-way delay between two processes.
func (w *World) networkDelay() time.Duration {
	return w.randomBetween(300*time.Microsecond, 900*time.Microsecond)
}

// tracef writes a line to the run's trace, if it has one.
func (w *World) tracef(format string, args ...any) {
	if w.trace != nil {
		w.trace(fmt.Sprintf("%8.3f ", w.Elapsed().Seconds()) + fmt.Sprintf(format, args...))
	}
}
