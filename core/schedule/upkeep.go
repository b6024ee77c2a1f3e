package schedule

import (
	"cmp"
	"slices"
	"time"

	"lavenderpond/core/job"
)

// waveState is a wave that isn't over.
type waveState struct {
	job.Wave
	arrived        time.Time
	done           map[job.MachineID]bool
	inUpkeep       map[job.MachineID]bool
	publishedState job.WaveState
	published      bool
}

const (
	// cordonAhead is how many machines beyond the wave's bound are emptied ahead,
	// so that the next is empty when one comes back.
	cordonAhead = 1
	// machineRetryDelay is the pause before an order that wasn't carried out is repeated.
	machineRetryDelay = 500 * time.Millisecond
)

// AddWave takes in a wave and which of its machines are done already, as far as
// that is stored; a wave that is known is left as it is.
func (s *Scheduler) AddWave(now time.Time, w job.Wave, done []job.MachineID) {
	if s.waves.Get(w.Number) != nil {
		return
	}
	x := &waveState{Wave: w, arrived: now, done: map[job.MachineID]bool{}, inUpkeep: map[job.MachineID]bool{}}
	for _, id := range done {
		x.done[id] = true
	}
	s.waves.Set(w.Number, x)
	s.decided(Decision{What: WaveChanged, Reason: "begun"})
}

// advanceWaves moves each wave on: empty machines, order their upkeep, wait for them.
func (s *Scheduler) advanceWaves(now time.Time) {
	cordoned := map[job.MachineID]bool{}
	for _, w := range s.waves.All() {
		if w.publishedState != job.WaveCompleted || !w.published {
			s.advanceWave(now, w, cordoned)
		}
	}
	for _, v := range s.vms.All() {
		m := v.host
		v.cordoned = m != nil && (m.movingTo != "" || (len(cordoned) > 0 && cordoned[m.ID]))
	}
}

func (s *Scheduler) advanceWave(now time.Time, w *waveState, cordoned map[job.MachineID]bool) {
	s.collectReturned(now, w)
	if !w.published {
		w.published = true
		s.emit(ShowWave{Number: w.Number, State: job.WaveRunning})
	}
	var remaining []*machineState
	for _, id := range w.Machines {
		m := s.machines.Get(id)
		if w.done[id] || m == nil || m.movingTo != "" {
			continue
		}
		if m.State == job.MachineUpkeep && !w.inUpkeep[id] {
			// A former owner has ordered it.
			w.inUpkeep[id] = true
		}
		if w.inUpkeep[id] {
			cordoned[id] = true
			continue
		}
		remaining = append(remaining, m)
	}
	if len(remaining) == 0 && len(w.inUpkeep) == 0 && s.machines.Len() > 0 && s.waveDone(w) {
		s.completeWave(now, w)
		return
	}
	slices.SortFunc(remaining, func(a, b *machineState) int {
		return cmp.Or(cmp.Compare(s.evictionCost(a), s.evictionCost(b)), cmp.Compare(a.ID, b.ID))
	})
	s.upkeepNext(now, w, remaining, cordoned)
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
	w.publishedState = job.WaveCompleted
	s.decided(Decision{What: WaveChanged, Reason: "completed", After: now.Sub(w.arrived)})
	s.emit(ShowWave{Number: w.Number, State: job.WaveCompleted})
}

// upkeepNext cordons the machines that are next, and orders upkeep for those
// that are empty, never more than the wave's bound at a time.
func (s *Scheduler) upkeepNext(now time.Time, w *waveState, remaining []*machineState, cordoned map[job.MachineID]bool) {
	slots := max(1, w.AtOnce)
	emptying := 0
	for _, m := range remaining {
		if len(w.inUpkeep)+emptying >= slots+cordonAhead {
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
			s.relocateLasting(now, v, "upkeep")
			continue
		}
		if len(w.inUpkeep) < slots && m.State == job.MachineUp && s.mayOrderMachine(now, m.ID) && !now.Before(m.retryAt) {
			s.orderUpkeep(now, w, m)
		}
	}
}

func (s *Scheduler) orderUpkeep(now time.Time, w *waveState, m *machineState) {
	w.inUpkeep[m.ID] = true
	m.awaitingAnswer, m.orderedVM = true, m.VM
	m.retryAt, m.refused = time.Time{}, false
	s.orderMachine(now, m.ID, Upkeep{Machine: m.ID, Wave: w.Number})
}

// UpkeepAnswered takes in what came of an order for upkeep.
func (s *Scheduler) UpkeepAnswered(now time.Time, c Upkeep, out Outcome, why job.MachineRefusal) {
	m, w := s.machines.Get(c.Machine), s.waves.Get(c.Wave)
	if m == nil || w == nil {
		return
	}
	m.awaitingAnswer = false
	m.answeredAt = now
	switch {
	case out == Answered && why == job.MachineAccepted:
		s.decided(Decision{What: MachineUpkept, VM: m.orderedVM, Reason: string(m.ID)})
		if v := s.vms.Get(m.orderedVM); v != nil {
			s.endLife(now, v, "its machine has its upkeep")
		}
	case out == Unanswered:
		// It may be carried out later: it is asked for again until that is known.
		m.retryAt = now.Add(machineRetryDelay)
	case out == NotDone:
		delete(w.inUpkeep, m.ID)
		m.retryAt = now.Add(machineRetryDelay)
	case why == job.MachineOtherWave:
		delete(w.inUpkeep, m.ID)
		w.done[m.ID] = true
	default:
		// A busy machine may be away on an earlier order whose answer was lost: it
		// counts as away until the list says that it is up.
		m.refused = true
	}
}

// collectReturned notes the machines that are back from their upkeep: another life
// runs on them, or after an accepted order the list says that they are up again.
func (s *Scheduler) collectReturned(now time.Time, w *waveState) {
	for _, id := range w.Machines {
		if !w.inUpkeep[id] {
			continue
		}
		m := s.machines.Get(id)
		if m == nil {
			delete(w.inUpkeep, id)
			continue
		}
		if m.awaitingAnswer {
			continue
		}
		if !m.retryAt.IsZero() && now.After(m.retryAt) {
			m.retryAt, m.awaitingAnswer = time.Time{}, true
			s.orderMachine(now, id, Upkeep{Machine: id, Wave: w.Number})
			continue
		}
		// A list that was asked for before the order's answer may be older than the order.
		if m.State != job.MachineUp || !m.retryAt.IsZero() || !m.listedAt.After(m.answeredAt) {
			continue
		}
		delete(w.inUpkeep, id)
		if m.refused {
			m.retryAt = now.Add(machineRetryDelay)
			continue
		}
		w.done[id] = true
		s.dirtyWaves = append(s.dirtyWaves, w)
	}
}

// evictionCost orders machines by what has to be moved off them.
func (s *Scheduler) evictionCost(m *machineState) float64 {
	v := s.vms.Get(m.VM)
	if v == nil {
		return 0
	}
	cost := 0.0
	for _, r := range v.runs.All() {
		cost++
		if r.lasting {
			cost += 2
		}
	}
	return cost
}

// relocateLasting moves lasting tasks off a VM, as far as their steps may miss tasks.
func (s *Scheduler) relocateLasting(now time.Time, v *vmState, why string) {
	for _, r := range v.runs.All() {
		if s.mayRelocate(now, r) {
			s.stop(now, r, why)
		}
	}
}

// mayRelocate tells whether a lasting task may be stopped to start again elsewhere. A new
// owner may do the same at the same time, each counting only its own stops, so it
// takes the right that ends before another can take over.
func (s *Scheduler) mayRelocate(now time.Time, r *run) bool {
	if !s.rights.Order || r.stopping || r.phase != runConfirmed {
		return false
	}
	j, _, st, _ := s.task(r.task)
	return j != nil && !j.over() && st.def.Lasting && s.mayMiss(now, st, r)
}

// mayBeStopping tells whether a former owner may have ordered the run's end. The
// VM lists it as at work until it has stopped; by then that end is listed.
func (s *Scheduler) mayBeStopping(now time.Time, r *run) bool {
	return r.adopted && now.Before(r.vm.heldFirst.Add(s.settings.TaskStopMax+busyWait))
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
