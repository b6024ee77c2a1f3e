// Package queue holds the requests that wait for a slot at their home entry.
//
// Variants stand in sub-packages behind the Queue interface: fifo is the naive
// baseline that measurements compare with.
package queue

import (
	"time"

	"lavenderpond/core"
)

// Item is a request that waits.
type Item struct {
	Key      core.RequestKey
	Queue    core.QueueID
	Urgent   bool
	Deadline time.Time
	// Enqueued is when the item was pushed.
	Enqueued time.Time
	// DeclaredRun is the run time that the caller declares; often far off.
	DeclaredRun time.Duration
}

// Queue decides which waiting request goes next. Implementations are pure and
// not safe for concurrent use.
type Queue interface {
	// Push adds an item, or refuses it at once with a NotRun that is true.
	// idleSlots is how many slots could take the item's queue's work right now.
	Push(now time.Time, item Item, idleSlots core.Slots) (core.NotRun, bool)
	// Pop removes and returns the next item of the queue for which ready returns
	// true. An item whose deadline has passed is never returned; Expired is.
	Pop(now time.Time, q core.QueueID, ready func(Item) bool) (Item, bool)
	// Expired removes and returns the items that can't start in time any more.
	Expired(now time.Time) []Item
	// Remove takes a cancelled item out in constant time.
	Remove(key core.RequestKey) bool
	// Observe tells the run time of a request that ended, for predictions.
	Observe(now time.Time, q core.QueueID, team core.TeamID, run time.Duration)
	// Len returns how many items wait in q.
	Len(q core.QueueID) int
	// Queues returns the queues in which items wait, sorted.
	Queues() []core.QueueID
}
