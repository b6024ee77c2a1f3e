package schedule

import (
	"slices"
	"time"

	"lavenderpond/core/job"
)

// sendPlanned sends the starts whose saves are stored.
func (s *Scheduler) sendPlanned(now time.Time) {
	s.plannedStarts = slices.DeleteFunc(s.plannedStarts, func(r *run) bool {
		if r.after > s.storedSequence {
			return false
		}
		s.send(now, r)
		return true
	})
}

// send sends a planned start, if it can still be sent.
func (s *Scheduler) send(now time.Time, r *run) {
	v := r.vm
	if v.runs.Get(runKey{r.task, r.attempt}) != r {
		return
	}
	j, _, st, t := s.task(r.task)
	if t == nil || j.over() || !s.rights.Start || s.mayHaveEnded(t) || !v.takesTasks() || v.overfull() || !s.roomKnown(now, v) {
		s.release(now, r)
		s.stopGang(now, r)
		return
	}
	r.enter(runOrdered)
	r.orderedAt = now
	r.resumed = t.saved != ""
	r.startBy = v.clock.Likely(now) + job.VMClock(startWithin.Milliseconds())
	v.leaseEnd = max(v.leaseEnd, r.startBy)
	s.decided(Decision{
		What: TaskOrdered, Job: j.ID, Task: r.task, Attempt: r.attempt, VM: v.id, Age: now.Sub(v.answered),
		After: now.Sub(j.arrived),
	})
	s.emit(Start{VM: v.id, Life: v.born, Zone: v.zone, Order: job.StartOrder{
		Task: r.task, Attempt: r.attempt, Spec: j.Body.Spec, Fence: v.fence, Checkpoint: t.saved,
		Deadline: r.startBy, Ticket: st.tickets[v.id],
	}})
}

// mayRunUnheard tells whether a task of the job may run on a VM that this owner
// hasn't heard yet.
func (s *Scheduler) mayRunUnheard(j *jobState) bool {
	if !j.inherited || !s.anyUnreported {
		return false
	}
	for id := range j.places.All() {
		v := s.vms.Get(id)
		if v != nil && v.unheard() {
			return true
		}
	}
	// A VM that has been heard, or is free, stays so.
	j.inherited = false
	return false
}

// addRun books a run on its VM, its step and task (nil if unknown) and its account.
func (s *Scheduler) addRun(r *run, st *stepState, t *taskState) {
	r.vm.runs.Set(runKey{r.task, r.attempt}, r)
	r.vm.used = r.vm.used.Plus(r.claim)
	r.vm.countKind(r, 1)
	s.usage[r.account] = s.usage[r.account].Plus(r.cost)
	if t != nil {
		t.runs = append(t.runs, r)
		st.recount()
	}
}

// countKind adds n to the counts of the VM's runs of this kind.
func (v *vmState) countKind(r *run, n int) {
	if r.lasting {
		v.lasting += n
	}
	if r.serving {
		v.serving += n
	}
	if r.fills {
		v.fills += n
	}
	if r.suspect {
		v.suspects += n
	}
	if r.trial {
		v.trials += n
	}
	if r.stray {
		v.strays += n
	}
}

// release takes a run off its VM, task and account: nothing of it can run any more.
func (s *Scheduler) release(now time.Time, r *run) {
	k := runKey{r.task, r.attempt}
	if r.vm.runs.Get(k) != r {
		return
	}
	r.vm.runs.Delete(k)
	r.vm.used = r.vm.used.Minus(r.claim)
	r.vm.countKind(r, -1)
	if r.phase == runOrdered {
		r.vm.ordered--
	}
	if r.stopping {
		r.vm.stopping--
	}
	r.vm.idleSince = now
	s.usage[r.account] = s.usage[r.account].Minus(r.cost)
	j, _, st, t := s.task(r.task)
	if t == nil {
		return
	}
	if r.recorded && !j.over() {
		s.markDirty(j)
	}
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
	st.recount()
	if st.def.Lasting && t.awaySince.IsZero() {
		t.awaySince = now
	}
}

// freeUnseen releases a run of which its VM can't tell any more how it ended. It may have
// ended well, and another owner may know.
func (s *Scheduler) freeUnseen(now time.Time, r *run, why string) {
	if _, _, _, t := s.task(r.task); t != nil {
		t.unseenEnd = true
	}
	s.free(now, r, why)
}

// mayHaveEnded tells whether a task may have ended well without this owner's knowledge: only
// one that has proved its right just now can know of all ends.
func (s *Scheduler) mayHaveEnded(t *taskState) bool { return t.unseenEnd && !s.rights.Order }

// free releases a run that ended without a listed end.
func (s *Scheduler) free(now time.Time, r *run, why string) {
	s.decided(Decision{
		What: TaskFreed, Job: r.task.Job, Task: r.task, Attempt: r.attempt, VM: r.vm.id, Reason: why,
		Age: now.Sub(r.vm.answered),
	})
	s.release(now, r)
	s.stopGang(now, r)
	s.forgetClosed()
}

// stop orders a run's end, once.
func (s *Scheduler) stop(now time.Time, r *run, why string) {
	if r.stopping {
		return
	}
	if r.phase == runPlanned {
		s.release(now, r)
		return
	}
	r.stopping = true
	r.vm.stopping++
	r.resendStop = now.Add(stopRetry)
	s.decided(Decision{
		What: TaskStopping, Job: r.task.Job, Task: r.task, Attempt: r.attempt, VM: r.vm.id, Reason: why,
	})
	s.emit(r.vm.stop(r))
}

// stop returns the order to end a run on the VM.
func (v *vmState) stop(r *run) Stop {
	return Stop{VM: v.id, Life: v.born, Fence: v.fence, Task: r.task, Attempt: r.attempt}
}

// repeatStops orders the end again of runs on the VM that are still there.
func (s *Scheduler) repeatStops(now time.Time, v *vmState) {
	for _, r := range v.runs.All() {
		if !r.stopping || now.Before(r.resendStop) {
			continue
		}
		r.resendStop = now.Add(stopRetry)
		if r.stopClock == 0 || r.phase == runConfirmed {
			s.emit(v.stop(r))
		}
	}
}

// begin notes that a job's first task has started.
func (s *Scheduler) begin(j *jobState) {
	if j.begun || j.over() {
		return
	}
	j.begun = true
	j.state = job.Running
	s.markDirty(j)
}

// confirm notes that a run has started.
func (s *Scheduler) confirm(now time.Time, r *run, clock job.VMClock) {
	r.enter(runConfirmed)
	// A new life of the VM may have taken a start that was meant for the former
	// one: its lease counts from here.
	longest := clock + job.VMClock(s.settings.LeaseMax.Milliseconds())
	v := r.vm
	v.leaseEnd = max(v.leaseEnd, min(r.startBy, longest))
	r.confirmedAt = now
	if !r.resumed {
		r.markAt = now
	}
	r.confirmedClock = max(r.confirmedClock, clock)
	if r.begunAnew() && v.clock.Known() {
		// A life that isn't known yet grants a whole lease, whatever the known one's clock says.
		v.leaseEnd = max(v.leaseEnd, v.clock.Likely(now)+job.VMClock(s.settings.LeaseMax.Milliseconds()))
	}
	j := s.jobs.Get(r.task.Job)
	if j == nil {
		return
	}
	s.begin(j)
	s.decided(Decision{
		What: TaskStarted, Job: j.ID, Task: r.task, Attempt: r.attempt, VM: r.vm.id,
		Age: now.Sub(r.orderedAt), After: now.Sub(j.arrived),
	})
}

// begunAnew tells whether a run was confirmed by a later life of its VM than the one for
// which it was ordered: answers to starts don't name the life, but its clock began anew.
func (r *run) begunAnew() bool {
	return r.phase == runConfirmed && r.confirmedClock < r.startBy-2*job.VMClock(startWithin.Milliseconds())
}

// StartAnswered takes in what came of a start.
func (s *Scheduler) StartAnswered(now time.Time, c Start, out Outcome, rep job.Report) {
	v := s.vms.Get(c.VM)
	if v == nil {
		return
	}
	if out == Answered && !s.heardFrom(now, v, c.Life, rep) {
		return
	}
	r := v.runs.Get(runKey{c.Order.Task, c.Order.Attempt})
	if r == nil || r.phase == runConfirmed {
		return
	}
	switch {
	case out == Answered && rep.Refused == job.NotRefused:
		s.confirm(now, r, rep.Clock)
		return
	case out == Unanswered:
		r.enter(runUnanswered)
		if v.answered.Before(r.orderedAt) {
			v.suspect = now.Add(suspicion)
		}
		return
	case out == Answered && rep.Refused == job.RefusedRoom:
		v.full(now)
	case out == Answered && rep.Refused == job.RefusedTicket:
		s.dropTickets(c.Order.Task)
	case out != Answered:
		v.suspect = now.Add(suspicion)
	}
	s.notBegun(now, r, out, rep.Refused)
}

const (
	// fullPause keeps new tasks off a VM that said it is full until its next list. The
	// news of a capacity that has shrunk may be later: the pause doubles with each
	// further refusal, fullDoublings times at most.
	fullPause     = 200 * time.Millisecond
	fullDoublings = 4
	// fullMemory is how long after a pause a refusal still counts as a further one.
	fullMemory = 2 * time.Second
)

// full notes that the VM refused a task for want of room. Refusals of starts that were
// on their way together count as one.
func (v *vmState) full(now time.Time) {
	if now.Before(v.fullUntil) {
		return
	}
	if now.Sub(v.fullUntil) > fullMemory {
		v.refusals = 0
	}
	v.fullUntil = now.Add(fullPause << min(v.refusals, fullDoublings))
	v.refusals++
}

// notBegun releases a run that is known not to have begun.
func (s *Scheduler) notBegun(now time.Time, r *run, out Outcome, why job.Refusal) {
	reason := out.String()
	if out == Answered {
		reason = why.String()
	}
	s.decided(Decision{
		What: TaskNotBegun, Job: r.task.Job, Task: r.task, Attempt: r.attempt, VM: r.vm.id, Reason: reason,
		Age: now.Sub(r.orderedAt),
	})
	s.release(now, r)
	s.stopGang(now, r)
	s.forgetClosed()
}

// StopAnswered takes in what came of a stop.
func (s *Scheduler) StopAnswered(now time.Time, c Stop, out Outcome, rep job.Report) {
	v := s.vms.Get(c.VM)
	if v == nil || out != Answered || !s.heardFrom(now, v, c.Life, rep) {
		return
	}
	r := v.runs.Get(runKey{c.Task, c.Attempt})
	if r != nil && rep.Refused == job.NotRefused {
		r.stopClock = rep.Clock
		if r.phase == runOrdered {
			// The start was overtaken: it can't begin any more.
			r.enter(runUnanswered)
		}
	}
}
