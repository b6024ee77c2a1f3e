package schedule

import (
	"time"

	"lavenderpond/core/job"
)

// maintenanceOrder is the order for the maintenance of a machine in a wave. It is kept until the
// maintenance is over, and stored, since the list of machines doesn't tell for which wave a machine is
// in maintenance. The machines' service executes the order once for each wave, however often it is
// sent. Only its answer tells that the maintenance has begun: the list may lag.
type maintenanceOrder struct {
	// vm is the VM that ran on the machine when the order was last sent.
	vm             job.VMID
	awaitingAnswer bool
	// begunAt is when the maintenance had certainly begun, or zero if that isn't known.
	begunAt time.Time
	// uncertain is set if an earlier attempt may have been executed, or may still be.
	uncertain bool
	// refusedAt is when the last attempt was refused, and retryAt when the next may be made.
	refusedAt, retryAt time.Time
}

// machineListLagMax is how much older than its request a list of machines may be.
const machineListLagMax = 3 * time.Second

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

// orderMaintenance orders the maintenance of a machine that has no order in the wave.
func (s *Scheduler) orderMaintenance(now time.Time, w *waveState, id job.MachineID) {
	o := &maintenanceOrder{}
	s.addOrder(w, id, o)
	s.markWaveDirty(w)
	if m := s.machines.Get(id); m != nil {
		m.awayUntil = time.Time{}
	}
	s.sendMaintenance(now, w, id, o)
}

// sendMaintenance sends an order, once the wave's progress with it is stored.
func (s *Scheduler) sendMaintenance(now time.Time, w *waveState, id job.MachineID, o *maintenanceOrder) {
	o.vm, o.awaitingAnswer = "", true
	if m := s.machines.Get(id); m != nil {
		o.vm = m.VM
	}
	s.orderMachine(now, id, Maintain{Machine: id, Wave: w.Number})
}

// advanceOrder completes the maintenance of a machine that is back, and repeats an order whose outcome
// isn't known. m is nil if the machine isn't listed.
func (a *relocations) advanceOrder(w *waveState, id job.MachineID, m *machineState, o *maintenanceOrder) {
	s, now := a.s, a.now
	switch {
	case o.awaitingAnswer:
	case m == nil:
		if !now.Before(o.retryAt) && s.mayAskForUnlisted(now, w, id) {
			w.askAt[id] = now.Add(unlistedPeriod)
			s.sendMaintenance(now, w, id, o)
		}
	case o.begunAt.IsZero():
		a.repeatMaintenance(w, m, o)
	case s.back(m, o):
		s.reportWaveMachine(now, w, id, "done: back after its maintenance began")
		w.done[id] = true
		s.forgetOrder(w, id)
	}
}

// back reports whether a machine is up after its maintenance. The list may lag: it must show a VM that
// the directory has listed only since the maintenance began, or have shown a machine without VM as away,
// or have had the time to catch up.
func (s *Scheduler) back(m *machineState, o *maintenanceOrder) bool {
	if m.State != job.MachineUp || !m.listedAt.After(o.begunAt) {
		return false
	}
	if !m.listedAt.Before(o.begunAt.Add(machineListLagMax)) {
		return true
	}
	if m.VM == "" {
		return m.listedAwayAt.After(o.begunAt)
	}
	v := s.vms.Get(m.VM)
	return v != nil && v.listed && v.firstListedAt.After(o.begunAt)
}

// repeatMaintenance sends an order again if the machine is up and empty.
func (a *relocations) repeatMaintenance(w *waveState, m *machineState, o *maintenanceOrder) {
	s, now := a.s, a.now
	listed := m.State == job.MachineUp && m.listedAt.After(o.refusedAt)
	if !listed || now.Before(o.retryAt) || s.vmUnknown(m) {
		return
	}
	plan, _ := a.findObstacle(w, m)
	mayOrder := s.mayOrderMachine(now, m.ID) && !s.ordersMachine(m.ID)
	if a.empty(m, plan, mayOrder) && mayOrder {
		s.sendMaintenance(now, w, m.ID, o)
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

// maintenanceBegan records that the maintenance has begun, which ended the VM of the machine. If an
// earlier attempt may have been executed, the VM that runs now may have booted after the maintenance.
func (s *Scheduler) maintenanceBegan(now time.Time, o *maintenanceOrder) {
	o.begunAt = now
	if v := s.vms.Get(o.vm); v != nil && !o.uncertain {
		s.endLife(now, v, "machine is in upkeep")
	}
}

// MaintainAnswered handles the outcome of an order for maintenance.
func (s *Scheduler) MaintainAnswered(now time.Time, c Maintain, outcome Outcome, refusal job.MachineRefusal) {
	w := s.waves.Get(c.Wave)
	if w == nil || w.orders[c.Machine] == nil {
		return
	}
	o := w.orders[c.Machine]
	o.awaitingAnswer = false
	switch {
	case outcome == Answered && refusal == job.MachineAccepted:
		s.reportDecision(Decision{Kind: MachineMaintained, Wave: w.Number, Machine: c.Machine, VM: o.vm})
		s.maintenanceBegan(now, o)
	case outcome == Answered && refusal == job.MachineUnknown:
		s.unlistedAnswered(now, w, c.Machine)
	case outcome == Unanswered:
		// The order may be executed later, so it is repeated until its outcome is known.
		o.uncertain = true
		o.retryAt = now.Add(machineRetryDelay)
	case !o.begunAt.IsZero():
		// The machine is away for its maintenance: only its return or its removal ends the order.
		o.retryAt = now.Add(machineRetryPause(outcome))
	case o.uncertain && refusal != job.MachineOtherWave:
		o.refusedAt, o.retryAt = now, now.Add(machineRetryPause(outcome))
	default:
		s.maintenanceRefused(now, w, c.Machine, outcome, refusal)
	}
}

// maintenanceRefused handles an order of which no attempt was or will be executed. The service refuses
// a machine as not of the wave if it knows another definition of the wave than this owner.
func (s *Scheduler) maintenanceRefused(now time.Time, w *waveState, id job.MachineID, outcome Outcome, refusal job.MachineRefusal) {
	s.forgetOrder(w, id)
	pause := machineRetryPause(outcome)
	if refusal == job.MachineOtherWave {
		s.reportWaveMachine(now, w, id, "refused as not of the wave")
		pause = rejectedOrderPause
	}
	m := s.machines.Get(id)
	if m == nil {
		w.askAt[id] = now.Add(pause)
		return
	}
	m.retryAt, m.awayUntil = now.Add(pause), time.Time{}
	if outcome == Answered || outcome == Rejected {
		m.maintenanceRefusals++
	}
}
