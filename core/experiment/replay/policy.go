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

// maxQueued is the maximum length of each queue at each entry, for all policies.
const maxQueued = 400

// Policy selects the decision code of a run.
type Policy struct {
	Name string
	// Queue and Router create the queue and the router of an entry. Each receives its own
	// source of random numbers.
	Queue  func(w Workload, rng *rand.Rand) queue.Queue
	Router func(rng *rand.Rand) route.Router
	// Budget creates the retry budget of an entry. If it is nil, retries are immediate
	// and unlimited.
	Budget func(rng *rand.Rand) retry.Budget
	// BoundTargets makes entries give up a request that has failed on retry.MaxTargets
	// targets.
	BoundTargets bool
	// RequeueUnsent puts a request that wasn't sent because its target was unreachable
	// back into its queue, without using the retry budget.
	RequeueUnsent bool
	// Overflow lets requests run in idle slots of other pools.
	Overflow bool
	// SplitSlots divides the slots of a target among the entries of its zone. Otherwise
	// every entry may use every slot, and a dispatch may find the target full.
	SplitSlots bool
	// Moves lets VMs move to pools with a backlog.
	Moves bool
}

// Naive returns the baseline: first come, first served, a random target, no early
// refusal, no retry budget, and slots split among the entries.
func Naive() Policy {
	return Policy{
		Name:       "naive",
		Queue:      func(Workload, *rand.Rand) queue.Queue { return &fifo.Queue{MaxQueued: maxQueued} },
		Router:     func(rng *rand.Rand) route.Router { return &random.Router{Rand: rng} },
		SplitSlots: true,
	}
}

// Queueing returns a policy with the fair queue, the least-loaded router and a retry
// budget. A burst waits in its queue. The entries of a zone share all slots, and the
// router knows how many entries there are, so that they can lend each other slots.
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

// Shared returns Queueing with a router that uses any slot, regardless of other entries.
func Shared() Policy {
	p := Queueing()
	p.Name = "shared"
	p.Router = func(rng *rand.Rand) route.Router { return &least.Router{Rand: rng} }
	return p
}

// Split returns Queueing with slots split among the entries.
func Split() Policy {
	p := Queueing()
	p.Name = "split"
	p.SplitSlots = true
	p.Router = func(rng *rand.Rand) route.Router { return &least.Router{Rand: rng} }
	return p
}

// FairRandom returns Split with a random target, to separate the effect of the queue on
// the results from that of the router.
func FairRandom() Policy {
	p := Split()
	p.Name = "fair_random"
	p.Router = func(rng *rand.Rand) route.Router { return &random.Router{Rand: rng} }
	return p
}

// Overflow returns Queueing with bursts that overflow into idle slots of other pools.
func Overflow() Policy {
	p := Queueing()
	p.Name = "overflow"
	p.Overflow = true
	return p
}

// Moves returns Queueing with VMs that move to pools with a backlog.
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

// unlimitedRetries is a retry budget that allows every retry immediately.
type unlimitedRetries struct{}

func (unlimitedRetries) First(time.Time) {}

func (unlimitedRetries) Allow(time.Time) bool { return true }

func (unlimitedRetries) Backoff(now time.Time, _ int) time.Time { return now }

// NoRetries is a retry budget that allows no retries.
type NoRetries struct{}

// First implements retry.Budget.
func (NoRetries) First(time.Time) {}

// Allow implements retry.Budget.
func (NoRetries) Allow(time.Time) bool { return false }

// Backoff implements retry.Budget.
func (NoRetries) Backoff(now time.Time, _ int) time.Time { return now }
