package schedule

import (
	"slices"
	"time"

	"lavenderpond/core/room"
	"lavenderpond/core/schedule/sizing"
)

// maxRoomStops is how often a task is stopped to make room for urgent work. After that it runs to
// its end, since its job was accepted.
const maxRoomStops = 2

// emptyVMs selects the VMs that get no more tasks so that their machines can move. Where urgent
// work needs the machine, runs whose results are of no use any more are stopped; they start again
// when nobody else needs the room. It reports whether it has selected any.
func (s *Scheduler) emptyVMs(now time.Time, pools []room.Pool, fleet int64) bool {
	var vms []sizing.VM
	for _, v := range s.vms.All() {
		if v.longRunningRuns == 0 && len(v.claims) == 0 && s.mayEmpty(now, v) {
			vms = append(vms, sizing.VM{ID: v.id, Pool: v.pool, CPU: v.capacity.CPU, Used: v.used.CPU})
		}
	}
	emptying := room.Empty(pools, vms, fleet)
	vacating := slices.Concat(emptying.ForUrgent, emptying.ForTotal)
	s.setVacating(vacating)
	for _, id := range emptying.ForUrgent {
		v := s.vms.Get(id)
		v.yielding = true
		s.stopTooLate(now, v)
	}
	return len(vacating) > 0
}

// mayEmpty reports whether the VM's machine could move once it is idle.
func (s *Scheduler) mayEmpty(now time.Time, v *vmState) bool {
	return v.acceptsTasks() && !v.cordoned() && v.host != nil && v.host.VM == v.id && s.mayMoveMachine(now, v.host)
}

// clearYielding lets all VMs take tasks again. Only vacating VMs yield.
func (s *Scheduler) clearYielding() {
	for _, id := range s.vacating {
		if v := s.vms.Get(id); v != nil {
			v.yielding = false
		}
	}
}

// stopTooLate stops the runs on the VM whose jobs are past their late limits.
func (s *Scheduler) stopTooLate(now time.Time, v *vmState) {
	for _, r := range v.runs.All() {
		if s.mayStopTooLate(now, r) {
			_, _, _, t := s.task(r.task)
			t.roomStops++
			s.stopRun(now, r, "room for work in time")
		}
	}
}

// mayStopTooLate reports whether the run may be stopped because its result is of no use any more.
// The other members of a gang would wait for one that is stopped. Late limits count from the
// arrival of a job, so they don't tell whether a scheduled occurrence is late.
func (s *Scheduler) mayStopTooLate(now time.Time, r *run) bool {
	j, o, st, t := s.task(r.task)
	if t == nil || j.longRunning || st.def.Gang || !o.due.IsZero() || r.stopping || r.phase != runConfirmed {
		return false
	}
	// The late limit may have been predicted before the queue's run times were known.
	s.rateJob(now, j)
	return t.roomStops < maxRoomStops && now.After(j.lateLimit)
}
