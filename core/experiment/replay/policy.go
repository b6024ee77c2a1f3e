package replay

import (
	"math/rand/v2"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/queue"
	"lavenderpond/core/queue/fair"
	"lavenderpond/core/queue/fifo"
	"lavenderpond/core/retry"
	"lavenderpond/core/route"
	"lavenderpond/core/route/least"
	"lavenderpond/core/route/random"
)

// maxQueued bounds each queue at each entry, for all policies.
const maxQueued = 400

// Policy makes the decisions of a run.
type Policy struct {
	Name string
	// Queue and Router make an entry's decisions. Each is given its own seed.
	Queue  func(w Workload, rng *rand.Rand) queue.Queue
	Router func(rng *rand.Rand) route.Router
	// Budget bounds retries; nil retries at once and without bound.
	Budget func(rng *rand.Rand) retry.Budget
	// BoundTargets gives up a request that retry.MaxTargets targets failed.
	BoundTargets bool
	// RequeueUnsent puts a request that reached no target back into its queue,
	// without taking from the retry budget.
	RequeueUnsent bool
	// Overflow lets requests run in idle slots of other pools.
	Overflow bool
	// SplitSlots gives each entry of a zone its own part of a target's slots. Else
	// any entry may use any slot and a target may be full.
	SplitSlots bool
	// Moves lets VMs move to a pool with a backlog.
	Moves bool
}

// Naive is the baseline: first come first served, a random target, no early
// refusal, no retry budget and slots split among the entries.
func Naive() Policy {
	return Policy{
		Name:       "naive",
		Queue:      func(Workload, *rand.Rand) queue.Queue { return &fifo.Queue{MaxQueued: maxQueued} },
		Router:     func(rng *rand.Rand) route.Router { return &random.Router{Rand: rng} },
		SplitSlots: true,
	}
}

// Queueing is the fair queue, the least-loaded router and a retry budget; a burst
// waits in its queue. Entries borrow each other's slots.
func Queueing() Policy {
	return Policy{
		Name:  "queueing",
		Queue: newFair,
		Router: func(rng *rand.Rand) route.Router {
			return &least.Router{Rand: rng, Entries: entriesPerZone}
		},
		Budget:        func(rng *rand.Rand) retry.Budget { return &retry.TokenBucket{Rand: rng} },
		BoundTargets:  true,
		RequeueUnsent: true,
	}
}

// Shared is Queueing, with any entry using any slot it finds.
func Shared() Policy {
	p := Queueing()
	p.Name = "shared"
	p.Router = func(rng *rand.Rand) route.Router { return &least.Router{Rand: rng} }
	return p
}

// Split is Queueing, with slots split among the entries.
func Split() Policy {
	p := Queueing()
	p.Name = "split"
	p.SplitSlots = true
	p.Router = func(rng *rand.Rand) route.Router { return &least.Router{Rand: rng} }
	return p
}

// FairRandom is Split with a random target, to tell the queue's part in the
// results from the router's.
func FairRandom() Policy {
	p := Split()
	p.Name = "fair_random"
	p.Router = func(rng *rand.Rand) route.Router { return &random.Router{Rand: rng} }
	return p
}

// Overflow is Queueing, with bursts overflowing into idle slots of other pools.
func Overflow() Policy {
	p := Queueing()
	p.Name = "overflow"
	p.Overflow = true
	return p
}

// Moves is Queueing, with VMs moving to the pool with a backlog.
func Moves() Policy {
	p := Queueing()
	p.Name = "moves"
	p.Moves = true
	return p
}

func newFair(w Workload, rng *rand.Rand) queue.Queue {
	shares := make(map[core.TeamID]int)
	for _, a := range w.Accounts {
		shares[a.Team] = a.Share
	}
	return &fair.Queue{
		Share:     func(t core.TeamID) int { return shares[t] },
		MaxQueued: func(core.QueueID) int { return maxQueued },
		Rand:      rng,
	}
}

// unlimitedRetries is the budget of a policy without one.
type unlimitedRetries struct{}

func (unlimitedRetries) First(time.Time) {}

func (unlimitedRetries) Allow(time.Time) bool { return true }

func (unlimitedRetries) Backoff(now time.Time, _ int) time.Time { return now }

// NoRetries is a budget without any retry.
type NoRetries struct{}

// First implements retry.Budget.
func (NoRetries) First(time.Time) {}

// Allow implements retry.Budget.
func (NoRetries) Allow(time.Time) bool { return false }

// Backoff implements retry.Budget.
func (NoRetries) Backoff(now time.Time, _ int) time.Time { return now }
