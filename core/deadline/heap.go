// Package deadline keeps items in the order of a time that each of them stores.
package deadline

import (
	"container/heap"
	"time"
)

// Item is what a Heap keeps.
type Item interface {
	// Deadline is the time by which the item is ordered. It may change only through
	// Heap.Fix, but for items whose order it leaves as it is.
	Deadline() time.Time
	// HeapIndex is where the Heap notes the item's index.
	HeapIndex() *int
}

// Heap keeps items, the one with the earliest deadline first. Its zero value is
// empty. An item may be in one Heap at a time.
type Heap[T Item] struct{ items items[T] }

// Len returns how many items there are.
func (h *Heap[T]) Len() int { return len(h.items) }

// All returns the items in no order. The slice must not be changed.
func (h *Heap[T]) All() []T { return h.items }

// Push adds an item.
func (h *Heap[T]) Push(item T) { heap.Push(&h.items, item) }

// Fix puts an item whose deadline has changed in its place.
func (h *Heap[T]) Fix(item T) { heap.Fix(&h.items, *item.HeapIndex()) }

// Remove takes an item out.
func (h *Heap[T]) Remove(item T) { heap.Remove(&h.items, *item.HeapIndex()) }

// Due returns the first item if its deadline has come.
func (h *Heap[T]) Due(now time.Time) (T, bool) {
	if len(h.items) == 0 || now.Before(h.items[0].Deadline()) {
		var zero T
		return zero, false
	}
	return h.items[0], true
}

// items is a heap.Interface.
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
