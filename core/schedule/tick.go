package schedule

import "time"

// Tick does the periodic work: holds, probes, repeated stops, expired leases,
// evacuations, maintenance and pool sizes.
func (s *Scheduler) Tick(now time.Time) {
	s.anyUnreported = false
	for _, v := range s.vms.All() {
		s.anyUnreported = s.anyUnreported || v.unreported()
		if v.nothingDue() {
			continue
		}
		s.expire(now, v)
		s.storeLease(now, v)
		s.checkUnanswered(now, v)
		if v.stoppingRuns > 0 {
			s.repeatStops(now, v)
		}
		if v.spareCPURuns > 0 {
			s.adjustPace(now, v)
		}
		s.sendHold(now, v)
	}
	s.sendPlannedStarts(now)
	s.pruneClaims(now)
	relocations := &relocations{s: s, now: now}
	relocations.relocateDraining()
	relocations.relocateEvacuated()
	s.forgetEnded(now)
	s.retryRefusedSaves(now)
	s.pruneOrders(now)
	relocations.advanceWaves()
	s.sizePools(now)
}

// unreported reports whether a former owner's tasks may run on the VM and it has not
// reported to this owner yet.
func (v *vmState) unreported() bool { return !v.reported && !v.inheritedUntil.IsZero() }

// nothingDue reports whether the VM needs no work in this round: its hold is in flight,
// and no start or stop waits for an answer or requires one.
func (v *vmState) nothingDue() bool {
	return v.holdInFlight && v.listed && !v.silent && !v.unresponsive && v.orderedRuns == 0 && v.stoppingRuns == 0 && !v.answerRequired && v.spareCPURuns == 0 && len(v.lostStarts) == 0
}
