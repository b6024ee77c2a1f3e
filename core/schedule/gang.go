package schedule

import (
	"slices"
	"time"

	"lavenderpond/core/job"
)

// startGang starts either all members of a gang or none.
func (a *assignment) startGang(j *jobState, o *occurrence, i int) {
	st := &o.steps[i]
	checkpoint := job.Checkpoint("")
	for _, task := range st.live {
		if !task.open() || a.now.Before(task.notBefore) || a.s.mayHaveEnded(task) {
			return
		}
		if task.checkpoint != "" {
			checkpoint = task.checkpoint
		}
	}
	if !a.s.withinQuota(j, st.def.Resources.Mul(st.def.Count)) {
		return
	}
	claims := a.s.takeClaims(st, job.StepID{Job: j.ID, Occurrence: o.index, Step: i})
	chosen := a.chooseGang(st)
	if chosen == nil {
		for _, c := range claims {
			a.s.addClaim(c)
		}
		return
	}
	defer func() { a.index = newVMIndex(a.vms, a.minReservation) }()
	st.gangAttempt = max(st.gangAttempt, a.s.settings.AttemptBase) + 1
	for t, v := range chosen {
		task := st.task(t)
		task.checkpoint, task.lastAttempt = checkpoint, st.gangAttempt
		id := job.TaskID{Job: j.ID, Occurrence: o.index, Step: i, Index: t}
		a.startTask(j, st, id, task, v, st.gangAttempt)
	}
}

// chooseGang returns a VM for each member of a gang, or nil if they don't all fit. Members
// that ask for a common rack get one if any rack has room for all of them.
func (a *assignment) chooseGang(st *stepState) []*vmState {
	if st.def.SameRack {
		for _, rack := range a.racks() {
			if chosen := a.packGang(st, rack); chosen != nil {
				return chosen
			}
		}
	}
	if chosen := a.packGang(st, ""); chosen != nil || !st.def.LongRunning {
		return chosen
	}
	return a.packGangOn(st, "", slices.Concat(a.vms, a.cordoned))
}

// racks returns the racks of the pool's VMs.
func (a *assignment) racks() []job.Label {
	var out []job.Label
	for _, v := range a.vms {
		if v.rack != "" && !slices.Contains(out, v.rack) {
			out = append(out, v.rack)
		}
	}
	return out
}

// packGang assigns all members to VMs of the rack, or to any VMs of the pool if rack is empty.
// It returns nil if they don't all fit.
func (a *assignment) packGang(st *stepState, rack job.Label) []*vmState {
	return a.packGangOn(st, rack, a.vms)
}

// packGangOn is packGang with the VMs to choose from.
func (a *assignment) packGangOn(st *stepState, rack job.Label, vms []*vmState) []*vmState {
	size := st.def.Count
	if size > maxLiveTasks {
		return nil
	}
	var chosen []*vmState
	for _, v := range vms {
		usable := a.s.usable(a.now, v) || a.s.mayReturnTo(a.now, v)
		if !usable || (rack != "" && v.rack != rack) || (v.yielding && !st.def.LongRunning) {
			continue
		}
		if (st.def.Requires != "" && !v.labels[st.def.Requires]) || !st.approval.permits(a.now, v) {
			continue
		}
		reservation := st.def.Reservation()
		if !v.mayHold(a.now, st.def) {
			continue
		}
		free := v.freeFor(st.def)
		for n := 0; len(chosen) < size && reservation.FitsIn(free); n++ {
			if st.def.MaxPerVM > 0 && n >= st.def.MaxPerVM {
				break
			}
			chosen = append(chosen, v)
			free = free.Sub(reservation)
		}
	}
	if len(chosen) < size {
		return nil
	}
	return chosen
}

// stopGang stops the other members of a gang when one did not begin. Otherwise they would wait
// for the missing member for seconds until they give up, and the gang could not restart before
// that. Once stopped, it restarts within a second.
func (s *Scheduler) stopGang(now time.Time, r *run) {
	_, _, st, _ := s.task(r.task)
	if st == nil || !st.def.Gang {
		return
	}
	for _, t := range slices.Clone(st.live) {
		for _, x := range slices.Clone(t.runs) {
			if x != r && x.attempt == r.attempt {
				s.stopRun(now, x, "a gang member did not start")
			}
		}
	}
}
