package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lavenderpond/core/job"
)

const (
	// absenceGrace is how long a task may be on its way to another VM. One that is away for longer
	// has found no room, and keeps its siblings in place.
	absenceGrace = 3 * time.Second
	// obstaclePeriod is how long a machine that can't be emptied isn't looked at again.
	obstaclePeriod = time.Second
	// maxObstaclesPerRound bounds the time that a round takes when few machines of a large wave can be
	// emptied.
	maxObstaclesPerRound = 4
	// awayPeriod is how long tasks that have stopped for the maintenance of their machine don't start
	// there again while it isn't ordered.
	awayPeriod = 2 * time.Second
)

// emptyingPlan says how a VM can be emptied.
type emptyingPlan struct {
	// moving are the runs whose tasks other VMs can have room for, with those VMs.
	moving []plannedMove
	// away are the runs whose tasks stay away during the maintenance, as their budgets allow.
	away []*run
	// obstacle says why the VM can't be emptied; it is empty if it can. lacksRoom is set if it can once
	// there is more room elsewhere.
	obstacle  string
	lacksRoom bool
}

// plannedMove is a run whose task is to move to another VM.
type plannedMove struct {
	run *run
	to  *vmState
}

// plan returns how to empty a VM. Room that short tasks use counts as room: they end.
func (a *relocations) plan(v *vmState) emptyingPlan {
	runs := a.s.runsToMove(v)
	for _, r := range runs {
		j, _, st, _ := a.s.task(r.task)
		if st.disruptionBudget()-a.s.absentTasks(a.now, j, st) < 1 {
			return emptyingPlan{obstacle: fmt.Sprintf("step %s allows no task to be away", stepName(r.task))}
		}
	}
	search := &placementSearch{a: a, width: 1, stepsLeft: maxSearchSteps}
	placed := search.place(runs)
	if !placed && len(a.targets(v.pool)) <= maxSearchVMs {
		search = &placementSearch{a: a, width: searchWidth, stepsLeft: maxSearchSteps}
		placed = search.place(runs)
	}
	if !placed {
		return emptyingPlan{obstacle: "no room elsewhere for tasks of step " + search.obstacle, lacksRoom: true}
	}
	return search.plan
}

// move claims room for a planned move, and stops the run once there is.
func (a *relocations) move(m plannedMove) {
	_, _, st, _ := a.s.task(m.run.task)
	c := a.s.claims.Get(m.run.task)
	if c == nil {
		a.packing.remove(m.run, m.to)
		c = a.s.claimRoom(m.run, m.to)
	}
	a.advance(m.run, st, c, maintenanceReason)
}

// runsToMove returns the long-running runs on a VM that aren't stopping. Those come first that have to
// find another VM since their step's budget is too small for all of them, and then the largest.
func (s *Scheduler) runsToMove(v *vmState) []*run {
	if v.longRunningRuns == 0 {
		return nil
	}
	var out []*run
	count, mustMove := map[job.StepID]int{}, map[*run]bool{}
	for _, r := range v.runs.All() {
		j, _, st, _ := s.task(r.task)
		if st == nil || j.over() || !r.longRunning || r.stopping {
			continue
		}
		out = append(out, r)
		count[r.task.StepID()]++
		mustMove[r] = count[r.task.StepID()] > st.disruptionBudget()
	}
	slices.SortStableFunc(out, func(x, y *run) int {
		return cmp.Or(compareTrueFirst(mustMove[x], mustMove[y]), cmp.Compare(y.reservation.CPU, x.reservation.CPU))
	})
	return out
}

// stepName names a task's step in the log.
func stepName(t job.TaskID) string { return fmt.Sprintf("%s.%d.%d", t.Job, t.Occurrence, t.Step) }

// absentTasks counts the tasks of a step that are away for long.
func (s *Scheduler) absentTasks(now time.Time, j *jobState, st *stepState) int {
	n := 0
	if now.Sub(j.arrived) > absenceGrace {
		n = st.newTasks()
	}
	for _, t := range st.live {
		switch {
		case t.givenUp():
			if st.def.HasDisruptionBudget {
				n++
			}
		case len(t.runs) == 0 && now.Sub(later(t.unavailableSince, j.arrived)) > absenceGrace:
			n++
		}
	}
	return n
}

// findObstacle reports whether a machine can't be emptied, plans how it can otherwise, and logs when
// that changes. A machine that this round doesn't look at any more counts as one that can't, unless it is
// being emptied.
func (a *relocations) findObstacle(w *waveState, m *machineState) (emptyingPlan, bool) {
	var p emptyingPlan
	v := a.s.vms.Get(m.VM)
	if a.now.Before(m.obstacleUntil) || (v != nil && !v.waveCordoned && a.obstacles >= maxObstaclesPerRound) {
		return p, true
	}
	if v != nil {
		p = a.plan(v)
	}
	if p.obstacle != m.obstacle {
		belief := "can be emptied"
		if p.obstacle != "" {
			belief = "can't be emptied: " + p.obstacle
		}
		a.s.reportWaveMachine(a.now, w, m.ID, belief)
	}
	m.obstacle, m.lacksRoom = p.obstacle, p.lacksRoom
	if p.obstacle == "" {
		return p, false
	}
	m.obstacleUntil = a.now.Add(obstaclePeriod)
	a.obstacles++
	return p, true
}

// empty reports whether nothing runs on the machine, and otherwise moves tasks away as planned. Those
// that have no room elsewhere stop last, once mayOrder tells that the maintenance can be ordered.
func (a *relocations) empty(m *machineState, p emptyingPlan, mayOrder bool) bool {
	v := a.s.vms.Get(m.VM)
	if v == nil || v.runs.Len() == 0 {
		return true
	}
	for _, x := range p.moving {
		if a.s.mayRelocate(a.now, x.run) {
			a.move(x)
		}
	}
	if mayOrder && len(p.away) == v.runs.Len() && a.mayStayAway(p.away) {
		m.awayUntil = a.now.Add(a.s.settings.TaskStopMax + awayPeriod)
		for _, r := range p.away {
			a.s.stopRun(a.now, r, maintenanceReason)
		}
	}
	return false
}

// maintenanceReason is the reason of stops on machines that are due for maintenance.
const maintenanceReason = "upkeep"

// mayStayAway reports whether the tasks of these runs may all stop now.
func (a *relocations) mayStayAway(runs []*run) bool {
	stopping := map[*stepState][]int{}
	for _, r := range runs {
		if !a.s.mayRelocate(a.now, r) {
			return false
		}
		_, _, st, _ := a.s.task(r.task)
		stopping[st] = append(stopping[st], r.task.Index)
	}
	for st, tasks := range stopping {
		if !a.s.withinDisruptionBudget(a.now, st, tasks...) {
			return false
		}
	}
	return true
}

// dueMachines returns the machines of all waves whose maintenance isn't done.
func (s *Scheduler) dueMachines() map[job.MachineID]bool {
	out := map[job.MachineID]bool{}
	for _, w := range s.waves.All() {
		if w.publishedState == job.WaveCompleted {
			continue
		}
		for _, id := range w.Machines {
			if !w.done[id] && !w.gone[id] {
				out[id] = true
			}
		}
	}
	return out
}

// crampedPools returns the pools whose machines can't be emptied for a wave unless they have more room.
func (s *Scheduler) crampedPools() map[job.PoolName]bool {
	out := map[job.PoolName]bool{}
	for id := range s.dueMachines() {
		if m := s.machines.Get(id); m != nil && m.lacksRoom {
			out[m.Pool] = true
		}
	}
	return out
}
