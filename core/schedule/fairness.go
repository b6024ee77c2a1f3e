package schedule

import (
	"slices"
	"time"

	"lavenderpond/core/fairshare"
	"lavenderpond/core/job"
	"lavenderpond/core/policy"
)

// fairness is the state of the fair shares of room. It is used only if the policy says so.
type fairness struct {
	ledger fairshare.Ledger
	// counted is set once the ledger counts all runs, and not only those that started since
	// shares were switched on.
	counted bool
	// full holds the pools in which work has waited for room recently.
	full map[job.PoolName]*fullPool
	// inheritedAges is how old the restored usage of each pool was at the takeover, if it matters.
	inheritedAges map[job.PoolName]time.Duration
	// dirty holds usage to be stored with the next save.
	dirty []SaveShares
	// nextSave is the next time to store the usage of a pool, and nextPrune the next time to
	// forget usage that has decayed.
	nextSave, nextPrune time.Time
	report              []PoolShares
	reportExpires       time.Time
}

// followShareSwitch counts what all runs hold when shares are switched on, and forgets everything
// when they are switched off.
func (s *Scheduler) followShareSwitch(now time.Time) {
	on := s.settings.Policy.FairShares
	if on == s.fairness.counted {
		return
	}
	s.fairness.counted = on
	if !on {
		s.fairness = fairness{}
	}
	for _, v := range s.vms.All() {
		for _, r := range v.runs.All() {
			if !on {
				r.sharePool = ""
			}
			s.chargeShare(now, r)
		}
	}
}

// chargeShare counts a run's reservation as room that its account holds. Long-running tasks
// don't count: they start before all others, and would keep their account above its share for as
// long as they run.
func (s *Scheduler) chargeShare(now time.Time, r *run) {
	if s.settings.Policy.FairShares && !r.longRunning && !r.unknownJob && r.sharePool == "" {
		r.sharePool = r.vm.pool
		s.fairness.ledger.Add(now, r.sharePool, r.account, r.reservation)
	}
}

// creditShare reverses chargeShare.
func (s *Scheduler) creditShare(now time.Time, r *run) {
	if r.sharePool != "" {
		s.fairness.ledger.Remove(now, r.sharePool, r.account, r.reservation)
		r.sharePool = ""
	}
}

// startCandidates starts the tasks of jobs in the order of the candidates. In a pool with less
// room than work, jobs of accounts that use at least their share come after the others of the
// same rank.
func (a *assignment) startCandidates(p job.PoolName, candidates []candidate) {
	if a.s.settings.Policy.FairShares {
		a.division = a.divide(p, candidates)
	}
	for len(candidates) > 0 {
		r := candidates[0].rank
		n := slices.IndexFunc(candidates, func(c candidate) bool { return c.rank != r })
		if n < 0 {
			n = len(candidates)
		}
		if a.division != nil && (r == rankInTime || r == rankLate) {
			a.startByShares(candidates[:n])
		} else {
			for _, c := range candidates[:n] {
				a.startJob(c.job)
			}
		}
		candidates = candidates[n:]
	}
	if a.division != nil {
		a.s.reportStandings(a.now, p)
	}
}

// begunMultiple is the multiple of an account's share up to which its jobs that have begun go on
// beside those of accounts below their shares. What they have done is of no use if they are late.
// Without a limit, an account could begin any number of jobs with small first steps.
const begunMultiple = 2

// startByShares starts the jobs of one rank. A job whose account has reached its share when the
// job's turn comes waits until all others of the rank have had theirs.
func (a *assignment) startByShares(candidates []candidate) {
	var deferred []candidate
	for _, c := range candidates {
		if a.aboveShare(c.job) && !a.exemptFromShares(c.job) {
			deferred = append(deferred, c)
			continue
		}
		a.startJob(c.job)
	}
	a.startByUsage(deferred)
}

// aboveShare reports whether the job comes after those of accounts below their shares.
func (a *assignment) aboveShare(j *jobState) bool {
	multiple := 1.0
	if j.placed || j.begun {
		multiple = begunMultiple
	}
	return a.division.Reaches(j.Terms.Account, multiple)
}

// startByUsage starts jobs of accounts above their shares, with the room that the others leave.
// Among jobs of equal priority, the account with the least usage for its weight comes first.
func (a *assignment) startByUsage(candidates []candidate) {
	queues := map[job.AccountName][]candidate{}
	var order []job.AccountName
	for _, c := range candidates {
		account := c.job.Terms.Account
		if queues[account] == nil {
			order = append(order, account)
		}
		queues[account] = append(queues[account], c)
	}
	compare := func(x, y job.AccountName) int {
		if d := queues[x][0].job.Terms.Priority - queues[y][0].job.Terms.Priority; d != 0 {
			return d
		}
		return a.division.Compare(x, y)
	}
	slices.SortFunc(order, compare)
	for len(order) > 0 {
		next := order[0]
		order = order[1:]
		a.startJob(queues[next][0].job)
		if queues[next] = queues[next][1:]; len(queues[next]) > 0 {
			i, _ := slices.BinarySearchFunc(order, next, compare)
			order = slices.Insert(order, i, next)
		}
	}
}

// exemptFromShares reports whether operators have exempted the job from the order by shares.
func (a *assignment) exemptFromShares(j *jobState) bool {
	p := &a.s.settings.Policy
	return len(p.Exceptions) > 0 && p.Exempt(a.wall, policy.FairShares, j.Terms.Account, j.Terms.Queue)
}

// divide returns the division of the pool among accounts, or nil if there is room for all that
// waits. The result may be up to ratingInterval old, like the ratings of the candidates.
func (a *assignment) divide(p job.PoolName, candidates []candidate) *fairshare.Division {
	f := &a.s.fairness
	if x := f.full[p]; x != nil && a.now.Sub(x.dividedAt) < ratingInterval {
		return x.division
	}
	waiting := a.waitingByAccount(candidates)
	var free job.Resources
	for _, v := range a.vms {
		free = free.Add(v.freeCapacity().Max(job.Resources{}))
	}
	d := f.ledger.Divide(a.now, fairshare.Demand{Pool: p, Free: free, Fleet: a.fleet, Waiting: waiting, Weight: a.s.config.ShareWeight})
	if d != nil {
		f.recordDivision(a.now, p, d)
	}
	return d
}

// waitingByAccount returns the room that the jobs of each account wait for. Jobs that nobody
// waits for any more claim no room, and an account claims no more than its quota permits.
func (a *assignment) waitingByAccount(candidates []candidate) map[job.AccountName]job.Resources {
	out := map[job.AccountName]job.Resources{}
	for _, c := range candidates {
		if c.rank != rankInTime && c.rank != rankLate {
			continue
		}
		var sum job.Resources
		for _, o := range c.job.occurrences {
			for i := range o.steps {
				if st := &o.steps[i]; st.openTasks > 0 && o.isDue(a.wall) && o.ready(i) {
					sum = sum.Add(st.def.Reservation().Mul(st.openTasks))
				}
			}
		}
		out[c.job.Terms.Account] = out[c.job.Terms.Account].Add(sum)
	}
	for name, r := range out {
		if account := a.s.config.Account(name); account != nil {
			out[name] = withinLimit(r, a.s.usage[name], account.Quota)
		}
	}
	return out
}

// withinLimit returns the part of more that fits beside used into a limit; a limit of 0 is none.
func withinLimit(more, used, limit job.Resources) job.Resources {
	bound := func(more, used, limit int64) int64 {
		if limit == 0 {
			return more
		}
		return min(more, max(0, limit-used))
	}
	return job.Resources{
		CPU: bound(more.CPU, used.CPU, limit.CPU), MemMB: bound(more.MemMB, used.MemMB, limit.MemMB), GPU: bound(more.GPU, used.GPU, limit.GPU),
	}
}
