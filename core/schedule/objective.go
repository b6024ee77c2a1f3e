package schedule

import (
	"math"
	"slices"
	"time"

	"lavenderpond/core/job"
)

// queueRecord is what was learned of a queue's tasks.
type queueStats struct {
	// meanLogRunTime is the running mean of the logarithm of run times in seconds.
	meanLogRunTime float64
	runs           int
	// stragglerRatio is the running mean of how much longer the longest task of a step runs than
	// a typical one, over so many steps.
	stragglerRatio float64
	steps          int
	// meanWork is the running mean of jobs' work in core-seconds.
	meanWork float64
	jobs     int
}

const (
	// minSampleWeight is the weight of a new run time once many are known.
	minSampleWeight = 0.05
	// estimateWeight is the weight of the caller's estimate against what was
	// learned of the queue: estimates are off by up to 0.9 of a log unit, run
	// times of a queue vary by about half of one.
	estimateWeight = 0.25
	// minSamples is how many run times make what was learned usable.
	minSamples = 10
	// minRunSeconds keeps logarithms of run times finite, in seconds.
	minRunSeconds = 0.01
	// defaultEstimate is assumed of a task without an estimate.
	defaultEstimate = time.Second
	// uselessFactor is how many times its objective a job may take and still be of
	// some use to its caller.
	uselessFactor = 3
	// defaultStretch is used where the queue has none.
	defaultStretch = 1.5
)

func (s *Scheduler) queueStats(n job.QueueName) *queueStats {
	q := s.queues[n]
	if q == nil {
		q = &queueStats{}
		s.queues[n] = q
	}
	return q
}

// addJob takes in the work of a new job, in core-seconds.
func (q *queueStats) addJob(work float64) {
	q.jobs++
	q.meanWork += max(minSampleWeight, 1/float64(q.jobs)) * (work - q.meanWork)
}

// learnRunTime takes in how long a task ran.
func (s *Scheduler) learnRunTime(j *jobState, ranFor time.Duration) {
	q := s.queueStats(j.Terms.Queue)
	q.runs++
	w := max(minSampleWeight, 1/float64(q.runs))
	q.meanLogRunTime += w * (math.Log(max(ranFor.Seconds(), minRunSeconds)) - q.meanLogRunTime)
}

// learnStep takes in the run times of all tasks of a step.
func (s *Scheduler) learnStep(j *jobState, st *stepState) {
	if len(st.took) < len(st.tasks) {
		// Some ran unseen, under a former owner or from a checkpoint.
		return
	}
	sum := 0.0
	for _, d := range st.took {
		sum += math.Log(max(d.Seconds(), minRunSeconds))
	}
	typical := math.Exp(sum / float64(len(st.took)))
	j.typical = time.Duration(typical * float64(time.Second))
	longest := slices.Max(st.took)
	spread := longest.Seconds() / typical
	if spread >= slowFactor {
		// A slow VM: objectives are meant for sound ones.
		return
	}
	st.longest = longest
	q := s.queueStats(j.Terms.Queue)
	q.steps++
	q.stragglerRatio += max(minSampleWeight, 1/float64(q.steps)) * (spread - q.stragglerRatio)
}

// predictStepTime predicts how long a step takes: as long as its longest task.
func (s *Scheduler) predictStepTime(j *jobState, st *job.Step) time.Duration {
	d := s.predictRunTime(j, st)
	if q := s.queueStats(j.Terms.Queue); q.steps >= minSamples {
		d = time.Duration(float64(d) * q.stragglerRatio)
	}
	return d
}

// predictRunTime predicts how long a task of the step runs: as long as those of the job's
// earlier steps if they are known, else as those of the queue and the caller's guess say.
func (s *Scheduler) predictRunTime(j *jobState, st *job.Step) time.Duration {
	if j.typical > 0 {
		return j.typical
	}
	guess := st.Estimate
	if guess <= 0 {
		guess = defaultEstimate
	}
	q := s.queueStats(j.Terms.Queue)
	if q.runs < minSamples {
		return guess
	}
	l := estimateWeight*math.Log(guess.Seconds()) + (1-estimateWeight)*q.meanLogRunTime
	return time.Duration(math.Exp(l) * float64(time.Second))
}

// remainingTime predicts how long the job takes if nothing holds it up, counting only
// steps that aren't complete.
func (s *Scheduler) remainingTime(j *jobState, o *occurrence) time.Duration {
	return longestPath(j.Body.Steps, func(i int) time.Duration {
		if o.steps[i].complete() {
			return 0
		}
		return s.predictStepTime(j, &j.Body.Steps[i])
	})
}

// totalTime predicts the same for the job's first occurrence from its beginning: what
// its complete steps took counts as it was.
func (s *Scheduler) totalTime(j *jobState) time.Duration {
	return longestPath(j.Body.Steps, func(i int) time.Duration {
		if known := j.occurrences[0].steps[i].longest; known > 0 {
			return known
		}
		return s.predictStepTime(j, &j.Body.Steps[i])
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
	allowed := time.Duration(stretch*float64(s.totalTime(j))) + j.Terms.Latency
	return j.arrived.Add(allowed), j.arrived.Add(uselessFactor * allowed)
}

// work predicts the core-seconds that a job still needs, and all that it needs.
func (s *Scheduler) work(j *jobState) (left, all float64) {
	for _, o := range j.occurrences {
		for i := range o.steps {
			st := o.steps[i].def
			one := float64(st.Room.CPU) / 1000 * s.predictRunTime(j, st).Seconds()
			all += one * float64(st.Count)
			left += one * float64(st.Count-o.steps[i].done)
		}
	}
	return left, all
}
