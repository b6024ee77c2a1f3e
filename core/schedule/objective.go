package schedule

import (
	"math"
	"slices"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/objective"
)

// queueStats are the learned run times and sizes of the jobs of a queue.
type queueStats struct {
	// typical holds the running means of run times and of their estimates.
	typical objective.Queue
	runs    int
	// firstRunAt is when the first run ended, if the policy asks for forecasts.
	firstRunAt time.Time
	// stragglerRatio is the running mean, over steps samples, of the run time of the longest
	// task of a step divided by that of a typical one.
	stragglerRatio float64
	steps          int
	// meanWork is the running mean of jobs' work in core-seconds.
	meanWork float64
	jobs     int
}

const (
	// minSampleWeight is the weight of a new sample once many are known.
	minSampleWeight = 0.05
	// minSamples is how many samples a learned value needs before it is used.
	minSamples = 10
	// minRunSeconds keeps the logarithms of run times finite.
	minRunSeconds = 0.01
)

// queueStats returns the statistics of a queue, which are created on first use.
func (s *Scheduler) queueStats(n job.QueueName) *queueStats {
	q := s.queues[n]
	if q == nil {
		q = &queueStats{}
		s.queues[n] = q
	}
	return q
}

// addJob adds the work of a new job, in core-seconds.
func (q *queueStats) addJob(work float64) {
	q.jobs++
	q.meanWork += max(minSampleWeight, 1/float64(q.jobs)) * (work - q.meanWork)
}

// learnRunTime adds the run time of a task of the step to the queue's statistics.
func (s *Scheduler) learnRunTime(j *jobState, st *job.Step, ranFor time.Duration) {
	q := s.queueStats(j.Terms.Queue)
	q.runs++
	w := max(minSampleWeight, 1/float64(q.runs))
	q.typical.MeanLogRunTime += w * (math.Log(max(ranFor.Seconds(), minRunSeconds)) - q.typical.MeanLogRunTime)
	q.typical.MeanLogEstimate += w * (objective.LogEstimate(st.Estimate) - q.typical.MeanLogEstimate)
}

// learnStep adds the run times of all tasks of a step to the statistics of the queue.
func (s *Scheduler) learnStep(now time.Time, j *jobState, st *stepState) {
	if st.observedRuns < st.def.Count {
		// Some tasks ran under a former owner or from a checkpoint, so their full run times are
		// unknown.
		return
	}
	sum := 0.0
	for _, d := range st.runTimes {
		sum += math.Log(max(d.Seconds(), minRunSeconds))
	}
	typical := math.Exp(sum / float64(len(st.runTimes)))
	j.typicalRun, j.typicalLogEstimate = time.Duration(typical*float64(time.Second)), objective.LogEstimate(st.def.Estimate)
	s.learnSize(now, j, st, typical)
	longest := slices.Max(st.runTimes)
	ratio := longest.Seconds() / typical
	if ratio >= slowFactor {
		// A VM was slow, or a task is long. Objectives assume healthy VMs, on which long tasks
		// take as long.
		if st.hasLongTask() {
			st.longestRun = longest
		}
		return
	}
	st.longestRun = longest
	q := s.queueStats(j.Terms.Queue)
	q.steps++
	q.stragglerRatio += max(minSampleWeight, 1/float64(q.steps)) * (ratio - q.stragglerRatio)
}

// predictStepTime predicts how long a step takes, which is as long as its longest task.
func (s *Scheduler) predictStepTime(j *jobState, st *job.Step) time.Duration {
	d := s.predictRunTime(j, st)
	if q := s.queueStats(j.Terms.Queue); q.steps >= minSamples {
		d = time.Duration(float64(d) * q.stragglerRatio)
	}
	return d
}

// predictRunTime predicts how long a task of the step runs: as long as the tasks of the job's
// last complete step if there is one and its estimate doesn't clearly differ, else a weighted mean of
// the queue's run times and the caller's estimate.
func (s *Scheduler) predictRunTime(j *jobState, st *job.Step) time.Duration {
	if j.typicalRun > 0 {
		return scaled(j.typicalRun, objective.Scale(st.Estimate, j.typicalLogEstimate))
	}
	q := s.queueStats(j.Terms.Queue)
	if q.runs < minSamples {
		return objective.Estimate(st.Estimate)
	}
	return objective.RunTime(st.Estimate, q.typical)
}

// scaled multiplies a duration.
func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(min(factor*float64(d), float64(maxPredicted)))
}

// maxPredicted bounds predictions from callers' estimates.
const maxPredicted = 1000 * time.Hour

// remainingTime predicts how long the occurrence's incomplete steps take if nothing delays them. Without
// an occurrence, all steps are incomplete.
func (s *Scheduler) remainingTime(j *jobState, o *occurrence) time.Duration {
	return objective.LongestPath(j.Body.Steps, func(i int) time.Duration {
		if o != nil && o.steps[i].complete() {
			return 0
		}
		return s.predictStepTime(j, &j.Body.Steps[i])
	})
}

// totalTime predicts how long the job's first occurrence takes from its beginning if nothing
// delays it. Complete steps count with the time that they took.
func (s *Scheduler) totalTime(j *jobState) time.Duration {
	return objective.LongestPath(j.Body.Steps, func(i int) time.Duration {
		if len(j.occurrences) > 0 && j.occurrences[0].steps[i].longestRun > 0 {
			return j.occurrences[0].steps[i].longestRun
		}
		return s.predictStepTime(j, &j.Body.Steps[i])
	})
}

// predictObjective predicts when the job is due, and the limit after which its result is of no
// use to its caller.
func (s *Scheduler) predictObjective(j *jobState) (due, lateLimit time.Time) {
	allowed := objective.Allowed(&j.Terms, s.totalTime(j))
	return j.arrived.Add(allowed), j.arrived.Add(objective.LateFactor * allowed)
}

// predictWork predicts how many core-seconds the occurrences of the job that are due still need, and
// how many they need in total.
func (s *Scheduler) predictWork(j *jobState) (remaining, total float64) {
	for _, o := range j.occurrences {
		r, t := s.predictOccurrenceWork(j, o)
		remaining, total = remaining+r, total+t
	}
	return remaining, total
}

// predictOccurrenceWork is predictWork for one occurrence.
func (s *Scheduler) predictOccurrenceWork(j *jobState, o *occurrence) (remaining, total float64) {
	for i := range o.steps {
		st := o.steps[i].def
		perTask := float64(st.Resources.CPU) / 1000 * s.predictRunTime(j, st).Seconds()
		total += perTask * float64(st.Count)
		remaining += perTask * float64(st.Count-o.steps[i].done.Len())
	}
	return remaining, total
}
