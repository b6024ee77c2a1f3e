package schedule

import (
	"maps"
	"slices"
	"time"

	"lavenderpond/core/fairshare"
	"lavenderpond/core/job"
)

// Assign starts every task that can start. wall is the time of day, to which the due times of
// occurrences are compared.
func (s *Scheduler) Assign(now, wall time.Time) {
	s.followShareSwitch(now)
	s.pruneShares(now)
	if !s.rights.StartTasks || s.config == nil {
		return
	}
	s.planRunTimeSave(now, wall)
	s.stepStates = s.countStepStates()
	waiting := poolQueues{}
	for _, j := range s.jobs.All() {
		if !j.over() && !j.refused.any() {
			s.addDueOccurrences(now, wall, j)
			s.enqueue(waiting, j)
		}
	}
	s.countPossibleUsage(wall)
	s.enqueueRunsAtRisk(now, wall, waiting)
	if len(waiting) == 0 {
		return
	}
	var fleet job.Resources
	for _, v := range s.vms.All() {
		if s.settings.Policy.FairShares && v.reported {
			fleet = fleet.Add(v.capacity)
		}
		v.pauseWaived = false
		if q := waiting[v.pool]; q != nil {
			q.addVM(v, s.usableIfSound(now, v), v.suspected(now))
			if s.mayReturnTo(now, v) {
				q.cordoned = append(q.cordoned, v)
			}
		}
	}
	for _, q := range waiting {
		q.waivePauses()
	}
	for _, p := range slices.Sorted(maps.Keys(waiting)) {
		q := waiting[p]
		if len(q.vms)+len(q.cordoned) == 0 {
			continue
		}
		a := assignment{s: s, now: now, wall: wall, fleet: fleet, poolQueue: q, index: newVMIndex(q.vms, q.minReservation)}
		a.cordonedIndex = newVMIndex(q.cordoned, q.minReservation)
		a.startCandidates(p, s.candidates(now, q.jobs))
		a.startSecondRuns()
	}
	s.planShareSave(now, wall)
}

// enqueue adds the job to the queue of its pool if one of its tasks waits only for capacity.
func (s *Scheduler) enqueue(waiting poolQueues, j *jobState) {
	var q *poolQueue
	for _, o := range j.occurrences {
		for i := range o.steps {
			if o.steps[i].openTasks == 0 || !o.ready(i) {
				continue
			}
			reservation := o.steps[i].def.Reservation()
			if q == nil {
				q = waiting.queue(s.pool(j), reservation)
				q.jobs = append(q.jobs, j)
			}
			q.minReservation = q.minReservation.Min(reservation)
		}
	}
}

// assignment is one round of task starts in a pool.
type assignment struct {
	s         *Scheduler
	now, wall time.Time
	// fleet is the capacity of all VMs.
	fleet job.Resources
	*poolQueue
	// index holds the usable VMs, cordonedIndex those that are usable but for a wave.
	index, cordonedIndex vmIndex
	// division is how the pool is divided among accounts, or nil if shares are not in force or
	// there is room for all that waits.
	division *fairshare.Division
	// vmsByRack holds the VMs of each rack. It is filled on first use.
	vmsByRack map[job.Label][]*vmState
}

// startJob starts the tasks of a job that can start, as far as capacity is free.
func (a *assignment) startJob(j *jobState) {
	if j.inherited && a.s.blocked(a.now, j) {
		return
	}
	for _, o := range j.occurrences {
		if !o.isDue(a.wall) {
			return
		}
		for i := range o.steps {
			if o.steps[i].openTasks > 0 && o.ready(i) {
				a.startStep(j, o, i)
			}
		}
	}
}

// dueTimeSlack keeps an occurrence from starting before its due time when the clock is coarse.
const dueTimeSlack = 20 * time.Millisecond

// isDue reports whether the occurrence may start.
func (o *occurrence) isDue(wall time.Time) bool {
	return o.due.IsZero() || !wall.Before(o.due.Add(dueTimeSlack))
}

// ready reports whether all steps that step i depends on are complete.
func (o *occurrence) ready(i int) bool {
	for _, after := range o.steps[i].def.After {
		if !o.steps[after].complete() {
			return false
		}
	}
	return true
}

// startStep starts the open tasks of a step, as far as capacity is free and VMs are approved.
func (a *assignment) startStep(j *jobState, o *occurrence, i int) {
	st := &o.steps[i]
	if a.approved(j, st) {
		a.startOpenTasks(j, o, i)
	}
	if st.approval.required && a.anyStartable(st) {
		a.requestApproval(j, o, i)
	}
}

// startOpenTasks starts the open tasks of a step, as far as capacity is free.
func (a *assignment) startOpenTasks(j *jobState, o *occurrence, i int) {
	st := &o.steps[i]
	if st.def.Gang {
		a.startGang(j, o, i)
		return
	}
	full := false
	for _, task := range st.live {
		if !task.open() || a.now.Before(task.notBefore) || a.s.mayHaveEnded(task) || !a.mayIsolate(task) {
			continue
		}
		id := job.TaskID{Job: j.ID, Occurrence: o.index, Step: i, Index: task.index}
		if full && !a.s.claims.Has(id) {
			continue
		}
		// The step's other tasks need the same resources, apart from those that have claimed some.
		full = !a.startOpenTask(j, o, i, task) || full
	}
	if full {
		return
	}
	for task := st.nextTask(); task != nil && a.startOpenTask(j, o, i, task); {
		task = st.nextTask()
	}
}

// startOpenTask starts a task and reports whether there was capacity for it.
func (a *assignment) startOpenTask(j *jobState, o *occurrence, i int, task *taskState) bool {
	st := &o.steps[i]
	if !a.s.withinQuota(j, st.def.Resources) {
		return false
	}
	id := job.TaskID{Job: j.ID, Occurrence: o.index, Step: i, Index: task.index}
	p := placement{job: j, step: st, task: task, id: id}
	if c := a.s.claims.Get(id); c != nil && a.startClaimed(p, c) {
		return true
	}
	index, n := &a.index, a.chooseVM(p)
	if n < 0 && st.def.LongRunning {
		index, n = &a.cordonedIndex, a.chooseCordonedVM(p)
	}
	if n < 0 {
		return false
	}
	a.startTask(j, st, id, task, index.vms[n].vm, a.s.nextAttempt(task))
	index.reposition(n)
	return true
}

// nextAttempt returns the number of the task's next attempt.
func (s *Scheduler) nextAttempt(t *taskState) job.Attempt {
	t.lastAttempt = max(t.lastAttempt, s.settings.AttemptBase) + 1
	return t.lastAttempt
}

// countPossibleUsage sums up what each account may be running on VMs that have not reported to
// this owner: the tasks without a known run of jobs that were started there. The former owner
// may know of ends that this owner hasn't seen, so it may already have started later steps of
// these jobs.
func (s *Scheduler) countPossibleUsage(wall time.Time) {
	s.possibleUsage = nil
	if !s.anyUnreported {
		return
	}
	for _, j := range s.jobs.All() {
		if !j.inherited || !s.mayRunOnUnreportedVM(j) {
			continue
		}
		if s.possibleUsage == nil {
			s.possibleUsage = map[job.AccountName]job.Resources{}
		}
		usage := j.newOccurrence(0).maxUnknownUsage().Mul(j.dueWithoutState(wall))
		for _, o := range j.occurrences {
			usage = usage.Add(o.maxUnknownUsage())
		}
		s.possibleUsage[j.Terms.Account] = s.possibleUsage[j.Terms.Account].Add(usage)
	}
}

// maxUnknownUsage returns the most resources that tasks without a known run can take at any one
// time. If each step depends on the one before it, only one step runs at a time.
func (o *occurrence) maxUnknownUsage() job.Resources {
	var sum, largest job.Resources
	sequential := true
	for i := range o.steps {
		st := &o.steps[i]
		r := st.def.Resources.Mul(st.newTasks())
		for _, t := range st.live {
			if !t.done && len(t.runs) == 0 {
				r = r.Add(st.def.Resources)
			}
		}
		sum, largest = sum.Add(r), largest.Max(r)
		sequential = sequential && (i == 0 || slices.Contains(o.steps[i].def.After, i-1))
	}
	if sequential {
		return largest
	}
	return sum
}

// withinQuota reports whether the job's account stays within its quota if it uses this much
// more. Tasks that may still be running count.
func (s *Scheduler) withinQuota(j *jobState, more job.Resources) bool {
	account := s.config.Account(j.Terms.Account)
	if account == nil {
		return true
	}
	after := s.usage[j.Terms.Account].Add(s.possibleUsage[j.Terms.Account]).Add(more)
	limit := account.Quota
	return (limit.CPU == 0 || after.CPU <= limit.CPU) &&
		(limit.MemMB == 0 || after.MemMB <= limit.MemMB) &&
		(limit.GPU == 0 || after.GPU <= limit.GPU)
}

// startTask books a run of the task on the VM, and sends the start as soon as it is stored that
// the job may run on the VM.
func (a *assignment) startTask(j *jobState, st *stepState, id job.TaskID, t *taskState, v *vmState, n job.Attempt) {
	s := a.s
	s.reportPlaced(a.now, j)
	if !j.possibleVMs.Has(v.id) {
		a.recordPossibleVMs(j, v)
	}
	r := &run{
		task: id, attempt: n, vm: v, reservation: st.def.Reservation(), quotaUsage: st.def.Resources, account: j.Terms.Account,
		orderedAt: a.now, pacePercent: 100, requiredSave: j.possibleVMs.Get(v.id),
	}
	r.setKind(st.def)
	r.setCrashKind(t)
	if r.isolated {
		a.isolated++
	}
	s.recordStart(j, t, r)
	s.requireAnswer(a.now, r)
	s.addRun(a.now, r, st, t)
	if j.zone == "" {
		j.zone = v.zone
	}
	if st.def.SameRack && st.rack == "" {
		st.rack = v.rack
	}
	if s.readyToSend(a.now, r) {
		s.sendStart(a.now, r)
		return
	}
	s.plannedStarts = append(s.plannedStarts, r)
}

// reportPlaced reports the rank that the job had when its first task was given a VM.
func (s *Scheduler) reportPlaced(now time.Time, j *jobState) {
	if j.placed || j.longRunning {
		return
	}
	j.placed = true
	s.reportDecision(Decision{
		Kind: JobPlaced, Job: j.ID, Reason: j.rating.rank.String(), After: now.Sub(j.arrived),
		Slack: j.objective.Sub(now.Add(s.remainingTime(j, j.currentOccurrence()))),
	})
}

// recordPossibleVMs records that the job's tasks may run on the VM and on all others of its
// rack. The record is stored before the start. Without this record a new owner could not
// restart any of the tasks while any VM is out of reach. Storing each VM separately would cost
// a transaction before each start, which takes 0.3 s when the table is slow. The job's next
// tasks are likely to go to the same rack, and the VMs of a rack fail together anyway.
func (a *assignment) recordPossibleVMs(j *jobState, v *vmState) {
	save := a.s.nextSaveSequence()
	j.possibleVMs.Set(v.id, save)
	for _, n := range a.rackVMs(v.rack) {
		if !j.possibleVMs.Has(n.id) {
			j.possibleVMs.Set(n.id, save)
		}
	}
	a.s.markDirty(j)
}

// rackVMs returns the VMs of a rack. VMs without a rack label belong to none.
func (a *assignment) rackVMs(rack job.Label) []*vmState {
	if a.vmsByRack == nil {
		a.vmsByRack = map[job.Label][]*vmState{}
		for _, v := range a.vms {
			if v.rack != "" {
				a.vmsByRack[v.rack] = append(a.vmsByRack[v.rack], v)
			}
		}
	}
	return a.vmsByRack[rack]
}
