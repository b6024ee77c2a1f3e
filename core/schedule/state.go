package schedule

import (
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/lease"
)

// runPhase is what is known of a run.
type runPhase int

const (
	// runPlanned: its room is taken; the start isn't sent yet.
	runPlanned runPhase = iota
	// runOrdered: the start is on its way.
	runOrdered
	// runUnanswered: the start had no answer; it may run.
	runUnanswered
	// runConfirmed: the VM has said that it runs.
	runConfirmed
)

// run is one start of a task on a VM, until nothing of it can run any more.
type run struct {
	task    job.TaskID
	attempt job.Attempt
	vm      *vmState
	phase   runPhase
	// after is the save that must be stored before the start is sent.
	after int64
	claim job.Room
	// account pays with cost, which counts CPU that fills gaps too.
	account job.AccountName
	cost    job.Room
	// startBy is the start's deadline on the VM's clock.
	startBy job.VMClock
	// confirmedClock is the VM's clock when it confirmed the run.
	confirmedClock job.VMClock
	orderedAt      time.Time
	confirmedAt    time.Time
	percent        int
	load           int64
	pace           int
	// stopping is set once its end was ordered; resendStop is when to repeat that.
	stopping   bool
	resendStop time.Time
	// stopClock is the VM's clock when it answered the stop; 0 if it hasn't.
	stopClock job.VMClock
	// adopted runs were started by a former owner.
	adopted bool
	// recorded runs are stored with their job; suspect ones are of a task under which a
	// VM has crashed.
	recorded, suspect bool
	// trial runs are of a task that is given up if its VM crashes once more.
	trial bool
	// stray runs are of a job that isn't known, so that their claim isn't either.
	stray bool
	// lasting, serving and fills tell what kind of task it is.
	lasting, serving, fills bool
	// resumed is set if it went on from a checkpoint.
	resumed bool
	// list is the number of the VM's last list that showed the run.
	list int64
	// listedAt is when a list last showed its progress; markAt and markPercent are
	// the reading with which the next one is compared.
	listedAt    time.Time
	markAt      time.Time
	markPercent int
}

// setKind notes what kind of task runs.
func (r *run) setKind(def *job.Step) {
	r.lasting, r.serving, r.fills = def.Lasting, def.TailTarget > 0, def.Fills
}

// enter moves the run to another phase.
func (r *run) enter(p runPhase) {
	if r.phase == runOrdered {
		r.vm.ordered--
	}
	if p == runOrdered {
		r.vm.ordered++
	}
	r.phase = p
}

type taskState struct {
	done    bool
	failed  []job.Attempt
	runs    []*run
	attempt job.Attempt
	saved   job.Checkpoint
	// notBefore delays the next start after a failure.
	notBefore time.Time
	// shunned is the VM where the last run failed.
	shunned job.VMID
	// awaySince is when a lasting task was last seen at work, or ended.
	awaySince time.Time
	// rescued counts the runs that were given up as slow.
	rescued int
	// unseenEnd is set once a run ended of which no list can tell any more.
	unseenEnd bool
	// crashes are the VMs that crashed under it; until apartUntil it shares no VM with
	// another such task.
	crashes    crashes
	apartUntil time.Time
	// lapsed are the runs that were freed since their VM's lease was over.
	lapsed []*run
}

// open tells whether the task waits for a start.
func (t *taskState) open() bool {
	return !t.done && len(t.runs) == 0 && !t.crashes.tooMany() && !t.mayBeTooMany()
}

// live returns the run of the task that isn't stopping, or nil.
func (t *taskState) live() *run {
	for _, r := range t.runs {
		if !r.stopping {
			return r
		}
	}
	return nil
}

type stepState struct {
	def   *job.Step
	tasks []taskState
	done  int
	// open counts the tasks that wait for a start.
	open int
	// tickets are the VMs that may run the step, where it needs advice.
	tickets  map[job.VMID]string
	ticketsT time.Time
	asked    bool
	askAt    time.Time
	// rack is where the step's first task went, if its tasks should share one.
	rack job.Label
	// took are the times of the runs that ended well.
	took []time.Duration
	// longest is the longest of them, once all tasks have ended.
	longest time.Duration
	// gangAttempt is the attempt that all members share.
	gangAttempt job.Attempt
}

func (s *stepState) complete() bool { return s.done == len(s.tasks) }

// recount counts the open tasks after one has changed.
func (s *stepState) recount() {
	s.open = 0
	for i := range s.tasks {
		if s.tasks[i].open() {
			s.open++
		}
	}
}

type occurrence struct {
	number int
	due    time.Time
	steps  []stepState
	done   int
}

// jobState is a job that isn't over.
type jobState struct {
	job.Job
	arrived     time.Time
	state       job.State
	occurrences []*occurrence
	doneCount   int
	begun       bool
	// placed is set once its first task has been given a VM.
	placed    bool
	inherited bool
	// takenOver jobs were begun by a former owner.
	takenOver bool
	lasting   bool
	// excess is set if its account had handed in more than its share.
	excess bool
	// objective is when the job is due to be complete.
	objective time.Time
	late      time.Time
	// dirty is set while a save of the job is due; saved is the sequence of the last one.
	dirty bool
	saved int64
	// closedAt is when the job was over.
	closedAt time.Time
	// places are the VMs on which a task may have been started, and the save that
	// says so.
	places orderedMap[job.VMID, int64]
	// typical is the typical run time of its last complete step; 0 if none is.
	typical time.Duration
	// zone is where its first task went.
	zone job.ZoneName
	// rating is the job's place in the order of its pool, as of ratedAt.
	rating  candidate
	ratedAt time.Time
}

func (j *jobState) over() bool { return j.state.Final() }

// vmState is one VM as this owner knows it.
type vmState struct {
	id      job.VMID
	address string
	pool    job.PoolName
	rack    job.Label
	zone    job.ZoneName
	labels  map[job.Label]bool
	room    job.Room
	used    job.Room
	machine job.MachineID
	// host is that machine as it is listed, or nil.
	host *machineState
	born job.Born
	// entryBorn is the life that the VM's entry in the directory is of.
	entryBorn job.Born
	// fence is above that of all orders that were sent to a former life: the new one
	// refuses those that come late.
	fence job.Fence
	// listed is set while the VM's entry stands in the directory.
	listed     bool
	unlistedAt time.Time
	draining   bool
	// evacuated is set while the VM's availability zone is.
	evacuated bool

	clock lease.Clock
	// leaseEnd is the latest deadline that any order carried.
	leaseEnd job.VMClock
	runs     orderedMap[runKey, *run]
	// lasting, serving and fills count the runs of each kind, stopping those whose end
	// is ordered: their runs need not be looked at in each turn.
	lasting, serving, fills int
	stopping                int
	// suspects counts the runs of tasks under which a VM has crashed.
	suspects int
	// trials counts the runs beside which nothing starts.
	trials int
	// strays counts the runs whose claim isn't known: how much room is free isn't either.
	strays int
	// ordered counts the starts that wait for their answer.
	ordered int
	// doubtful VMs leave a start without an answer, and nothing was heard of them since.
	doubtful bool
	// looking is set while a look is on its way, which was sent at lookedAt.
	looking  bool
	lookedAt time.Time
	// listClock is the VM's clock of the newest list taken in, lists their number.
	listClock job.VMClock
	lists     int64

	// seen is the last end taken in, noted the last one that is stored.
	seen   int64
	noted  int64
	unsure []unsavedEnd

	firstSeen time.Time
	// idleSince is when the VM last ran something.
	idleSince time.Time
	holding   bool
	heldOnce  bool
	// heldFirst is when it was: from then on it refuses a former owner's orders.
	heldFirst time.Time
	nextHold  time.Time
	// paceAt is when to look at the pace of filling tasks next.
	paceAt   time.Time
	answered time.Time
	silent   bool
	// silentSince is when it was found silent.
	silentSince time.Time
	failures    int
	// failedRuns counts failed runs since the last that was done.
	failedRuns int
	suspect    time.Time
	// slowUntil is when the VM may get tasks again after one was slow there.
	slowUntil time.Time
	// fullUntil is when the VM may get tasks again after it refused one for want of
	// room, refusals how often it did so in a row.
	fullUntil time.Time
	refusals  int
	// rostered is what the roster says of the VM, inRoster the save of that: tasks may
	// start here once it is stored.
	rostered RosterVM
	inRoster int64
	// cordoned VMs get no new tasks since their machine is due for upkeep.
	cordoned bool
	// vacating VMs get tasks only if no other has room.
	vacating bool
	// lost are starts without an answer that came too late for this life. A new
	// life under the same ID would still carry them out.
	lost []*run
	// over is set once it is proved that the VM's life has ended.
	over bool
	// lapsed are the runs that were freed since the lease was over, remembered until
	// lapsedUntil if it isn't known by then whether the VM had crashed.
	lapsed      []*run
	lapsedUntil time.Time
	// inheritedUntil is when nothing of a former owner can run here any more, if the VM
	// stays silent; zero once it is known what runs here.
	inheritedUntil time.Time
}

type runKey struct {
	task    job.TaskID
	attempt job.Attempt
}

// unsavedEnd is an end that may be noted once the save is stored.
type unsavedEnd struct {
	number int64
	save   int64
}
