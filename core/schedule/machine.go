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
	// awaitingAnswer is set while an order has no answer yet, refused if it was refused.
	awaitingAnswer bool
	refused        bool
	// orderedVM is the VM that lived on the machine when the order was sent.
	orderedVM job.VMID
	// retryAt is when an order without an answer, or one refused, may be given again.
	retryAt time.Time
	// movingTo is the pool that the machine is on its way to; empty if it stays.
	movingTo job.PoolName
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
		s.setMachine(v, v.machine)
		s.endReplacedLife(asked, v)
	}
}

// endReplacedLife frees what ran on a VM whose machine is listed with a newer
// life: a machine has one life at a time. This frees the tasks of a VM that
// crashed seconds before its lease would.
func (s *Scheduler) endReplacedLife(asked time.Time, v *vmState) {
	m := v.host
	if m == nil || m.VM == "" || m.VM == v.id || !v.firstSeen.Before(asked) {
		return
	}
	// The list lags: it may show the life before this one. The directory knows which of
	// them is newer.
	if other := s.vms.Get(m.VM); other == nil || !other.listed || other.born <= v.born {
		return
	}
	s.endLife(asked, v, "its machine has a newer life")
}

// endLife takes in a proof that a VM's life has ended.
func (s *Scheduler) endLife(now time.Time, v *vmState, why string) {
	v.inheritedUntil = time.Time{}
	v.over = true
	s.crashedUnderLapsed(now, v)
	var ended []*run
	for _, r := range v.runs.All() {
		if r.phase == runPlanned {
			s.release(now, r)
		} else if r.unseen() || (r.phase == runConfirmed && r.confirmedAt.Before(now)) {
			ended = append(ended, r)
		}
	}
	for _, r := range ended {
		s.crashedUnder(now, r)
	}
	for _, r := range ended {
		s.freeUnseen(now, r, why)
	}
}

// mayOrderMachine tells whether a former owner's order for the machine is long
// enough ago.
func (s *Scheduler) mayOrderMachine(now time.Time, id job.MachineID) bool {
	if !s.rights.Order {
		return false
	}
	o := s.recentOrders.Get(id)
	return o.holder == "" || o.holder == s.settings.Holder || now.After(o.at.Add(s.settings.MachineLease+formerOrderSlack))
}

// pendingOrder is an order for a machine that waits until it is stored that the
// machine has one: the next owner must know which machines to leave alone.
type pendingOrder struct {
	saveSequence int64
	machine      job.MachineID
	command      Command
}

// recentOrder is an order that was given to a machine not long ago.
type recentOrder struct {
	holder string
	// at is when it was given, or if a former owner gave it the take-over.
	at time.Time
}

// recentOrderPeriod is how long an order counts as one of late. The next owner may order the
// machine at once after that, so it covers all for which it waits else, and not more: a
// new owner can't move machines with an order of late, and on a fleet whose queues burst
// in turn most have one within eight seconds.
func (s *Scheduler) recentOrderPeriod() time.Duration {
	return s.settings.MachineLease + formerOrderSlack + sendDelayMax
}

// sendDelayMax covers an order that takes long to be sent.
const sendDelayMax = 500 * time.Millisecond

// orderMachine sends an order once it is stored that the machine has one.
func (s *Scheduler) orderMachine(now time.Time, id job.MachineID, c Command) {
	s.pruneOrders(now)
	s.recentOrders.Set(id, recentOrder{holder: s.settings.Holder, at: now})
	s.dirtyOrders = append(s.dirtyOrders, id)
	s.pendingOrders = append(s.pendingOrders, pendingOrder{saveSequence: s.nextSaveSequence(), machine: id, command: c})
}

// pruneOrdersInterval is how often machine orders are looked through for those that are
// long ago.
const pruneOrdersInterval = time.Second

// pruneOrders forgets the orders that are long ago.
func (s *Scheduler) pruneOrders(now time.Time) {
	if now.Before(s.nextPruneOrders) {
		return
	}
	s.nextPruneOrders = now.Add(pruneOrdersInterval)
	for id, o := range s.recentOrders.All() {
		if now.Sub(o.at) > s.recentOrderPeriod() {
			s.recentOrders.Delete(id)
			s.dirtyOrders = append(s.dirtyOrders, id)
		}
	}
}

// sendPendingOrders sends the orders whose saves are stored. One for a machine on which
// something has begun since counts as refused.
func (s *Scheduler) sendPendingOrders(now time.Time) {
	s.pendingOrders = slices.DeleteFunc(s.pendingOrders, func(o pendingOrder) bool {
		if o.saveSequence > s.storedSequence {
			return false
		}
		m := s.machines.Get(o.machine)
		if m == nil {
			return true
		}
		v := s.vms.Get(m.VM)
		if s.rights.Order && (v == nil || v.runs.Len() == 0) {
			// The order is as old as its sending, not as its decision: in a slow table
			// seconds lie between.
			s.recentOrders.Set(o.machine, recentOrder{holder: s.settings.Holder, at: now})
			s.emit(o.command)
			return true
		}
		switch c := o.command.(type) {
		case Move:
			s.MoveAnswered(now, c, NotDone, job.MachineAccepted)
		case Upkeep:
			s.UpkeepAnswered(now, c, NotDone, job.MachineAccepted)
		}
		return true
	})
}

// formerOrderSlack covers orders that a former owner sent while its right lasted.
const formerOrderSlack = 1500 * time.Millisecond
