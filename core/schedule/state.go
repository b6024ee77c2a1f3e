package schedule

import (
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/lease"
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
	orderedAt      time.Time
	confirmedAt    time.Time
	percent        int
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
	// isolated runs belong to a task that is given up if its VM crashes once more.
	// Nothing else starts on their VM.
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
	// expectedEnd is when the run ends at its last pace, if that was slow.
	expectedEnd time.Time
}

// setKind sets the kind of task that runs.
func (r *run) setKind(def *job.Step) {
	r.longRunning, r.serving, r.spareCPU = def.LongRunning, def.TailLatencyTarget > 0, def.SpareCPU
}

// setPhase moves the run to another phase.
func (r *run) setPhase(p runPhase) {
	if r.phase == runOrdered {
		r.vm.orderedRuns--
	}
	if p == runOrdered {
		r.vm.orderedRuns++
	}
	r.phase = p
}

// taskState is the state of one task of a step.
type taskState struct {
	done           bool
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

// stepState is the state of one step of an occurrence.
type stepState struct {
	def       *job.Step
	tasks     []taskState
	doneTasks int
	// openTasks counts the tasks that wait for a start.
	openTasks int
	// tickets holds a ticket for each VM that may run the step, if its queue requires an
	// approval. The tickets are used until ticketsUntil.
	tickets           map[job.VMID]string
	ticketsUntil      time.Time
	approvalRequested bool
	approvalRetryAt   time.Time
	// rack is where the step's first task was placed, if its tasks should share a rack.
	rack job.Label
	// runTimes are the durations of the successful runs.
	runTimes []time.Duration
	// longestRun is the longest of runTimes, once all tasks have ended.
	longestRun time.Duration
	// sizeCounted is set once the step's size is counted in the queue's forecast.
	sizeCounted bool
	// gangAttempt is the attempt that all members of a gang share.
	gangAttempt job.Attempt
}

func (s *stepState) complete() bool { return s.doneTasks == len(s.tasks) }

// recount updates the count of open tasks after a task has changed.
func (s *stepState) recount() {
	s.openTasks = 0
	for i := range s.tasks {
		if s.tasks[i].open() {
			s.openTasks++
		}
	}
}

// occurrence is one scheduled execution of a job's steps.
type occurrence struct {
	index     int
	due       time.Time
	steps     []stepState
	doneSteps int
}

// jobState is a job that isn't over, or whose end isn't stored yet.
type jobState struct {
	job.Job
	arrived         time.Time
	state           job.State
	occurrences     []*occurrence
	doneOccurrences int
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
	// endedAt is when the job ended.
	endedAt time.Time
	// possibleVMs maps each VM on which a task may have been started to the save that records
	// it.
	possibleVMs orderedMap[job.VMID, int64]
	// typicalRun is the typical run time of the last complete step, or 0 if there is
	// none.
	typicalRun time.Duration
	// zone is the availability zone of the job's first placed task.
	zone job.ZoneName
	// rating is the job's rank in its pool, as of ratedAt.
	rating  candidate
	ratedAt time.Time
}

func (j *jobState) over() bool { return j.state.Final() }

// vmState is the state of a VM as this owner knows it.
//
// A life of a VM is one boot of it. It is identified by the VM's ID and born, the time of the
// boot. A VM that crashes and restarts under the same ID begins a new life with a greater
// born: its runs are gone, its clock starts from zero and its ends are numbered from 1 again.
// A machine hosts one life at a time.
type vmState struct {
	id       job.VMID
	address  string
	pool     job.PoolName
	rack     job.Label
	zone     job.ZoneName
	labels   map[job.Label]bool
	capacity job.Resources
	used     job.Resources
	machine  job.MachineID
	// host is the state of the VM's machine, or nil if the machine isn't listed.
	host *machineState
	born job.Born
	// entryBorn is the born of the life that the VM's directory entry describes.
	entryBorn job.Born
	// fence is greater than that of all orders sent to a previous life, so the current
	// life refuses those that arrive late.
	fence job.Fence
	// listed is set while the VM has an entry in the directory.
	listed     bool
	unlistedAt time.Time
	draining   bool
	// evacuated is set while the VM's availability zone is being evacuated.
	evacuated bool

	clock lease.Clock
	// leaseEnd is the time on the VM's clock up to which its lease may last: the latest
	// deadline of any order sent to it.
	leaseEnd job.VMClock
	runs     orderedMap[runKey, *run]
	// longRunningRuns, servingRuns and spareCPURuns count the runs of each kind, and
	// stoppingRuns the runs that were ordered to stop. The counters avoid a scan of all runs
	// in each round.
	longRunningRuns, servingRuns, spareCPURuns int
	stoppingRuns                               int
	// crashSuspects counts the runs of tasks under which a VM has crashed.
	crashSuspects int
	// isolatedRuns counts the runs beside which nothing else may start.
	isolatedRuns int
	// unknownRuns counts the runs whose reservation is unknown. While there are any, the free
	// capacity is unknown too.
	unknownRuns int
	// orderedRuns counts the starts that wait for an answer.
	orderedRuns int
	// unresponsive VMs have left a start unanswered and haven't answered anything since.
	unresponsive bool
	// probeInFlight is set while a probe is in flight. probedAt is when the last one was
	// sent.
	probeInFlight bool
	probedAt      time.Time
	// listClock is the VM's clock reading of the newest list applied. listCount is the
	// number of lists applied.
	listClock job.VMClock
	listCount int64

	// A VM numbers the ends of its runs. lastEnd is the number of the last end handled.
	// acknowledgedEnd is the number of the last end that is stored together with all ends
	// before it: holds acknowledge that end, and the VM may then delete all ends up to it.
	// unsavedEnds are the ends between the two.
	lastEnd         int64
	acknowledgedEnd int64
	unsavedEnds     []unsavedEnd

	firstListedAt time.Time
	// idleSince is when the VM last ran something.
	idleSince    time.Time
	holdInFlight bool
	// reported is set once the current life of the VM has listed all of its runs and ends in
	// answer to a hold.
	reported bool
	// firstReportedAt is when the VM first reported to this owner. From then on the VM
	// refuses a former owner's orders.
	firstReportedAt time.Time
	nextHoldAt      time.Time
	// nextPaceAt is when to adjust the pace of spare-CPU tasks next.
	nextPaceAt time.Time
	lastAnswer time.Time
	silent     bool
	// silentSince is when the VM was found silent.
	silentSince  time.Time
	holdFailures int
	// failedRuns counts the failed runs since the last successful one.
	failedRuns int
	// suspectUntil is when the VM may get tasks again after failed runs or an unanswered start.
	suspectUntil time.Time
	// slowUntil is when the VM may get tasks again after a slow run.
	slowUntil time.Time
	// slowRuns are the slow runs of the list that is being applied. usualEndAt is when a run
	// last ended here after a usual run time.
	slowRuns   []slowRun
	usualEndAt time.Time
	// fullUntil is when the VM may get tasks again after it refused one for lack of capacity.
	// refusals counts these refusals in a row.
	fullUntil time.Time
	refusals  int
	// rosterEntry is the VM's entry in the roster, and rosterSave the save that stores
	// it. Tasks may start on the VM once that is stored.
	rosterEntry RosterVM
	rosterSave  int64
	// cordoned VMs get no new tasks because their machine is due for maintenance or moves to
	// another pool.
	cordoned bool
	// vacating VMs get tasks only if no other VM has room.
	vacating bool
	// yielding VMs get no tasks, because urgent work of another pool needs their machines.
	// Long-running tasks are excepted.
	yielding bool
	// lostStarts are unanswered starts that the VM's current life can no longer execute,
	// but that the VM might still execute if it restarts under the same ID.
	lostStarts []*run
	// lifeEnded is set once the VM's current life is known to have ended, and cleared when
	// the VM answers a hold.
	lifeEnded bool
	// expiredRuns are the runs that were freed because the lease expired. They are kept until
	// it is known whether the VM crashed, or until expiredRunsUntil.
	expiredRuns      []*run
	expiredRunsUntil time.Time
	// inheritedUntil is when no run of a former owner can remain here if the VM stays silent.
	// It is zero once the VM's runs are known.
	inheritedUntil time.Time
}

// runKey identifies a run on a VM.
type runKey struct {
	task    job.TaskID
	attempt job.Attempt
}

// unsavedEnd is an end that may be acknowledged once the save with the sequence save is stored.
type unsavedEnd struct {
	endNumber int64
	save      int64
}
