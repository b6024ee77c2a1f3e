package schedule

import (
	"slices"
	"time"

	"lavenderpond/core/job"
)

// minRefusedSaveDelay and maxRefusedSaveDelay bound the pause before the progress of a job is saved
// again that the table refused for good. The pause doubles with each refusal.
const (
	minRefusedSaveDelay = 2 * time.Second
	maxRefusedSaveDelay = time.Minute
)

// refusedSaves describes a job whose progress the table refuses to store. The zero value describes a
// job with nothing refused.
type refusedSaves struct {
	// last is the sequence of the last save that was refused. The job is stored again once a later
	// one is.
	last int64
	// delay is the pause after the last refusal, and retryAt its end.
	delay   time.Duration
	retryAt time.Time
}

// any reports whether the job's progress isn't stored because it was refused.
func (r *refusedSaves) any() bool { return r.last != 0 }

// SaveRefused handles a save that the table refuses for good. It must be called before SavesStored is
// called for the save's sequence.
func (s *Scheduler) SaveRefused(now time.Time, c Command) {
	switch c := c.(type) {
	case Save:
		s.holdJob(now, c)
	case SaveVM:
		// No task may start on a VM of which the next owner wouldn't know, or would know that its
		// lease is over.
		if v := s.vms.Get(c.VM.ID); v != nil && c.Sequence >= v.rosterSave {
			v.rosterRefused = true
		}
	case SaveOrder:
		s.withdrawPendingOrders(now, c.Order.Machine)
	case DropVM, DropOrder, SaveWave, SaveShares, SaveRunTimes:
		// The next owner knows less, and waits or does without.
	}
}

// holdJob stops starting tasks of a job whose progress was refused. Its ends are acknowledged to VMs
// only once its progress is stored.
func (s *Scheduler) holdJob(now time.Time, c Save) {
	j := s.jobs.Get(c.Job)
	if j == nil {
		return
	}
	if !j.refused.any() {
		s.refusedJobs = append(s.refusedJobs, j)
	}
	delay := min(max(minRefusedSaveDelay, 2*j.refused.delay), maxRefusedSaveDelay)
	j.refused = refusedSaves{last: c.Sequence, delay: delay, retryAt: now.Add(delay)}
	s.reportDecision(Decision{Kind: JobUnstored, Job: j.ID, Wait: delay})
	for _, r := range s.plannedStarts {
		if r.task.Job == j.ID && r.booked() && r.phase == runPlanned {
			s.release(now, r)
			s.stopGang(now, r)
		}
	}
}

// retryRefusedSaves saves the jobs again whose pause is over.
func (s *Scheduler) retryRefusedSaves(now time.Time) {
	for _, j := range s.refusedJobs {
		if !now.Before(j.refused.retryAt) && j.lastSave <= j.refused.last {
			s.markDirty(j)
		}
	}
}

// releaseStoredJobs lets the jobs continue whose progress is stored again.
func (s *Scheduler) releaseStoredJobs() {
	s.refusedJobs = slices.DeleteFunc(s.refusedJobs, func(j *jobState) bool {
		if j.lastSave <= j.refused.last || j.lastSave > s.storedSequence {
			return false
		}
		j.refused.last = 0
		return true
	})
}

// endStored reports whether an end may be acknowledged: everything known of its job is stored.
func (s *Scheduler) endStored(e unsavedEnd) bool {
	j := s.jobs.Get(e.job)
	return e.save <= s.storedSequence && (j == nil || !j.refused.any())
}

// withdrawPendingOrders withdraws the orders for a machine that wait for their save.
func (s *Scheduler) withdrawPendingOrders(now time.Time, id job.MachineID) {
	s.pendingOrders = slices.DeleteFunc(s.pendingOrders, func(o pendingOrder) bool {
		if o.machine == id {
			s.withdrawOrder(now, o.command)
		}
		return o.machine == id
	})
}
