package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lavenderpond/core/job"
)

// Status describes for operators who waits and who uses what.
type Status struct {
	// AsOf is when the status was taken.
	AsOf     time.Time
	Waiting  []WaitingGroup
	Accounts []AccountUsage
	// Silent lists the silent VMs on which tasks may still run, ordered by ID.
	Silent []SilentVM
	// Blocked is the number of jobs that wait for such VMs.
	Blocked int
}

// SilentVM is a VM that doesn't answer and on which tasks may still run.
type SilentVM struct {
	VM job.VMID
	// Runs is the number of known runs. A former owner may have started others if the VM is
	// unreported.
	Runs       int
	Unreported bool
	// LeaseOver is when no task can run there any more if the VM stays silent.
	LeaseOver time.Time
}

// WaitingGroup describes the jobs of an account in a queue that have tasks to start, and wait
// for room, for their account's quota or for an approval.
type WaitingGroup struct {
	Account job.AccountName
	Queue   job.QueueName
	Pool    job.PoolName
	// Jobs is the number of jobs, Tasks that of their tasks that could start.
	Jobs, Tasks int
	// OldestArrival is when the oldest of the jobs arrived at this owner.
	OldestArrival time.Time
	// JobsByRank counts the jobs by their rank in the pool. A job without a rank has not been
	// compared with others yet: its pool has no usable VM.
	JobsByRank map[string]int
}

// AccountUsage is what an account's running tasks use, and the quota that limits it.
type AccountUsage struct {
	Account      job.AccountName
	Usage, Quota job.Resources
}

// unranked is the key of jobs without a rank in WaitingGroup.JobsByRank.
const unranked = "unranked"

// Status returns a description of the present state, ordered by account and queue. It visits
// each job once and changes nothing. wall is the time of day, to which the due times of
// occurrences are compared.
func (s *Scheduler) Status(now, wall time.Time) Status {
	type groupKey struct {
		account job.AccountName
		queue   job.QueueName
	}
	out := Status{AsOf: now, Accounts: s.accountUsage(), Silent: s.silentVMs()}
	groups := map[groupKey]*WaitingGroup{}
	for _, j := range s.jobs.All() {
		tasks := j.startableTasks(wall)
		if tasks == 0 {
			continue
		}
		k := groupKey{j.Terms.Account, j.Terms.Queue}
		if groups[k] == nil {
			groups[k] = &WaitingGroup{Account: k.account, Queue: k.queue, Pool: s.pool(j), JobsByRank: map[string]int{}}
		}
		groups[k].add(j, tasks)
		if s.unreportedVM(j) != nil {
			out.Blocked++
		}
	}
	for _, g := range groups {
		out.Waiting = append(out.Waiting, *g)
	}
	slices.SortFunc(out.Waiting, func(a, b WaitingGroup) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Queue, b.Queue))
	})
	return out
}

// silentVMs returns the silent VMs on which tasks may still run, ordered by ID.
func (s *Scheduler) silentVMs() []SilentVM {
	var out []SilentVM
	for _, v := range s.vms.All() {
		if v.silent && (v.runs.Len() > 0 || v.unreported()) {
			out = append(out, SilentVM{VM: v.id, Runs: v.runs.Len(), Unreported: v.unreported(), LeaseOver: v.leaseOver()})
		}
	}
	slices.SortFunc(out, func(a, b SilentVM) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

func (g *WaitingGroup) add(j *jobState, tasks int) {
	g.Jobs++
	g.Tasks += tasks
	if g.OldestArrival.IsZero() || j.arrived.Before(g.OldestArrival) {
		g.OldestArrival = j.arrived
	}
	if j.ratedAt.IsZero() {
		g.JobsByRank[unranked]++
		return
	}
	g.JobsByRank[j.rating.rank.String()]++
}

// startableTasks returns the number of tasks that have no run, and depend on nothing that
// isn't complete.
func (j *jobState) startableTasks(wall time.Time) int {
	if j.over() {
		return 0
	}
	n := 0
	for _, o := range j.occurrences {
		if !o.due.IsZero() && wall.Before(o.due) {
			break
		}
		for i := range o.steps {
			if o.steps[i].openTasks > 0 && o.ready(i) {
				n += o.steps[i].openTasks
			}
		}
	}
	return n
}

// accountUsage returns the accounts that use anything, ordered by name.
func (s *Scheduler) accountUsage() []AccountUsage {
	var out []AccountUsage
	for _, name := range slices.Sorted(maps.Keys(s.usage)) {
		u := AccountUsage{Account: name, Usage: s.usage[name]}
		if u.Usage == (job.Resources{}) {
			continue
		}
		if s.config != nil {
			if a := s.config.Account(name); a != nil {
				u.Quota = a.Quota
			}
		}
		out = append(out, u)
	}
	return out
}
