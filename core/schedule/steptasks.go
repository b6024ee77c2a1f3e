package schedule

import (
	"cmp"
	"slices"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule/indexset"
)

// stepState is the state of one step of an occurrence. It holds the state of each task that has begun,
// so that its size follows what runs and not the step's size.
type stepState struct {
	def *job.Step
	// live holds the tasks that have begun and aren't done, and those that are done and still have
	// runs, by ascending index.
	live []*taskState
	// done holds the indexes of the tasks that are done.
	done indexset.Set
	// nextNew is a lower bound of the indexes of the tasks that haven't begun.
	nextNew int
	// openTasks counts the tasks that wait for a start, busyTasks those of live that don't and aren't
	// done, and finishedLive those of live that are done.
	openTasks, busyTasks, finishedLive int
	approval                           stepApproval
	// rack is where the step's first task was placed, if its tasks should share a rack.
	rack job.Label
	// runTimes are the durations of the latest successful runs, and observedRuns counts all of them.
	runTimes     []time.Duration
	observedRuns int
	// longestRun is the longest of runTimes, once all tasks have ended.
	longestRun time.Duration
	// longTaskDone is set once a task is done that took long on any VM.
	longTaskDone bool
	// sizeCounted is set once the step's size is counted in the queue's forecast.
	sizeCounted bool
	// gangAttempt is the attempt that all members of a gang share.
	gangAttempt job.Attempt
}

const (
	// maxLiveTasks bounds the tasks of a step that run at the same time. It is more than an owner can
	// start on VMs at any time, and bounds the state of tasks that need no resources.
	maxLiveTasks = 30_000
	// maxRunTimes bounds the run times that are kept of a step.
	maxRunTimes = 1000
)

// newStepState returns the state of a step that hasn't begun.
func newStepState(def *job.Step) stepState { return stepState{def: def, openTasks: def.Count} }

func (s *stepState) complete() bool { return s.done.Len() == s.def.Count }

// find returns the position of a task in live, or where to insert it.
func (s *stepState) find(index int) (position int, found bool) {
	return slices.BinarySearchFunc(s.live, index, func(t *taskState, i int) int { return cmp.Compare(t.index, i) })
}

// task returns the task with the index, which must be below the step's count. A task that hasn't
// begun gets a state. That of a task that is done is kept only while it has runs.
func (s *stepState) task(index int) *taskState {
	if i, found := s.find(index); found {
		return s.live[i]
	}
	t := &taskState{index: index, done: s.done.Has(index)}
	if !t.done {
		s.keep(t)
	}
	return t
}

// keep adds a task to live.
func (s *stepState) keep(t *taskState) {
	i, found := s.find(t.index)
	if found {
		return
	}
	s.live = slices.Insert(s.live, i, t)
	if t.done {
		s.finishedLive++
	}
}

// nextTask returns the first task that hasn't begun, or nil if there is none or too many tasks are live.
func (s *stepState) nextTask() *taskState {
	if s.openTasks == 0 || len(s.live) >= maxLiveTasks {
		return nil
	}
	s.nextNew = max(s.nextNew, s.done.Before())
	for ; s.nextNew < s.def.Count; s.nextNew++ {
		if _, found := s.find(s.nextNew); !found && !s.done.Has(s.nextNew) {
			return s.task(s.nextNew)
		}
	}
	return nil
}

// newTasks returns the number of tasks that haven't begun.
func (s *stepState) newTasks() int {
	return s.def.Count - s.done.Len() - (len(s.live) - s.finishedLive)
}

// finishTask records that a live task is done.
func (s *stepState) finishTask(t *taskState) {
	if t.done {
		return
	}
	s.longTaskDone = s.longTaskDone || t.long
	t.done = true
	s.done.Add(t.index)
	s.finishedLive++
	s.update(t)
}

// finishAll records that all tasks are done.
func (s *stepState) finishAll() {
	for _, t := range s.live {
		s.finishTask(t)
	}
	s.done.AddBelow(s.def.Count)
	s.recount()
}

// forget forgets a task if it is done and has no runs.
func (s *stepState) forget(t *taskState) {
	if i, found := s.find(t.index); found && t.done && len(t.runs) == 0 {
		s.live = slices.Delete(s.live, i, i+1)
		s.finishedLive--
	}
}

// addRunTime adds the duration of a successful run.
func (s *stepState) addRunTime(d time.Duration) {
	s.observedRuns++
	if len(s.runTimes) >= maxRunTimes {
		s.runTimes = slices.Delete(s.runTimes, 0, 1)
	}
	s.runTimes = append(s.runTimes, d)
}

// update updates the counts after a task has changed.
func (s *stepState) update(t *taskState) {
	if busy := !t.done && !t.open(); busy != t.busy {
		t.busy = busy
		if busy {
			s.busyTasks++
		} else {
			s.busyTasks--
		}
	}
	s.recount()
}

// recount updates the count of open tasks after the set of those that are done has changed.
func (s *stepState) recount() { s.openTasks = s.def.Count - s.done.Len() - s.busyTasks }
