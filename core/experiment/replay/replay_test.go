package replay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// oneRotation returns w limited to one rotation, in which each queue has one burst.
func oneRotation(w Workload) Workload {
	w.Horizon = phases * burstLength
	return w
}

// TestEveryRequestEnds checks that the measured outcomes add up to all requests of a run,
// whatever fails. A policy would look too good if the replay lost requests.
func TestEveryRequestEnds(t *testing.T) {
	faults := Faults{BadTarget: true, Outage: 0.5, Cancellations: 0.5, Impossible: 0.05}
	for _, p := range []Policy{Naive(), Queueing(), Overflow(), Moves(), Shared(), Split()} {
		m := Run(oneRotation(Consortium()), p, faults, 1)
		sum := m["done_in_time"] + m["done_late"] + m["refused_early"] + m["refused_late"] +
			m["outcome_unknown"] + m["given_up"]
		assert.Assert(t, sum > 0.999999 && sum < 1.000001, "%s: %v", p.Name, sum)
	}
}

// TestRunIsDeterministic checks that the same seed produces the same measures, and that
// another seed changes them.
func TestRunIsDeterministic(t *testing.T) {
	w := oneRotation(Consortium())
	assert.DeepEqual(t, Run(w, Overflow(), Faults{}, 5), Run(w, Overflow(), Faults{}, 5))
	assert.Assert(t, Run(w, Overflow(), Faults{}, 5)["wait_p99"] != Run(w, Overflow(), Faults{}, 6)["wait_p99"])
}

// TestDemandKeepsItsMean checks that the mean demand over a rotation of bursts matches the
// load of the workload.
func TestDemandKeepsItsMean(t *testing.T) {
	w := oneRotation(Magnolia())
	offered := time.Duration(0)
	for _, j := range demand(w, Faults{}, 1) {
		offered += j.run
	}
	load := offered.Seconds() / (queues * vmsPerPool * slotsPerVM * w.Horizon.Seconds())
	assert.Assert(t, load > 0.47 && load < 0.57, "load %v", load)
}

func TestShareMeter(t *testing.T) {
	m := newShareMeter([]Account{{Team: "a", Share: 3, Limit: 100}, {Team: "b", Share: 1, Limit: 100}, {Team: "c", Share: 4, Limit: 100}})
	// Team c uses less than its share. The rest is divided three to one between a and b.
	assert.DeepEqual(t, m.divide(18, []float64{100, 100, 2}), []float64{12, 4, 2})
	m.queues[0].running = []int{4, 12, 2}
	m.queues[0].waiting = []int{50, 50, 0}
	m.sample(runStart)
	m.sample(runStart.Add(shareWindow))
	assert.Equal(t, m.fairFraction(), 1-8.0/18)
	assert.Equal(t, m.lowestReceivedFraction(), 4.0/12)
}
