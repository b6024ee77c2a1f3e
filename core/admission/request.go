package admission

import (
	"math"
	"time"

	"lavenderpond/core/job"
)

const (
	// estimateWeight is the weight of the caller's estimate against the queue's run times.
	estimateWeight = 0.25
	// defaultEstimate is used for tasks without an estimate.
	defaultEstimate = time.Second
	// defaultStretch is used for queues that set none.
	defaultStretch = 1.5
	// lateLimitFactor is how many times its allowed time a job may take and still be of some
	// use to its caller.
	lateLimitFactor = 3
)

// Request is a job that a caller submits.
type Request struct {
	Job *job.Job
	// Waited is how long ago the caller was refused for the first time; 0 if it wasn't.
	Waited time.Duration
}

// alwaysAdmitted reports whether the job is taken in whatever waits: it runs for long, or at
// times that its caller sets.
func (r Request) alwaysAdmitted() bool {
	return r.Job.Body.LongRunning() || r.Job.Body.Occurrences > 0
}

// needs is what a job needs by the run times of its queue.
type needs struct {
	work  CoreSeconds
	chain time.Duration
	// objective and allowed are how long the job may take until it is late, and until it is of
	// no use.
	objective, allowed time.Duration
}

func (r Request) needs(q Queue) needs {
	var n needs
	steps := r.Job.Body.Steps
	ends := make([]time.Duration, len(steps))
	for i := range steps {
		s := &steps[i]
		d := q.runTime(s.Estimate)
		n.work += CoreSeconds(float64(s.Reservation().CPU) / 1000 * float64(s.Count) * d.Seconds())
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += time.Duration(float64(d) * max(1, q.StragglerRatio))
		n.chain = max(n.chain, ends[i])
	}
	stretch := r.Job.Terms.Stretch
	if stretch <= 0 {
		stretch = defaultStretch
	}
	n.objective = time.Duration(stretch*float64(n.chain)) + r.Job.Terms.LatencyAllowance
	n.allowed = lateLimitFactor*n.objective - r.Waited
	n.objective -= r.Waited
	return n
}

// runTime predicts how long a task runs.
func (q *Queue) runTime(estimate time.Duration) time.Duration {
	if estimate <= 0 {
		estimate = defaultEstimate
	}
	if q.RunSeconds <= 0 {
		return estimate
	}
	l := estimateWeight*math.Log(estimate.Seconds()) + (1-estimateWeight)*math.Log(q.RunSeconds)
	return time.Duration(math.Exp(l) * float64(time.Second))
}
