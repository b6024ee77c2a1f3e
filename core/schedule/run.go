package schedule

import (
	"slices"
	"time"

	"lavenderpond/core/job"
)

// sendPlannedStarts sends the planned starts that wait for nothing any more.
func (s *Scheduler) sendPlannedStarts(now time.Time) {
	s.plannedStarts = slices.DeleteFunc(s.plannedStarts, func(r *run) bool {
		if !r.booked() {
			return true
		}
		if !s.readyToSend(now, r) {
			return false
		}
		s.sendStart(now, r)
		return true
	})
}

// readyToSend reports whether the save that a planned start requires is stored, and its VM has
// answered recently if that is required. If only the answer is missing, it asks for one.
func (s *Scheduler) readyToSend(now time.Time, r *run) bool {
	if r.requiredSave > s.storedSequence {
		return false
	}
	s.requireAnswer(now, r)
	return !r.awaitsAnswer(now)
}

// booked reports whether the run hasn't been released.
func (r *run) booked() bool { return r.vm.runs.Get(runKey{r.task, r.attempt}) == r }

// sendStart sends a planned start, or releases the run if the task may not start any more.
func (s *Scheduler) sendStart(now time.Time, r *run) {
	v := r.vm
	if !r.booked() {
		return
	}
	j, _, st, t := s.task(r.task)
	if t == nil || j.over() || !s.rights.StartTasks || s.mayHaveEnded(t) || !v.acceptsTasks() || v.overbooked() || !s.capacityKnown(now, v) || !st.approval.permits(now, v) ||
		(len(t.runs) > 1 && !s.maySecondRun(st.def)) {
		s.release(now, r)
		s.stopGang(now, r)
		return
	}
	r.setPhase(runOrdered)
	r.orderedAt = now
	r.resumed = t.checkpoint != ""
	r.startBy = v.clock.Estimate(now) + job.VMClock(startWindow.Milliseconds())
	v.leaseEnd = max(v.leaseEnd, r.startBy)
	s.reportDecision(Decision{
		Kind: TaskOrdered, Job: j.ID, Task: r.task, Attempt: r.attempt, VM: v.id, Age: now.Sub(v.lastAnswer),
		After: now.Sub(j.arrived),
	})
	s.emit(Start{VM: v.id, Life: v.born, Zone: v.zone, Order: job.StartOrder{
		Task: r.task, Attempt: r.attempt, Spec: j.Body.Spec, Fence: v.fence, Checkpoint: t.checkpoint,
		Deadline: r.startBy, Ticket: st.approval.tickets[v.id].value,
	}})
}

// mayRunOnUnreportedVM reports whether a task of the job may run on a VM that has not reported
// to this owner yet.
func (s *Scheduler) mayRunOnUnreportedVM(j *jobState) bool {
	return s.unreportedVM(j) != nil
}

// unreportedVM returns a VM that has not reported to this owner yet and on which a task of the job
// may run, or nil.
func (s *Scheduler) unreportedVM(j *jobState) *vmState {
	if !j.inherited || !s.anyUnreported {
		return nil
	}
	for id := range j.possibleVMs.All() {
		v := s.vms.Get(id)
		if v != nil && v.mayRunInherited(j.ID) {
			return v
		}
	}
	// All of the job's VMs have reported, or can't run tasks of a former owner any more.
	// Neither changes later.
	j.inherited = false
	return nil
}

// blocked reports whether the job's tasks must not start because one of them may run on a VM that
// has not reported to this owner yet. It reports the first such VM, and each later one.
func (s *Scheduler) blocked(now time.Time, j *jobState) bool {
	v := s.unreportedVM(j)
	if v == nil {
		return false
	}
	if j.blockedBy != v.id {
		j.blockedBy = v.id
		s.reportDecision(Decision{Kind: JobBlocked, Job: j.ID, VM: v.id, Reason: "may run on a silent VM", Wait: v.inheritedEndOf(j.ID).Sub(now)})
	}
	return true
}

// addRun books a run on its VM, its account, and its step and task, which are nil if
// unknown.
func (s *Scheduler) addRun(now time.Time, r *run, st *stepState, t *taskState) {
	r.vm.runs.Set(runKey{r.task, r.attempt}, r)
	r.vm.used = r.vm.used.Add(r.reservation)
	r.vm.adjustKindCounts(r, 1)
	if r.phase == runPlanned {
		r.vm.plannedRuns++
	}
	s.usage[r.account] = s.usage[r.account].Add(r.quotaUsage)
	s.chargeShare(now, r)
	if t != nil {
		t.runs = append(t.runs, r)
		st.keep(t)
		st.update(t)
	}
}

// adjustKindCounts adds n to those counters of the VM that count runs of the same kinds as r.
func (v *vmState) adjustKindCounts(r *run, n int) {
	if r.longRunning {
		v.longRunningRuns += n
		v.longRunningUsed = v.longRunningUsed.Add(r.reservation.Mul(n))
	}
	if r.serving {
		v.servingRuns += n
	}
	if r.spareCPU {
		v.spareCPURuns += n
	}
	if r.crashSuspect {
		v.crashSuspects += n
	}
	if r.isolated {
		v.isolatedRuns += n
	}
	if r.unknownJob {
		v.unknownRuns += n
	}
	v.countStepRun(r.task.StepID(), n)
}

// countStepRun adds n to the number of runs of a step.
func (v *vmState) countStepRun(step job.StepID, n int) {
	if v.stepRuns == nil {
		v.stepRuns = map[job.StepID]int{}
	}
	if v.stepRuns[step] += n; v.stepRuns[step] == 0 {
		delete(v.stepRuns, step)
	}
}

// release removes a run from its VM, task and account. The run must be certain not to
// execute any more.
func (s *Scheduler) release(now time.Time, r *run) {
	k := runKey{r.task, r.attempt}
	if r.vm.runs.Get(k) != r {
		return
	}
	r.vm.runs.Delete(k)
	r.vm.used = r.vm.used.Sub(r.reservation)
	r.vm.adjustKindCounts(r, -1)
	switch r.phase {
	case runPlanned:
		r.vm.plannedRuns--
	case runOrdered:
		r.vm.orderedRuns--
	case runUnanswered, runConfirmed:
	}
	if r.stopping {
		r.vm.stoppingRuns--
	}
	r.vm.idleSince = now
	s.usage[r.account] = s.usage[r.account].Sub(r.quotaUsage)
	s.creditShare(now, r)
	j, _, st, t := s.task(r.task)
	if t == nil {
		return
	}
	if r.recorded && !j.over() {
		s.markDirty(j)
	}
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == r })
	st.update(t)
	st.forget(t)
	if st.def.LongRunning && t.unavailableSince.IsZero() {
		t.unavailableSince = now
	}
}

// freeWithUnknownEnd frees a run whose VM can no longer report how it ended. It may have
// completed, and another owner may know that.
func (s *Scheduler) freeWithUnknownEnd(now time.Time, r *run, reason string) {
	if _, _, _, t := s.task(r.task); t != nil {
		t.endUnknown = true
	}
	s.freeRun(now, r, reason)
}

// mayHaveEnded reports whether a task may have completed without this owner's knowledge. Only
// an owner that has recently confirmed its ownership is sure to know of all ends.
func (s *Scheduler) mayHaveEnded(t *taskState) bool { return t.endUnknown && !s.rights.OrderMachines }

// freeRun releases a run that ended without being listed as ended.
func (s *Scheduler) freeRun(now time.Time, r *run, reason string) {
	s.reportDecision(Decision{
		Kind: TaskFreed, Job: r.task.Job, Task: r.task, Attempt: r.attempt, VM: r.vm.id, Reason: reason,
		Age: now.Sub(r.vm.lastAnswer),
	})
	s.release(now, r)
	s.stopGang(now, r)
	s.dropFinishedJobs()
}

// stopRun orders a run's end. Further calls for the same run do nothing.
func (s *Scheduler) stopRun(now time.Time, r *run, reason string) {
	if r.stopping {
		return
	}
	if r.phase == runPlanned {
		s.release(now, r)
		return
	}
	r.stopping = true
	r.vm.stoppingRuns++
	r.resendStopAt = now.Add(stopRetryDelay)
	s.reportDecision(Decision{
		Kind: TaskStopping, Job: r.task.Job, Task: r.task, Attempt: r.attempt, VM: r.vm.id, Reason: reason,
	})
	s.emit(r.vm.stopOrder(r))
}

// stopOrder returns the order to end a run on the VM.
func (v *vmState) stopOrder(r *run) Stop {
	return Stop{VM: v.id, Life: v.born, Fence: v.fence, Task: r.task, Attempt: r.attempt}
}

// repeatStops sends the stop again for runs that are still on the VM.
func (s *Scheduler) repeatStops(now time.Time, v *vmState) {
	for _, r := range v.runs.All() {
		if !r.stopping || now.Before(r.resendStopAt) {
			continue
		}
		r.resendStopAt = now.Add(stopRetryDelay)
		if r.stopClock == 0 || r.phase == runConfirmed {
			s.emit(v.stopOrder(r))
		}
	}
}

// markBegun records that a job's first task has started.
func (s *Scheduler) markBegun(j *jobState) {
	if j.begun || j.over() {
		return
	}
	j.begun = true
	j.state = job.Running
	s.markDirty(j)
}

// confirmRun records that a run has started.
func (s *Scheduler) confirmRun(now time.Time, r *run, clock job.VMClock) {
	r.setPhase(runConfirmed)
	// The VM may have restarted and executed a start that was sent to its previous life.
	// The lease of the new life counts from this clock reading.
	longest := clock + job.VMClock(s.settings.LeaseMax.Milliseconds())
	v := r.vm
	v.leaseEnd = max(v.leaseEnd, min(r.startBy, longest))
	r.confirmedAt = now
	if !r.resumed {
		r.progressAt = now
	}
	r.confirmedClock = max(r.confirmedClock, clock)
	r.stableClock = stableClockAfter(clock)
	s.recordStability(r)
	if r.confirmedByNewLife() && v.clock.Known() {
		// The VM has restarted, and this owner knows the clock of the previous life only.
		// The new life grants a full lease, whatever that clock says.
		v.leaseEnd = max(v.leaseEnd, v.clock.Estimate(now)+job.VMClock(s.settings.LeaseMax.Milliseconds()))
	}
	j := s.jobs.Get(r.task.Job)
	if j == nil {
		return
	}
	s.markBegun(j)
	s.reportDecision(Decision{
		Kind: TaskStarted, Job: j.ID, Task: r.task, Attempt: r.attempt, VM: r.vm.id,
		Age: now.Sub(r.orderedAt), After: now.Sub(j.arrived),
	})
}

// confirmedByNewLife reports whether a run was confirmed after its VM restarted, by a later
// life than the one it was ordered for. Answers to starts may not name the life, but its
// clock gives it away: it starts from zero and is far behind the start's deadline.
func (r *run) confirmedByNewLife() bool {
	return r.phase == runConfirmed && r.confirmedClock < r.startBy-2*job.VMClock(startWindow.Milliseconds())
}

// StartAnswered handles the outcome of a start.
func (s *Scheduler) StartAnswered(now time.Time, c Start, outcome Outcome, rep job.Report) {
	v := s.vms.Get(c.VM)
	if v == nil {
		return
	}
	if outcome == Answered && !s.recordAnswerFrom(now, v, c.Life, rep) {
		return
	}
	r := v.runs.Get(runKey{c.Order.Task, c.Order.Attempt})
	if r == nil || r.phase == runConfirmed {
		return
	}
	switch {
	case outcome == Answered && rep.Refused == job.NotRefused:
		s.confirmRun(now, r, rep.Clock)
		s.ticketAccepted(c.Order.Task)
		return
	case outcome == Unanswered:
		r.setPhase(runUnanswered)
		if v.lastAnswer.Before(r.orderedAt) {
			v.noAnswerUntil = now.Add(noAnswerPause)
		}
		return
	case outcome == Answered && rep.Refused == job.RefusedCapacity:
		v.markFull(now, r.reservation)
	case outcome == Answered && rep.Refused == job.RefusedTicket:
		s.ticketRefused(now, c.Order.Task, v.id)
	case outcome == Rejected:
		// The VM is sound, so other tasks may start there.
		s.pauseTask(now, c.Order.Task, v.id)
	case outcome != Answered:
		v.noAnswerUntil = now.Add(noAnswerPause)
	}
	s.releaseNotBegun(now, r, outcome, rep.Refused)
}

// rejectedOrderPause is the pause before an order is repeated that was rejected. It would be rejected
// again unless something has changed since.
const rejectedOrderPause = 10 * time.Second

// pauseTask delays the next start of a task whose start a VM has rejected.
func (s *Scheduler) pauseTask(now time.Time, id job.TaskID, vm job.VMID) {
	if _, _, _, t := s.task(id); t != nil {
		t.notBefore = now.Add(rejectedOrderPause)
		t.avoidVM = vm
	}
}

const (
	// fullPause is how long a VM that refused a task for lack of capacity gets no new ones,
	// unless its directory entry shows another capacity or a restart before. The directory
	// may take longer to show the reduced capacity, so the pause doubles with each further
	// refusal, at most fullDoublings times.
	fullPause     = 200 * time.Millisecond
	fullDoublings = 4
	// refusalWindow is how long after a pause another refusal still doubles the next pause.
	refusalWindow = 2 * time.Second
)

// markFull records that the VM refused a task for lack of capacity. Refusals of starts that
// were in flight at the same time count as one.
func (v *vmState) markFull(now time.Time, refused job.Resources) {
	if now.Before(v.fullUntil) {
		v.fullFor = v.fullFor.Min(refused)
		return
	}
	v.fullFor = refused
	if now.Sub(v.fullUntil) > refusalWindow {
		v.refusals = 0
	}
	v.fullUntil = now.Add(fullPause << min(v.refusals, fullDoublings))
	v.refusals++
}

// mayHold reports whether the VM has room for a task of the step as far as is known: by what runs there and
// is claimed, and by what it has refused recently. Smaller tasks may fit where a large one was refused.
func (v *vmState) mayHold(now time.Time, def *job.Step) bool {
	reservation := def.Reservation()
	refused := now.Before(v.fullUntil) && v.fullFor.FitsIn(reservation)
	return !refused && reservation.FitsIn(v.freeFor(def))
}

// releaseNotBegun releases a run that is known not to have begun.
func (s *Scheduler) releaseNotBegun(now time.Time, r *run, outcome Outcome, refusal job.Refusal) {
	reason := outcome.String()
	if outcome == Answered {
		reason = refusal.String()
	}
	s.reportDecision(Decision{
		Kind: TaskNotBegun, Job: r.task.Job, Task: r.task, Attempt: r.attempt, VM: r.vm.id, Reason: reason,
		Age: now.Sub(r.orderedAt),
	})
	s.release(now, r)
	s.stopGang(now, r)
	s.dropFinishedJobs()
}

// StopAnswered handles the outcome of a stop.
func (s *Scheduler) StopAnswered(now time.Time, c Stop, outcome Outcome, rep job.Report) {
	v := s.vms.Get(c.VM)
	if v == nil || outcome != Answered || !s.recordAnswerFrom(now, v, c.Life, rep) {
		return
	}
	r := v.runs.Get(runKey{c.Task, c.Attempt})
	if r != nil && rep.Refused == job.NotRefused {
		r.stopClock = rep.Clock
		if r.phase == runOrdered {
			// The stop overtook the start, which can't begin any more.
			r.setPhase(runUnanswered)
		}
	}
}
