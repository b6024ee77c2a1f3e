package schedule

import "time"

// Tick carries out the periodic work: holds, looks, repeated stops, expired leases,
// evacuations, maintenance and pool sizes.
func (s *Scheduler) Tick(now time.Time) {
	s.anyUnreported = false
	for _, v := range s.vms.All() {
		s.anyUnreported = s.anyUnreported || v.unheard()
		if v.nothingDue() {
			continue
		}
		s.expire(now, v)
		s.checkUnanswered(now, v)
		if v.stopping > 0 {
			s.repeatStops(now, v)
		}
		if v.fills > 0 {
			s.pace(now, v)
		}
		s.hold(now, v)
	}
	s.stopOnDraining(now)
	s.relocateEvacuated(now)
	s.forgetEnded(now)
	s.pruneOrders(now)
	s.advanceWaves(now)
	s.sizePools(now)
}

// unheard reports whether a previous owner's tasks may run on the VM and this owner
// hasn't heard from it yet.
func (v *vmState) unheard() bool { return !v.heldOnce && !v.inheritedUntil.IsZero() }

// nothingDue reports whether the VM needs no work in this turn: its hold is in flight,
// and no start or stop waits for an answer.
func (v *vmState) nothingDue() bool {
	return v.holding && v.listed && !v.silent && !v.unresponsive && v.ordered == 0 && v.stopping == 0 && v.fills == 0 && len(v.lostStarts) == 0
}

// stopOnDraining stops lasting tasks on draining VMs, so that they move elsewhere. Other
// tasks may end in time; those that don't are lost with the VM.
func (s *Scheduler) stopOnDraining(now time.Time) {
	for _, v := range s.vms.All() {
		if !v.draining {
			continue
		}
		for _, r := range v.runs.All() {
			_, _, st, t := s.task(r.task)
			if t != nil && st.def.LongRunning && r.phase == runConfirmed && !v.silent {
				s.stopRun(now, r, "VM is draining")
			}
		}
	}
}
