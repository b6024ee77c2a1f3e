package schedule

import (
	"time"

	"lavenderpond/core/job"
)

// offerPeriod is for how long an empty VM of a wave is kept for long-running tasks that wait. It covers
// the save of the VM's entry in the roster.
const offerPeriod = time.Second

// offer reports whether long-running tasks that wait may still start on an empty VM. They would be away
// for several maintenances otherwise, if the machine is due for more than one wave.
func (a *relocations) offer(m *machineState) bool {
	v := a.s.vms.Get(m.VM)
	if v == nil {
		return false
	}
	if m.offeredVM != v.id {
		m.offeredVM, m.offeredUntil = v.id, a.now.Add(offerPeriod)
	}
	vacated := a.now.Before(m.awayUntil)
	return !vacated && a.s.config != nil && a.now.Before(m.offeredUntil) && a.anyWaitsFor(v)
}

// anyWaitsFor reports whether a long-running task waits that could start on the VM.
func (a *relocations) anyWaitsFor(v *vmState) bool {
	for _, j := range a.s.jobs.All() {
		if !j.longRunning || j.over() || a.s.pool(j) != v.pool || a.s.unreportedVM(j) != nil {
			continue
		}
		for _, o := range j.occurrences {
			for i := range o.steps {
				step := job.StepID{Job: j.ID, Occurrence: o.index, Step: i}
				if st := &o.steps[i]; st.openTasks > 0 && o.ready(i) && a.s.couldStart(a.now, j, st, step, v) {
					return true
				}
			}
		}
	}
	return false
}

// couldStart reports whether an open task of the step could start on the VM now.
func (s *Scheduler) couldStart(now time.Time, j *jobState, st *stepState, step job.StepID, v *vmState) bool {
	return v.mayHold(now, st.def) && st.eligible(step, v) && st.approval.mayPermit(v) && s.withinQuota(j, st.def.Resources)
}
