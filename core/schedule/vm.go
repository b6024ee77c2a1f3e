package schedule

import (
	"fmt"
	"strings"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/lease"
)

const (
	// startWindow is the period after a start is sent within which the task may begin. It is
	// short so that the VM refuses an order that arrives late, and long compared with the
	// round trip to a slow VM.
	startWindow = 600 * time.Millisecond
	// stopRetryDelay is the pause before a stop is sent again because the run hasn't ended.
	stopRetryDelay = 600 * time.Millisecond
	// clockSlack allows for VM clocks that are read in whole milliseconds.
	clockSlack job.VMClock = 5
	// noAnswerPause is how long a VM gets no new tasks after it left a start unanswered.
	noAnswerPause = time.Second
	// forgetAfter is how long the state of a VM that is no longer listed is kept in memory.
	forgetAfter = 3 * time.Second
)

// maxOrderDelay is the period after sending an order within which a VM may still execute it, or
// begin the run that it starts, if it was not answered. The start's deadline doesn't prevent a late
// execution on a VM that crashed and restarted under the same ID, because its clock starts again
// from zero.
const maxOrderDelay = 13 * time.Second

// rackLabelPrefix is the prefix of rack labels.
const rackLabelPrefix = "r"

// vm returns the state of a VM, which it creates if necessary.
func (s *Scheduler) vm(id job.VMID) *vmState {
	v := s.vms.Get(id)
	if v == nil {
		v = &vmState{id: id, labels: map[job.Label]bool{}, fence: s.fence}
		s.vms.Set(id, v)
	}
	return v
}

// VMListed applies a VM's entry in the directory.
func (s *Scheduler) VMListed(now time.Time, e job.VMRecord) {
	v := s.vm(e.ID)
	if v.firstListedAt.IsZero() {
		s.reportDecision(Decision{Kind: VMFound, VM: e.ID, Reason: string(e.Pool)})
		v.nextHoldAt, v.firstListedAt, v.idleSince = now, now, now
	}
	if e.Born != 0 && v.born != 0 && e.Born > v.born {
		s.vmRestarted(now, v, e.Born)
	}
	v.listed, v.address, v.pool, v.zone = true, e.Address, e.Pool, e.Zone
	if e.Capacity != v.capacity || e.Born != v.entryBorn {
		v.fullUntil, v.refusals = time.Time{}, 0
	}
	v.capacity, v.entryBorn = e.Capacity, e.Born
	v.evacuated = s.evacuatedZones.has(v.zone)
	if e.Machine != "" {
		s.setMachine(v, e.Machine)
	}
	if v.born == 0 {
		v.born = e.Born
	}
	s.updateRoster(v)
	v.setLabels(e.Labels)
	if e.Draining && !v.draining {
		s.reportDecision(Decision{Kind: VMDraining, VM: v.id, Reason: e.RemainingTime.String()})
	}
	s.setDraining(v, e.Draining)
	v.leavesAt = now.Add(e.RemainingTime)
}

// setDraining sets whether the VM is draining.
func (s *Scheduler) setDraining(v *vmState, draining bool) {
	switch {
	case draining && !v.draining:
		s.drainingVMs++
	case !draining && v.draining:
		s.drainingVMs--
	}
	v.draining = draining
}

// DirectoryRead records that every change made to the directory before asOf is known.
func (s *Scheduler) DirectoryRead(asOf time.Time) { s.directoryAsOf = asOf }

// shrinkMargin covers a start that was sent on the basis of an old reading. It may still
// be executed for startWindow, and for longer on a slow clock.
const shrinkMargin = time.Second

// capacityKnown reports whether the directory was read recently enough to rely on the VM's
// capacity for a start. In a pool that enforces capacity this isn't necessary: its VMs refuse
// tasks that don't fit.
func (s *Scheduler) capacityKnown(now time.Time, v *vmState) bool {
	within := s.settings.ShrinkNotice
	if within == 0 || now.Sub(s.directoryAsOf) < within-shrinkMargin {
		return true
	}
	p := s.config.Pool(v.pool)
	return p != nil && p.EnforcesCapacity
}

// setMachine sets the machine that hosts the VM.
func (s *Scheduler) setMachine(v *vmState, id job.MachineID) {
	v.machine, v.host = id, s.machines.Get(id)
}

// updateRoster adds the VM to the roster unless it is departing, or updates its entry if that has
// changed. No task starts on the VM before the entry is stored.
func (s *Scheduler) updateRoster(v *vmState) {
	if v.departing {
		return
	}
	r := RosterVM{ID: v.id, Address: v.address, Pool: v.pool, Born: v.born, Machine: v.machine, Lease: v.storedLease}
	if r == v.rosterEntry {
		return
	}
	v.rosterEntry = r
	v.rosterSave, v.rosterRefused = s.nextSaveSequence(), false
	s.dirtyVMs = append(s.dirtyVMs, v.id)
}

// setLabels replaces the VM's labels, and sets its rack if one of them is a rack label.
func (v *vmState) setLabels(labels []job.Label) {
	clear(v.labels)
	for _, l := range labels {
		v.labels[l] = true
		if strings.HasPrefix(string(l), rackLabelPrefix) && strings.ContainsAny(string(l), "0123456789") {
			v.rack = l
		}
	}
}

// VMUnlisted records that a VM's entry is gone. Tasks may still run there until its lease
// has expired.
func (s *Scheduler) VMUnlisted(now time.Time, id job.VMID) {
	v := s.vms.Get(id)
	if v == nil || !v.listed {
		return
	}
	v.listed, v.unlistedAt = false, now
	s.reportDecision(Decision{Kind: VMGone, VM: id})
}

// VMs returns the IDs of the VMs that are currently listed.
func (s *Scheduler) VMs() []job.VMID {
	var out []job.VMID
	for id, v := range s.vms.All() {
		if v.listed {
			out = append(out, id)
		}
	}
	return out
}

// Location returns the address at which a VM takes orders, and its availability zone.
func (s *Scheduler) Location(id job.VMID) (address string, zone job.ZoneName) {
	if v := s.vms.Get(id); v != nil {
		return v.address, v.zone
	}
	return "", ""
}

// VMCount returns the number of known VMs.
func (s *Scheduler) VMCount() int { return s.vms.Len() }

// VMCounts returns the number of known VMs in each availability zone.
func (s *Scheduler) VMCounts() map[job.ZoneName]int {
	out := map[job.ZoneName]int{}
	for _, v := range s.vms.All() {
		out[v.zone]++
	}
	return out
}

// vmRestarted handles a VM that crashed and restarted under the same ID, which begins a new
// life at born. Its runs are gone, its clock starts from zero and its ends are numbered from
// 1 again. Unanswered starts may still arrive and be executed, because the new clock is
// behind their deadlines. They are stopped explicitly before their tasks start elsewhere.
func (s *Scheduler) vmRestarted(now time.Time, v *vmState, born job.Born) {
	s.reportDecision(Decision{Kind: VMRestarted, VM: v.id, Reason: fmt.Sprintf("%d ends of the previous life were acknowledged", v.acknowledgedEnd)})
	v.born, v.fence, v.departing = born, s.fence, false
	v.clock, v.leaseEnd = lease.Clock{}, 0
	v.lastEnd, v.acknowledgedEnd, v.unsavedEnds, v.listClock = 0, 0, nil, 0
	v.reported, v.nextHoldAt = false, now
	s.extendInheritedLease(v)
	s.dropStoredLease(v)
	s.updateRoster(v)
	for _, r := range v.lostStarts {
		if now.Sub(r.orderedAt) < maxOrderDelay {
			s.emit(v.stopOrder(r))
		}
	}
	v.lostStarts = nil
	s.countExpiredRunCrashes(now, v)
	for _, r := range v.runs.All() {
		if r.phase != runPlanned && !r.confirmedByNewLife() {
			s.countCrash(now, r)
		}
	}
	for _, r := range v.runs.All() {
		if r.phase == runPlanned {
			continue
		}
		r.stopClock = 0
		if r.phase == runConfirmed && !r.confirmedByNewLife() {
			s.freeWithUnknownEnd(now, r, "VM restarted")
			continue
		}
		r.setPhase(runUnanswered)
		r.confirmedClock, r.stableClock = 0, 0
		s.stopRun(now, r, "VM restarted")
	}
	v.restartLeaseEnd = v.lastStartExecution(now).Add(lease.Longest(s.settings.LeaseMax))
}

// lastStartExecution returns the last time at which the VM may execute a start without an answer.
func (v *vmState) lastStartExecution(now time.Time) time.Time {
	last := now
	for _, r := range v.runs.All() {
		last = later(last, r.orderedAt.Add(maxOrderDelay))
	}
	return last
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// maxPendingStarts bounds the starts on a VM that it hasn't answered. Each of them takes a call.
const maxPendingStarts = 256

// usable reports whether new tasks may start on the VM.
func (s *Scheduler) usable(now time.Time, v *vmState) bool {
	return s.usableIfSound(now, v) && (v.pauseWaived || !v.suspected(now))
}

// suspected reports whether the VM is taken to be slow or faulty.
func (v *vmState) suspected(now time.Time) bool { return v.slow(now) || now.Before(v.suspectUntil) }

// usableIfSound reports whether new tasks may start on the VM as far as it isn't suspected.
func (s *Scheduler) usableIfSound(now time.Time, v *vmState) bool {
	return !v.waveCordoned && s.usableIfNotDue(now, v)
}

// usableIfNotDue reports whether new tasks may start on the VM as far as it isn't suspected and its machine
// isn't due for maintenance.
func (s *Scheduler) usableIfNotDue(now time.Time, v *vmState) bool {
	moving := v.departing || (v.host != nil && v.host.movingTo != "")
	paused := v.unresponsive || now.Before(v.noAnswerUntil) || v.plannedRuns+v.orderedRuns >= maxPendingStarts
	return v.acceptsTasks() && !moving && !paused && v.rosterSave <= s.storedSequence && !v.rosterRefused && v.unknownRuns == 0 && v.isolatedRuns == 0 && s.capacityKnown(now, v)
}

// mayReturnTo reports whether long-running tasks without room elsewhere may start on the VM although its
// machine is due for maintenance: that isn't ordered, and not about to be.
func (s *Scheduler) mayReturnTo(now time.Time, v *vmState) bool {
	if !v.waveCordoned || s.inMaintenance(v.machine) || v.suspected(now) {
		return false
	}
	if m := v.host; m != nil && (m.State != job.MachineUp || now.Before(m.awayUntil)) {
		return false
	}
	return s.usableIfNotDue(now, v)
}

// freeCapacity returns the VM's unused capacity. It is negative if the capacity has shrunk
// below what runs there.
func (v *vmState) freeCapacity() job.Resources { return v.capacity.Sub(v.used) }

// overbooked reports whether the runs booked on the VM exceed its capacity, or may exceed
// it.
func (v *vmState) overbooked() bool {
	return v.unknownRuns > 0 || !(job.Resources{}).FitsIn(v.freeCapacity())
}

// acceptsTasks reports whether the VM accepts tasks, as far as this owner knows.
func (v *vmState) acceptsTasks() bool {
	return v.entryCurrent() && !v.draining && !v.evacuated && v.reported && !v.silent && v.clock.Known()
}

// entryCurrent reports whether the VM's directory entry describes its current life.
// Capacity and labels may change when a VM restarts, so they are unknown until the directory
// has its new entry.
func (v *vmState) entryCurrent() bool { return v.listed && v.entryBorn >= v.born }

// leaseExpired reports whether the lease of a silent VM has certainly expired.
func (v *vmState) leaseExpired(now time.Time) bool {
	over := v.leaseOver()
	return !over.IsZero() && now.After(over)
}

// leaseOver returns when the lease of the VM has certainly expired if it stays silent, or zero if no
// lease is known.
func (v *vmState) leaseOver() time.Time {
	if !v.clock.Known() {
		return later(v.inheritedUntil, v.restartLeaseEnd)
	}
	return later(v.clock.SurelyAt(v.leaseEnd+clockSlack), v.restartLeaseEnd)
}

// freeExpiredRuns frees the runs of a VM whose lease has expired.
func (s *Scheduler) freeExpiredRuns(now time.Time, v *vmState) {
	for _, r := range v.runs.All() {
		if r.phase != runConfirmed && now.Sub(r.orderedAt) <= maxOrderDelay {
			continue
		}
		s.freeExpiredRun(now, v, r)
	}
}

// freeExpiredRun frees a run that has ended because the VM's lease expired.
func (s *Scheduler) freeExpiredRun(now time.Time, v *vmState, r *run) {
	if v.lifeEnded {
		s.countCrash(now, r)
	} else {
		s.addExpiredRun(r, now.Add(expiredRunRetention))
	}
	s.freeWithUnknownEnd(now, r, "lease expired")
}

// expire frees the runs of a VM whose lease has expired, and deletes the VM's state once
// it is gone.
func (s *Scheduler) expire(now time.Time, v *vmState) {
	if v.silent {
		for _, r := range v.runs.All() {
			if r.phase == runPlanned {
				s.release(now, r)
				s.stopGang(now, r)
			}
		}
	}
	if v.silent && v.runs.Len() > 0 && v.leaseExpired(now) {
		s.freeExpiredRuns(now, v)
	}
	if s.rights.OrderMachines && !v.inheritedUntil.IsZero() {
		s.expireInherited(now, v)
	}
	if now.After(v.expiredRunsUntil) {
		s.forgetExpiredRuns(v)
	}
	for len(v.lostStarts) > 0 && now.Sub(v.lostStarts[0].orderedAt) > maxOrderDelay {
		v.lostStarts = v.lostStarts[1:]
	}
	gone := !v.listed && v.runs.Len() == 0 && v.inheritedUntil.IsZero() && now.Sub(v.lastAnswer) > forgetAfter && now.Sub(v.unlistedAt) > forgetAfter
	if gone && !v.holdInFlight && len(v.expiredRuns) == 0 && len(v.lostStarts) == 0 {
		s.setDraining(v, false)
		s.vms.Delete(v.id)
		if v.rosterEntry.ID != "" {
			s.dirtyVMs = append(s.dirtyVMs, v.id)
		}
	}
}
