package schedule

import (
	"maps"
	"slices"
	"time"

	"lavenderpond/core/job"
)

// zoneSet is a set of availability zones. Its zero value is empty.
type zoneSet map[job.ZoneName]struct{}

func (e zoneSet) has(z job.ZoneName) bool {
	_, ok := e[z]
	return ok
}

// SetEvacuatedZones sets which availability zones are evacuated. No task starts in an evacuated
// zone. Tasks that run there continue to their end, except for long-running tasks, which move
// elsewhere.
func (s *Scheduler) SetEvacuatedZones(zones []job.ZoneName) {
	next := zoneSet{}
	for _, z := range zones {
		next[z] = struct{}{}
		if !s.evacuatedZones.has(z) {
			s.reportDecision(Decision{Kind: ZoneEvacuated, Reason: string(z)})
		}
	}
	for _, z := range slices.Sorted(maps.Keys(s.evacuatedZones)) {
		if !next.has(z) {
			s.reportDecision(Decision{Kind: ZoneReopened, Reason: string(z)})
		}
	}
	s.evacuatedZones = next
	for _, v := range s.vms.All() {
		v.evacuated = next.has(v.zone)
	}
}

// relocateEvacuated moves long-running tasks out of evacuated zones, each one as soon as a VM
// elsewhere has room for it.
func (s *Scheduler) relocateEvacuated(now time.Time) {
	if len(s.evacuatedZones) == 0 || s.config == nil {
		return
	}
	var free map[job.PoolName][]*vmState
	for _, v := range s.vms.All() {
		if !v.evacuated || v.longRunningRuns == 0 || v.silent {
			continue
		}
		if free == nil {
			free = s.usableByPool(now)
		}
		for _, r := range v.runs.All() {
			if to := s.findVM(now, r, free[v.pool]); to >= 0 && s.mayRelocate(now, r) {
				s.stopRun(now, r, "availability zone evacuated")
				free[v.pool] = slices.Delete(free[v.pool], to, to+1)
			}
		}
	}
}

// usableByPool returns the VMs of each pool on which tasks may start.
func (s *Scheduler) usableByPool(now time.Time) map[job.PoolName][]*vmState {
	out := map[job.PoolName][]*vmState{}
	for _, v := range s.vms.All() {
		if s.usable(now, v) {
			out[v.pool] = append(out[v.pool], v)
		}
	}
	return out
}

// findVM returns the index of a VM that could take the run's task, or -1.
func (s *Scheduler) findVM(now time.Time, r *run, vms []*vmState) int {
	_, _, st, _ := s.task(r.task)
	if st == nil {
		return -1
	}
	return slices.IndexFunc(vms, func(v *vmState) bool {
		return v.mayHold(now, r.reservation) && st.eligible(r.task.StepID(), v) && st.approval.mayPermit(v)
	})
}
