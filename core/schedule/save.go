package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule/indexset"
)

// markDirty makes the next save include the job.
func (s *Scheduler) markDirty(j *jobState) {
	if !j.dirty {
		j.dirty = true
		s.dirtyJobs = append(s.dirtyJobs, j)
	}
}

// nextSaveSequence returns the sequence of the save that will contain all present changes.
func (s *Scheduler) nextSaveSequence() int64 { return s.saveSequence + 1 }

// saveSequenceOf returns the sequence of the save that contains everything known of a job, or 0
// if the job needs no save.
func (s *Scheduler) saveSequenceOf(id job.ID) int64 {
	j := s.jobs.Get(id)
	switch {
	case j == nil:
		return 0
	case j.dirty:
		return s.nextSaveSequence()
	}
	return j.lastSave
}

// flushSaves issues saves with one common sequence for everything that has changed.
func (s *Scheduler) flushSaves() {
	if len(s.dirtyJobs) == 0 && len(s.dirtyVMs) == 0 && len(s.dirtyOrders) == 0 && len(s.dirtyWaves) == 0 {
		return
	}
	s.saveSequence++
	s.flushShares()
	s.flushRunTimes()
	s.flushVMs()
	s.flushOrders()
	s.flushWaves()
	for _, j := range s.dirtyJobs {
		j.dirty, j.lastSave = false, s.saveSequence
		s.emit(Save{Sequence: s.saveSequence, Job: j.ID, Progress: j.progress()})
		if j.over() {
			s.finishedJobs = append(s.finishedJobs, j)
		}
	}
	s.dirtyJobs = s.dirtyJobs[:0]
}

// SavesStored records that all saves up to the sequence are stored, and sends the commands that
// waited for them.
func (s *Scheduler) SavesStored(now time.Time, sequence int64) {
	s.storedSequence = max(s.storedSequence, sequence)
	s.releaseStoredJobs()
	s.sendPlannedStarts(now)
	s.sendPendingOrders(now)
	s.unsavedVMs = slices.DeleteFunc(s.unsavedVMs, func(v *vmState) bool {
		s.advanceAcknowledged(v)
		return len(v.unsavedEnds) == 0
	})
	s.dropFinishedJobs()
}

// dropFinishedJobs forgets the jobs whose final state is stored and none of whose tasks can
// still run.
func (s *Scheduler) dropFinishedJobs() {
	s.finishedJobs = slices.DeleteFunc(s.finishedJobs, func(j *jobState) bool {
		if j.lastSave > s.storedSequence || j.refused.any() || j.hasRuns() {
			return false
		}
		s.jobs.Delete(j.ID)
		s.endTimes[j.ID] = j.endedAt
		return true
	})
}

// endedRetention is how long an ended job is remembered and its rows are kept. It is far longer
// than a feed can lag behind, or a caller asks for the job's state.
const endedRetention = 10 * time.Minute

// AddEndedJob adds a job that ended under a former owner.
func (s *Scheduler) AddEndedJob(now time.Time, id job.ID) { s.endTimes[id] = now }

// forgetEnded forgets the jobs that ended more than endedRetention ago.
func (s *Scheduler) forgetEnded(now time.Time) {
	if now.Before(s.nextForgetEnded) {
		return
	}
	s.nextForgetEnded = now.Add(endedRetention / 10)
	for _, id := range slices.Sorted(maps.Keys(s.endTimes)) {
		if now.Sub(s.endTimes[id]) > endedRetention {
			delete(s.endTimes, id)
			s.emit(DeleteJob{Job: id})
		}
	}
}

// hasRuns reports whether any task of the job has a run.
func (j *jobState) hasRuns() bool {
	return slices.ContainsFunc(j.occurrences, (*occurrence).hasRuns)
}

// progress returns the state of the job that must be stored. A job that is over needs no
// details, since none of its tasks will start again.
func (j *jobState) progress() job.Progress {
	p := job.Progress{State: j.state}
	if j.over() {
		return p
	}
	p.VMs = j.possibleVMs.Keys()
	j.addDone(&p)
	for _, o := range j.occurrences {
		for i := range o.steps {
			for _, t := range o.steps[i].live {
				t.addCrashes(&p, job.TaskID{Job: j.ID, Occurrence: o.index, Step: i, Index: t.index})
				if len(t.failedAttempts) > 0 && !t.done {
					f := job.TaskFailures{Occurrence: o.index, Step: i, Task: t.index, Attempts: slices.Clone(t.failedAttempts)}
					p.Failed = append(p.Failed, f)
				}
			}
		}
	}
	return p
}

// maxListedTasks is the number of tasks up to which a job's stored progress lists each one that is
// done, as owners of older releases read it. They can't hold larger jobs.
const maxListedTasks = 5000

// listsTasks reports whether the job's stored progress lists each task that is done.
func (j *jobState) listsTasks() bool {
	n := 0.0
	for i := range j.Body.Steps {
		n += float64(j.Body.Steps[i].Count)
	}
	return n*float64(j.Body.OccurrenceCount()) <= maxListedTasks
}

// addDone adds the tasks that are done to the progress to be stored.
func (j *jobState) addDone(p *job.Progress) {
	listed := j.listsTasks()
	complete := j.doneOccurrences.Beyond()
	if listed {
		complete = j.doneOccurrences.All()
	} else {
		p.DoneBefore = j.doneOccurrences.Before()
	}
	for _, k := range complete {
		for i := range j.Body.Steps {
			var all indexset.Set
			all.AddBelow(j.Body.Steps[i].Count)
			p.Done = append(p.Done, stepDone(k, i, &all, listed))
		}
	}
	for _, o := range j.occurrences {
		for i := range o.steps {
			if done := &o.steps[i].done; done.Len() > 0 && !j.doneOccurrences.Has(o.index) {
				p.Done = append(p.Done, stepDone(o.index, i, done, listed))
			}
		}
	}
	slices.SortStableFunc(p.Done, func(x, y job.StepDone) int { return cmp.Compare(x.Occurrence, y.Occurrence) })
}

// stepDone returns the stored form of the tasks of a step that are done, with or without a list of all.
func stepDone(k, step int, done *indexset.Set, listed bool) job.StepDone {
	if listed {
		return job.StepDone{Occurrence: k, Step: step, Tasks: done.All()}
	}
	return job.StepDone{Occurrence: k, Step: step, Before: done.Before(), Tasks: done.Beyond()}
}

// flushVMs saves the changes of the roster. Each VM has a row of its own: the table bounds the
// size of a row, and a single row for 350 VMs would exceed it.
func (s *Scheduler) flushVMs() {
	for _, id := range s.dirtyVMs {
		if v := s.vms.Get(id); v != nil && !v.departing {
			s.emit(SaveVM{Sequence: s.saveSequence, VM: v.rosterEntry})
		} else {
			s.emit(DropVM{Sequence: s.saveSequence, VM: id})
		}
	}
	s.dirtyVMs = nil
}

// flushOrders saves which machines were given an order recently.
func (s *Scheduler) flushOrders() {
	for _, id := range s.dirtyOrders {
		if o := s.recentOrders.Get(id); o.issuer != "" {
			s.emit(SaveOrder{Sequence: s.saveSequence, Order: o.stored(id)})
		} else {
			s.emit(DropOrder{Sequence: s.saveSequence, Machine: id})
		}
	}
	s.dirtyOrders = nil
}
