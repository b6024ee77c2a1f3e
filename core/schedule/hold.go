package schedule

import (
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/lease"
)

const (
	// busyHoldWait is how long a VM with runs may wait for an end before it answers a
	// hold. The lease is extended at least that often, so a VM that is cut off keeps its
	// tasks for at least the longest lease less busyHoldWait.
	busyHoldWait = 700 * time.Millisecond
	// idleHoldWait is how long a VM without runs may wait before it answers a hold. It is
	// the longest wait that VMs allow.
	idleHoldWait = 2 * time.Second
	// minHoldInterval is the minimum time between two holds. It keeps a VM that answers
	// immediately from being called in a tight loop.
	minHoldInterval = 20 * time.Millisecond
	// holdRetryDelay is the pause after an unanswered hold.
	holdRetryDelay = 250 * time.Millisecond
)

// sendHold sends the next hold to a VM if it is due. A hold extends the VM's lease and asks
// for its lists.
func (s *Scheduler) sendHold(now time.Time, v *vmState) {
	if v.holdInFlight || now.Before(v.nextHoldAt) || !s.rights.ExtendLeases || v.address == "" || v.departed() {
		return
	}
	if !s.rights.OrderMachines && v.reported && v.runs.Len() == 0 {
		// An owner that may have been replaced sends its holds directly. Its connections to all
		// idle VMs would exceed what an entry VM may open.
		return
	}
	o := job.HoldOrder{Fence: v.fence, Noted: v.acknowledgedForHold()}
	// The VM may execute an unanswered hold later, so a hold to a silent VM doesn't
	// extend the lease. Otherwise the lease of a VM that is gone would never expire for
	// this owner.
	if v.clock.Known() && !v.silent && v.leaseSave <= s.storedSequence && !v.rosterRefused {
		o.Deadline = v.clock.Earliest(now) + job.VMClock(lease.Granted(s.settings.LeaseMax).Milliseconds())
		v.leaseEnd = max(v.leaseEnd, o.Deadline)
	}
	if v.reported && !v.silent && len(v.unsavedEnds) == 0 {
		o.Wait = busyHoldWait
		if v.runs.Len() == 0 {
			o.Wait = idleHoldWait
		}
	}
	v.holdInFlight = true
	v.nextHoldAt = now.Add(minHoldInterval)
	s.emit(Hold{VM: v.id, Order: o})
}

// acknowledgedForHold returns the number of the last end that a hold acknowledges. The VM may
// then delete all ends up to it. It is 0 for a silent VM, which may have crashed: if it
// restarts, it numbers its ends from 1 again, and must not delete ends that nobody has read.
func (v *vmState) acknowledgedForHold() int64 {
	if v.silent {
		return 0
	}
	return v.acknowledgedEnd
}

// HoldAnswered handles the outcome of a hold.
func (s *Scheduler) HoldAnswered(now time.Time, c Hold, outcome Outcome, r job.Report) {
	v := s.vms.Get(c.VM)
	if v == nil {
		return
	}
	if c.Probe {
		s.probeAnswered(now, v, outcome, r)
		return
	}
	v.holdInFlight = false
	if outcome != Answered || !r.Lists {
		s.holdFailed(now, v, outcome, r)
		return
	}
	if !s.recordAnswer(now, v, r) {
		return
	}
	v.lifeEnded = false
	s.forgetExpiredRuns(v)
	s.applyLists(now, v, r)
	if !v.reported && len(r.Finished) < maxListedEnds {
		v.reported, v.firstReportedAt = true, now
		v.inheritedUntil, v.restartLeaseEnd = time.Time{}, time.Time{}
	}
	v.nextHoldAt = now.Add(minHoldInterval)
	if len(v.unsavedEnds) > 0 {
		// The VM would answer immediately with the same ends, so wait until they are
		// stored.
		v.nextHoldAt = now.Add(busyHoldWait)
	}
}

// recordAnswer records that a VM has answered. It returns false if the VM gave the answer
// before its last restart.
func (s *Scheduler) recordAnswer(now time.Time, v *vmState, r job.Report) bool {
	if r.Born != 0 && v.born != 0 && r.Born != v.born {
		if r.Born < v.born {
			return false
		}
		s.vmRestarted(now, v, r.Born)
	}
	if v.born == 0 {
		v.born = r.Born
	}
	if r.Clock > 0 {
		s.assumeFormerLease(v, r.Clock)
		v.clock.Observe(r.Clock, now)
	}
	s.dropStoredLease(v)
	if v.silent {
		s.reportDecision(Decision{Kind: VMBack, VM: v.id, Age: now.Sub(v.lastAnswer)})
	}
	v.lastAnswer, v.silent, v.holdFailures, v.answerRequired = now, false, 0, false
	return true
}

// recordAnswerFrom records an answer to an order that was sent to the given life of the
// VM. If the VM is known to have restarted since, an answer that doesn't name its life is
// ignored, because its clock reading may belong to either life.
func (s *Scheduler) recordAnswerFrom(now time.Time, v *vmState, life job.Born, r job.Report) bool {
	if r.Born == 0 && life != v.born {
		return false
	}
	return s.recordAnswer(now, v, r)
}

// holdFailed handles a hold without a usable answer and schedules the next one.
func (s *Scheduler) holdFailed(now time.Time, v *vmState, outcome Outcome, r job.Report) {
	if outcome == Answered {
		s.recordAnswer(now, v, r)
	} else if !v.silent {
		v.silent, v.silentSince = true, now
		if !v.departing {
			s.reportDecision(Decision{
				Kind: VMSilent, VM: v.id, Reason: outcome.String(), Age: v.silentFor(now), Wait: max(0, v.leaseOver().Sub(now)),
			})
		}
	}
	v.holdFailures++
	v.nextHoldAt = now.Add(holdRetryDelay * time.Duration(min(v.holdFailures, 4)))
}

// departed reports whether the VM's machine has accepted the order to leave its pool.
func (v *vmState) departed() bool { return v.departing && v.lifeEnded }

// silentFor returns the time since the VM's last answer, or 0 if it never answered this owner.
func (v *vmState) silentFor(now time.Time) time.Duration {
	if v.lastAnswer.IsZero() {
		return 0
	}
	return now.Sub(v.lastAnswer)
}

// advanceAcknowledged acknowledges the ends whose saves are stored.
func (s *Scheduler) advanceAcknowledged(v *vmState) {
	n := 0
	for n < len(v.unsavedEnds) && s.endStored(v.unsavedEnds[n]) {
		v.acknowledgedEnd = v.unsavedEnds[n].endNumber
		n++
	}
	if n > 0 {
		v.unsavedEnds = v.unsavedEnds[n:]
		if len(v.unsavedEnds) == 0 {
			v.nextHoldAt = time.Time{}
		}
	}
}
