package schedule

import (
	"maps"
	"slices"
	"time"

	"lavenderpond/core/job"
)

// waveState is a maintenance wave that isn't over. done holds the machines whose maintenance is
// complete, gone those that don't exist any more, and orders those whose maintenance is ordered.
// published is set once the wave was published as running, and publishedState is WaveCompleted once
// that was published.
type waveState struct {
	job.Wave
	arrived time.Time
	done    map[job.MachineID]bool
	gone    map[job.MachineID]bool
	orders  map[job.MachineID]*maintenanceOrder
	// askAt is when each machine that isn't listed may be ordered all the same. The answer tells
	// whether it still exists.
	askAt          map[job.MachineID]time.Time
	publishedState job.WaveState
	published      bool
	// dirty is set while the wave has changes that no save contains.
	dirty bool
}

// tracked returns the machines of the wave, and ordered ones that its definition lacks.
func (w *waveState) tracked() []job.MachineID {
	tracked := w.Machines
	for _, id := range slices.Sorted(maps.Keys(w.orders)) {
		if !slices.Contains(w.Machines, id) {
			tracked = append(slices.Clip(tracked), id)
		}
	}
	return tracked
}

// over reports whether each machine of the wave is done or gone, and none is in maintenance. A
// machine that isn't listed is neither.
func (w *waveState) over() bool {
	for _, id := range w.Machines {
		if !w.done[id] && !w.gone[id] {
			return false
		}
	}
	return len(w.orders) == 0
}

// AddWave adds a wave with its stored progress. If the wave is known, a definition with a higher
// revision replaces the former one, and p is ignored.
func (s *Scheduler) AddWave(now time.Time, w job.Wave, p job.WaveProgress) {
	if x := s.waves.Get(w.Number); x != nil {
		s.redefineWave(now, x, w)
		return
	}
	x := &waveState{
		Wave: w, arrived: now, done: map[job.MachineID]bool{}, gone: map[job.MachineID]bool{},
		orders: map[job.MachineID]*maintenanceOrder{}, askAt: map[job.MachineID]time.Time{},
	}
	for _, id := range p.Done {
		x.done[id] = true
	}
	for _, id := range p.Gone {
		x.gone[id] = true
	}
	for _, id := range p.Ordered {
		s.addOrder(x, id, &maintenanceOrder{uncertain: true})
	}
	s.waves.Set(w.Number, x)
	s.reportWave(now, x, "begun")
}

// redefineWave replaces the definition of a wave. A completed wave is running again until its new
// machines are done as well.
func (s *Scheduler) redefineWave(now time.Time, x *waveState, w job.Wave) {
	if w.Revision <= x.Revision {
		return
	}
	x.Wave = w
	x.published, x.publishedState = false, job.WaveRunning
	s.reportWave(now, x, "redefined")
}

// reportWave reports a change of a wave, and what is believed of each of its machines.
func (s *Scheduler) reportWave(now time.Time, w *waveState, change string) {
	s.reportDecision(Decision{Kind: WaveChanged, Wave: w.Number, Reason: change})
	for _, id := range w.Machines {
		s.reportWaveMachine(now, w, id, "belongs to the wave")
	}
}

// reportWaveMachine reports what is believed of a machine of a wave, together with what the list of
// machines says of it.
func (s *Scheduler) reportWaveMachine(now time.Time, w *waveState, id job.MachineID, belief string) {
	d := Decision{Kind: WaveMachine, Wave: w.Number, Machine: id, Reason: belief + ", not listed"}
	if m := s.machines.Get(id); m != nil {
		d.VM, d.Age = m.VM, now.Sub(m.listedAt)
		d.Reason = belief + ", listed as " + string(m.State)
	}
	s.reportDecision(d)
}

// markWaveDirty makes the next save include the wave.
func (s *Scheduler) markWaveDirty(w *waveState) {
	if !w.dirty {
		w.dirty = true
		s.dirtyWaves = append(s.dirtyWaves, w)
	}
}

// flushWaves saves the progress of the waves that have changed.
func (s *Scheduler) flushWaves() {
	for _, w := range s.dirtyWaves {
		w.dirty = false
		p := job.WaveProgress{
			Done: slices.Sorted(maps.Keys(w.done)), Ordered: slices.Sorted(maps.Keys(w.orders)), Gone: slices.Sorted(maps.Keys(w.gone)),
		}
		s.emit(SaveWave{Sequence: s.saveSequence, Wave: w.Number, Progress: p})
	}
	s.dirtyWaves = nil
}

// completeWave publishes the wave as completed.
func (s *Scheduler) completeWave(now time.Time, w *waveState) {
	w.publishedState = job.WaveCompleted
	s.reportDecision(Decision{Kind: WaveChanged, Wave: w.Number, Reason: "completed", After: now.Sub(w.arrived)})
	s.emit(PublishWave{Wave: w.Number, Revision: w.Revision, State: job.WaveCompleted})
}
