package schedule

import (
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
	// waiting is set while an order has no answer yet, refused if it was refused.
	waiting bool
	refused bool
	// before is the VM that lived on the machine when the order was sent.
	before job.VMID
	// retry is when an order without an answer, or one refused, may be given again.
	retry time.Time
	// to is the pool that the machine is on its way to; empty if it stays.
	to job.PoolName
}

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
			s.decided(Decision{Kind: MachineSeen, VM: m.VM, Reason: string(m.ID) + " " + string(m.State)})
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
		s.setMachine(v, v.machine)
		s.compareMachine(asked, v)
	}
}

// compareMachine frees what ran on a VM whose machine is listed with a newer
// life: a machine has one life at a time. This frees the tasks of a VM that
// crashed seconds before its lease would.
func (s *Scheduler) compareMachine(asked time.Time, v *vmState) {
	m := v.host
	if m == nil || m.VM == "" || m.VM == v.id || !v.firstSeen.Before(asked) {
		return
	}
	// The list lags: it may show the life before this one. The directory knows which of
	// them is newer.
	if other := s.vms.Get(m.VM); other == nil || !other.listed || other.born <= v.born {
		return
	}
	s.lifeOver(asked, v, "its machine has a newer life")
}

// lifeOver takes in a proof that a VM's life has ended.
func (s *Scheduler) lifeOver(now time.Time, v *vmState, why string) {
	v.inheritedUntil = time.Time{}
	v.lifeEnded = true
	s.countLapsedCrashes(now, v)
	var over []*run
	for _, r := range v.runs.All() {
		if r.phase == runPlanned {
			s.release(now, r)
		} else if r.onlyRecorded() || (r.phase == runConfirmed && r.confirmedAt.Before(now)) {
			over = append(over, r)
		}
	}
	for _, r := range over {
		s.countCrash(now, r)
	}
	for _, r := range over {
		s.freeWithUnknownEnd(now, r, why)
	}
}

// mayOrderMachine tells whether a former owner's order for the machine is long
// enough ago.
func (s *Scheduler) mayOrderMachine(now time.Time, id job.MachineID) bool {
	if !s.rights.Order {
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

// recentPeriod is how long an order counts as one of late. The next owner may order the
// machine at once after that, so it covers all for which it waits else, and not more: a
// new owner can't move machines with an order of late, and on a fleet whose queues burst
// in turn most have one within eight seconds.
func (s *Scheduler) recentPeriod() time.Duration {
	return s.settings.MachineLease + machineSlack + onItsWay
}

// onItsWay covers an order that takes long to be sent.
const onItsWay = 500 * time.Millisecond

// orderMachine sends an order once it is stored that the machine has one.
func (s *Scheduler) orderMachine(now time.Time, id job.MachineID, c Command) {
	s.pruneOrders(now)
	s.recent.Set(id, recentOrder{holder: s.settings.Holder, at: now})
	s.dirtyOrders = append(s.dirtyOrders, id)
	s.held = append(s.held, heldOrder{after: s.nextSave(), machine: id, command: c})
}

// pruneOrdersEvery is how often machine orders are looked through for those that are
// long ago.
const pruneOrdersEvery = time.Second

// pruneOrders forgets the orders that are long ago.
func (s *Scheduler) pruneOrders(now time.Time) {
	if now.Before(s.pruneOrdersAt) {
		return
	}
	s.pruneOrdersAt = now.Add(pruneOrdersEvery)
	for id, o := range s.recent.All() {
		if now.Sub(o.at) > s.recentPeriod() {
			s.recent.Delete(id)
			s.dirtyOrders = append(s.dirtyOrders, id)
		}
	}
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
		if s.rights.Order && (v == nil || v.runs.Len() == 0) {
			// The order is as old as its sending, not as its decision: in a slow table
			// seconds lie between.
			s.recent.Set(h.machine, recentOrder{holder: s.settings.Holder, at: now})
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
