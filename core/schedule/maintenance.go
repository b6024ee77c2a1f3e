package schedule

import (
	"cmp"
	"slices"
	"time"

	"lavenderpond/core/job"
)

const (
	// cordonAhead is how many machines beyond the wave's limit are emptied in advance, so that
	// the next one is empty when one comes back.
	cordonAhead = 1
	// machineRetryDelay is the pause before an order that wasn't executed is repeated.
	machineRetryDelay = 500 * time.Millisecond
)

// advanceWaves advances each wave: it empties machines, orders their maintenance and waits for
// them to come back.
func (a *relocations) advanceWaves() {
	s := a.s
	cordoned := cordons{machines: map[job.MachineID]bool{}}
	a.cordoned = cordoned.machines
	for _, w := range s.waves.All() {
		if w.publishedState == job.WaveCompleted && w.published {
			continue
		}
		if cordoned.free == nil {
			cordoned.free = s.cordonLimits()
			a.due = s.dueMachines()
		}
		a.advanceWave(w, cordoned)
	}
	s.cordonForWaves(cordoned.machines)
}

// cordons are the machines to cordon, and how many VMs of each pool may still be.
type cordons struct {
	machines map[job.MachineID]bool
	free     map[job.PoolName]int
}

// cordonLimits returns how many VMs of each pool may be cordoned at a time: half of those that accept
// tasks, so that the pool's work goes on while others wait for a long task to end or for their turn. The
// only VM of a pool may be cordoned, but not the last one while others are in maintenance.
func (s *Scheduler) cordonLimits() map[job.PoolName]int {
	limits := map[job.PoolName]int{}
	for _, v := range s.vms.All() {
		if v.acceptsTasks() {
			limits[v.pool]++
		}
	}
	away := map[job.PoolName]bool{}
	for _, m := range s.machines.All() {
		if m.State == job.MachineMaintenance {
			away[m.Pool] = true
		}
	}
	for p, n := range limits {
		if n > 1 || !away[p] {
			limits[p] = max(1, n/2)
			continue
		}
		limits[p] = 0
	}
	return limits
}

// mayCordon reports whether the machine may be cordoned in addition to the others.
func (s *Scheduler) mayCordon(c cordons, m *machineState) bool {
	v := s.vms.Get(m.VM)
	return v == nil || !v.acceptsTasks() || c.machines[m.ID] || c.free[v.pool] > 0
}

// cordon adds a machine.
func (s *Scheduler) cordon(c cordons, m *machineState) {
	if c.machines[m.ID] {
		return
	}
	c.machines[m.ID] = true
	if v := s.vms.Get(m.VM); v != nil && v.acceptsTasks() {
		c.free[v.pool]--
	}
}

// cordonOrdered adds a machine whose maintenance is ordered; m is nil if it isn't listed.
func (s *Scheduler) cordonOrdered(c cordons, id job.MachineID, m *machineState) {
	if m == nil {
		c.machines[id] = true
		return
	}
	s.cordon(c, m)
}

// cordonForWaves cordons the VMs of these machines, and no others, for maintenance.
func (s *Scheduler) cordonForWaves(machines map[job.MachineID]bool) {
	if len(machines) == 0 && !s.anyWaveCordon {
		return
	}
	s.anyWaveCordon = len(machines) > 0
	for _, v := range s.vms.All() {
		v.waveCordoned = machines[v.machine]
	}
}

// cordoned reports whether the VM gets no new tasks because its machine is due for maintenance or
// moves to another pool.
func (v *vmState) cordoned() bool {
	return v.waveCordoned || (v.host != nil && v.host.movingTo != "")
}

// advanceWave advances one wave and adds the machines to cordon for it to cordoned.
func (a *relocations) advanceWave(w *waveState, cordoned cordons) {
	s, now := a.s, a.now
	if !w.published {
		w.published = true
		s.emit(PublishWave{Wave: w.Number, Revision: w.Revision, State: job.WaveRunning})
	}
	if s.machines.Len() == 0 {
		// The machines haven't been listed yet.
		for id := range w.orders {
			s.cordonOrdered(cordoned, id, nil)
		}
		return
	}
	var remaining []*machineState
	var unlisted []job.MachineID
	unattributed := 0
	for _, id := range w.tracked() {
		m, o := s.machines.Get(id), w.orders[id]
		s.trackListing(now, w, id, m)
		switch {
		case w.done[id], w.gone[id]:
		case o != nil:
			s.cordonOrdered(cordoned, id, m)
			a.advanceOrder(w, id, m, o)
		case m == nil:
			unlisted = append(unlisted, id)
		case m.movingTo != "":
		case s.inMaintenance(id):
			// For another wave, after which this one has its turn.
			s.cordon(cordoned, m)
		case m.State == job.MachineMaintenance:
			// A former owner ordered it without storing for which wave. It counts against the
			// limit of each, and completes none.
			s.cordon(cordoned, m)
			unattributed++
		default:
			remaining = append(remaining, m)
		}
	}
	if w.over() {
		s.completeWave(now, w)
		return
	}
	slices.SortFunc(remaining, func(a, b *machineState) int {
		return cmp.Or(
			cmp.Compare(a.maintenanceRefusals, b.maintenanceRefusals),
			cmp.Compare(s.evictionCost(a), s.evictionCost(b)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	a.maintainNext(w, remaining, unattributed, cordoned)
	s.maintainUnlisted(now, w, unlisted, unattributed)
}

// maintainNext cordons the next machines that can be emptied, and orders maintenance for those that are
// empty. The number of machines in maintenance never exceeds the wave's limit. unattributed is how many
// may be in maintenance for the wave without an order that this owner knows.
func (a *relocations) maintainNext(w *waveState, remaining []*machineState, unattributed int, cordoned cordons) {
	s, now := a.s, a.now
	slots := max(1, w.MaxConcurrent)
	emptying := 0
	for _, m := range remaining {
		if len(w.orders)+unattributed+emptying >= slots+cordonAhead {
			return
		}
		if s.vmUnknown(m) || m.State == job.MachineDown {
			// It takes no place among the machines that are emptied next.
			continue
		}
		if !s.mayCordon(cordoned, m) || a.isTarget(m) {
			continue
		}
		plan, obstructed := a.findObstacle(w, m)
		if obstructed {
			// Its VM takes tasks until it can be emptied.
			continue
		}
		emptying++
		s.cordon(cordoned, m)
		free := len(w.orders)+unattributed+s.vacatedBeside(now, remaining, m) < slots
		mayOrder := free && m.State == job.MachineUp && s.mayOrderMachine(now, m.ID) && !now.Before(m.retryAt)
		if a.empty(m, plan, mayOrder) && mayOrder && !a.offer(m) {
			s.orderMaintenance(now, w, m.ID)
		}
	}
}

// vacatedBeside counts the other machines whose last tasks have stopped for an order that isn't sent yet.
func (s *Scheduler) vacatedBeside(now time.Time, remaining []*machineState, m *machineState) int {
	n := 0
	for _, x := range remaining {
		if x != m && now.Before(x.awayUntil) && !s.inMaintenance(x.ID) {
			n++
		}
	}
	return n
}

// vmUnknown reports whether the machine has a VM of which it isn't known what runs there.
func (s *Scheduler) vmUnknown(m *machineState) bool {
	v := s.vms.Get(m.VM)
	return m.VM != "" && (v == nil || !v.reported || v.silent)
}

// pinnedCost is the cost of a run that may not be moved. It outweighs any number of other runs.
const pinnedCost = 1000

// evictionCost ranks machines by how much has to be moved off them.
func (s *Scheduler) evictionCost(m *machineState) float64 {
	v := s.vms.Get(m.VM)
	if v == nil {
		return 0
	}
	cost := 0.0
	for _, r := range v.runs.All() {
		cost++
		if r.longRunning {
			cost += 2
		}
		if s.pinned(r) {
			cost += pinnedCost
		}
	}
	return cost
}

// pinned reports whether the run's step doesn't allow any of its tasks to be unavailable.
func (s *Scheduler) pinned(r *run) bool {
	_, _, st, _ := s.task(r.task)
	return st != nil && st.def.LongRunning && st.def.HasDisruptionBudget && st.def.DisruptionBudget == 0
}
