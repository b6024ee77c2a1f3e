// Package schedule decides which task runs on which VM, and tracks the state of both. It uses
// no clock, network or goroutines: callers pass in events together with the current time, and
// collect the resulting commands.
//
// One process at a time owns the fleet and runs a Scheduler. If it fails, another process takes
// over with a Scheduler of its own. The owner sends Start commands to VMs. A VM runs tasks only
// while its lease lasts, which Hold commands extend. A VM answers a hold with a report that
// lists its running tasks and the ends of those that have ended. The owner acknowledges an end
// once its consequences are stored, and the VM then deletes the end. A VM that leaves a hold
// unanswered is silent: its tasks may still be running, and are started elsewhere only once its
// lease has expired or the VM is known to have crashed or been shut down.
package schedule

import (
	"maps"
	"slices"
	"time"

	"lavenderpond/core/forecast"
	"lavenderpond/core/job"
	"lavenderpond/core/policy"
	"lavenderpond/core/schedule/inflight"
)

// Settings configure a Scheduler.
type Settings struct {
	// Fence is the fencing token that lets VMs refuse the orders of former owners.
	Fence job.Fence
	// AttemptBase is less than every attempt number of this owner and greater than those of
	// all former owners.
	AttemptBase job.Attempt
	// TakeoverTime is when this owner took over the fleet.
	TakeoverTime time.Time
	// LeaseMax is the longest lease that a VM allows, and FormerLease the longest that the former
	// owner granted; 0 if that isn't known.
	LeaseMax, FormerLease time.Duration
	// TaskStopMax is the longest time that a task takes to stop.
	TaskStopMax time.Duration
	// ShrinkNotice is how long starts may still rely on the previous capacity of a VM after the
	// VM has shrunk; 0 means without limit.
	ShrinkNotice time.Duration
	// MachineLease is how long this owner doesn't order a machine after an order of another
	// issuer.
	MachineLease time.Duration
	// MachineMoveTime is how long a machine takes to arrive in another pool.
	MachineMoveTime time.Duration
	// OrderIssuer identifies this owner in its orders for machines.
	OrderIssuer string
	// FormerOrders lists the machines that may have been given an order shortly before the
	// takeover.
	FormerOrders []MachineOrder
	// Policy says which decisions under scarcity are in force.
	Policy policy.Policy
	// ApprovalMaxVMs is the most VMs that one request for an approval may name; 0 if that isn't
	// known.
	ApprovalMaxVMs int
	// MaxStepStates is the number of steps of occurrences with a state from which jobs get no further
	// occurrence beside those that they have; 0 means no limit. Each state takes StepStateBytes.
	MaxStepStates int
	// Observer receives the scheduler's decisions; it may be nil.
	Observer Observer
}

// Scheduler holds what the owner knows of jobs, VMs and machines.
type Scheduler struct {
	settings Settings
	config   *job.Configuration
	jobs     orderedMap[job.ID, *jobState]
	vms      orderedMap[job.VMID, *vmState]
	// stepStates is the number of steps of all occurrences with a state, as of the last round and with what was
	// added since.
	stepStates int
	// endTimes holds the jobs whose final state is stored, with the time at which they ended.
	endTimes map[job.ID]time.Time
	// usage is the resources that each client account's running tasks use, including tasks that
	// may be running.
	usage map[job.AccountName]job.Resources
	// possibleUsage is what each account may be using in addition, on VMs that have not
	// reported to this owner yet.
	possibleUsage map[job.AccountName]job.Resources
	commands      []Command
	dirtyJobs     []*jobState
	// saveSequence is the sequence of the latest save, storedSequence that of the latest save
	// that is stored.
	saveSequence   int64
	storedSequence int64
	// finishedJobs holds the jobs that are over but not yet forgotten.
	finishedJobs []*jobState
	// refusedJobs are the jobs whose progress the table refuses to store.
	refusedJobs []*jobState
	// plannedStarts and pendingOrders are starts of tasks and orders for machines that wait
	// until a save is stored. Starts may also wait for an answer of their VM.
	plannedStarts []*run
	pendingOrders []pendingOrder
	// recentOrders holds the machines that were given an order recently.
	recentOrders orderedMap[job.MachineID, recentOrder]
	dirtyOrders  []job.MachineID
	dirtyVMs     []job.VMID
	dirtyWaves   []*waveState
	// nextForgetEnded is the next time to forget jobs that ended long ago.
	nextForgetEnded time.Time
	rights          Rights
	// fence is the fencing token for VMs that appear or restart from now on.
	fence  job.Fence
	queues map[job.QueueName]*queueStats
	// forecasts holds the distributions of run times, if the policy asks for them.
	forecasts    map[job.QueueName]*forecast.Queue
	runTimeSaves runTimeSaves
	machines     orderedMap[job.MachineID, *machineState]
	// moves limits the moves in flight to what the machines' service answers in time.
	moves inflight.Window
	// vacating are the VMs that get tasks only if no other VM has room.
	vacating []job.VMID
	// unsavedVMs are the VMs with ends that aren't stored yet.
	unsavedVMs []*vmState
	// directoryAsOf is the time up to which all changes to the directory are known.
	directoryAsOf time.Time
	waves         orderedMap[int64, *waveState]
	// maintenanceOrders counts the orders for the maintenance of each machine, over all waves. It
	// is more than one only if former owners have left it so.
	maintenanceOrders map[job.MachineID]int
	// claims holds the room that long-running tasks have claimed on other VMs.
	claims orderedMap[job.TaskID, *roomClaim]
	// anyWaveCordon is set while a VM is cordoned for maintenance.
	anyWaveCordon bool
	// drainingVMs counts the VMs that are draining.
	drainingVMs int
	// evacuatedZones are the availability zones in which no task may start.
	evacuatedZones zoneSet
	pools          map[job.PoolName]*poolStats
	shares         shares
	fairness       fairness
	nextSizing     time.Time
	// anyUnreported is set while a VM on which a former owner's tasks may still run has not
	// reported to this owner.
	anyUnreported bool
	// nextPruneOrders is the next time to remove machine orders that are no longer recent.
	nextPruneOrders time.Time
	// approvalRequests counts the requests for approvals without an answer.
	approvalRequests int
	backlog          map[job.QueueName]int
	backlogExpires   time.Time
	outlook          outlook
	refusals         refusals
}

// New returns a scheduler that knows no jobs or VMs yet.
func New(s Settings) *Scheduler {
	out := &Scheduler{
		settings:          s,
		maintenanceOrders: map[job.MachineID]int{},
		fence:             s.Fence,
		endTimes:          map[job.ID]time.Time{},
		usage:             map[job.AccountName]job.Resources{},
		queues:            map[job.QueueName]*queueStats{},
		forecasts:         map[job.QueueName]*forecast.Queue{},
		pools:             map[job.PoolName]*poolStats{},
		shares:            shares{},
	}
	for _, o := range s.FormerOrders {
		out.inheritOrder(o)
	}
	return out
}

// Configure puts a configuration in force. A version below the present one is ignored.
func (s *Scheduler) Configure(c *job.Configuration) {
	if s.config != nil && c.Version < s.config.Version {
		return
	}
	s.config = c
}

// SetPolicy puts the operators' policy in force from the next round on.
func (s *Scheduler) SetPolicy(p policy.Policy) { s.settings.Policy = p }

// Policy returns the policy in force. Its exceptions must not be modified.
func (s *Scheduler) Policy() policy.Policy { return s.settings.Policy }

// Rights are the kinds of orders that the owner may give. They depend on how long ago its
// ownership was last confirmed.
type Rights struct {
	// OrderMachines permits orders for machines, and moving long-running tasks.
	OrderMachines bool
	// StartTasks permits starting tasks, ExtendLeases extending leases on VMs.
	StartTasks, ExtendLeases bool
}

// SetRights sets what the owner may do at this moment.
func (s *Scheduler) SetRights(r Rights) { s.rights = r }

// RaiseFence raises the fencing token to a table version at which its ownership was confirmed.
// That version is below the fencing token of any later owner.
func (s *Scheduler) RaiseFence(version job.Fence) { s.fence = max(s.fence, version) }

// TakeCommands returns the commands that were issued since the last call.
func (s *Scheduler) TakeCommands() []Command {
	s.flushSaves()
	out := s.commands
	s.commands = nil
	return out
}

// emit issues a command.
func (s *Scheduler) emit(c Command) { s.commands = append(s.commands, c) }

// reportDecision passes a decision to the observer, if there is one.
func (s *Scheduler) reportDecision(d Decision) {
	if s.settings.Observer != nil {
		s.settings.Observer.Decided(d)
	}
}

// AddInheritedVM adds a VM on which the former owner may have started tasks.
func (s *Scheduler) AddInheritedVM(r RosterVM) {
	v := s.vm(r.ID)
	if v.address == "" {
		v.address, v.pool, v.born = r.Address, r.Pool, r.Born
		s.setMachine(v, r.Machine)
	}
	v.rosterEntry = r
	s.inheritLease(v)
	v.nextHoldAt = s.settings.TakeoverTime.Add(unlistedHoldDelay)
	s.anyUnreported = true
}

// unlistedHoldDelay is how long after a takeover the first hold is sent to VMs that the
// directory doesn't list, so that the listed VMs are held first.
const unlistedHoldDelay = 700 * time.Millisecond

// AddJob adds a job with its stored progress, or nil if none is stored. inherited is set if a
// former owner may have started tasks of the job.
func (s *Scheduler) AddJob(now time.Time, j job.Job, p *job.Progress, inherited bool) {
	if s.jobs.Get(j.ID) != nil || (p != nil && p.State.Final()) {
		return
	}
	// A feed may deliver a job again after it has ended and was forgotten.
	if _, over := s.endTimes[j.ID]; over {
		return
	}
	st := &jobState{Job: j, arrived: s.refusals.take(now, j.ID), inherited: inherited, longRunning: j.Body.LongRunning()}
	if !st.scheduled() {
		st.nextOccurrence = 1
		st.occurrence(0)
	}
	if p != nil {
		st.restore(p)
		st.takenOver = inherited && len(p.VMs) > 0
	}
	st.objective, st.lateLimit = s.predictObjective(st)
	if !st.longRunning && !inherited {
		st.beyondShare = s.config != nil && !s.settings.Policy.FairShares && s.shares.exceeds(now, s.config.Account(j.Terms.Account))
		for _, o := range st.occurrences {
			s.countArrival(now, st, o)
		}
	}
	s.jobs.Set(j.ID, st)
	if st.takenOver {
		s.restoreStarts(now, st, p)
	}
	s.reportDecision(Decision{Kind: JobAdopted, Job: j.ID, Reason: string(j.Terms.Queue)})
	if st.beyondShare {
		s.reportDecision(Decision{Kind: JobBeyondShare, Job: j.ID, Reason: string(j.Terms.Account)})
	}
}

// restore applies stored progress.
func (j *jobState) restore(p *job.Progress) {
	j.state = p.State
	j.begun = p.State != job.Pending
	for _, v := range p.VMs {
		j.possibleVMs.Set(v, 0)
	}
	j.doneOccurrences.AddBelow(min(p.DoneBefore, j.Body.OccurrenceCount()))
	done := map[int][]job.StepDone{}
	for _, d := range p.Done {
		if d.Step < len(j.Body.Steps) {
			done[d.Occurrence] = append(done[d.Occurrence], d)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(done)) {
		j.applyDone(k, done[k])
	}
	for _, f := range p.Failed {
		if t := j.taskAt(f.Occurrence, f.Step, f.Task); t != nil {
			t.failedAttempts = f.Attempts
		}
	}
	j.restoreCrashes(p)
}

// Cancel ends a job at its caller's request. An unknown job is ignored.
func (s *Scheduler) Cancel(now time.Time, id job.ID) {
	j := s.jobs.Get(id)
	if j == nil || j.over() {
		return
	}
	s.reportDecision(Decision{Kind: JobCancelled, Job: id, After: now.Sub(j.arrived)})
	s.finish(now, j, job.Cancelled)
}

// finish sets the final state of a job and stops its remaining runs.
func (s *Scheduler) finish(now time.Time, j *jobState, state job.State) {
	j.state, j.endedAt = state, now
	s.markDirty(j)
	s.reportDecision(Decision{
		Kind: JobEnded, Job: j.ID, Reason: state.String(), After: now.Sub(j.arrived), Slack: j.objective.Sub(now),
	})
	for _, o := range j.occurrences {
		for i := range o.steps {
			for _, t := range slices.Clone(o.steps[i].live) {
				for _, r := range slices.Clone(t.runs) {
					s.stopRun(now, r, "job "+state.String())
				}
			}
		}
	}
}

// pool returns the pool that runs the job's tasks: the present pool of its queue, or the one
// named in the job's terms if the queue no longer exists.
func (s *Scheduler) pool(j *jobState) job.PoolName {
	if s.config != nil {
		if q := s.config.Queue(j.Terms.Queue); q != nil {
			return q.Pool
		}
	}
	return j.Terms.Pool
}

// maxAttempts returns the number of failed runs of a task that end the job.
func (s *Scheduler) maxAttempts(j *jobState) int {
	if s.config != nil {
		if q := s.config.Queue(j.Terms.Queue); q != nil && q.MaxAttempts > 0 {
			return q.MaxAttempts
		}
	}
	return max(1, j.Terms.MaxAttempts)
}

// task returns a task with its step, occurrence and job, or nil for all if it is unknown or its
// occurrence is over.
func (s *Scheduler) task(t job.TaskID) (*jobState, *occurrence, *stepState, *taskState) {
	j, def := s.definition(t)
	if def == nil {
		return nil, nil, nil, nil
	}
	o := j.occurrence(t.Occurrence)
	if o == nil {
		return nil, nil, nil, nil
	}
	st := &o.steps[t.Step]
	return j, o, st, st.task(t.Index)
}

// definition returns the job of a task and its step, or nil if the task is unknown.
func (s *Scheduler) definition(t job.TaskID) (*jobState, *job.Step) {
	j := s.jobs.Get(t.Job)
	if j == nil || t.Step < 0 || t.Step >= len(j.Body.Steps) || t.Occurrence < 0 || t.Occurrence >= j.Body.OccurrenceCount() {
		return nil, nil
	}
	def := &j.Body.Steps[t.Step]
	if t.Index < 0 || t.Index >= def.Count {
		return nil, nil
	}
	return j, def
}
