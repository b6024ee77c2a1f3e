// Package schedule decides which task runs on which VM, and keeps what is known
// of both. It has no clock, network or goroutine: events come in with the time,
// commands come out.
package schedule

import (
	"slices"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/lease"
)

// Settings are what a Scheduler starts from.
type Settings struct {
	// Fence guards VMs against former owners.
	Fence job.Fence
	// AttemptBase is below every attempt of this owner and above all of former ones.
	AttemptBase job.Attempt
	// TookOver is when this owner took over.
	TookOver time.Time
	// LeaseMax is the longest lease that a VM grants.
	LeaseMax time.Duration
	// TaskStopMax bounds how long a task takes to stop.
	TaskStopMax time.Duration
	// ShrinkNotice is how long a VM's capacity that has shrunk may still be relied on; 0
	// means no bound.
	ShrinkNotice time.Duration
	// MachineLease is how soon orders for a machine may follow a former holder's.
	MachineLease time.Duration
	// Holder signs this owner's orders for machines.
	Holder string
	// FormerOrders are the machines that may have been given an order shortly
	// before the take-over.
	FormerOrders []MachineOrder
	// Observer is told of decisions; nil for none.
	Observer Observer
}

// Scheduler is the owner's knowledge of jobs and VMs.
type Scheduler struct {
	settings Settings
	config   *job.Configuration
	jobs     orderedMap[job.ID, *jobState]
	vms      orderedMap[job.VMID, *vmState]
	// ended remembers jobs that are over and stored, and since when.
	ended map[job.ID]time.Time
	// usage is what each client account has running, or may have.
	usage map[job.AccountName]job.Room
	// possibleUsage is what each may have running beyond that, on VMs not heard yet.
	possibleUsage map[job.AccountName]job.Room
	commands      []Command
	dirtyJobs     []*jobState
	// saveSequence numbers the saves; stored is the last that is stored.
	saveSequence   int64
	storedSequence int64
	closing        []*jobState
	// plannedStarts are starts, and held machine orders, that wait for a save.
	plannedStarts []*run
	pendingOrders []pendingOrder
	// recentOrders are the machines with an order of late.
	recentOrders orderedMap[job.MachineID, recentOrder]
	dirtyOrders  []job.MachineID
	dirtyVMs     []job.VMID
	dirtyWaves   []*waveState
	// nextForgetEnded is when to look next for ended jobs to forget.
	nextForgetEnded time.Time
	rights          Rights
	// fence guards lives of VMs that begin from now on.
	fence    job.Fence
	queues   map[job.QueueName]*queueStats
	machines orderedMap[job.MachineID, *machineState]
	// directoryAsOf is up to when all changes of the directory are known.
	directoryAsOf time.Time
	waves         orderedMap[int64, *waveState]
	// evacuatedZones are the availability zones in which nothing may start.
	evacuatedZones zoneSet
	pools          map[job.PoolName]*poolStats
	shares         shares
	nextSizing     time.Time
	// anyUnreported is set while a VM hasn't been heard on which a former owner may
	// still run tasks.
	anyUnreported bool
	// nextPruneOrders is when to look next for machine orders that are long ago.
	nextPruneOrders time.Time
	backlog         map[job.QueueName]int
	backlogExpires  time.Time
}

// New returns a scheduler that knows nothing yet.
func New(s Settings) *Scheduler {
	out := &Scheduler{
		settings: s,
		fence:    s.Fence,
		ended:    map[job.ID]time.Time{},
		usage:    map[job.AccountName]job.Room{},
		queues:   map[job.QueueName]*queueStats{},
		pools:    map[job.PoolName]*poolStats{},
		shares:   shares{},
	}
	// Kept among this owner's own, so that the next owner knows of them too.
	for _, o := range s.FormerOrders {
		out.recentOrders.Set(o.Machine, recentOrder{holder: o.Holder, at: s.TookOver})
	}
	return out
}

// Configure puts a configuration in force; a lower version than the present one is ignored.
func (s *Scheduler) Configure(c *job.Configuration) {
	if s.config != nil && c.Version < s.config.Version {
		return
	}
	s.config = c
}

// Rights are what the owner may still do, by the age of its last proof.
type Rights struct {
	// Order is for machines, and for moving lasting tasks.
	Order bool
	// Start is for tasks, Hold for extending leases on VMs.
	Start, Hold bool
}

// SetRights says what the owner may still do at this moment.
func (s *Scheduler) SetRights(r Rights) { s.rights = r }

// RaiseFence takes in a version at which the table has confirmed this owner's right. It is below
// the fence of any later owner.
func (s *Scheduler) RaiseFence(version job.Fence) { s.fence = max(s.fence, version) }

// TakeCommands returns the commands since the last call.
func (s *Scheduler) TakeCommands() []Command {
	s.flushSaves()
	out := s.commands
	s.commands = nil
	return out
}

func (s *Scheduler) emit(c Command) { s.commands = append(s.commands, c) }

func (s *Scheduler) decided(d Decision) {
	if s.settings.Observer != nil {
		s.settings.Observer.Decided(d)
	}
}

// AddInheritedVM notes a VM on which the former owner may have started tasks.
func (s *Scheduler) AddInheritedVM(r RosterVM) {
	v := s.vm(r.ID)
	if v.address == "" {
		v.address, v.pool, v.born = r.Address, r.Pool, r.Born
		s.setMachine(v, r.Machine)
	}
	v.rostered = r
	v.inheritedUntil = lease.InheritedEnd(s.settings.TookOver, s.settings.LeaseMax)
	v.nextHold = s.settings.TookOver.Add(unlistedHoldDelay)
	s.anyUnreported = true
}

// unlistedHoldDelay is how long after a take-over the VMs are left alone that the directory
// doesn't list: those that it lists are held first.
const unlistedHoldDelay = 700 * time.Millisecond

// AddJob takes in a job and what is stored of its progress. inherited tells
// that a former owner may have started tasks of it.
func (s *Scheduler) AddJob(now time.Time, j job.Job, p *job.Progress, inherited bool) {
	if s.jobs.Get(j.ID) != nil || (p != nil && p.State.Final()) {
		return
	}
	// A feed may tell of a job again that has been run and forgotten since.
	if _, over := s.ended[j.ID]; over {
		return
	}
	st := &jobState{Job: j, arrived: now, inherited: inherited, lasting: j.Body.Lasting()}
	for k := range j.Body.Runs() {
		o := &occurrence{number: k, due: j.Body.Due(k), steps: make([]stepState, len(j.Body.Steps))}
		for i := range o.steps {
			o.steps[i].def = &j.Body.Steps[i]
			o.steps[i].tasks = make([]taskState, j.Body.Steps[i].Count)
			o.steps[i].open = j.Body.Steps[i].Count
		}
		st.occurrences = append(st.occurrences, o)
	}
	if p != nil {
		st.restore(p)
		st.takenOver = inherited && len(p.VMs) > 0
	}
	st.objective, st.late = s.objective(st)
	if !st.lasting && !inherited {
		st.excess = s.config != nil && s.shares.exceeds(now, s.config.Account(j.Terms.Account))
		left, all := s.work(st)
		s.poolStats(s.pool(st)).addArrival(now, left)
		s.queueStats(j.Terms.Queue).addJob(all)
	}
	s.jobs.Set(j.ID, st)
	if st.takenOver {
		s.restoreStarts(now, st, p)
	}
	s.decided(Decision{What: JobAdopted, Job: j.ID, Reason: string(j.Terms.Queue)})
	if st.excess {
		s.decided(Decision{What: JobExcess, Job: j.ID, Reason: string(j.Terms.Account)})
	}
}

// restore applies stored progress.
func (j *jobState) restore(p *job.Progress) {
	j.state = p.State
	j.begun = p.State != job.Pending
	for _, v := range p.VMs {
		j.places.Set(v, 0)
	}
	for _, d := range p.Done {
		if d.Occurrence >= len(j.occurrences) || d.Step >= len(j.Body.Steps) {
			continue
		}
		o := j.occurrences[d.Occurrence]
		st := &o.steps[d.Step]
		for _, t := range d.Tasks {
			if t < len(st.tasks) && !st.tasks[t].done {
				st.tasks[t].done = true
				st.done++
			}
		}
		st.recount()
		if st.complete() {
			o.done++
		}
	}
	for _, o := range j.occurrences {
		if o.done == len(o.steps) {
			j.doneCount++
		}
	}
	for _, f := range p.Failed {
		if t := j.taskAt(f.Occurrence, f.Step, f.Task); t != nil {
			t.failed = f.Attempts
		}
	}
	j.restoreCrashes(p)
}

// Cancel ends a job on its caller's wish. An unknown job needs nothing.
func (s *Scheduler) Cancel(now time.Time, id job.ID) {
	j := s.jobs.Get(id)
	if j == nil || j.over() {
		return
	}
	s.decided(Decision{What: JobCancelled, Job: id, After: now.Sub(j.arrived)})
	s.finish(now, j, job.Cancelled)
}

// finish gives a job its final state and stops what still runs of it.
func (s *Scheduler) finish(now time.Time, j *jobState, state job.State) {
	j.state, j.closedAt = state, now
	s.markDirty(j)
	s.decided(Decision{
		What: JobEnded, Job: j.ID, Reason: state.String(), After: now.Sub(j.arrived), Slack: j.objective.Sub(now),
	})
	for _, o := range j.occurrences {
		for i := range o.steps {
			for t := range o.steps[i].tasks {
				for _, r := range slices.Clone(o.steps[i].tasks[t].runs) {
					s.stop(now, r, "job "+state.String())
				}
			}
		}
	}
}

// backlogInterval is how often the backlog is counted.
const backlogInterval = 100 * time.Millisecond

// Backlog counts the jobs of each queue that haven't begun. The count is as old as
// backlogEvery at the most, and must not be changed.
func (s *Scheduler) Backlog(now time.Time) map[job.QueueName]int {
	if s.backlog != nil && now.Before(s.backlogExpires) {
		return s.backlog
	}
	s.backlog, s.backlogExpires = s.countBacklog(), now.Add(backlogInterval)
	return s.backlog
}

func (s *Scheduler) countBacklog() map[job.QueueName]int {
	out := map[job.QueueName]int{}
	for _, j := range s.jobs.All() {
		if !j.over() && !j.begun {
			out[j.Terms.Queue]++
		}
	}
	return out
}

// pool returns the pool that runs a job's tasks: the one that the queue has
// now, or if the queue is gone the one that it had.
func (s *Scheduler) pool(j *jobState) job.PoolName {
	if s.config != nil {
		if q := s.config.Queue(j.Terms.Queue); q != nil {
			return q.Pool
		}
	}
	return j.Terms.Pool
}

// maxAttempts returns how many failed runs end a job.
func (s *Scheduler) maxAttempts(j *jobState) int {
	if s.config != nil {
		if q := s.config.Queue(j.Terms.Queue); q != nil && q.Attempts > 0 {
			return q.Attempts
		}
	}
	return max(1, j.Terms.Attempts)
}

func (s *Scheduler) task(t job.TaskID) (*jobState, *occurrence, *stepState, *taskState) {
	j := s.jobs.Get(t.Job)
	if j == nil || t.Occurrence >= len(j.occurrences) || t.Step >= len(j.Body.Steps) || t.Occurrence < 0 || t.Step < 0 {
		return nil, nil, nil, nil
	}
	o := j.occurrences[t.Occurrence]
	st := &o.steps[t.Step]
	if t.Index < 0 || t.Index >= len(st.tasks) {
		return nil, nil, nil, nil
	}
	return j, o, st, &st.tasks[t.Index]
}
