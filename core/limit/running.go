package limit

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/deadline"
)

// running counts the slots that a team holds at this entry. The zero value is
// empty.
type running struct {
	byEnd deadline.Heap[*slot]
	byKey map[core.RequestKey][]*slot
}

// slot is held until it is released or its lease has certainly ended.
type slot struct {
	key   core.RequestKey
	end   time.Time
	index int
}

// Deadline implements deadline.Item.
func (s *slot) Deadline() time.Time { return s.end }

// HeapIndex implements deadline.Item.
func (s *slot) HeapIndex() *int { return &s.index }

func (r *running) count() core.Slots { return core.Slots(r.byEnd.Len()) }

func (r *running) add(key core.RequestKey, end time.Time) {
	s := &slot{key: key, end: end}
	r.byEnd.Push(s)
	put(&r.byKey, key, append(r.byKey[key], s))
}

// release gives back every slot of key. A request that was sent to two targets
// holds two.
func (r *running) release(key core.RequestKey) {
	for _, s := range r.byKey[key] {
		r.byEnd.Remove(s)
	}
	delete(r.byKey, key)
}

// expire gives back the slots whose lease has ended by now.
func (r *running) expire(now time.Time) {
	for s, due := r.byEnd.Due(now); due; s, due = r.byEnd.Due(now) {
		r.byEnd.Remove(s)
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
