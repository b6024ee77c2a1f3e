package fair

import (
	"container/heap"
	"time"

	"lavenderpond/core/queue"
)

// entry is a waiting item and its place in the queue.
type entry struct {
	item queue.Item
	team *team
	// startBy is the deadline less the shortest run that is likely: work that
	// starts later would be stopped at its deadline and wasted.
	startBy time.Time
	// pushedAt and predicted are when the item came and the wait it was told, to
	// correct later predictions.
	pushedAt      time.Time
	predictedWait time.Duration
	// sequence orders items of equal startBy by arrival.
	sequence uint64
	// removed marks an entry that left the queue and has yet to leave its lanes.
	removed bool
}

// lazyHeap is a heap of entries by startBy that drops removed entries lazily.
//
// A cancellation only marks its entry, so a wave of cancellations costs O(1)
// each. Marked entries leave when they come to the top, or all at once when they
// outnumber the others, so memory stays within twice the waiting items.
type lazyHeap struct {
	entries entryHeap
	removed int
}

func (l *lazyHeap) push(e *entry) { heap.Push(&l.entries, e) }

// liveCount returns how many entries wait in the lane.
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

// markRemoved counts an entry of the lane as removed.
func (l *lazyHeap) markRemoved(disabled disabledSafeguards) {
	l.removed++
	if disabled.lazyRemoval || 2*l.removed > len(l.entries) {
		l.compact(disabled)
	}
}

// compact drops the marked entries. The order is made anew: what is left of a heap
// is none, and entries would be served in an order that depends on which were
// cancelled first.
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

// entryHeap is a heap.Interface of entries by startBy, then arrival.
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
