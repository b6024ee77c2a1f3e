// Package queue holds the requests that wait for a slot at their home entry.
//
// Implementations of the Queue interface are in sub-packages. Package fifo is a simple
// baseline for comparison in measurements.
package queue

import (
	"time"

	"lavenderpond/core"
)

// Item is a waiting request.
type Item struct {
	Key      core.RequestKey
	Queue    core.QueueID
	Urgent   bool
	Deadline time.Time
	// Enqueued is when the item was pushed.
	Enqueued time.Time
	// DeclaredRun is the run time declared by the caller. It is often inaccurate.
	DeclaredRun time.Duration
}

// Queue determines the order in which waiting requests are served. Implementations do
// no I/O and aren't safe for concurrent use.
type Queue interface {
	// Push adds an item, or refuses it immediately with a NotRun that describes why.
	// idleSlots is the number of slots that could serve the item's queue now.
	Push(now time.Time, item Item, idleSlots core.Slots) (core.NotRun, bool)
	// Pop removes and returns the next item of the queue for which ready returns true.
	// Items whose deadline has passed are never returned by Pop but by Expired.
	Pop(now time.Time, q core.QueueID, ready func(Item) bool) (Item, bool)
	// Expired removes and returns the items that can't start in time any more.
	Expired(now time.Time) []Item
	// Remove removes a cancelled item in constant time.
	Remove(key core.RequestKey) bool
	// Observe records the run time of a request that ended, for use in predictions.
	Observe(now time.Time, q core.QueueID, team core.TeamID, run time.Duration)
	// Len returns the number of items waiting in q.
	Len(q core.QueueID) int
	// Queues returns the queues that have waiting items, sorted.
	Queues() []core.QueueID
}
