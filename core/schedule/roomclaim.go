package schedule

import (
	"slices"
	"time"

	"lavenderpond/core/job"
)

// claimPeriod is how long a task that has stopped keeps the room that it claimed. It covers the time
// until its VM has listed the end.
const claimPeriod = 3 * time.Second

// roomClaim keeps room on a VM for a long-running task that leaves the one on which it runs.
// Otherwise short tasks would take the room while the task stops, and each time some of it is free.
type roomClaim struct {
	task        job.TaskID
	reservation job.Resources
	to          *vmState
	// renewed is set while the task is still to leave its VM.
	renewed bool
	// fits is set if there was room for the task in the last round. Long-running tasks that wait take
	// the room before the task is stopped.
	fits bool
	// expiresAt is zero until the task is ordered to stop.
	expiresAt time.Time
}

// stopped reports whether the task was ordered to stop, so that it has no other place.
func (c *roomClaim) stopped() bool { return !c.expiresAt.IsZero() }

// claimRoom claims room for the task of a run on another VM.
func (s *Scheduler) claimRoom(r *run, to *vmState) *roomClaim {
	c := &roomClaim{task: r.task, reservation: r.reservation, to: to}
	s.addClaim(c)
	return c
}

func (s *Scheduler) addClaim(c *roomClaim) {
	s.claims.Set(c.task, c)
	c.to.claims = append(c.to.claims, c)
}

// dropClaim gives up the claim of a task, if it has one.
func (s *Scheduler) dropClaim(id job.TaskID) {
	c := s.claims.Get(id)
	if c == nil {
		return
	}
	s.claims.Delete(id)
	c.to.claims = slices.DeleteFunc(c.to.claims, func(o *roomClaim) bool { return o == c })
}

// pruneClaims gives up the claims that are of no use any more.
func (s *Scheduler) pruneClaims(now time.Time) {
	for id, c := range s.claims.All() {
		if !s.claimHolds(now, c) {
			s.dropClaim(id)
		}
		c.renewed = false
	}
}

// claimHolds reports whether a claim is still of use.
func (s *Scheduler) claimHolds(now time.Time, c *roomClaim) bool {
	j, _, st, t := s.task(c.task)
	if t == nil || j.over() || t.givenUp() || !c.to.mayBeClaimed(now) || c.to.waveCordoned {
		return false
	}
	if c.stopped() {
		return now.Before(c.expiresAt)
	}
	// Long-running tasks that waited may have taken the room.
	attainable := c.reservation.FitsIn(c.to.roomForLongRunning().Add(c.reservation)) && st.eligible(c.task.StepID(), c.to)
	return c.renewed && attainable && t.activeRun() != nil
}

// mayBeClaimed reports whether long-running tasks may move to the VM once it has room.
func (v *vmState) mayBeClaimed(now time.Time) bool {
	leaves := v.departing || (v.host != nil && v.host.movingTo != "")
	return v.acceptsTasks() && !leaves && !v.suspected(now) && !v.rosterRefused
}

// freeFor returns the VM's unused capacity without what is claimed. Claims of tasks that still run
// elsewhere don't count against long-running tasks, which would wait.
func (v *vmState) freeFor(def *job.Step) job.Resources {
	free := v.freeCapacity()
	for _, c := range v.claims {
		if c.stopped() || !def.LongRunning {
			free = free.Sub(c.reservation)
		}
	}
	return free
}

// roomForLongRunning returns the capacity that long-running tasks haven't taken or claimed.
func (v *vmState) roomForLongRunning() job.Resources {
	free := v.capacity.Sub(v.longRunningUsed)
	for _, c := range v.claims {
		free = free.Sub(c.reservation)
	}
	return free
}

// stoppedClaimsOfStep counts the tasks of a step that have stopped in order to start on this VM.
func (v *vmState) stoppedClaimsOfStep(step job.StepID) int {
	n := 0
	for _, c := range v.claims {
		if c.stopped() && c.task.StepID() == step {
			n++
		}
	}
	return n
}

// startClaimed starts a task on the VM on which it has claimed room. It reports false, and gives up
// the claim, if the task has to find another VM.
func (a *assignment) startClaimed(p placement, c *roomClaim) bool {
	v := c.to
	if !a.s.usable(a.now, v) {
		return v.mayBeClaimed(a.now)
	}
	a.s.dropClaim(p.id)
	if !v.mayHold(a.now, p.step.def) || !p.step.eligible(p.id.StepID(), v) || !p.step.approval.permits(a.now, v) || p.task.mustBeSeparate(a.now, v) {
		return false
	}
	a.startTask(p.job, p.step, p.id, p.task, v, a.s.nextAttempt(p.task))
	if n := slices.IndexFunc(a.index.vms, func(x indexedVM) bool { return x.vm == v }); n >= 0 {
		a.index.reposition(n)
	}
	return true
}

// takeClaims removes and returns the claims of a step's tasks.
func (s *Scheduler) takeClaims(st *stepState, step job.StepID) []*roomClaim {
	var out []*roomClaim
	for _, t := range st.live {
		id := job.TaskID{Job: step.Job, Occurrence: step.Occurrence, Step: step.Step, Index: t.index}
		if c := s.claims.Get(id); c != nil {
			out = append(out, c)
			s.dropClaim(id)
		}
	}
	return out
}
