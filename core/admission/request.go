package admission

import (
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/objective"
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
	n.chain = objective.LongestPath(steps, func(i int) time.Duration {
		d := q.runTime(steps[i].Estimate)
		n.work += CoreSeconds(float64(steps[i].Reservation().CPU) / 1000 * float64(steps[i].Count) * d.Seconds())
		return time.Duration(float64(d) * max(1, q.StragglerRatio))
	})
	n.objective = objective.Allowed(&r.Job.Terms, n.chain)
	n.allowed = objective.LateFactor*n.objective - r.Waited
	n.objective -= r.Waited
	return n
}

// runTime predicts how long a task runs.
func (q *Queue) runTime(estimate time.Duration) time.Duration {
	if q.RunSeconds <= 0 {
		return objective.Estimate(estimate)
	}
	return objective.RunTime(estimate, q.typical())
}
