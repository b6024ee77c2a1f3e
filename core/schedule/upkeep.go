package schedule

import (
	"cmp"
	"slices"
	"time"

	"lavenderpond/core/job"
)

// machineState is a machine as the platform lists it.
type machineState struct {
	job.Machine
	// listedAt is when the list was asked for that says so.
	listedAt time.Time
	// answeredAt is when the last order was answered.
	answeredAt time.Time
	// ordered is when an order was sent that isn't known to be over.
	ordered time.Time
	// waiting is set while an order has no answer yet, refused if it was refused.
	waiting bool
	refused bool
	// before is the VM that lived on the machine when the order was sent.
	before job.VMID
	retry  time.Time
	// to is the pool that the machine is on its way to; empty if it stays.
	to job.PoolName
}

// waveState is a wave that isn't over.
type waveState struct {
	job.Wave
	arrived   time.Time
	done      map[job.MachineID]bool
	away      map[job.MachineID]bool
	shown     job.WaveState
	shownOnce bool
}

const (
	// upkeepAhead is how many machines beyond the wave's bound are emptied ahead,
	// so that the next is empty when one comes back.
	upkeepAhead = 1
	// machineRetry is the pause before an order that wasn't carried out is repeated.
	machineRetry = 500 * time.Millisecond
)

// Machines takes in the machines list that was asked for at asked.
func (s *Scheduler) Machines(asked time.Time, list []job.Machine) {
	present := map[job.MachineID]bool{}
	for _, m := range list {
		present[m.ID] = true
		x := s.machines.Get(m.ID)
		if x == nil {
			x = &machineState{}
			s.machines.Set(m.ID, x)
		}
		if x.State != m.State || x.VM != m.VM {
			s.decided(Decision{What: MachineSeen, VM: m.VM, Reason: string(m.ID) + " " + string(m.State)})
		}
		x.Machine, x.listedAt = m, asked
		if v := s.vms.Get(m.VM); v != nil {
			v.machine = m.ID
		}
	}
	for id := range s.machines.All() {
		if !present[id] {
			s.machines.Delete(id)
		}
	}
	for _, v := range s.vms.All() {
		s.compareMachine(asked, v)
	}
}

// compareMachine frees what ran on a VM whose machine is listed with another
// life: a machine has one life at a time. This frees the tasks of a VM that
// crashed seconds before its lease would.
func (s *Scheduler) compareMachine(asked time.Time, v *vmState) {
	m := s.machines.Get(v.machine)
	if m == nil || m.VM == "" || m.VM == v.id || !v.firstSeen.Before(asked) {
		return
	}
	s.lifeOver(asked, v, "its machine has another life")
}

// lifeOver takes in a proof that a VM's life has ended.
func (s *Scheduler) lifeOver(now time.Time, v *vmState, why string) {
	v.inheritedUntil = time.Time{}
	for _, r := range v.runs.All() {
		if r.phase == runPlanned {
			s.release(now, r)
		} else if r.phase == runConfirmed && r.confirmedAt.Before(now) {
			s.free(now, r, why)
		}
	}
}

// AddWave takes in a wave and which of its machines are done already, as far as
// that is stored; a wave that is known is left as it is.
func (s *Scheduler) AddWave(now time.Time, w job.Wave, done []job.MachineID) {
	if s.waves.Get(w.Number) != nil {
		return
	}
	x := &waveState{Wave: w, arrived: now, done: map[job.MachineID]bool{}, away: map[job.MachineID]bool{}}
	for _, id := range done {
		x.done[id] = true
	}
	s.waves.Set(w.Number, x)
	s.decided(Decision{What: WaveChanged, Reason: "begun"})
}

// HasWaves tells whether upkeep is going on.
func (s *Scheduler) HasWaves() bool {
	for _, w := range s.waves.All() {
		if w.shown != job.WaveCompleted {
			return true
		}
	}
	return false
}

// drive moves each wave on: empty machines, order their upkeep, wait for them.
func (s *Scheduler) drive(now time.Time) {
	cordoned := map[job.MachineID]bool{}
	for _, w := range s.waves.All() {
		if w.shown != job.WaveCompleted || !w.shownOnce {
			s.driveWave(now, w, cordoned)
		}
	}
	for _, v := range s.vms.All() {
		m := s.machines.Get(v.machine)
		v.cordoned = m != nil && (cordoned[m.ID] || m.to != "")
	}
}

func (s *Scheduler) driveWave(now time.Time, w *waveState, cordoned map[job.MachineID]bool) {
	s.countBack(now, w)
	if !w.shownOnce {
		w.shownOnce = true
		s.emit(ShowWave{Number: w.Number, State: job.WaveRunning})
	}
	var left []*machineState
	for _, id := range w.Machines {
		m := s.machines.Get(id)
		if w.done[id] || m == nil || m.to != "" {
			continue
		}
		if m.State == job.MachineUpkeep && !w.away[id] {
			// A former owner has ordered it.
			w.away[id] = true
			m.ordered = m.listedAt
		}
		if w.away[id] {
			cordoned[id] = true
			continue
		}
		left = append(left, m)
	}
	if len(left) == 0 && len(w.away) == 0 && s.machines.Len() > 0 && s.waveDone(w) {
		s.completeWave(now, w)
		return
	}
	slices.SortFunc(left, func(a, b *machineState) int {
		return cmp.Or(cmp.Compare(s.emptyCost(a), s.emptyCost(b)), cmp.Compare(a.ID, b.ID))
	})
	s.emptyNext(now, w, left, cordoned)
}

// waveDone tells whether all machines of the wave that are still there are done.
func (s *Scheduler) waveDone(w *waveState) bool {
	for _, id := range w.Machines {
		if s.machines.Get(id) != nil && !w.done[id] {
			return false
		}
	}
	return true
}

func (s *Scheduler) completeWave(now time.Time, w *waveState) {
	w.shown = job.WaveCompleted
	s.decided(Decision{What: WaveChanged, Reason: "completed", After: now.Sub(w.arrived)})
	s.emit(ShowWave{Number: w.Number, State: job.WaveCompleted})
}

// emptyNext cordons the machines that are next, and orders upkeep for those
// that are empty, never more than the wave's bound at a time.
func (s *Scheduler) emptyNext(now time.Time, w *waveState, left []*machineState, cordoned map[job.MachineID]bool) {
	slots := max(1, w.AtOnce)
	emptying := 0
	for _, m := range left {
		if len(w.away)+emptying >= slots+upkeepAhead {
			return
		}
		v := s.vms.Get(m.VM)
		if m.VM != "" && (v == nil || !v.heldOnce || v.silent) {
			// What runs on a VM that hasn't been heard isn't known.
			continue
		}
		emptying++
		cordoned[m.ID] = true
		if v != nil && v.runs.Len() > 0 {
			s.evacuate(now, v)
			continue
		}
		if len(w.away) < slots && m.State == job.MachineUp && s.mayOrderMachine(now, m.ID) && !now.Before(m.retry) {
			s.orderUpkeep(now, w, m)
		}
	}
}

// mayOrderMachine tells whether a former owner's order for the machine is long
// enough ago.
func (s *Scheduler) mayOrderMachine(now time.Time, id job.MachineID) bool {
	if !s.mayStart {
		return false
	}
	o := s.recent.Get(id)
	return o.holder == "" || o.holder == s.settings.Holder || now.After(o.at.Add(s.settings.MachineLease+machineSlack))
}

// heldOrder is an order for a machine that waits until it is stored that the
// machine has one: the next owner must know which machines to leave alone.
type heldOrder struct {
	after   int64
	machine job.MachineID
	command Command
}

// recentOrder is an order that was given to a machine not long ago.
type recentOrder struct {
	holder string
	// at is when it was given, or if a former owner gave it the take-over.
	at time.Time
}

// recentPeriod is how long an order counts as one of late. It covers the periods
// for which the next owner waits.
const recentPeriod = 8 * time.Second

func (s *Scheduler) recentOrders() []MachineOrder {
	var out []MachineOrder
	for id, o := range s.recent.All() {
		out = append(out, MachineOrder{Machine: id, Holder: o.holder})
	}
	return out
}

// orderMachine sends an order once it is stored that the machine has one.
func (s *Scheduler) orderMachine(now time.Time, id job.MachineID, c Command) {
	for old, o := range s.recent.All() {
		if now.Sub(o.at) > recentPeriod {
			s.recent.Delete(old)
		}
	}
	s.recent.Set(id, recentOrder{holder: s.settings.Holder, at: now})
	s.ordersDirty = true
	s.held = append(s.held, heldOrder{after: s.nextSave(), machine: id, command: c})
}

// sendHeld sends the orders whose saves are stored. One for a machine on which
// something has begun since counts as refused.
func (s *Scheduler) sendHeld(now time.Time) {
	s.held = slices.DeleteFunc(s.held, func(h heldOrder) bool {
		if h.after > s.stored {
			return false
		}
		m := s.machines.Get(h.machine)
		if m == nil {
			return true
		}
		v := s.vms.Get(m.VM)
		if s.mayStart && (v == nil || v.runs.Len() == 0) {
			s.emit(h.command)
			return true
		}
		switch c := h.command.(type) {
		case Move:
			s.MoveAnswered(now, c, NotDone, job.MachineAccepted)
		case Upkeep:
			s.UpkeepAnswered(now, c, NotDone, job.MachineAccepted)
		}
		return true
	})
}

// machineSlack covers orders that a former owner sent while its right lasted.
const machineSlack = 1500 * time.Millisecond

func (s *Scheduler) orderUpkeep(now time.Time, w *waveState, m *machineState) {
	w.away[m.ID] = true
	m.ordered, m.waiting, m.before = now, true, m.VM
	m.retry, m.refused = time.Time{}, false
	s.orderMachine(now, m.ID, Upkeep{Machine: m.ID, Wave: w.Number})
}

// UpkeepAnswered takes in what came of an order for upkeep.
func (s *Scheduler) UpkeepAnswered(now time.Time, c Upkeep, out Outcome, why job.MachineRefusal) {
	m, w := s.machines.Get(c.Machine), s.waves.Get(c.Wave)
	if m == nil || w == nil {
		return
	}
	m.waiting = false
	m.answeredAt = now
	switch {
	case out == Answered && why == job.MachineAccepted:
		s.decided(Decision{What: MachineUpkept, VM: m.before, Reason: string(m.ID)})
		if v := s.vms.Get(m.before); v != nil {
			s.lifeOver(now, v, "its machine has its upkeep")
		}
	case out == Unanswered:
		// It may be carried out later: it is asked for again until that is known.
		m.retry = now.Add(machineRetry)
	case out == NotDone:
		delete(w.away, m.ID)
		m.retry = now.Add(machineRetry)
	case why == job.MachineOtherWave:
		delete(w.away, m.ID)
		w.done[m.ID] = true
	default:
		// A busy machine may be away on an earlier order whose answer was lost: it
		// counts as away until the list says that it is up.
		m.refused = true
	}
}

// countBack notes the machines that are back from their upkeep: another life
// runs on them, or after an accepted order the list says that they are up again.
func (s *Scheduler) countBack(now time.Time, w *waveState) {
	for id := range w.away {
		m := s.machines.Get(id)
		if m == nil {
			delete(w.away, id)
			continue
		}
		if m.waiting {
			continue
		}
		if !m.retry.IsZero() && now.After(m.retry) {
			m.retry, m.waiting = time.Time{}, true
			s.orderMachine(now, id, Upkeep{Machine: id, Wave: w.Number})
			continue
		}
		// A list that was asked for before the order's answer may be older than the order.
		if m.State != job.MachineUp || !m.retry.IsZero() || !m.listedAt.After(m.answeredAt) {
			continue
		}
		delete(w.away, id)
		if m.refused {
			m.retry = now.Add(machineRetry)
			continue
		}
		w.done[id] = true
		s.dirtyWaves = append(s.dirtyWaves, w)
	}
}

// emptyCost orders machines by what has to be moved off them.
func (s *Scheduler) emptyCost(m *machineState) float64 {
	v := s.vms.Get(m.VM)
	if v == nil {
		return 0
	}
	cost := 0.0
	for _, r := range v.runs.All() {
		cost++
		if _, _, st, _ := s.task(r.task); st != nil && st.def.Lasting {
			cost += 2
		}
	}
	return cost
}

// evacuate moves lasting tasks off a VM, as far as their steps may miss tasks.
func (s *Scheduler) evacuate(now time.Time, v *vmState) {
	for _, r := range v.runs.All() {
		j, _, st, _ := s.task(r.task)
		if j == nil || j.over() || !st.def.Lasting || r.stopping || r.phase != runConfirmed {
			continue
		}
		if !s.mayMiss(now, st, r) {
			continue
		}
		s.stop(now, r, "upkeep")
	}
}

// mayBeStopping tells whether a former owner may have ordered the run's end. The
// VM lists it as at work until it has stopped; by then that end is listed.
func (s *Scheduler) mayBeStopping(now time.Time, r *run) bool {
	return r.adopted && now.Before(r.vm.heldFirst.Add(s.settings.TaskStop+busyWait))
}

// mayMiss tells whether a lasting step can spare the run now: as long as fewer
// other tasks are away than the step allows. A task counts as away from its
// stop until it is seen at work again.
func (s *Scheduler) mayMiss(now time.Time, st *stepState, r *run) bool {
	away := 0
	for i := range st.tasks {
		t := &st.tasks[i]
		if i == r.task.Index {
			continue
		}
		x := t.live()
		if x == nil || x.percent < 100 || x.phase != runConfirmed || x.vm.silent || s.mayBeStopping(now, x) {
			away++
		}
	}
	if !st.def.HasMayMiss {
		return away == 0
	}
	return away < st.def.MayMiss
}
