// Package replay runs a seeded demand against the real queue, router and retry
// budget, with an injected clock and a heap of events. Service times, faults and
// callers are simple fakes: it compares decisions and simulates no cluster.
package replay

import (
	"time"

	"lavenderpond/core"
)

// The sizes of today's fleet, from the users' brief.
const (
	zones          = 3
	entriesPerZone = 2
	queues         = 4
	pools          = queues + 1 // the last one is spare
	vmsPerPool     = 10
	slotsPerVM     = 8
	connections    = 64
)

// Rotation of demand: each queue in turn bursts for burstLength to burstFactor
// times its mean and falls to quietFactor in between. With one phase in which no
// queue bursts, the mean comes out at 1.04.
const (
	burstLength = 10 * time.Second
	burstFactor = 5
	quietFactor = 0.05
	phases      = queues + 1
)

// Kind is a kind of work within a workload.
type Kind struct {
	// Weight is the kind's part of the requests.
	Weight float64
	// MeanRun is the mean run time and Spread the sigma of its log-normal law.
	MeanRun time.Duration
	Spread  float64
	// Within is the time from the first sending to the deadline.
	Within     time.Duration
	Urgent     bool
	Idempotent bool
}

// Account is a team of a workload.
type Account struct {
	Team core.TeamID
	// Demand is the team's part of the requests, Share its weight when full.
	Demand float64
	Share  int
	Limit  core.Slots
}

// Workload is a seeded demand.
type Workload struct {
	Name     string
	Kinds    []Kind
	Accounts []Account
	// Load is the mean demand of each queue, as a part of its pool's slots.
	Load float64
	// DeclaredSpread is the sigma of the log-normal error of declared run times.
	DeclaredSpread float64
	// Horizon is for how long requests arrive.
	Horizon time.Duration
}

// Consortium is the workload of the Southern Cross Imaging Consortium: long jobs
// of six rival members, whose demand doesn't follow their shares.
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

// Magnolia is the workload of Magnolia Soundworks Rental: short and urgent, with
// one large newcomer.
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

// meanRun is the mean run time of a request of the workload.
func (w Workload) meanRun() time.Duration {
	total := 0.0
	for _, k := range w.Kinds {
		total += k.Weight * k.MeanRun.Seconds()
	}
	return seconds(total)
}

// rate is how many requests a second arrive at queue q at time at.
func (w Workload) rate(q int, at time.Duration) float64 {
	mean := w.Load * vmsPerPool * slotsPerVM / w.meanRun().Seconds()
	if int(at/burstLength)%phases == q {
		return mean * burstFactor
	}
	return mean * quietFactor
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
