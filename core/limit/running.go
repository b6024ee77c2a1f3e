package limit

import (
	"container/heap"
	"time"

	"lavenderpond/core"
)

// running counts the slots that a team holds at this entry. The zero value is
// empty.
type running struct {
	byEnd endHeap
	byKey map[core.RequestKey][]*slot
}

// slot is held until it is released or its lease has certainly ended.
type slot struct {
	key   core.RequestKey
	end   time.Time
	index int
}

func (r *running) count() core.Slots { return core.Slots(len(r.byEnd)) }

func (r *running) add(key core.RequestKey, end time.Time) {
	s := &slot{key: key, end: end}
	heap.Push(&r.byEnd, s)
	put(&r.byKey, key, append(r.byKey[key], s))
}

// release gives back every slot of key. A request that was sent to two targets
// holds two.
func (r *running) release(key core.RequestKey) {
	for _, s := range r.byKey[key] {
		heap.Remove(&r.byEnd, s.index)
	}
	delete(r.byKey, key)
}

// expire gives back the slots whose lease has ended by now.
func (r *running) expire(now time.Time) {
	for len(r.byEnd) > 0 && !r.byEnd[0].end.After(now) {
		s := heap.Pop(&r.byEnd).(*slot)
		rest := r.byKey[s.key]
		for i := range rest {
			if rest[i] == s {
				rest = append(rest[:i], rest[i+1:]...)
				break
			}
		}
		r.byKey[s.key] = rest
		if len(rest) == 0 {
			delete(r.byKey, s.key)
		}
	}
}

// endHeap is a heap.Interface with the earliest end first.
type endHeap []*slot

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].end.Before(h[j].end) }
func (h endHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *endHeap) Push(x any) {
	s := x.(*slot)
	s.index = len(*h)
	*h = append(*h, s)
}

// Pop implements heap.Interface.
func (h *endHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return s
}
