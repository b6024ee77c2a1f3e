package fair

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/queue"
)

// naiveQueue is a straightforward implementation of fair queueing that examines every
// item. All runs take one second, and a team's share is derived from its name.
type naiveQueue struct {
	items   []queue.Item
	virtual map[core.TeamID]float64
	lastTag float64
}

func share(t core.TeamID) int { return int(t[len(t)-1]-'0') + 1 }

func (n *naiveQueue) waiting(team core.TeamID) bool {
	for _, i := range n.items {
		if i.Key.Team == team {
			return true
		}
	}
	return false
}

func (n *naiveQueue) push(i queue.Item) {
	if len(n.items) == 0 {
		// A new busy period starts. Nothing is running, so all teams are level.
		clear(n.virtual)
		n.lastTag = 0
	}
	if !n.waiting(i.Key.Team) {
		n.virtual[i.Key.Team] = max(n.virtual[i.Key.Team], n.lastTag)
	}
	n.items = append(n.items, i)
}

// best returns the index of the item to pop. The order is: the team with the lowest
// tag, then by team name; urgent items before normal ones; then the earliest deadline.
func (n *naiveQueue) best(allowed func(queue.Item) bool) int {
	best := -1
	for k, i := range n.items {
		if allowed(i) && (best < 0 || n.before(i, n.items[best])) {
			best = k
		}
	}
	return best
}

func (n *naiveQueue) before(a, b queue.Item) bool {
	va, vb := n.virtual[a.Key.Team], n.virtual[b.Key.Team]
	switch {
	case va != vb:
		return va < vb
	case a.Key.Team != b.Key.Team:
		return a.Key.Team < b.Key.Team
	case a.Urgent != b.Urgent:
		return a.Urgent
	}
	return a.Deadline.Before(b.Deadline)
}

func (n *naiveQueue) pop(blocked core.TeamID) (queue.Item, bool) {
	first := n.best(acceptAll)
	if first < 0 {
		return queue.Item{}, false
	}
	least := n.virtual[n.items[first].Key.Team]
	k := n.best(func(i queue.Item) bool {
		ahead := float64(urgentLeadRuns) / float64(share(i.Key.Team))
		return i.Urgent && i.Key.Team != blocked && n.virtual[i.Key.Team] <= least+ahead
	})
	if k < 0 {
		k = n.best(func(i queue.Item) bool { return i.Key.Team != blocked })
	}
	if k < 0 {
		return queue.Item{}, false
	}
	i := n.items[k]
	n.remove(i.Key)
	n.lastTag = max(n.lastTag, least)
	n.virtual[i.Key.Team] += 1 / float64(share(i.Key.Team))
	return i, true
}

func (n *naiveQueue) remove(key core.RequestKey) bool {
	for k, i := range n.items {
		if i.Key == key {
			n.items = append(n.items[:k], n.items[k+1:]...)
			return true
		}
	}
	return false
}

func TestQueueMatchesNaive(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		f := Queue{Share: share, MaxQueued: fixedBound(1 << 20)}
		n := naiveQueue{virtual: map[core.TeamID]float64{}}
		// The deadlines differ by more than any two estimates of a run time.
		deadlines := rng.Perm(300)
		for step := range 300 {
			switch rng.IntN(5) {
			case 0, 1:
				// Weights of one, two and four keep the sums exact.
				team := []string{"t0", "t1", "t3", "u0", "u1"}[rng.IntN(5)]
				i := item(team, step, rng.IntN(3) == 0, time.Hour+time.Duration(deadlines[step])*10*time.Second)
				_, ok := f.Push(testStart, i, 1<<20)
				assert.Assert(t, ok, "seed %d step %d", seed, step)
				n.push(i)
			case 2, 3:
				blocked := core.TeamID([]string{"", "t0", "u1"}[rng.IntN(3)])
				got, ok := f.Pop(testStart, q, func(i queue.Item) bool { return i.Key.Team != blocked })
				want, wantOK := n.pop(blocked)
				assert.Equal(t, ok, wantOK, "seed %d step %d", seed, step)
				assert.Equal(t, got.Key, want.Key, "seed %d step %d", seed, step)
				if ok {
					f.Observe(testStart, q, got.Key.Team, time.Second)
				}
			case 4:
				key := core.RequestKey{Team: core.TeamID([]string{"t0", "t1", "t3"}[rng.IntN(3)]), ID: core.RequestID(fmt.Sprint(rng.IntN(step + 1)))}
				assert.Equal(t, f.Remove(key), n.remove(key), "seed %d step %d", seed, step)
			}
			assert.Equal(t, f.Len(q), len(n.items), "seed %d step %d", seed, step)
		}
	}
}
