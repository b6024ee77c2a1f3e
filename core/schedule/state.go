package schedule

import (
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule/indexset"
)

// runPhase is the progress of a run's start, as known to the owner.
type runPhase int

const (
	// runPlanned: the resources are reserved, but the start is not sent yet.
	runPlanned runPhase = iota
	// runOrdered: the start is sent and not answered yet.
	runOrdered
	// runUnanswered: the start had no answer, so the task may be running.
	runUnanswered
	// runConfirmed: the VM has reported the run.
	runConfirmed
)

// run is one execution of a task on a VM, from the decision to start it. It is kept until
// the VM is certain not to execute it any more.
type run struct {
	task    job.TaskID
	attempt job.Attempt
	vm      *vmState
	phase   runPhase
	// requiredSave is the save that must be stored before the start is sent.
	requiredSave int64
	reservation  job.Resources
	// account is the client account that the run's cost counts against. cost includes spare
	// CPU, which isn't reserved.
	account    job.AccountName
	quotaUsage job.Resources
	// sharePool is the pool in which the reservation counts as room that the account holds, or
	// empty if it doesn't count.
	sharePool job.PoolName
	// startBy is the start's deadline on the VM's clock.
	startBy job.VMClock
	// confirmedClock is the VM's clock reading when it last reported the run.
	confirmedClock job.VMClock
	// stableClock is the reading of the VM's clock from which the run is stable, or 0 if the VM
	// has not confirmed the run.
	stableClock job.VMClock
	orderedAt   time.Time
	confirmedAt time.Time
	percent     int
	// load is the tail latency in milliseconds of a task that serves users, and the CPU
	// usage of other tasks.
	load int64
	// pacePercent is the pace that a spare-CPU task was last given.
	pacePercent int
	// stopping is set once a stop was ordered. resendStopAt is when to repeat it.
	stopping     bool
	resendStopAt time.Time
	// stopClock is the VM's clock reading when it answered the stop, or 0 if it hasn't.
	stopClock job.VMClock
	// adopted runs were started by a former owner.
	adopted bool
	// recorded runs are stored with their job. crashSuspect runs belong to a task under
	// which a VM has crashed.
	recorded, crashSuspect bool
	// isolated runs belong to a task under which so many VMs have crashed that it runs alone. Nothing
	// else starts on their VM.
	isolated bool
	// unknownJob runs belong to a job that isn't known, so their reservation isn't known
	// either.
	unknownJob bool
	// longRunning, serving and spareCPU describe the kind of task.
	longRunning, serving, spareCPU bool
	// resumed is set if the run continued from a checkpoint.
	resumed bool
	// lastListCount is the VM's listCount as of the last list that contained the run.
	lastListCount int64
	// listedAt is when a list last contained the run. progressAt and progressPercent are
	// the earlier reading that the next one is compared with.
	listedAt        time.Time
	progressAt      time.Time
	progressPercent int
	// pace is the result of the last comparison, and movedAt when the run was last seen to have
	// progressed.
	pace    pace
	movedAt time.Time
	// suspectedAt is when the run was first taken for a sign that its VM is slow.
	suspectedAt time.Time
	// expectedEnd is when the run ends at its last pace, if that was slow.
	expectedEnd time.Time
}

// setKind sets the kind of task that runs.
func (r *run) setKind(def *job.Step) {
	r.longRunning, r.serving, r.spareCPU = def.LongRunning, def.TailLatencyTarget > 0, def.SpareCPU
}

// setPhase moves the run to another phase.
func (r *run) setPhase(p runPhase) {
	switch r.phase {
	case runPlanned:
		r.vm.plannedRuns--
	case runOrdered:
		r.vm.orderedRuns--
	case runUnanswered, runConfirmed:
	}
	if p == runOrdered {
		r.vm.orderedRuns++
	}
	r.phase = p
}

// taskState is the state of one task of a step.
type taskState struct {
	index int
	done  bool
	// busy is set while the task is counted as one that neither is done nor waits for a start.
	busy           bool
	failedAttempts []job.Attempt
	runs           []*run
	lastAttempt    job.Attempt
	checkpoint     job.Checkpoint
	// notBefore delays the next start after a failure.
	notBefore time.Time
	// avoidVM is the VM on which the last run failed or stood still.
	avoidVM job.VMID
	// unavailableSince is when a long-running task's run ended. It is zero before the first
	// run has ended, and again once the task is available.
	unavailableSince time.Time
	// slowStops counts the runs that were stopped as slow, and stallStops those that were
	// stopped as stalled.
	slowStops, stallStops int
	// roomStops counts the runs that were stopped to make room for urgent work.
	roomStops int
	// long is set once a slow run showed that the task takes long on any VM. tailCounted is set
	// once that is counted in the queue's statistics.
	long, tailCounted bool
	// endUnknown is set once a run ended in a way that no list can report any more.
	endUnknown bool
	// crashes counts the VMs that crashed under the task. Until separateUntil the task
	// shares no VM with another task under which a VM crashed.
	crashes       crashes
	separateUntil time.Time
	// expiredRuns are the runs that were freed because their VM's lease expired.
	expiredRuns []*run
}

// open reports whether the task waits for a start.
func (t *taskState) open() bool {
	return !t.done && len(t.runs) == 0 && !t.crashes.limitReached() && !t.mayReachCrashLimit()
}

// activeRun returns a run of the task that isn't stopping, or nil.
func (t *taskState) activeRun() *run {
	for _, r := range t.runs {
		if !r.stopping {
			return r
		}
	}
	return nil
}

// jobState is a job that isn't over, or whose end isn't stored yet.
type jobState struct {
	job.Job
	arrived time.Time
	state   job.State
	// occurrences holds the occurrences that are due and not over, by ascending index. All before
	// nextOccurrence have had a state, or are in doneOccurrences, which holds the complete ones.
	occurrences     []*occurrence
	nextOccurrence  int
	doneOccurrences indexset.Set
	begun           bool
	// placed is set once the job's first task has been given a VM.
	placed bool
	// inherited is set if a former owner may have started tasks of the job. It is cleared once
	// none of them can run on a VM that has not reported to this owner.
	inherited bool
	// takenOver jobs were inherited, and their stored progress names VMs on which a former
	// owner may have started tasks.
	takenOver   bool
	longRunning bool
	// blockedBy is the VM that was last reported to block the job; see Scheduler.blocked.
	blockedBy job.VMID
	// beyondShare is set if the job's account had exceeded its share when the job
	// arrived.
	beyondShare bool
	// objective is when the job is due to be complete. After lateLimit its result is of no
	// use to its caller.
	objective time.Time
	lateLimit time.Time
	// dirty is set while the job has changes that no save contains. lastSave is the
	// sequence of its last save.
	dirty    bool
	lastSave int64
	// refused tells whether the table refuses the job's progress.
	refused refusedSaves
	// endedAt is when the job ended.
	endedAt time.Time
	// possibleVMs maps each VM on which a task may have been started to the save that records
	// it.
	possibleVMs orderedMap[job.VMID, int64]
	// typicalRun is the typical run time of the last complete step, or 0 if there is
	// none.
	typicalRun time.Duration
	// typicalLogEstimate is the logarithm of that step's estimate in seconds, or of the estimate of the
	// long task that typicalRun was learned from.
	typicalLogEstimate float64
	// zone is the availability zone of the job's first placed task.
	zone job.ZoneName
	// rating is the job's rank in its pool, as of ratedAt.
	rating  candidate
	ratedAt time.Time
}

func (j *jobState) over() bool { return j.state.Final() }
