package replay

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/queue"
	"lavenderpond/core/retry"
)

// runStart is the simulated time at which every run starts.
var runStart = time.Unix(1_800_000_000, 0).UTC()

// job is the state of a request during a run.
type job struct {
	item queue.Item
	kind Kind
	// run is the actual run time on a VM of normal speed.
	run time.Duration
	// impossible marks a job that fails on every target.
	impossible bool
	entry      *entry
	queueIndex int

	failedTargets retry.FailedTargets
	// retries counts the retries that the retry budget allowed. A dispatch to a target that
	// was full doesn't count, nor does a return to the queue because the target was
	// unreachable. submissions counts how often the caller sent the request.
	retries, submissions int
	state                jobState
	started              bool
	firstStart           time.Time
}

// jobState is the state of a job.
type jobState int

const (
	notQueued jobState = iota
	waiting
	running
	ended
)

// demand returns the requests of a workload, queue by queue, each queue in order of
// arrival.
func demand(w Workload, f Faults, seed uint64) []*job {
	rng := rand.New(rand.NewPCG(seed, 0xdeadbeef))
	var jobs []*job
	for q := range queues {
		peak := w.Load * vmsPerPool * slotsPerVM / w.meanRun().Seconds() * burstFactor
		for at := time.Duration(0); ; {
			at += seconds(rng.ExpFloat64() / peak)
			if at >= w.Horizon {
				break
			}
			// Thinning: arrivals are drawn at the peak rate, and each is kept with a
			// probability of the current rate divided by the peak rate.
			if rng.Float64() < w.rate(q, at)/peak {
				jobs = append(jobs, newJob(w, f, rng, q, at, len(jobs)))
			}
		}
	}
	return jobs
}

func newJob(w Workload, f Faults, rng *rand.Rand, q int, at time.Duration, n int) *job {
	k := w.Kinds[weightedIndex(rng, len(w.Kinds), func(i int) float64 { return w.Kinds[i].Weight })]
	account := w.Accounts[weightedIndex(rng, len(w.Accounts), func(i int) float64 { return w.Accounts[i].Demand })]
	run := logNormal(rng, k.MeanRun, k.Spread)
	sent := runStart.Add(at)
	return &job{
		item: queue.Item{
			Key:         core.RequestKey{Team: account.Team, ID: core.RequestID(strconv.Itoa(n))},
			Queue:       queueID(q),
			Urgent:      k.Urgent,
			Deadline:    sent.Add(k.Within),
			Enqueued:    sent,
			DeclaredRun: logNormal(rng, run, w.DeclaredSpread),
		},
		kind:       k,
		run:        run,
		impossible: rng.Float64() < f.Impossible,
		queueIndex: q,
	}
}

// weightedIndex draws an index below n, each with a probability proportional to its weight.
func weightedIndex(rng *rand.Rand, n int, weight func(int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	at := rng.Float64() * total
	for i := range n {
		at -= weight(i)
		if at < 0 {
			return i
		}
	}
	return n - 1
}

// logNormal draws a duration from a log-normal distribution with the given mean.
func logNormal(rng *rand.Rand, mean time.Duration, sigma float64) time.Duration {
	return seconds(mean.Seconds() * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2))
}

func queueID(q int) core.QueueID { return core.QueueID("queue" + strconv.Itoa(q)) }

// poolOf returns the pool that serves queue q.
func poolOf(q core.QueueID) core.PoolID {
	return core.PoolID("pool" + strings.TrimPrefix(string(q), "queue"))
}

func poolID(p int) core.PoolID { return core.PoolID("pool" + strconv.Itoa(p)) }
