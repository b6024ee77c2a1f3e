package schedule

import (
	"fmt"
	"strings"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/lease"
)

const (
	// startWithin is how long after its sending a start may begin. It is short so
	// that an order that is carried out late is refused, and long against the
	// round trip to a slow VM.
	startWithin = 600 * time.Millisecond
	// stopRetry is the pause before a stop without an effect is repeated.
	stopRetry = 600 * time.Millisecond
	// clockSlack covers readings of VM clocks in whole milliseconds.
	clockSlack job.VMClock = 5
	// suspicion is how long a VM gets no new tasks after it left one unanswered.
	suspicion = time.Second
	// forgetAfter is how long a VM that isn't listed is still remembered.
	forgetAfter = 3 * time.Second
)

// lateOrder is how long after its sending an order without an answer may still be
// carried out. A VM that crashes and lives anew under its ID starts its clock
// anew, so that the start's deadline doesn't hold the order back there.
const lateOrder = 13 * time.Second

// rackMark is what the labels of racks begin with.
const rackMark = "r"

func (s *Scheduler) vm(id job.VMID) *vmState {
	v := s.vms.Get(id)
	if v == nil {
		v = &vmState{id: id, labels: map[job.Label]bool{}, fence: s.fence}
		s.vms.Set(id, v)
	}
	return v
}

// VMSeen takes in a VM's entry in the directory.
func (s *Scheduler) VMSeen(now time.Time, e job.VMEntry) {
	v := s.vm(e.ID)
	if v.firstSeen.IsZero() {
		s.decided(Decision{What: VMFound, VM: e.ID, Reason: string(e.Pool)})
		v.nextHold, v.firstSeen, v.idleSince = now, now, now
	}
	if e.Born != 0 && v.born != 0 && e.Born > v.born {
		s.reborn(now, v, e.Born)
	}
	v.listed, v.address, v.pool, v.zone = true, e.Address, e.Pool, e.Zone
	if e.Room != v.room || e.Born != v.entryBorn {
		v.fullUntil, v.refusals = time.Time{}, 0
	}
	v.room, v.entryBorn = e.Room, e.Born
	v.evacuated = s.evacuatedZones.has(v.zone)
	if e.Machine != "" {
		s.setMachine(v, e.Machine)
	}
	if v.born == 0 {
		v.born = e.Born
	}
	s.enroll(v)
	v.setLabels(e.Labels)
	if e.Draining && !v.draining {
		s.decided(Decision{What: VMDraining, VM: v.id, Reason: e.LeavesIn.String()})
	}
	v.draining = e.Draining
}

// DirectoryRead notes that all changes of the directory are known that were made before
// asOf.
func (s *Scheduler) DirectoryRead(asOf time.Time) { s.directoryAsOf = asOf }

// shrinkMargin covers a start that was sent by an old reading: on its way it may still be
// carried out for startWithin, on a slow clock for longer.
const shrinkMargin = time.Second

// roomKnown tells whether the VM's capacity is known well enough for a start. VMs that
// refuse what doesn't fit look after it themselves.
func (s *Scheduler) roomKnown(now time.Time, v *vmState) bool {
	within := s.settings.ShrinkNotice
	if within == 0 || now.Sub(s.directoryAsOf) < within-shrinkMargin {
		return true
	}
	p := s.config.Pool(v.pool)
	return p != nil && p.Guarded
}

// setMachine notes which machine the VM lives on.
func (s *Scheduler) setMachine(v *vmState, id job.MachineID) {
	v.machine, v.host = id, s.machines.Get(id)
}

// enroll puts the VM into the roster, if that says something else of it; no task
// starts there before it is stored.
func (s *Scheduler) enroll(v *vmState) {
	r := RosterVM{ID: v.id, Address: v.address, Pool: v.pool, Born: v.born, Machine: v.machine}
	if r == v.rostered {
		return
	}
	v.rostered = r
	v.inRoster = s.nextSaveSequence()
	s.dirtyVMs = append(s.dirtyVMs, v.id)
}

func (v *vmState) setLabels(labels []job.Label) {
	clear(v.labels)
	for _, l := range labels {
		v.labels[l] = true
		if strings.HasPrefix(string(l), rackMark) && strings.ContainsAny(string(l), "0123456789") {
			v.rack = l
		}
	}
}

// VMUnlisted notes that a VM's entry is gone. That is no proof that it runs
// nothing: only its lease is.
func (s *Scheduler) VMUnlisted(now time.Time, id job.VMID) {
	v := s.vms.Get(id)
	if v == nil || !v.listed {
		return
	}
	v.listed, v.unlistedAt = false, now
	s.decided(Decision{What: VMGone, VM: id})
}

// VMs returns the IDs of the VMs that are listed now.
func (s *Scheduler) VMs() []job.VMID {
	var out []job.VMID
	for id, v := range s.vms.All() {
		if v.listed {
			out = append(out, id)
		}
	}
	return out
}

// Location returns where a VM takes orders, and its availability zone.
func (s *Scheduler) Location(id job.VMID) (address string, zone job.ZoneName) {
	if v := s.vms.Get(id); v != nil {
		return v.address, v.zone
	}
	return "", ""
}

// VMCount returns the number of VMs that are known.
func (s *Scheduler) VMCount() int { return s.vms.Len() }

// reborn takes in that a VM has crashed and lives anew under the same ID: what
// ran is gone, and its clock and numbers start anew. Starts without an answer
// may still arrive and be carried out by the new life, whose clock is behind
// their deadline; they are stopped by name before their tasks go elsewhere.
func (s *Scheduler) reborn(now time.Time, v *vmState, born job.Born) {
	s.decided(Decision{What: VMReborn, VM: v.id, Reason: fmt.Sprintf("%d ends of the former life are noted", v.noted)})
	v.born, v.fence = born, s.fence
	v.clock, v.leaseEnd = lease.Clock{}, 0
	v.seen, v.noted, v.unsure, v.listClock = 0, 0, nil, 0
	v.heldOnce, v.nextHold = false, now
	s.enroll(v)
	for _, r := range v.lost {
		if now.Sub(r.orderedAt) < lateOrder {
			s.emit(v.stop(r))
		}
	}
	v.lost = nil
	s.crashedUnderLapsed(now, v)
	for _, r := range v.runs.All() {
		if r.phase != runPlanned && !r.begunAnew() {
			s.crashedUnder(now, r)
		}
	}
	for _, r := range v.runs.All() {
		if r.phase == runPlanned {
			continue
		}
		r.stopClock = 0
		if r.phase == runConfirmed && !r.begunAnew() {
			s.freeUnseen(now, r, "VM lives anew")
			continue
		}
		r.enter(runUnanswered)
		r.confirmedClock = 0
		s.stop(now, r, "VM lives anew")
	}
}

// usable tells whether new tasks may start on the VM.
func (s *Scheduler) usable(now time.Time, v *vmState) bool {
	paused := v.doubtful || v.slow(now) || now.Before(v.suspect) || now.Before(v.fullUntil)
	return v.takesTasks() && !v.cordoned && !paused && v.inRoster <= s.storedSequence && v.strays == 0 && v.trials == 0 && s.roomKnown(now, v)
}

// free returns the room that nothing has taken. It is negative after the VM's capacity
// has shrunk below what runs there.
func (v *vmState) free() job.Room { return v.room.Minus(v.used) }

// overfull tells whether what is booked on the VM exceeds its capacity, or may do so.
func (v *vmState) overfull() bool { return v.strays > 0 || !(job.Room{}).Fits(v.free()) }

// takesTasks tells whether the VM is there for tasks, as far as is known.
func (v *vmState) takesTasks() bool {
	return v.described() && !v.draining && !v.evacuated && v.heldOnce && !v.silent && v.clock.Known()
}

// described tells whether the directory lists the VM's present life. Another life may be
// of another kind: its capacity and labels aren't known before its entry is there.
func (v *vmState) described() bool { return v.listed && v.entryBorn >= v.born }

// leaseOver tells whether the lease of a silent VM is over for certain.
func (v *vmState) leaseOver(now time.Time) bool {
	if !v.clock.Known() {
		return !v.inheritedUntil.IsZero() && !now.Before(v.inheritedUntil)
	}
	return v.clock.Earliest(now) > v.leaseEnd+clockSlack
}

// freeLapsed frees what ran on a VM whose lease has run out.
func (s *Scheduler) freeLapsed(now time.Time, v *vmState) {
	for _, r := range v.runs.All() {
		if r.phase != runConfirmed && now.Sub(r.orderedAt) <= lateOrder {
			continue
		}
		if v.over {
			s.crashedUnder(now, r)
		} else {
			s.lapse(now, r)
		}
		s.freeUnseen(now, r, "lease ran out")
	}
}

// expire frees what ran on VMs whose leases have run out, and forgets VMs that
// are gone.
func (s *Scheduler) expire(now time.Time, v *vmState) {
	if v.silent {
		for _, r := range v.runs.All() {
			if r.phase == runPlanned {
				s.release(now, r)
				s.stopGang(now, r)
			}
		}
	}
	if v.silent && v.runs.Len() > 0 && v.leaseOver(now) {
		s.freeLapsed(now, v)
	}
	if s.rights.Order && !now.Before(v.inheritedUntil) {
		v.inheritedUntil = time.Time{}
	}
	if now.After(v.lapsedUntil) {
		s.forgetLapsed(v)
	}
	for len(v.lost) > 0 && now.Sub(v.lost[0].orderedAt) > lateOrder {
		v.lost = v.lost[1:]
	}
	gone := !v.listed && v.runs.Len() == 0 && !now.Before(v.inheritedUntil) && now.Sub(v.answered) > forgetAfter && now.Sub(v.unlistedAt) > forgetAfter
	if gone && !v.holding && len(v.lapsed) == 0 && len(v.lost) == 0 {
		s.vms.Delete(v.id)
		s.dirtyVMs = append(s.dirtyVMs, v.id)
	}
}
