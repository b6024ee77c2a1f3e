package fair

import (
	"container/heap"
	"time"

	"lavenderpond/core/queue"
)

// entry is a waiting item with its state in the queue.
type entry struct {
	item queue.Item
	team *team
	// startBy is the deadline minus the shortest likely run time. Work that starts
	// later would be stopped at its deadline and wasted.
	startBy time.Time
	// pushedAt is when the item was pushed, and predictedWait is its predicted wait.
	// They are used to correct later predictions.
	pushedAt      time.Time
	predictedWait time.Duration
	// sequence orders items with equal startBy by arrival.
	sequence uint64
	// removed marks an entry that left the queue but is still contained in its heaps.
	removed bool
}

// lazyHeap is a heap of entries ordered by startBy that deletes removed entries lazily.
//
// A cancellation only marks its entry, so that each of a large number of cancellations
// takes constant time. Marked entries are deleted when they reach the top, or all
// together when they outnumber the others. The memory used is therefore at most that of
// twice the waiting items.
type lazyHeap struct {
	entries entryHeap
	removed int
}

func (l *lazyHeap) push(e *entry) { heap.Push(&l.entries, e) }

// liveCount returns the number of entries waiting in the heap.
func (l *lazyHeap) liveCount() int { return len(l.entries) - l.removed }

// peek returns the entry with the earliest startBy, or nil.
func (l *lazyHeap) peek() *entry {
	for len(l.entries) > 0 {
		if !l.entries[0].removed {
			return l.entries[0]
		}
		heap.Pop(&l.entries)
		l.removed--
	}
	return nil
}

// markRemoved records that an entry of the heap was removed.
func (l *lazyHeap) markRemoved(disabled disabledSafeguards) {
	l.removed++
	if disabled.lazyRemoval || 2*l.removed > len(l.entries) {
		l.compact(disabled)
	}
}

// compact deletes the marked entries and restores the heap order. Without that, the
// remaining entries don't form a heap, and the order in which they are served would
// depend on the order of the cancellations.
func (l *lazyHeap) compact(disabled disabledSafeguards) {
	kept := l.entries[:0]
	for _, e := range l.entries {
		if !e.removed {
			kept = append(kept, e)
		}
	}
	clear(l.entries[len(kept):])
	l.entries = kept
	l.removed = 0
	if !disabled.reordering {
		heap.Init(&l.entries)
	}
}

// entryHeap implements heap.Interface for entries, ordered by startBy and then arrival.
type entryHeap []*entry

func (h entryHeap) Len() int { return len(h) }

func (h entryHeap) Less(i, j int) bool {
	if !h[i].startBy.Equal(h[j].startBy) {
		return h[i].startBy.Before(h[j].startBy)
	}
	return h[i].sequence < h[j].sequence
}

func (h entryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	*h = old[:last]
	return e
}
