package schedule

import (
	"maps"
	"slices"
	"time"

	"lavenderpond/core/forecast"
	"lavenderpond/core/job"
)

const (
	// runTimeSaveInterval is the least time between two saves of a queue's run times, and
	// runTimeSaveSpacing between those of any two queues. They bound what is stored.
	runTimeSaveInterval = 2 * time.Second
	runTimeSaveSpacing  = 100 * time.Millisecond
)

// StoredRunTimes is the stored form of what is known of a queue's run times.
type StoredRunTimes struct {
	// StoredAt is the time of day of the reading.
	StoredAt time.Time `json:"stored_at"`
	forecast.Snapshot
}

// runTimeSaves plans the saves of run times.
type runTimeSaves struct {
	// due holds the queues with a heavy tail whose tail was asked for since their last save. A
	// new owner needs no others: it knows of no heavy tail anyway.
	due     map[job.QueueName]bool
	savedAt map[job.QueueName]time.Time
	nextAt  time.Time
	planned map[job.QueueName]StoredRunTimes
}

// mark records that the run times of a queue are worth a save.
func (x *runTimeSaves) mark(n job.QueueName) {
	if x.due == nil {
		x.due, x.savedAt, x.planned = map[job.QueueName]bool{}, map[job.QueueName]time.Time{}, map[job.QueueName]StoredRunTimes{}
	}
	x.due[n] = true
}

// planRunTimeSave plans the save of the queue that was stored longest ago.
func (s *Scheduler) planRunTimeSave(now, wall time.Time) {
	x := &s.runTimeSaves
	if len(x.due) == 0 || now.Before(x.nextAt) {
		return
	}
	x.nextAt = now.Add(runTimeSaveSpacing)
	var chosen job.QueueName
	for _, n := range slices.Sorted(maps.Keys(x.due)) {
		if at := x.savedAt[n]; now.Sub(at) >= runTimeSaveInterval && (chosen == "" || at.Before(x.savedAt[chosen])) {
			chosen = n
		}
	}
	if chosen == "" {
		return
	}
	delete(x.due, chosen)
	x.savedAt[chosen] = now
	x.planned[chosen] = StoredRunTimes{StoredAt: wall, Snapshot: s.queueForecast(chosen).Snapshot()}
}

// flushRunTimes issues the planned saves. They go along with saves that are made anyway.
func (s *Scheduler) flushRunTimes() {
	for _, n := range slices.Sorted(maps.Keys(s.runTimeSaves.planned)) {
		s.emit(SaveRunTimes{Sequence: s.saveSequence, Queue: n, RunTimes: s.runTimeSaves.planned[n]})
	}
	clear(s.runTimeSaves.planned)
}

// AddInheritedRunTimes adds what a former owner knew of a queue's run times. Their samples have
// lost weight by their age.
func (s *Scheduler) AddInheritedRunTimes(now, wall time.Time, n job.QueueName, x StoredRunTimes) {
	if !s.settings.Policy.RunTimeForecast {
		return
	}
	f, err := forecast.Restore(now, wall.Sub(x.StoredAt), x.Snapshot)
	if err != nil {
		s.reportDecision(Decision{Kind: ForecastFailed, Reason: err.Error()})
		return
	}
	s.forecasts[n] = f
}
