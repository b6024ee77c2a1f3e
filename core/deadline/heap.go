// Package deadline provides a priority queue of items ordered by their deadlines.
package deadline

import (
	"container/heap"
	"time"
)

// Item is an element of a Heap.
type Item interface {
	// Deadline returns the time by which the item is ordered. Heap.Fix must be called
	// after every change, unless the change doesn't affect the order of the items.
	Deadline() time.Time
	// HeapIndex returns a pointer to the variable in which the Heap stores the item's
	// index.
	HeapIndex() *int
}

// Heap is a min-heap of items ordered by deadline. The zero value is an empty heap.
// An item may be in only one Heap at a time.
type Heap[T Item] struct{ items items[T] }

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// All returns the items in no particular order. The slice must not be modified.
func (h *Heap[T]) All() []T { return h.items }

// Push adds an item to the heap.
func (h *Heap[T]) Push(item T) { heap.Push(&h.items, item) }

// Fix restores the order after the deadline of an item has changed.
func (h *Heap[T]) Fix(item T) { heap.Fix(&h.items, *item.HeapIndex()) }

// Remove removes an item from the heap.
func (h *Heap[T]) Remove(item T) { heap.Remove(&h.items, *item.HeapIndex()) }

// Due returns the item with the earliest deadline if that deadline has been reached.
func (h *Heap[T]) Due(now time.Time) (T, bool) {
	if len(h.items) == 0 || now.Before(h.items[0].Deadline()) {
		var zero T
		return zero, false
	}
	return h.items[0], true
}

// items implements heap.Interface.
type items[T Item] []T

// Len implements heap.Interface.
func (s items[T]) Len() int { return len(s) }

// Less implements heap.Interface.
func (s items[T]) Less(i, j int) bool { return s[i].Deadline().Before(s[j].Deadline()) }

// Swap implements heap.Interface.
func (s items[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	*s[i].HeapIndex(), *s[j].HeapIndex() = i, j
}

// Push implements heap.Interface.
func (s *items[T]) Push(x any) {
	item := x.(T)
	*item.HeapIndex() = len(*s)
	*s = append(*s, item)
}

// Pop implements heap.Interface.
func (s *items[T]) Pop() any {
	last := len(*s) - 1
	item := (*s)[last]
	var none T
	(*s)[last] = none
	*s = (*s)[:last]
	return item
}
