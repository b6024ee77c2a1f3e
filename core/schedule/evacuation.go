package schedule

import (
	"maps"
	"slices"

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
func (a *relocations) relocateEvacuated() {
	s := a.s
	if len(s.evacuatedZones) == 0 || s.config == nil {
		return
	}
	for _, v := range s.vms.All() {
		if !v.evacuated || v.longRunningRuns == 0 || v.silent {
			continue
		}
		for _, r := range v.runs.All() {
			if s.mayRelocate(a.now, r) {
				a.relocate(r, "availability zone evacuated")
			}
		}
	}
}
