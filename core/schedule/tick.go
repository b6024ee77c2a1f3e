package schedule

import "time"

// Tick does what is due: holds, repeated stops, leases that ran out, upkeep.
func (s *Scheduler) Tick(now time.Time) {
	for _, v := range s.vms.All() {
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
	s.forgetEnded(now)
	s.drive(now)
	s.size(now)
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
