package schedule

import (
	"time"

	"lavenderpond/core/job"
)

// unlistedPeriod is how long a machine of a wave may be missing from the list of machines before its
// maintenance is ordered all the same. A list may lag behind an arrival, and lose single entries.
const unlistedPeriod = 5 * time.Second

// trackListing notes since when the list lacks a machine of a wave. A machine that is listed again
// isn't gone.
func (s *Scheduler) trackListing(now time.Time, w *waveState, id job.MachineID, m *machineState) {
	switch {
	case m == nil && !w.gone[id] && w.askAt[id].IsZero():
		w.askAt[id] = now.Add(unlistedPeriod)
	case m != nil:
		delete(w.askAt, id)
		if w.gone[id] {
			delete(w.gone, id)
			s.markWaveDirty(w)
		}
	}
}

// maintainUnlisted orders the maintenance of machines that the list has lacked for long. The service
// says whether they exist.
func (s *Scheduler) maintainUnlisted(now time.Time, w *waveState, unlisted []job.MachineID, unattributed int) {
	for _, id := range unlisted {
		if len(w.orders)+unattributed >= max(1, w.MaxConcurrent) {
			return
		}
		if s.mayAskForUnlisted(now, w, id) {
			s.orderMaintenance(now, w, id)
		}
	}
}

// mayAskForUnlisted reports whether the maintenance of a machine that isn't listed may be ordered.
func (s *Scheduler) mayAskForUnlisted(now time.Time, w *waveState, id job.MachineID) bool {
	return !now.Before(w.askAt[id]) && s.mayOrderMachine(now, id) && !s.awaitsAnswer(id) && s.vmOfUnlisted(id) == nil
}

// awaitsAnswer reports whether an order for the maintenance of the machine awaits its answer, in any
// wave.
func (s *Scheduler) awaitsAnswer(id job.MachineID) bool {
	for _, w := range s.waves.All() {
		if o := w.orders[id]; o != nil && o.awaitingAnswer {
			return true
		}
	}
	return false
}

// vmOfUnlisted returns a VM on a machine that isn't listed, or nil. A VM that left the directory counts
// only while tasks may run there.
func (s *Scheduler) vmOfUnlisted(id job.MachineID) *vmState {
	for _, v := range s.vms.All() {
		mayRun := v.listed || !v.reported || v.runs.Len() > 0
		if v.machine == id && !v.lifeEnded && mayRun {
			return v
		}
	}
	return nil
}

// unlistedAnswered handles an answer of the service that it doesn't know the machine. A machine that
// the list contains isn't gone yet.
func (s *Scheduler) unlistedAnswered(now time.Time, w *waveState, id job.MachineID) {
	m := s.machines.Get(id)
	s.forgetOrder(w, id)
	if m != nil {
		m.retryAt = now.Add(rejectedOrderPause)
		m.maintenanceRefusals++
		return
	}
	s.reportWaveMachine(now, w, id, "gone: unknown to the service")
	w.gone[id] = true
	delete(w.askAt, id)
}
