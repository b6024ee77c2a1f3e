package schedule

import (
	"time"

	"lavenderpond/core/job"
)

const (
	// busyWait is how long a VM that runs something may wait for an end before
	// it answers a hold. The lease is renewed at least that often, so a VM that
	// is cut off keeps its tasks for at least the longest lease less busyWait.
	busyWait = 700 * time.Millisecond
	// idleWait is the same for a VM without tasks; it is the longest that VMs allow.
	idleWait = 2 * time.Second
	// holdGap is the least time between two holds, so that a VM that answers at
	// once isn't called without end.
	holdGap = 20 * time.Millisecond
	// holdRetry is the pause after a hold that had no answer.
	holdRetry = 250 * time.Millisecond
)

// hold orders the next hold of a VM if it is due.
func (s *Scheduler) hold(now time.Time, v *vmState) {
	if v.holding || now.Before(v.nextHold) || !s.rights.Hold || v.address == "" {
		return
	}
	o := job.HoldOrder{Fence: v.fence, Noted: v.mayForget()}
	// An unanswered hold may be carried out later. One to a silent VM therefore
	// extends nothing: else the lease of a VM that is gone would never run out here.
	if v.clock.Known() && !v.silent {
		o.Deadline = v.clock.Estimate(now) + job.VMClock(s.settings.LeaseMax.Milliseconds())
		v.leaseEnd = max(v.leaseEnd, o.Deadline)
	}
	if v.heldOnce && !v.silent && len(v.unsure) == 0 {
		o.Wait = busyWait
		if v.runs.Len() == 0 {
			o.Wait = idleWait
		}
	}
	v.holding = true
	v.nextHold = now.Add(holdGap)
	s.emit(Hold{VM: v.id, Order: o})
}

// mayForget returns the number of the last end that the VM may forget. A silent VM may have
// crashed: its new life under the same ID numbers its ends from 1 again.
func (v *vmState) mayForget() int64 {
	if v.silent {
		return 0
	}
	return v.noted
}

// HoldAnswered takes in what came of a hold.
func (s *Scheduler) HoldAnswered(now time.Time, c Hold, out Outcome, r job.Report) {
	v := s.vms.Get(c.VM)
	if v == nil {
		return
	}
	if c.Look {
		s.lookAnswered(now, v, out, r)
		return
	}
	v.holding = false
	if out != Answered || !r.Lists {
		s.holdFailed(now, v, out, r)
		return
	}
	if !s.heard(now, v, r) {
		return
	}
	v.over = false
	s.forgetLapsed(v)
	s.takeLists(now, v, r)
	if !v.heldOnce && len(r.Finished) < endsListed {
		v.heldOnce, v.heldFirst = true, now
		v.inheritedUntil = time.Time{}
	}
	v.nextHold = now.Add(holdGap)
	if len(v.unsure) > 0 {
		// The VM would answer at once with the same ends: wait until they are stored.
		v.nextHold = now.Add(busyWait)
	}
}

// heard takes in that a VM has answered. It returns false if a former life did.
func (s *Scheduler) heard(now time.Time, v *vmState, r job.Report) bool {
	if r.Born != 0 && v.born != 0 && r.Born != v.born {
		if r.Born < v.born {
			return false
		}
		s.reborn(now, v, r.Born)
	}
	if v.born == 0 {
		v.born = r.Born
	}
	if r.Clock > 0 {
		v.clock.Observe(r.Clock, now)
	}
	if v.silent {
		s.decided(Decision{What: VMBack, VM: v.id, Age: now.Sub(v.answered)})
	}
	v.answered, v.silent, v.failures = now, false, 0
	return true
}

// heardFrom takes in an answer to an order for a life of the VM. One that doesn't name its
// life says nothing once another life is known: its clock may be of either.
func (s *Scheduler) heardFrom(now time.Time, v *vmState, life job.Born, r job.Report) bool {
	if r.Born == 0 && life != v.born {
		return false
	}
	return s.heard(now, v, r)
}

func (s *Scheduler) holdFailed(now time.Time, v *vmState, out Outcome, r job.Report) {
	if out == Answered {
		s.heard(now, v, r)
	} else if !v.silent {
		v.silent, v.silentSince = true, now
		s.decided(Decision{What: VMSilent, VM: v.id, Reason: out.String(), Age: now.Sub(v.answered)})
	}
	v.failures++
	v.nextHold = now.Add(holdRetry * time.Duration(min(v.failures, 4)))
}

// noteStored moves the last noted end up to what is stored.
func (v *vmState) noteStored(stored int64) {
	n := 0
	for n < len(v.unsure) && v.unsure[n].save <= stored {
		v.noted = v.unsure[n].number
		n++
	}
	if n > 0 {
		v.unsure = v.unsure[n:]
		if len(v.unsure) == 0 {
			v.nextHold = time.Time{}
		}
	}
}
