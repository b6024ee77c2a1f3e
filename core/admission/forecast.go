// Package admission decides at an entry VM whether a job is taken in. A job is refused only if
// the pool that would run it is full, and the work that goes before the job keeps it from
// completing while its result is of use. The package uses no clock, network or goroutines.
package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/objective"
)

// CoreSeconds is an amount of work: the use of one core for a second.
type CoreSeconds float64

// Cores is an amount of CPU capacity.
type Cores float64

// Sequence numbers the forecasts of one owner.
type Sequence int64

// Forecast describes the pools in which work waits for room. A pool that isn't listed has room.
type Forecast struct {
	// RunID identifies the owner's process, and Sequence its forecasts.
	RunID    string   `json:"life,omitempty"`
	Sequence Sequence `json:"sequence"`
	// Includes is the version of the table up to which the owner knew the jobs.
	Includes uint64 `json:"includes,omitempty"`
	// Entries is the number of entry VMs that decide by this forecast.
	Entries int    `json:"entries,omitempty"`
	Pools   []Pool `json:"pools,omitempty"`
	// BeyondShare are the accounts that have submitted more than their share.
	BeyondShare []job.AccountName `json:"beyond_share,omitempty"`
}

// Pool is the outlook of a pool that is full.
type Pool struct {
	Name job.PoolName `json:"name"`
	// Cores is the capacity that tasks can fill now.
	Cores Cores `json:"cores"`
	// Arriving is capacity on its way, by the time of its arrival.
	Arriving []Arrival `json:"arriving,omitempty"`
	// Running is the remaining work of the tasks that run, whatever their rank.
	Running CoreSeconds `json:"running"`
	// ArrivalRate is the work that arrives per second.
	ArrivalRate CoreSeconds `json:"arrival_rate"`
	Queues      []Queue     `json:"queues,omitempty"`
}

// Arrival is capacity that a pool gets at a time after the forecast.
type Arrival struct {
	AfterMS int64 `json:"after_ms"`
	Cores   Cores `json:"cores"`
}

// Queue holds the waiting work of a queue by its rank, and what is known of its jobs.
type Queue struct {
	Name     job.QueueName `json:"name"`
	Priority int           `json:"priority,omitempty"`
	// InTime is the work of jobs that can complete by their objectives, Late that of jobs
	// that can't but are still of use, and BeyondShare that of accounts beyond their shares.
	InTime      CoreSeconds `json:"in_time,omitempty"`
	Late        CoreSeconds `json:"late,omitempty"`
	BeyondShare CoreSeconds `json:"beyond,omitempty"`
	// RunSeconds is the typical run time of a task, or 0 before enough runs are known.
	RunSeconds float64 `json:"run_s,omitempty"`
	// EstimateSeconds is the typical estimate of the callers whose tasks these were; 0 in forecasts of
	// older releases, which don't know it.
	EstimateSeconds float64 `json:"estimate_s,omitempty"`
	// StragglerRatio is the run time of a step's longest task divided by the typical one.
	StragglerRatio float64 `json:"stragglers,omitempty"`
}

// typical returns the typical run time and estimate of the queue's tasks.
func (q *Queue) typical() objective.Queue {
	return objective.Queue{MeanLogRunTime: math.Log(q.RunSeconds), MeanLogEstimate: math.Log(cmp.Or(q.EstimateSeconds, q.RunSeconds))}
}

// Scarce reports whether any pool is full.
func (f *Forecast) Scarce() bool { return len(f.Pools) > 0 }

// Pool returns the outlook of a pool, or nil if the pool has room.
func (f *Forecast) Pool(n job.PoolName) *Pool {
	i := slices.IndexFunc(f.Pools, func(p Pool) bool { return p.Name == n })
	if i < 0 {
		return nil
	}
	return &f.Pools[i]
}

// queue returns what is known of a queue; the zero value if the queue isn't listed.
func (p *Pool) queue(n job.QueueName) Queue {
	for _, q := range p.Queues {
		if q.Name == n {
			return q
		}
	}
	return Queue{}
}

// Rank is a group of jobs; groups with lower ranks run first.
type Rank int

// The ranks of jobs by what they can still reach.
const (
	// InTimeRank jobs can complete by their objectives.
	InTimeRank Rank = iota
	// LateRank jobs can't, but can complete by their late limits.
	LateRank
	// BeyondShareRank jobs are of accounts beyond their shares.
	BeyondShareRank
)

// workBefore returns the work that runs before a new job of a rank and priority.
func (p *Pool) workBefore(r Rank, priority int) CoreSeconds {
	sum := p.Running
	for _, q := range p.Queues {
		for i, w := range [...]CoreSeconds{q.InTime, q.Late, q.BeyondShare} {
			if Rank(i) < r || (Rank(i) == r && q.Priority <= priority) {
				sum += w
			}
		}
	}
	return sum
}

// doneAfter returns how long after the forecast the pool has done an amount of work. ok is
// false if it never does.
func (p *Pool) doneAfter(work CoreSeconds) (after time.Duration, ok bool) {
	at, cores, left := 0.0, p.Cores, float64(work)
	for _, a := range p.Arriving {
		next := float64(a.AfterMS) / 1000
		if done := float64(cores) * (next - at); done >= left {
			break
		}
		left -= float64(cores) * (next - at)
		at, cores = next, cores+a.Cores
	}
	if left > 0 && cores <= 0 {
		return 0, false
	}
	if left > 0 {
		at += left / float64(cores)
	}
	return min(time.Duration(at*float64(time.Second)), maxOutlook), true
}

// maxOutlook bounds predictions. Callers don't wait for longer.
const maxOutlook = time.Minute

// coresAfter returns the capacity of the pool once all arrivals are there.
func (p *Pool) coresAfter() Cores {
	sum := p.Cores
	for _, a := range p.Arriving {
		sum += a.Cores
	}
	return sum
}
