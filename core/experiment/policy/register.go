package policy

import (
	"math/rand/v2"

	"lavenderpond/core/experiment"
	"lavenderpond/core/experiment/replay"
	"lavenderpond/core/retry"
)

// outageFraction is the fraction of a pool's targets that an outage makes unreachable.
const outageFraction = 1.0 / 3

// fullLoad is the mean demand of each queue, as a fraction of its pool's slots, in the
// experiment in which the demand exceeds the whole fleet.
const fullLoad = 1.4

func init() {
	workloads := replay.Workloads()
	naiveAndOverflow := []replay.Policy{replay.Naive(), replay.Overflow()}
	for _, c := range []Comparison{
		{
			ID: "rotation", Question: "Bursts in turn: naive, queueing, overflow into idle pools, and moving VMs.",
			Workloads: workloads,
			Policies:  []replay.Policy{replay.Naive(), replay.Queueing(), replay.Overflow(), replay.Moves()},
		},
		{
			ID: "slots", Question: "Slots that two entries share: split, taken by whoever asks, or lent.",
			Workloads: workloads,
			Policies: []replay.Policy{
				replay.Naive(), replay.FairRandom(), replay.Split(), replay.Shared(), replay.Queueing(),
			},
		},
		{
			ID: "full", Question: "Demand above the whole fleet: shares and early refusal against naive.",
			Workloads: withLoad(workloads, fullLoad), Policies: fullPolicies(),
		},
		{
			ID: "bad_target", Question: "One target fails everything quickly and looks idle.",
			Workloads: workloads, Policies: naiveAndOverflow, Faults: replay.Faults{BadTarget: true},
		},
		{
			ID: "outage", Question: "A third of a pool's targets is out of reach for a fifth of the run.",
			Workloads: workloads, Policies: naiveAndOverflow, Faults: replay.Faults{Outage: outageFraction},
		},
		{
			ID: "cancellations", Question: "Three waves cancel seven tenths of all waiting requests.",
			Workloads: workloads, Policies: naiveAndOverflow, Faults: replay.Faults{Cancellations: 0.7},
		},
		{
			ID: "impossible", Question: "One request in fifty fails on every target.",
			Workloads: workloads, Policies: naiveAndOverflow, Faults: replay.Faults{Impossible: 0.02},
		},
		{
			ID: "bad_target_and_outage", Question: "A target that fails everything, and an outage, at once.",
			Workloads: workloads, Policies: naiveAndOverflow, Faults: replay.Faults{BadTarget: true, Outage: outageFraction},
		},
		{
			ID: "impossible_and_cancellations", Question: "Requests that can't run, and waves of cancellations, at once.",
			Workloads: workloads, Policies: naiveAndOverflow, Faults: replay.Faults{Impossible: 0.02, Cancellations: 0.7},
		},
		{
			ID: "retry", Question: "All targets of a pool fail everything for a while: retries unbounded, none, under a budget.",
			Workloads: workloads, Policies: retryPolicies(), Faults: replay.Faults{Brownout: 1},
		},
		{
			ID: "unreachable", Question: "All targets of a pool are out of reach: retries unbounded, under a budget, or back into the queue.",
			Workloads: workloads, Policies: unreachablePolicies(), Faults: replay.Faults{Outage: 1},
		},
	} {
		experiment.Register(c)
	}
}

func withLoad(workloads []replay.Workload, load float64) []replay.Workload {
	var loaded []replay.Workload
	for _, w := range workloads {
		w.Load = load
		loaded = append(loaded, w)
	}
	return loaded
}

// fullPolicies returns policies that differ in how entries share slots when pools have
// few idle slots to lend.
func fullPolicies() []replay.Policy {
	split, shared := replay.Split(), replay.Shared()
	split.Name, split.Overflow = "overflow_split", true
	shared.Name, shared.Overflow = "overflow_shared", true
	return []replay.Policy{replay.Naive(), split, shared, replay.Overflow()}
}

// retryPolicies separates the effect of the router from that of the retry budget: it
// returns both routers, each with unbounded retries and with a budget. All policies use
// the fair queue.
func retryPolicies() []replay.Policy {
	exponential := func(rng *rand.Rand) retry.Budget { return &retry.TokenBucket{Rand: rng} }
	linear := func(rng *rand.Rand) retry.Budget { return &retry.TokenBucket{Rand: rng, Growth: retry.Linear} }
	none := func(*rand.Rand) retry.Budget { return replay.NoRetries{} }
	return []replay.Policy{
		unbounded("naive", replay.FairRandom()),
		withBudget("random_exponential", replay.FairRandom(), exponential),
		unbounded("least_unbounded", replay.Queueing()),
		withBudget("no_retries", replay.Queueing(), none),
		withBudget("exponential", replay.Queueing(), exponential),
		withBudget("linear", replay.Queueing(), linear),
	}
}

// unreachablePolicies returns policies that have the router and the queue in common. There
// is none with the random router, which would try the targets a thousand times a second
// here, so that the run would take too long.
func unreachablePolicies() []replay.Policy {
	requeue := replay.Queueing()
	requeue.Name = "requeue_unsent"
	return []replay.Policy{
		unbounded("naive", replay.Queueing()),
		withBudget("exponential", replay.Queueing(), func(rng *rand.Rand) retry.Budget {
			return &retry.TokenBucket{Rand: rng}
		}),
		requeue,
	}
}

// unbounded returns p with immediate retries, without limits on their number or on the
// number of targets.
func unbounded(name string, p replay.Policy) replay.Policy {
	p.Name, p.Budget, p.RequeueUnsent, p.BoundTargets = name, nil, false, false
	return p
}

func withBudget(name string, p replay.Policy, budget func(*rand.Rand) retry.Budget) replay.Policy {
	p.Name, p.Budget, p.RequeueUnsent = name, budget, false
	return p
}
