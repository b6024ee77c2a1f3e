package schedule

import (
	"cmp"
	"slices"
	"time"

	"lavenderpond/core/job"
)

// occurrence is one scheduled execution of a job's steps.
type occurrence struct {
	index     int
	due       time.Time
	steps     []stepState
	doneSteps int
}

const (
	// occurrenceLead is how long before it is due an occurrence gets a state.
	occurrenceLead = time.Second
	// maxWaitingSteps bounds the steps of those occurrences of a job that are due and wait for a start.
	maxWaitingSteps = 256
)

// newOccurrence returns an occurrence that hasn't begun.
func (j *jobState) newOccurrence(k int) *occurrence {
	o := &occurrence{index: k, due: j.Body.Due(k), steps: make([]stepState, len(j.Body.Steps))}
	for i := range o.steps {
		o.steps[i] = newStepState(&j.Body.Steps[i])
	}
	return o
}

// find returns the position of an occurrence among those that have a state, or where to insert it.
func (j *jobState) find(k int) (position int, found bool) {
	return slices.BinarySearchFunc(j.occurrences, k, func(o *occurrence, k int) int { return cmp.Compare(o.index, k) })
}

// occurrence returns an occurrence, which gets a state if it has none, or nil if it is complete and
// forgotten or doesn't exist.
func (j *jobState) occurrence(k int) *occurrence {
	i, found := j.find(k)
	switch {
	case found:
		return j.occurrences[i]
	case k < 0 || k >= j.Body.OccurrenceCount() || j.doneOccurrences.Has(k):
		return nil
	}
	o := j.newOccurrence(k)
	j.occurrences = slices.Insert(j.occurrences, i, o)
	return o
}

// scheduled reports whether the job's occurrences have due times.
func (j *jobState) scheduled() bool { return j.Body.Occurrences != 0 }

// addDueOccurrences gives a state to the occurrences that are due, the first ones first, and forgets
// those that are over. Of a job that repeats for a year, only those that run or wait take memory.
func (s *Scheduler) addDueOccurrences(now, wall time.Time, j *jobState) {
	if !j.scheduled() {
		return
	}
	j.occurrences = slices.DeleteFunc(j.occurrences, func(o *occurrence) bool { return o.over() })
	room := maxWaitingSteps - j.waitingSteps()
	for ; room > 0 && j.nextIsDue(wall); j.nextOccurrence++ {
		if _, found := j.find(j.nextOccurrence); found || j.doneOccurrences.Has(j.nextOccurrence) {
			continue
		}
		if len(j.occurrences) > 0 && s.lacksStepStates(len(j.Body.Steps)) {
			return
		}
		room -= len(j.Body.Steps)
		s.stepStates += len(j.Body.Steps)
		s.countArrival(now, j, j.occurrence(j.nextOccurrence))
	}
}

// countStepStates returns the number of steps of all occurrences with a state.
func (s *Scheduler) countStepStates() (n int) {
	if s.settings.MaxStepStates == 0 {
		return 0
	}
	for _, j := range s.jobs.All() {
		n += len(j.occurrences) * len(j.Body.Steps)
	}
	return n
}

// lacksStepStates reports whether further steps would exceed the limit of states. Occurrences of which one
// step runs while thousands of others wait for it would fill the memory otherwise.
func (s *Scheduler) lacksStepStates(steps int) bool {
	return s.settings.MaxStepStates > 0 && s.stepStates+steps > s.settings.MaxStepStates
}

// nextIsDue reports whether an occurrence that has no state yet is due.
func (j *jobState) nextIsDue(wall time.Time) bool {
	return j.nextOccurrence < j.Body.OccurrenceCount() && !wall.Before(j.Body.Due(j.nextOccurrence).Add(-occurrenceLead))
}

// dueWithoutState returns the number of occurrences that are due and have no state yet.
func (j *jobState) dueWithoutState(wall time.Time) int {
	if !j.nextIsDue(wall) {
		return 0
	}
	due := j.Body.OccurrenceCount()
	if j.Body.Interval > 0 {
		due = min(due, int(wall.Add(occurrenceLead).Sub(j.Body.FirstDue)/j.Body.Interval)+1)
	}
	return max(0, due-j.nextOccurrence)
}

// waitingSteps returns the number of steps of the occurrences that have tasks to start.
func (j *jobState) waitingSteps() int {
	n := 0
	for _, o := range j.occurrences {
		if o.waits() {
			n += len(o.steps)
		}
	}
	return n
}

// waits reports whether the occurrence has a task to start.
func (o *occurrence) waits() bool {
	for i := range o.steps {
		if o.steps[i].openTasks > 0 && o.ready(i) {
			return true
		}
	}
	return false
}

// over reports whether the occurrence is complete and has no runs.
func (o *occurrence) over() bool { return o.doneSteps == len(o.steps) && !o.hasRuns() }

// hasRuns reports whether any task of the occurrence has a run.
func (o *occurrence) hasRuns() bool {
	for i := range o.steps {
		for _, t := range o.steps[i].live {
			if len(t.runs) > 0 {
				return true
			}
		}
	}
	return false
}

// countArrival counts the work of an occurrence that has become due as arriving work.
func (s *Scheduler) countArrival(now time.Time, j *jobState, o *occurrence) {
	if j.longRunning || j.inherited {
		return
	}
	remaining, total := s.predictOccurrenceWork(j, o)
	stats := s.poolStats(s.pool(j))
	stats.arrivals.add(now, remaining)
	if !j.beyondShare {
		stats.urgent.add(now, remaining)
	}
	s.queueStats(j.Terms.Queue).addJob(total)
}

// applyDone applies the stored tasks of an occurrence that are done.
func (j *jobState) applyDone(k int, done []job.StepDone) {
	if _, found := j.find(k); !found && j.completes(done) {
		j.doneOccurrences.Add(k)
		return
	}
	o := j.occurrence(k)
	if o == nil {
		return
	}
	for _, d := range done {
		st := &o.steps[d.Step]
		st.done.AddBelow(min(d.Before, st.def.Count))
		for _, t := range d.Tasks {
			if t < st.def.Count {
				st.done.Add(t)
			}
		}
		st.recount()
		if st.complete() {
			o.doneSteps++
		}
	}
	if o.doneSteps == len(o.steps) {
		j.doneOccurrences.Add(k)
	}
}

// completes reports whether the stored tasks are all those of an occurrence.
func (j *jobState) completes(done []job.StepDone) bool {
	n := 0
	for _, d := range done {
		if max(d.Before, len(d.Tasks)) >= j.Body.Steps[d.Step].Count {
			n++
		}
	}
	return n == len(j.Body.Steps)
}
