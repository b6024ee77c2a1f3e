// Package fifo provides a simple first-come-first-served queue without predictions or
// fairness, bounded only by the number of items. It serves as a baseline for
// measurements.
package fifo

import (
	"sort"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/queue"
)

// retryDelay is the delay after which a caller that was refused by a full queue may
// retry.
const retryDelay = time.Second

// Queue is a first-come-first-served queue.Queue. The zero value is empty and
// unbounded.
type Queue struct {
	// MaxQueued is the maximum number of items in each queue. Zero means no bound.
	MaxQueued int
	items     map[core.QueueID][]queue.Item
}

var _ queue.Queue = (*Queue)(nil)

// Push implements queue.Queue.
func (f *Queue) Push(now time.Time, item queue.Item, _ core.Slots) (core.NotRun, bool) {
	if f.MaxQueued > 0 && len(f.items[item.Queue]) >= f.MaxQueued {
		return core.NotRun{Code: core.CodeQueueFull, ComeBackAt: now.Add(retryDelay)}, false
	}
	if f.items == nil {
		f.items = make(map[core.QueueID][]queue.Item)
	}
	f.items[item.Queue] = append(f.items[item.Queue], item)
	return core.NotRun{}, true
}

// Pop implements queue.Queue.
func (f *Queue) Pop(now time.Time, q core.QueueID, ready func(queue.Item) bool) (queue.Item, bool) {
	for i, item := range f.items[q] {
		if now.Before(item.Deadline) && ready(item) {
			f.remove(q, i)
			return item, true
		}
	}
	return queue.Item{}, false
}

// Expired implements queue.Queue.
func (f *Queue) Expired(now time.Time) []queue.Item {
	var expired []queue.Item
	for _, q := range f.Queues() {
		var kept []queue.Item
		for _, item := range f.items[q] {
			if now.Before(item.Deadline) {
				kept = append(kept, item)
			} else {
				expired = append(expired, item)
			}
		}
		f.items[q] = kept
	}
	return expired
}

// Remove implements queue.Queue. It takes linear time.
func (f *Queue) Remove(key core.RequestKey) bool {
	for q, items := range f.items {
		for i, item := range items {
			if item.Key == key {
				f.remove(q, i)
				return true
			}
		}
	}
	return false
}

// Observe implements queue.Queue. It does nothing, because this queue makes no
// predictions.
func (f *Queue) Observe(time.Time, core.QueueID, core.TeamID, time.Duration) {}

// Len implements queue.Queue.
func (f *Queue) Len(q core.QueueID) int { return len(f.items[q]) }

// Queues implements queue.Queue.
func (f *Queue) Queues() []core.QueueID {
	var queues []core.QueueID
	for q, items := range f.items {
		if len(items) > 0 {
			queues = append(queues, q)
		}
	}
	sort.Slice(queues, func(i, j int) bool { return queues[i] < queues[j] })
	return queues
}

func (f *Queue) remove(q core.QueueID, i int) {
	f.items[q] = append(f.items[q][:i], f.items[q][i+1:]...)
}
