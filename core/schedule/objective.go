package schedule

import (
	"math"
	"time"

	"lavenderpond/core/job"
)

// queueRecord is what was learned of a queue's tasks.
type queueRecord struct {
	// logRun is the running mean of the logarithm of run times in seconds.
	logRun float64
	runs   int
	// meanWork is the running mean of jobs' work in core-seconds.
	meanWork float64
	jobs     int
}

const (
	// learnWeight is the weight of a new run time once many are known.
	learnWeight = 0.05
	// guessWeight is the weight of the caller's estimate against what was
	// learned of the queue: estimates are off by up to 0.9 of a log unit, run
	// times of a queue vary by about half of one.
	guessWeight = 0.25
	// learnedAfter is how many run times make what was learned usable.
	learnedAfter = 10
	// defaultRun is assumed of a task without an estimate.
	defaultRun = time.Second
	// lateFactor is how many times its objective a job may take and still be of
	// some use to its caller.
	lateFactor = 3
	// defaultStretch is used where the queue has none.
	defaultStretch = 1.5
)

func (s *Scheduler) queue(n job.QueueName) *queueRecord {
	q := s.queues[n]
	if q == nil {
		q = &queueRecord{}
		s.queues[n] = q
	}
	return q
}

// arrive takes in the work of a new job, in core-seconds.
func (q *queueRecord) arrive(work float64) {
	q.jobs++
	q.meanWork += max(learnWeight, 1/float64(q.jobs)) * (work - q.meanWork)
}

// learn takes in how long a task ran.
func (s *Scheduler) learn(j *jobState, ranFor time.Duration) {
	q := s.queue(j.Terms.Queue)
	q.runs++
	w := max(learnWeight, 1/float64(q.runs))
	q.logRun += w * (math.Log(max(ranFor.Seconds(), 0.01)) - q.logRun)
}

// runTime predicts how long a task of the step runs.
func (s *Scheduler) runTime(j *jobState, st *job.Step) time.Duration {
	guess := st.Estimate
	if guess <= 0 {
		guess = defaultRun
	}
	q := s.queue(j.Terms.Queue)
	if q.runs < learnedAfter {
		return guess
	}
	l := guessWeight*math.Log(guess.Seconds()) + (1-guessWeight)*q.logRun
	return time.Duration(math.Exp(l) * float64(time.Second))
}

// chain predicts how long the job takes if nothing holds it up, counting only
// steps that aren't complete.
func (s *Scheduler) chain(j *jobState, o *occurrence) time.Duration {
	ends := make([]time.Duration, len(j.Body.Steps))
	longest := time.Duration(0)
	for i := range j.Body.Steps {
		st := &j.Body.Steps[i]
		from := time.Duration(0)
		for _, a := range st.After {
			from = max(from, ends[a])
		}
		ends[i] = from
		if !o.steps[i].complete() {
			ends[i] += s.runTime(j, st)
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// objective predicts when the job is due, and from when on it is of no use.
func (s *Scheduler) objective(j *jobState) (due, useless time.Time) {
	stretch := j.Terms.Stretch
	if stretch <= 0 {
		stretch = defaultStretch
	}
	chain := s.chain(j, j.occurrences[0])
	allowed := time.Duration(stretch*float64(chain)) + j.Terms.Latency
	return j.arrived.Add(allowed), j.arrived.Add(lateFactor * allowed)
}

// work predicts the core-seconds that a job still needs, and all that it needs.
func (s *Scheduler) work(j *jobState) (left, all float64) {
	for _, o := range j.occurrences {
		for i := range o.steps {
			st := o.steps[i].def
			one := float64(st.Room.CPU) / 1000 * s.runTime(j, st).Seconds()
			all += one * float64(st.Count)
			left += one * float64(st.Count-o.steps[i].done)
		}
	}
	return left, all
}
