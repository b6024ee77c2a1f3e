package fair

import (
	"container/heap"
	"time"

	"lavenderpond/core"
)

// order identifies one of the two heaps of teams in a queue.
type order int

const (
	// byAny is the heap of teams with any waiting item.
	byAny order = iota
	// byUrgent is the heap of teams with a waiting urgent item.
	byUrgent
	numOrders
)

// team is the state of one team in a queue.
type team struct {
	id     core.TeamID
	weight float64
	// virtual is the team's start tag: slot-seconds received divided by weight.
	virtual float64
	// period is the busy period to which virtual belongs.
	period int
	// normal and urgent hold the waiting items.
	normal, urgent lazyHeap
	// running is the number of items popped and not yet observed, and chargedSeconds is
	// the run time in seconds charged to the team for them.
	running        int
	chargedSeconds float64
	runTimes       estimate
	// heapIndex is the team's index in each heap of teams plus one, or zero if the team
	// isn't in the heap.
	heapIndex [numOrders]int
}

func (t *team) waiting() int { return t.normal.liveCount() + t.urgent.liveCount() }

// activate sets the tag of a team that gets its first waiting item. In a new busy
// period, the team is charged for its running items only: slots that it used while
// there were enough for all teams were no disadvantage to others, but those that it
// still holds count. In the current busy period, its tag is raised at least to that of
// the others. Idle time earns no credit, which would otherwise let the team use every
// slot for as long as it was idle.
func (t *team) activate(s *queueState) {
	if t.period != s.period {
		t.period = s.period
		t.virtual = t.chargedSeconds / t.weight
	}
	t.virtual = max(t.virtual, s.virtual)
}

// charge advances the team's tag by a run of the predicted length.
func (t *team) charge(run time.Duration) {
	t.running++
	t.chargedSeconds += run.Seconds()
	t.virtual += run.Seconds() / t.weight
}

// settle replaces the charge of one running item by the measured run time. Because the
// caller doesn't identify the item, the mean charge is refunded; the sum over all items
// remains correct.
func (t *team) settle(run time.Duration) {
	if t.running == 0 {
		return
	}
	mean := t.chargedSeconds / float64(t.running)
	t.running--
	t.chargedSeconds -= mean
	t.virtual += (run.Seconds() - mean) / t.weight
}

// teamHeap implements heap.Interface for teams, ordered by virtual time and then name.
type teamHeap struct {
	order order
	teams []*team
}

func (h *teamHeap) Len() int { return len(h.teams) }

func (h *teamHeap) Less(i, j int) bool {
	a, b := h.teams[i], h.teams[j]
	if a.virtual != b.virtual {
		return a.virtual < b.virtual
	}
	return a.id < b.id
}

func (h *teamHeap) Swap(i, j int) {
	h.teams[i], h.teams[j] = h.teams[j], h.teams[i]
	h.teams[i].heapIndex[h.order] = i + 1
	h.teams[j].heapIndex[h.order] = j + 1
}

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) {
	t := x.(*team)
	h.teams = append(h.teams, t)
	t.heapIndex[h.order] = len(h.teams)
}

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	last := len(h.teams) - 1
	t := h.teams[last]
	h.teams[last] = nil
	h.teams = h.teams[:last]
	t.heapIndex[h.order] = 0
	return t
}

// min returns the team with the lowest tag, or nil if the heap is empty.
func (h *teamHeap) min() *team {
	if len(h.teams) == 0 {
		return nil
	}
	return h.teams[0]
}

// update restores the position of t in the heap, or removes t if it has no items there.
func (h *teamHeap) update(t *team, present bool) {
	switch i := t.heapIndex[h.order] - 1; {
	case i < 0 && present:
		heap.Push(h, t)
	case i >= 0 && present:
		heap.Fix(h, i)
	case i >= 0:
		heap.Remove(h, i)
	}
}
