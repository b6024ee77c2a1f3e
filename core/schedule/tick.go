package schedule

import "time"

// Tick does what is due: holds, repeated stops, leases that ran out, upkeep.
func (s *Scheduler) Tick(now time.Time) {
	s.anyUnreported = false
	for _, v := range s.vms.All() {
		s.anyUnreported = s.anyUnreported || v.unheard()
		if v.settled() {
			continue
		}
		s.expire(now, v)
		s.look(now, v)
		if v.stopping > 0 {
			s.repeatStops(now, v)
		}
		if v.fills > 0 {
			s.pace(now, v)
		}
		s.hold(now, v)
	}
	s.leaveDraining(now)
	s.relocateEvacuated(now)
	s.forgetEnded(now)
	s.pruneOrders(now)
	s.advanceWaves(now)
	s.sizePools(now)
}

// unheard tells whether a former owner's tasks may run on the VM, which hasn't been
// heard yet.
func (v *vmState) unheard() bool { return !v.heldOnce && !v.inheritedUntil.IsZero() }

// settled tells whether nothing can be due on the VM: its hold is on its way, and no
// start or stop waits for its answer.
func (v *vmState) settled() bool {
	return v.holding && v.listed && !v.silent && !v.doubtful && v.ordered == 0 && v.stopping == 0 && v.fills == 0 && len(v.lost) == 0
}

// leaveDraining moves lasting tasks off VMs that leave. Other tasks may end in
// time; those that don't end with the VM.
func (s *Scheduler) leaveDraining(now time.Time) {
	for _, v := range s.vms.All() {
		if !v.draining {
			continue
		}
		for _, r := range v.runs.All() {
			_, _, st, t := s.task(r.task)
			if t != nil && st.def.Lasting && r.phase == runConfirmed && !v.silent {
				s.stop(now, r, "VM leaves")
			}
		}
	}
}
