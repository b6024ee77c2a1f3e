package limit

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/deadline"
)

// runningSlots tracks the slots that a team holds at this entry. The zero value is
// empty.
type runningSlots struct {
	byExpiry deadline.Heap[*slot]
	byKey    map[core.RequestKey][]*slot
}

// slot is held until it is released or its lease has certainly expired.
type slot struct {
	key       core.RequestKey
	expiresAt time.Time
	heapIndex int
}

// Deadline implements deadline.Item.
func (s *slot) Deadline() time.Time { return s.expiresAt }

// HeapIndex implements deadline.Item.
func (s *slot) HeapIndex() *int { return &s.heapIndex }

func (r *runningSlots) count() core.Slots { return core.Slots(r.byExpiry.Len()) }

func (r *runningSlots) add(key core.RequestKey, end time.Time) {
	s := &slot{key: key, expiresAt: end}
	r.byExpiry.Push(s)
	put(&r.byKey, key, append(r.byKey[key], s))
}

// release frees all slots of key. A request that was sent to two targets holds two.
func (r *runningSlots) release(key core.RequestKey) {
	for _, s := range r.byKey[key] {
		r.byExpiry.Remove(s)
	}
	delete(r.byKey, key)
}

// expire frees the slots whose lease has expired by now.
func (r *runningSlots) expire(now time.Time) {
	for s, due := r.byExpiry.Due(now); due; s, due = r.byExpiry.Due(now) {
		r.byExpiry.Remove(s)
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
