package schedule

import (
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/lease"
)

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
	// leavesAt is when a draining VM may leave.
	leavesAt time.Time
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
	// longRunningUsed is what the long-running runs reserve.
	longRunningUsed job.Resources
	// claims are the claims on room of this VM.
	claims []*roomClaim
	// crashSuspects counts the runs of tasks under which a VM has crashed.
	crashSuspects int
	// isolatedRuns counts the runs beside which nothing else may start.
	isolatedRuns int
	// unknownRuns counts the runs whose reservation is unknown. While there are any, the free
	// capacity is unknown too.
	unknownRuns int
	// plannedRuns counts the starts that aren't sent yet, and orderedRuns those that wait for an
	// answer.
	plannedRuns, orderedRuns int
	// stepRuns counts the runs of each step.
	stepRuns map[job.StepID]int
	// unresponsive VMs have left a start unanswered and haven't answered anything since.
	unresponsive bool
	// answerRequired is set while a planned start waits for an answer of the VM.
	answerRequired bool
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
	// suspectUntil is when the VM may get tasks again after failed runs, and noAnswerUntil after a start
	// that it left unanswered or refused as unhealthy.
	suspectUntil, noAnswerUntil time.Time
	// slowUntil is when the VM may get tasks again after a slow run.
	slowUntil time.Time
	// slowRuns are the slow runs of the list that is being applied. usualEndAt is when a run
	// last ended here after a usual run time.
	slowRuns   []slowRun
	usualEndAt time.Time
	// usualEnds are when the last two runs ended here that took at most as long as is usual in their
	// queues.
	usualEnds [2]time.Time
	// pauseWaived is set while the VM gets tasks although it is suspected, see poolQueue.waivePauses.
	pauseWaived bool
	// fullUntil is when the VM may get tasks of at least fullFor again after it refused one for lack of
	// capacity.
	// refusals counts these refusals in a row.
	fullUntil time.Time
	fullFor   job.Resources
	refusals  int
	// rosterEntry is the VM's entry in the roster, and rosterSave the save that stores
	// it. Tasks may start on the VM once that is stored.
	rosterEntry RosterVM
	rosterSave  int64
	// rosterRefused is set if the table refuses the entry for good.
	rosterRefused bool
	// waveCordoned VMs get no new tasks because their machine is due for maintenance.
	waveCordoned bool
	// departing VMs leave because their machine is ordered into another pool. They are idle and
	// have no entry in the roster.
	departing bool
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
	// restartLeaseEnd is when no run can remain here any more if the VM has restarted. It is zero
	// once the VM's runs are known.
	restartLeaseEnd time.Time
	// inheritedJobs holds the jobs whose tasks a former owner may have left here, with the time
	// until which they may run. If it is nil, any job's may run until inheritedUntil.
	inheritedJobs map[job.ID]time.Time
	// storedLease is what the VM's entry in the roster says of its lease. The lease may be extended
	// once the save leaseSave is stored, which removes an earlier one.
	storedLease *RosterLease
	leaseSave   int64
}

// runKey identifies a run on a VM.
type runKey struct {
	task    job.TaskID
	attempt job.Attempt
}

// unsavedEnd is an end that may be acknowledged once the save with the sequence save is stored.
type unsavedEnd struct {
	endNumber int64
	job       job.ID
	save      int64
}
