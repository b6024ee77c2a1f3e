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
	}
	out := Status{AsOf: now, Accounts: s.accountUsage()}
	for _, g := range groups {
		out.Waiting = append(out.Waiting, *g)
	}
	slices.SortFunc(out.Waiting, func(a, b WaitingGroup) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Queue, b.Queue))
	})
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
