package schedule

import "time"

const (
	// stallFactor is how many usual run times a run must stand still before it is stopped as
	// stalled.
	stallFactor = 2
	// minStallTime is the least such period. Progress comes in whole percents.
	minStallTime = 2 * time.Second
	// maxStallDoublings is how often the period doubles, with each such stop of the task. A task
	// that takes long for each percent thus ends at last.
	maxStallDoublings = 8
)

// recordMove records by how many percentage points the run has progressed since its last reading.
func (r *run) recordMove(now time.Time, progressed int) {
	if progressed > 0 || r.movedAt.IsZero() {
		r.movedAt = now
	}
}

// stopStalled stops a run that stands still for too long. It would stay for good if nothing is
// known of the queue's run times, or if the stops of its task as slow are used up.
func (s *Scheduler) stopStalled(now time.Time, r *run, st *stepState, t *taskState, usual time.Duration) {
	if r.stopping || st.def.Gang {
		return
	}
	patience := max(stallFactor*usual, minStallTime) << min(t.stallStops, maxStallDoublings)
	if now.Before(r.movedAt.Add(patience)) {
		return
	}
	t.stallStops++
	t.avoidVM = r.vm.id
	s.stopRun(now, r, "stalled")
}
