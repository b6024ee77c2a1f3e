// Package replay runs pseudo-random demand against the real queue, router and retry
// budget in a discrete-event simulation. Service times, faults and callers are simple
// models: the package compares decisions and doesn't model a real cluster.
package replay

import (
	"time"

	"lavenderpond/core"
)

// Size of the simulated fleet, which is that of the current fleets.
const (
	zones          = 3
	entriesPerZone = 2
	queues         = 4
	pools          = queues + 1 // The last one is the spare pool.
	vmsPerPool     = 10
	slotsPerVM     = 8
	connections    = 64
)

// Rotation of demand: the queues have bursts in turn, each of burstLength. During a burst,
// the rate is burstFactor times the mean, otherwise quietFactor times. In one more phase,
// no queue has a burst. The rate averages 1.04 times the mean over all phases.
const (
	burstLength = 10 * time.Second
	burstFactor = 5
	quietFactor = 0.05
	phases      = queues + 1
)

// Kind is a kind of request within a workload.
type Kind struct {
	// Weight is the relative frequency of the kind.
	Weight float64
	// MeanRun is the mean run time and Spread the sigma of its log-normal
	// distribution.
	MeanRun time.Duration
	Spread  float64
	// Within is the time between the first sending and the deadline.
	Within     time.Duration
	Urgent     bool
	Idempotent bool
}

// Account is a client account (team) of a workload.
type Account struct {
	Team core.TeamID
	// Demand is the relative frequency of the team's requests, Share its weight when slots
	// are scarce.
	Demand float64
	Share  int
	Limit  core.Slots
}

// Workload describes the distribution from which demand is drawn.
type Workload struct {
	Name     string
	Kinds    []Kind
	Accounts []Account
	// Load is the mean demand of each queue, as a fraction of its pool's slots.
	Load float64
	// DeclaredSpread is the sigma of the log-normal error of declared run times.
	DeclaredSpread float64
	// Horizon is the period during which requests arrive.
	Horizon time.Duration
}

// Consortium returns the workload of the Southern Cross Imaging Consortium: long jobs of
// six competing members, whose demand isn't proportional to their shares.
func Consortium() Workload {
	return Workload{
		Name: "consortium",
		Kinds: []Kind{
			{Weight: 0.35, MeanRun: 3 * time.Second, Spread: 0.8, Within: 20 * time.Second, Urgent: true, Idempotent: true},
			{Weight: 0.35, MeanRun: 3 * time.Second, Spread: 0.8, Within: 30 * time.Second},
			{Weight: 0.3, MeanRun: 15 * time.Second, Spread: 0.8, Within: 2 * time.Minute},
		},
		Accounts: []Account{
			{Team: "member1", Demand: 1, Share: 4, Limit: 200},
			{Team: "member2", Demand: 2, Share: 3, Limit: 200},
			{Team: "member3", Demand: 1, Share: 2, Limit: 200},
			{Team: "member4", Demand: 1, Share: 2, Limit: 200},
			{Team: "member5", Demand: 2, Share: 1, Limit: 200},
			{Team: "member6", Demand: 3, Share: 1, Limit: 200},
		},
		Load:           0.5,
		DeclaredSpread: 1,
		Horizon:        200 * time.Second,
	}
}

// Magnolia returns the workload of Magnolia Soundworks Rental: short and mostly urgent
// requests, half of which come from one new team.
func Magnolia() Workload {
	return Workload{
		Name: "magnolia",
		Kinds: []Kind{
			{Weight: 0.5, MeanRun: 100 * time.Millisecond, Spread: 0.5, Within: time.Second, Urgent: true},
			{Weight: 0.3, MeanRun: 200 * time.Millisecond, Spread: 0.5, Within: 3 * time.Second, Urgent: true},
			{Weight: 0.2, MeanRun: 400 * time.Millisecond, Spread: 0.8, Within: 3 * time.Second, Idempotent: true},
		},
		Accounts: []Account{
			{Team: "newcomer", Demand: 6, Share: 2, Limit: 250},
			{Team: "festivals", Demand: 2, Share: 2, Limit: 200},
			{Team: "revivals", Demand: 1, Share: 1, Limit: 200},
			{Team: "stadiums", Demand: 1, Share: 1, Limit: 200},
			{Team: "venues", Demand: 1, Share: 1, Limit: 200},
			{Team: "promoters", Demand: 1, Share: 1, Limit: 200},
		},
		Load:           0.5,
		DeclaredSpread: 1,
		Horizon:        50 * time.Second,
	}
}

// Workloads returns the workloads of both users.
func Workloads() []Workload { return []Workload{Consortium(), Magnolia()} }

// meanRun returns the mean run time of the workload's requests.
func (w Workload) meanRun() time.Duration {
	total := 0.0
	for _, k := range w.Kinds {
		total += k.Weight * k.MeanRun.Seconds()
	}
	return seconds(total)
}

// rate returns the arrival rate of queue q at time at, in requests per second.
func (w Workload) rate(q int, at time.Duration) float64 {
	mean := w.Load * vmsPerPool * slotsPerVM / w.meanRun().Seconds()
	if int(at/burstLength)%phases == q {
		return mean * burstFactor
	}
	return mean * quietFactor
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
