package schedule

import (
	"time"

	"lavenderpond/core/job"
)

// maintenanceOrder is the order for the maintenance of a machine in a wave. It is kept until the
// maintenance is over, and stored, since the list of machines doesn't tell for which wave a machine is
// in maintenance. The machines' service executes the order once for each wave, however often it is
// sent.
type maintenanceOrder struct {
	// orderedAt is when the order was first given, or zero if a former owner gave it.
	orderedAt time.Time
	// vm is the VM that ran on the machine then.
	vm             job.VMID
	awaitingAnswer bool
	// begunAt is when the maintenance had certainly begun, or zero if that isn't known.
	begunAt time.Time
	// uncertain is set if an earlier attempt may have been executed, or may still be.
	uncertain bool
	// refusedAt is when the last attempt was refused, and retryAt when the next may be made.
	refusedAt, retryAt time.Time
}

// addOrder adds the order for a machine of a wave.
func (s *Scheduler) addOrder(w *waveState, id job.MachineID, o *maintenanceOrder) {
	w.orders[id] = o
	s.maintenanceOrders[id]++
}

// forgetOrder forgets the order for a machine of a wave, if there is one.
func (s *Scheduler) forgetOrder(w *waveState, id job.MachineID) {
	if w.orders[id] == nil {
		return
	}
	delete(w.orders, id)
	s.markWaveDirty(w)
	if s.maintenanceOrders[id]--; s.maintenanceOrders[id] == 0 {
		delete(s.maintenanceOrders, id)
	}
}

// inMaintenance reports whether the machine is in maintenance for a wave, or may be.
func (s *Scheduler) inMaintenance(id job.MachineID) bool { return s.maintenanceOrders[id] > 0 }

// sendMaintenance sends an order, once the wave's progress with it is stored.
func (s *Scheduler) sendMaintenance(now time.Time, w *waveState, m *machineState, o *maintenanceOrder) {
	o.vm, o.awaitingAnswer = m.VM, true
	s.orderMachine(now, m.ID, Maintain{Machine: m.ID, Wave: w.Number})
}

// advanceOrder completes the maintenance of a machine that is back, and repeats an order whose outcome
// isn't known.
func (s *Scheduler) advanceOrder(now time.Time, w *waveState, m *machineState, o *maintenanceOrder) {
	switch {
	case o.awaitingAnswer:
	case !o.begunAt.IsZero():
		// A list that was requested before the maintenance began may show the machine as up.
		if m.State == job.MachineUp && m.listedAt.After(o.begunAt) {
			s.reportWaveMachine(now, w, m.ID, "done: listed as up after the maintenance began")
			w.done[m.ID] = true
			s.forgetOrder(w, m.ID)
		}
	case m.State == job.MachineMaintenance && m.listedAt.After(o.orderedAt) && s.maintenanceOrders[m.ID] == 1:
		s.reportWaveMachine(now, w, m.ID, "begun: listed in maintenance")
		s.maintenanceBegan(now, o, m.listedAt)
	default:
		s.repeatMaintenance(now, w, m, o)
	}
}

// repeatMaintenance sends an order again if the machine is up and empty.
func (s *Scheduler) repeatMaintenance(now time.Time, w *waveState, m *machineState, o *maintenanceOrder) {
	listed := m.State == job.MachineUp && m.listedAt.After(o.refusedAt)
	if !listed || now.Before(o.retryAt) || s.vmUnknown(m) || !s.emptied(now, m) {
		return
	}
	if s.mayOrderMachine(now, m.ID) && !s.ordersMachine(m.ID) {
		s.sendMaintenance(now, w, m, o)
	}
}

// ordersMachine reports whether an order for the maintenance of the machine awaits its answer, or the
// maintenance has begun, in any wave.
func (s *Scheduler) ordersMachine(id job.MachineID) bool {
	for _, w := range s.waves.All() {
		if o := w.orders[id]; o != nil && (o.awaitingAnswer || !o.begunAt.IsZero()) {
			return true
		}
	}
	return false
}

// maintenanceBegan records that the maintenance has begun, which ended the VM of the machine.
func (s *Scheduler) maintenanceBegan(now time.Time, o *maintenanceOrder, at time.Time) {
	o.begunAt = at
	if v := s.vms.Get(o.vm); v != nil {
		s.endLife(now, v, "machine is in upkeep")
	}
}

// MaintainAnswered handles the outcome of an order for maintenance.
func (s *Scheduler) MaintainAnswered(now time.Time, c Maintain, outcome Outcome, refusal job.MachineRefusal) {
	m, w := s.machines.Get(c.Machine), s.waves.Get(c.Wave)
	if m == nil || w == nil || w.orders[c.Machine] == nil {
		return
	}
	o := w.orders[c.Machine]
	o.awaitingAnswer = false
	switch {
	case outcome == Answered && refusal == job.MachineAccepted:
		s.reportDecision(Decision{Kind: MachineMaintained, Wave: w.Number, Machine: m.ID, VM: o.vm})
		s.maintenanceBegan(now, o, now)
	case outcome == Answered && refusal == job.MachineOtherWave:
		s.reportWaveMachine(now, w, m.ID, "done: refused as not of the wave")
		w.done[m.ID] = true
		s.forgetOrder(w, m.ID)
	case outcome == Unanswered:
		// The order may be executed later, so it is repeated until its outcome is known.
		o.uncertain = true
		o.retryAt = now.Add(machineRetryDelay)
	case o.uncertain:
		o.refusedAt, o.retryAt = now, now.Add(machineRetryPause(outcome))
	default:
		s.forgetOrder(w, m.ID)
		m.retryAt = now.Add(machineRetryPause(outcome))
		if outcome == Answered || outcome == Rejected {
			m.maintenanceRefusals++
		}
	}
}
