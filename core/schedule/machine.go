package schedule

import (
	"slices"
	"time"

	"lavenderpond/core/job"
)

// machineState is a machine as the platform lists it, with the state of its latest order.
type machineState struct {
	job.Machine
	// listedAt is when the machine list that showed this state was requested.
	listedAt time.Time
	// listedAwayAt is when the latest list was requested that showed the machine as not up.
	listedAwayAt time.Time
	// answeredAt is when the last move was answered.
	answeredAt time.Time
	// awaitingAnswer is set while a move has no answer yet. moveUncertain is set if an earlier attempt
	// of the move got none, so that it may have been executed or may still be.
	awaitingAnswer, moveUncertain bool
	// orderedVM is the VM that ran on the machine when the move was ordered.
	orderedVM job.VMID
	// retryAt is when an order that got no answer or was refused may be given again.
	retryAt time.Time
	// maintenanceRefusals counts the refused orders for its maintenance. Machines with fewer come
	// first, so that those with refusals don't keep the others waiting.
	maintenanceRefusals int
	// obstacle says why the machine can't be emptied for a wave, as of obstacleUntil less obstaclePeriod.
	// It is empty if it can. lacksRoom is set if it can once its pool has more room.
	obstacle      string
	lacksRoom     bool
	obstacleUntil time.Time
	// awayUntil is until when tasks that have stopped for the machine's maintenance don't start there
	// again.
	awayUntil time.Time
	// offeredVM is the machine's VM that is kept until offeredUntil for long-running tasks that wait.
	offeredVM    job.VMID
	offeredUntil time.Time
	// movingTo is the pool that the machine is moving to; empty if it stays.
	movingTo job.PoolName
}

// MachinesListed applies a list of machines that was requested at requestedAt.
func (s *Scheduler) MachinesListed(requestedAt time.Time, list []job.Machine) {
	present := map[job.MachineID]bool{}
	for _, m := range list {
		present[m.ID] = true
		x := s.machines.Get(m.ID)
		if x == nil {
			x = &machineState{}
			s.machines.Set(m.ID, x)
		}
		if x.State != m.State || x.VM != m.VM {
			s.reportDecision(Decision{Kind: MachineSeen, Machine: m.ID, VM: m.VM, Reason: string(m.State)})
		}
		x.Machine, x.listedAt = m, requestedAt
		if m.State != job.MachineUp {
			x.listedAwayAt = requestedAt
		}
		if v := s.vms.Get(m.VM); v != nil {
			v.machine = m.ID
		}
	}
	for id, m := range s.machines.All() {
		if !present[id] {
			s.reportDecision(Decision{Kind: MachineUnlisted, Machine: id, VM: m.VM, Reason: string(m.State), Age: requestedAt.Sub(m.listedAt)})
			s.cancelDeparture(m)
			s.machines.Delete(id)
		}
	}
	for _, v := range s.vms.All() {
		s.setMachine(v, v.machine)
		s.endReplacedLife(requestedAt, v)
	}
}

// endReplacedLife frees the runs of a VM whose machine is listed with a VM that booted later
// under another ID. A machine hosts one VM at a time, so the older one is gone. After a crash
// this frees the tasks seconds before the lease of the older VM expires.
func (s *Scheduler) endReplacedLife(requestedAt time.Time, v *vmState) {
	m := v.host
	if m == nil || m.VM == "" || m.VM == v.id || !v.firstListedAt.Before(requestedAt) {
		return
	}
	// The list lags and may show the VM that the machine hosted before this one. The directory
	// tells which of the two booted later.
	if other := s.vms.Get(m.VM); other == nil || !other.listed || other.born <= v.born {
		return
	}
	s.endLife(requestedAt, v, "machine runs a newer VM life")
}

// endLife handles a VM that has certainly crashed or been shut down. It releases the planned
// runs, and frees those that the VM had confirmed or that are known only from a record.
func (s *Scheduler) endLife(now time.Time, v *vmState, reason string) {
	v.inheritedUntil = time.Time{}
	v.lifeEnded = true
	s.countExpiredRunCrashes(now, v)
	var ended []*run
	for _, r := range v.runs.All() {
		if r.phase == runPlanned {
			s.release(now, r)
		} else if r.onlyRecorded() || (r.phase == runConfirmed && r.confirmedAt.Before(now)) {
			ended = append(ended, r)
		}
	}
	for _, r := range ended {
		s.countCrash(now, r)
	}
	for _, r := range ended {
		s.freeWithUnknownEnd(now, r, reason)
	}
}

// mayOrderMachine reports whether the owner may order the machine: a former owner's order for
// it must be long enough ago.
func (s *Scheduler) mayOrderMachine(now time.Time, id job.MachineID) bool {
	if !s.rights.OrderMachines {
		return false
	}
	o := s.recentOrders.Get(id)
	return o.issuer == "" || o.issuer == s.settings.OrderIssuer || now.After(o.givenAt.Add(s.settings.MachineLease+formerOrderSlack))
}

// pendingOrder is an order for a machine. It is held back until it is stored that the machine
// has an order, since the next owner must know which machines it must not order.
type pendingOrder struct {
	saveSequence int64
	machine      job.MachineID
	command      Command
}

// recentOrder is an order that was given to a machine recently.
type recentOrder struct {
	issuer string
	// givenAt is when the order was given. If a former owner gave it, it is the time of the first
	// takeover since.
	givenAt time.Time
	// inherited is set if a former owner gave the order.
	inherited bool
}

// inheritOrder adds an order of a former owner, which sent nothing after this takeover. Until when
// it may have sent the order is stored, so that the wait doesn't begin anew with each owner.
func (s *Scheduler) inheritOrder(o MachineOrder) {
	r := recentOrder{issuer: o.Issuer, givenAt: s.settings.TakeoverTime, inherited: true}
	if o.SentBefore.IsZero() {
		s.dirtyOrders = append(s.dirtyOrders, o.Machine)
	} else if o.SentBefore.Before(r.givenAt) {
		r.givenAt = o.SentBefore
	}
	s.recentOrders.Set(o.Machine, r)
}

// stored returns the order as the next owner needs it. An order of this owner is stored before it
// is sent, so the next owner counts from its takeover.
func (o recentOrder) stored(id job.MachineID) MachineOrder {
	m := MachineOrder{Machine: id, Issuer: o.issuer}
	if o.inherited {
		m.SentBefore = o.givenAt
	}
	return m
}

// recentOrderPeriod is how long an order counts as recent. The next owner may order the machine
// immediately after that, so the period covers everything that it would otherwise wait for. It is
// no longer than that: a new owner can't move machines with a recent order, and on a fleet
// whose queues burst one after the other, most machines are given one within eight seconds.
func (s *Scheduler) recentOrderPeriod() time.Duration {
	return s.settings.MachineLease + formerOrderSlack + sendDelayMax
}

// sendDelayMax is the longest delay between giving an order and sending it that
// recentOrderPeriod allows for.
const sendDelayMax = 500 * time.Millisecond

// orderMachine sends an order as soon as it is stored that the machine has one.
func (s *Scheduler) orderMachine(now time.Time, id job.MachineID, c Command) {
	s.pruneOrders(now)
	s.recentOrders.Set(id, recentOrder{issuer: s.settings.OrderIssuer, givenAt: now})
	s.dirtyOrders = append(s.dirtyOrders, id)
	s.pendingOrders = append(s.pendingOrders, pendingOrder{saveSequence: s.nextSaveSequence(), machine: id, command: c})
}

// pruneOrdersInterval is how often machine orders that are no longer recent are removed.
const pruneOrdersInterval = time.Second

// pruneOrders removes machine orders that are no longer recent. An order that waits for its save may
// still be sent.
func (s *Scheduler) pruneOrders(now time.Time) {
	if now.Before(s.nextPruneOrders) {
		return
	}
	s.nextPruneOrders = now.Add(pruneOrdersInterval)
	for id, o := range s.recentOrders.All() {
		if now.Sub(o.givenAt) > s.recentOrderPeriod() && !s.orderPending(id) {
			s.recentOrders.Delete(id)
			s.dirtyOrders = append(s.dirtyOrders, id)
		}
	}
}

// orderPending reports whether an order for the machine waits for its save.
func (s *Scheduler) orderPending(id job.MachineID) bool {
	return slices.ContainsFunc(s.pendingOrders, func(o pendingOrder) bool { return o.machine == id })
}

// sendPendingOrders sends the orders whose saves are stored. An order for a machine on which a
// task has begun in the meantime counts as refused.
func (s *Scheduler) sendPendingOrders(now time.Time) {
	s.pendingOrders = slices.DeleteFunc(s.pendingOrders, func(o pendingOrder) bool {
		if o.saveSequence > s.storedSequence {
			return false
		}
		if s.rights.OrderMachines && s.nothingRunsOn(o.machine) && !s.movesUnlisted(o) {
			// The order's age counts from its sending and not from the decision: when the table
			// is slow, seconds lie between them.
			s.recentOrders.Set(o.machine, recentOrder{issuer: s.settings.OrderIssuer, givenAt: now})
			s.emit(o.command)
			return true
		}
		s.withdrawOrder(now, o.command)
		return true
	})
}

// movesUnlisted reports whether the order is a move of a machine that isn't listed any more. Its VM may
// get tasks again.
func (s *Scheduler) movesUnlisted(o pendingOrder) bool {
	_, move := o.command.(Move)
	return move && s.machines.Get(o.machine) == nil
}

// nothingRunsOn reports whether no task is known to run on a machine. The list may lag and show the VM
// that the machine hosted before one that the directory knows.
func (s *Scheduler) nothingRunsOn(id job.MachineID) bool {
	for _, v := range s.vms.All() {
		if v.machine == id && v.runs.Len() > 0 && !v.lifeEnded {
			return false
		}
	}
	return true
}

// withdrawOrder handles an order for a machine that isn't sent after all.
func (s *Scheduler) withdrawOrder(now time.Time, c Command) {
	switch c := c.(type) {
	case Move:
		s.MoveAnswered(now, c, NotDone, job.MachineAccepted)
	case Maintain:
		s.MaintainAnswered(now, c, NotDone, job.MachineAccepted)
	}
}

// formerOrderSlack covers orders that a former owner sent while it still had the right to.
const formerOrderSlack = 1500 * time.Millisecond
