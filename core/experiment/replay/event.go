package replay

import (
	"container/heap"
	"time"
)

// event is a function that runs at a simulated time.
type event struct {
	at time.Time
	// sequence keeps events with the same time in the order in which they were added.
	sequence int
	do       func()
}

// eventHeap is a heap of events, ordered by time.
type eventHeap struct {
	list []event
	next int
}

// add schedules do for the given time.
func (e *eventHeap) add(at time.Time, do func()) {
	e.next++
	heap.Push(e, event{at: at, sequence: e.next, do: do})
}

// Len implements heap.Interface.
func (e *eventHeap) Len() int { return len(e.list) }

// Less implements heap.Interface.
func (e *eventHeap) Less(i, j int) bool {
	if !e.list[i].at.Equal(e.list[j].at) {
		return e.list[i].at.Before(e.list[j].at)
	}
	return e.list[i].sequence < e.list[j].sequence
}

// Swap implements heap.Interface.
func (e *eventHeap) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }

// Push implements heap.Interface.
func (e *eventHeap) Push(x any) { e.list = append(e.list, x.(event)) }

// Pop implements heap.Interface.
func (e *eventHeap) Pop() any {
	last := len(e.list) - 1
	x := e.list[last]
	e.list[last] = event{}
	e.list = e.list[:last]
	return x
}
