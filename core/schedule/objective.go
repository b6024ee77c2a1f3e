package schedule

import (
	"math"
	"slices"
	"time"

	"lavenderpond/core/job"
)

// queueRecord is what was learned of a queue's tasks.
type queueRecord struct {
	// logRun is the running mean of the logarithm of run times in seconds.
	logRun float64
	runs   int
	// spread is the running mean of how much longer the longest task of a step runs than
	// a typical one, over so many steps.
	spread float64
	steps  int
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
	// leastRun keeps logarithms of run times finite, in seconds.
	leastRun = 0.01
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
	q.logRun += w * (math.Log(max(ranFor.Seconds(), leastRun)) - q.logRun)
}

// learnStep takes in the run times of all tasks of a step.
func (s *Scheduler) learnStep(j *jobState, st *stepState) {
	if len(st.runTimes) < len(st.tasks) {
		// Some ran unseen, under a former owner or from a checkpoint.
		return
	}
	sum := 0.0
	for _, d := range st.runTimes {
		sum += math.Log(max(d.Seconds(), leastRun))
	}
	typical := math.Exp(sum / float64(len(st.runTimes)))
	j.typicalRun = time.Duration(typical * float64(time.Second))
	longest := slices.Max(st.runTimes)
	spread := longest.Seconds() / typical
	if spread >= slowFactor {
		// A slow VM: objectives are meant for sound ones.
		return
	}
	st.longestRun = longest
	q := s.queue(j.Terms.Queue)
	q.steps++
	q.spread += max(learnWeight, 1/float64(q.steps)) * (spread - q.spread)
}

// stepTime predicts how long a step takes: as long as its longest task.
func (s *Scheduler) stepTime(j *jobState, st *job.Step) time.Duration {
	d := s.runTime(j, st)
	if q := s.queue(j.Terms.Queue); q.steps >= learnedAfter {
		d = time.Duration(float64(d) * q.spread)
	}
	return d
}

// runTime predicts how long a task of the step runs: as long as those of the job's
// earlier steps if they are known, else as those of the queue and the caller's guess say.
func (s *Scheduler) runTime(j *jobState, st *job.Step) time.Duration {
	if j.typicalRun > 0 {
		return j.typicalRun
	}
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
	return longestPath(j.Body.Steps, func(i int) time.Duration {
		if o.steps[i].complete() {
			return 0
		}
		return s.stepTime(j, &j.Body.Steps[i])
	})
}

// wholeChain predicts the same for the job's first occurrence from its beginning: what
// its complete steps took counts as it was.
func (s *Scheduler) wholeChain(j *jobState) time.Duration {
	return longestPath(j.Body.Steps, func(i int) time.Duration {
		if known := j.occurrences[0].steps[i].longestRun; known > 0 {
			return known
		}
		return s.stepTime(j, &j.Body.Steps[i])
	})
}

// longestPath returns how long the steps take if each begins as soon as those that it
// waits for are over.
func longestPath(steps []job.Step, takes func(i int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i := range steps {
		for _, a := range steps[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += takes(i)
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
	allowed := time.Duration(stretch*float64(s.wholeChain(j))) + j.Terms.LatencyAllowance
	return j.arrived.Add(allowed), j.arrived.Add(lateFactor * allowed)
}

// work predicts the core-seconds that a job still needs, and all that it needs.
func (s *Scheduler) work(j *jobState) (left, all float64) {
	for _, o := range j.occurrences {
		for i := range o.steps {
			st := o.steps[i].def
			one := float64(st.Resources.CPU) / 1000 * s.runTime(j, st).Seconds()
			all += one * float64(st.Count)
			left += one * float64(st.Count-o.steps[i].done)
		}
	}
	return left, all
}
