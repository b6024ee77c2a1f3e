package schedule

import (
	"cmp"
	"slices"
	"time"

	"lavenderpond/core/job"
)

// relocations moves long-running tasks from VM to VM in one round.
type relocations struct {
	s   *Scheduler
	now time.Time
	// byPool holds the VMs of each pool that long-running tasks may move to. It is filled on first use.
	byPool map[job.PoolName][]*vmState
	// due holds the machines that still have to be emptied for a wave.
	due map[job.MachineID]bool
	// cordoned holds the machines that this round has cordoned for waves so far. It is nil before, and
	// what the last round has cordoned counts.
	cordoned map[job.MachineID]bool
	// packing holds the tasks that are to leave machines of waves, and obstacles counts the machines that
	// this round has found can't be emptied.
	packing   packing
	obstacles int
}

// targets returns the VMs of a pool that long-running tasks may move to.
func (a *relocations) targets(p job.PoolName) []*vmState {
	if a.byPool == nil {
		a.byPool = map[job.PoolName][]*vmState{}
		for _, v := range a.s.vms.All() {
			if v.mayBeClaimed(a.now) && !a.s.aboutToLeave(a.now, v) && v.unknownRuns == 0 && v.isolatedRuns == 0 {
				a.byPool[v.pool] = append(a.byPool[v.pool], v)
			}
		}
	}
	return a.byPool[p]
}

// cordons reports whether the VM's machine is cordoned for a wave.
func (a *relocations) cordons(v *vmState) bool {
	if a.cordoned == nil {
		return v.waveCordoned
	}
	return a.cordoned[v.machine]
}

// aboutToLeave reports whether the maintenance of the VM's machine is ordered, or may be at any moment.
func (s *Scheduler) aboutToLeave(now time.Time, v *vmState) bool {
	vacated := v.waveCordoned && v.runs.Len() == 0
	return vacated || s.inMaintenance(v.machine) || (v.host != nil && now.Before(v.host.awayUntil))
}

// isTarget reports whether tasks are to move to the machine.
func (a *relocations) isTarget(m *machineState) bool {
	v := a.s.vms.Get(m.VM)
	return v != nil && (len(v.claims) > 0 || a.packing.plans(v))
}

// relocate stops a long-running run once another VM has room for its task, which claims that room.
// It reports whether there is a VM that can have room.
func (a *relocations) relocate(r *run, reason string) bool {
	_, _, st, t := a.s.task(r.task)
	if t == nil {
		return false
	}
	c := a.s.claims.Get(r.task)
	if c == nil {
		to := a.target(r, st, t)
		if to == nil {
			return false
		}
		c = a.s.claimRoom(r, to)
	}
	a.advance(r, st, c, reason)
	return true
}

// advance stops a run once the VM has room on which its task has claimed it.
func (a *relocations) advance(r *run, st *stepState, c *roomClaim, reason string) {
	c.renewed = true
	fitted := c.fits
	c.fits = a.s.usable(a.now, c.to) && c.to.mayHold(a.now, st.def) && st.eligible(r.task.StepID(), c.to)
	if c.fits && fitted && a.s.siblingsFit(st, r) {
		a.s.leave(a.now, st, r, c, reason)
	}
}

// siblingsFit reports whether the other members of a run's gang on the same VM have room elsewhere.
// They end together, and start only together.
func (s *Scheduler) siblingsFit(st *stepState, r *run) bool {
	if !st.def.Gang {
		return true
	}
	for _, x := range r.vm.runs.All() {
		if x.task.StepID() != r.task.StepID() || x == r {
			continue
		}
		if c := s.claims.Get(x.task); c == nil || !c.fits {
			return false
		}
	}
	return true
}

// leave stops a run whose task has claimed room elsewhere. The other members of its gang keep theirs.
func (s *Scheduler) leave(now time.Time, st *stepState, r *run, c *roomClaim, reason string) {
	c.expiresAt = now.Add(s.settings.TaskStopMax + claimPeriod)
	if st.def.Gang {
		for _, t := range st.live {
			x := t.activeRun()
			if x == nil || x == r {
				continue
			}
			own := s.claims.Get(x.task)
			if own == nil {
				own = s.claimRoom(x, x.vm)
			}
			own.expiresAt = c.expiresAt
		}
	}
	s.stopRun(now, r, reason)
}

// target returns the VM to which the task of a run moves best beside those that are planned to move, or
// nil if none can have room.
func (a *relocations) target(r *run, st *stepState, t *taskState) *vmState {
	var best *vmState
	for _, v := range a.targets(r.vm.pool) {
		if a.mayTake(r, st, t, v) && (best == nil || a.compareTargets(r, st, v, best) < 0) {
			best = v
		}
	}
	return best
}

// mayTake reports whether a VM can have room for the task of a run beside those that are planned to move.
func (a *relocations) mayTake(r *run, st *stepState, t *taskState, v *vmState) bool {
	if v == r.vm || a.cordons(v) || !r.reservation.FitsIn(v.roomForLongRunning().Sub(a.packing.reserved[v])) {
		return false
	}
	return a.packing.eligible(st, r.task.StepID(), v) && st.approval.mayPermit(v) && !t.mustBeSeparate(a.now, v)
}

// compareTargets orders VMs that a run's task may move to: those first that have room now, then those
// that need not be emptied later, those with the fewest tasks of the step, and the fullest.
func (a *relocations) compareTargets(r *run, st *stepState, x, y *vmState) int {
	step := r.task.StepID()
	return cmp.Or(
		compareTrueFirst(x.mayHold(a.now, st.def), y.mayHold(a.now, st.def)),
		compareTrueFirst(!a.due[x.machine], !a.due[y.machine]),
		cmp.Compare(x.runsOfStep(step), y.runsOfStep(step)),
		cmp.Compare(x.freeFraction(), y.freeFraction()),
	)
}

// compareTrueFirst orders true before false.
func compareTrueFirst(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	}
	return 1
}

// packing is a plan of which tasks move to which VM. Its zero value plans nothing.
type packing struct {
	reserved map[*vmState]job.Resources
	tasks    map[stepOnVM]int
}

type stepOnVM struct {
	vm   *vmState
	step job.StepID
}

// plans reports whether tasks are to move to the VM.
func (p *packing) plans(v *vmState) bool { return p.reserved[v] != (job.Resources{}) }

// eligible reports whether a VM may run another task of the step beside those of the plan.
func (p *packing) eligible(st *stepState, step job.StepID, v *vmState) bool {
	if !st.eligible(step, v) {
		return false
	}
	return st.def.MaxPerVM == 0 || v.runsOfStep(step)+v.stoppedClaimsOfStep(step)+p.tasks[stepOnVM{v, step}] < st.def.MaxPerVM
}

// add plans that the task of a run moves to a VM.
func (p *packing) add(r *run, v *vmState) {
	if p.reserved == nil {
		p.reserved, p.tasks = map[*vmState]job.Resources{}, map[stepOnVM]int{}
	}
	p.reserved[v] = p.reserved[v].Add(r.reservation)
	p.tasks[stepOnVM{v, r.task.StepID()}]++
}

// remove undoes add.
func (p *packing) remove(r *run, v *vmState) {
	p.reserved[v] = p.reserved[v].Sub(r.reservation)
	p.tasks[stepOnVM{v, r.task.StepID()}]--
}

// mayRelocate reports whether a long-running task may be stopped in order to start elsewhere. A
// new owner may do the same at the same time while each owner counts only its own stops. So
// this requires the right to order machines, which ends before another owner can take over.
func (s *Scheduler) mayRelocate(now time.Time, r *run) bool {
	if !s.rights.OrderMachines || r.stopping || r.phase != runConfirmed {
		return false
	}
	j, _, st, _ := s.task(r.task)
	return j != nil && !j.over() && st.def.LongRunning && s.withinDisruptionBudget(now, st, r.task.Index)
}

// mayBeStopping reports whether a former owner may have ordered the run to stop. The VM lists
// the run as running until it has stopped. mayBeStopping returns false once so much time has
// passed since the VM's first report that a stopped run would be listed as ended.
func (s *Scheduler) mayBeStopping(now time.Time, r *run) bool {
	return r.adopted && now.Before(r.vm.firstReportedAt.Add(s.settings.TaskStopMax+busyHoldWait))
}

// disruptionBudget returns how many of a long-running step's tasks may be unavailable at a time
// because of orders: one if the step doesn't say.
func (st *stepState) disruptionBudget() int {
	if st.def.HasDisruptionBudget {
		return st.def.DisruptionBudget
	}
	return 1
}

// withinDisruptionBudget reports whether stopping these tasks keeps their long-running step within
// the disruption budget. A task counts as unavailable from its stop until it is listed as fully
// running again. Without a budget, tasks that were given up don't count: waiting for them would keep
// their siblings on their VMs for good.
func (s *Scheduler) withinDisruptionBudget(now time.Time, st *stepState, stopping ...int) bool {
	unavailable := st.newTasks() + len(stopping)
	for _, t := range st.live {
		if slices.Contains(stopping, t.index) || (t.givenUp() && !st.def.HasDisruptionBudget) {
			continue
		}
		x := t.activeRun()
		if x == nil || x.percent < 100 || x.phase != runConfirmed || x.vm.silent || s.mayBeStopping(now, x) {
			unavailable++
		}
	}
	return unavailable <= st.disruptionBudget()
}

// relocateDraining moves long-running tasks off draining VMs. A task without room elsewhere stays until
// its VM is about to leave. Other tasks may end in time; those that don't are lost with the VM.
func (a *relocations) relocateDraining() {
	if a.s.drainingVMs == 0 {
		return
	}
	for _, v := range a.s.vms.All() {
		if !v.draining || v.silent {
			continue
		}
		for _, r := range v.runs.All() {
			_, _, st, t := a.s.task(r.task)
			if t == nil || !st.def.LongRunning || r.phase != runConfirmed || r.stopping {
				continue
			}
			a.relocate(r, drainingReason)
			if !a.now.Before(v.leavesAt.Add(-a.s.settings.TaskStopMax - drainMargin)) {
				a.s.stopRun(a.now, r, drainingReason)
			}
		}
	}
}

const (
	// drainingReason is the reason of stops on draining VMs.
	drainingReason = "VM is draining"
	// drainMargin is how long before a draining VM may leave its tasks have ended. Its entry in the
	// directory is not new, and a task whose end nobody has seen can't start again before its lease has
	// expired.
	drainMargin = time.Second
)
