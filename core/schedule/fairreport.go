package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lavenderpond/core/fairshare"
	"lavenderpond/core/job"
)

// fullPool is a pool in which work has waited for room recently.
type fullPool struct {
	division *fairshare.Division
	// dividedAt is when the pool was last divided, and checkedAt when its usage was last compared
	// with what is stored.
	dividedAt, checkedAt time.Time
	// above holds the accounts that were last reported as above their shares, with the time of
	// the report.
	above map[job.AccountName]time.Time
}

const (
	// standingReportInterval is how long an account stays reported as above its share, so that
	// one that is close to its share isn't reported in each round.
	standingReportInterval = time.Second
	// fullRetention is how long a pool counts as full after its last division.
	fullRetention = time.Second
	// shareSaveInterval is the least time between two saves of the usage in one pool, and
	// shareSaveSpacing between those in any two pools. They bound what is stored when all pools
	// are full.
	shareSaveInterval = time.Second
	shareSaveSpacing  = 100 * time.Millisecond
	// maxShareChecks is how many pools are compared with what is stored within shareSaveSpacing.
	// A comparison visits each account of the pool.
	maxShareChecks = 4
	// shareReportInterval is how often the report of all full pools is updated.
	shareReportInterval = time.Second
	// inheritedAgeLimit is the age from which usage that a former owner stored hardly matters.
	inheritedAgeLimit = 4 * fairshare.Window
	// maxReportedAccounts bounds the report of a full pool.
	maxReportedAccounts = 32
)

// recordDivision records the present division of a pool.
func (f *fairness) recordDivision(now time.Time, p job.PoolName, d *fairshare.Division) {
	x := f.full[p]
	if x == nil {
		if f.full == nil {
			f.full = map[job.PoolName]*fullPool{}
		}
		x = &fullPool{above: map[job.AccountName]time.Time{}}
		f.full[p] = x
	}
	x.division, x.dividedAt = d, now
}

// reportStandings reports each account of a pool whose standing has changed: above its share while
// an account below its own waits, or within its share.
func (s *Scheduler) reportStandings(now time.Time, p job.PoolName) {
	f := s.fairness.full[p]
	contended := f.division.AnyWaitsBelow()
	for _, x := range f.division.Standings() {
		since, reported := f.above[x.Account]
		switch above := x.Above(); {
		case above && contended && !reported:
			f.above[x.Account] = now
			s.reportStanding(now, AccountAboveShare, p, x)
		case !above && reported && now.Sub(since) >= standingReportInterval:
			delete(f.above, x.Account)
			s.reportStanding(now, AccountWithin, p, x)
		}
	}
}

// reportStanding reports an account's standing. The age is that of usage that a former owner
// stored, for as long as it matters.
func (s *Scheduler) reportStanding(now time.Time, kind DecisionKind, p job.PoolName, x *fairshare.Standing) {
	age, inherited := s.fairness.inheritedAges[p]
	if age += now.Sub(s.settings.TakeoverTime); !inherited || age > inheritedAgeLimit {
		age = 0
	}
	s.reportDecision(Decision{Kind: kind, Age: age, Share: &ShareFacts{
		Account: x.Account, Pool: p, Share: x.Share.Fraction, Usage: x.Usage(), Waiting: x.Waiting,
	}})
}

// planShareSave chooses the pool whose usage is stored next: among those that are full, the first
// one that has changed, beginning with that which was checked longest ago.
func (s *Scheduler) planShareSave(now, wall time.Time) {
	f := &s.fairness
	if len(f.full) == 0 || now.Before(f.nextSave) {
		return
	}
	f.nextSave = now.Add(shareSaveSpacing)
	pools := slices.Collect(maps.Keys(f.full))
	slices.SortFunc(pools, func(a, b job.PoolName) int {
		return cmp.Or(f.full[a].checkedAt.Compare(f.full[b].checkedAt), cmp.Compare(a, b))
	})
	for _, p := range pools[:min(len(pools), maxShareChecks)] {
		x := f.full[p]
		if now.Sub(x.checkedAt) < shareSaveInterval {
			return
		}
		x.checkedAt = now
		if f.ledger.Changed(now, p) {
			f.dirty = slices.DeleteFunc(f.dirty, func(c SaveShares) bool { return c.Pool == p })
			f.dirty = append(f.dirty, SaveShares{Pool: p, Usage: f.ledger.Save(now, wall, p)})
			return
		}
	}
}

// pruneShares forgets pools that have room, and usage that has decayed.
func (s *Scheduler) pruneShares(now time.Time) {
	f := &s.fairness
	if !f.counted || now.Before(f.nextPrune) {
		return
	}
	f.nextPrune = now.Add(fairshare.Window)
	maps.DeleteFunc(f.full, func(_ job.PoolName, x *fullPool) bool { return now.Sub(x.dividedAt) > fairshare.Window })
	f.ledger.Prune(now, func(p job.PoolName) bool { return f.full[p] != nil })
}

// flushShares issues the planned saves of usage. They go along with saves that are made anyway.
func (s *Scheduler) flushShares() {
	for _, c := range s.fairness.dirty {
		c.Sequence = s.saveSequence
		s.emit(c)
	}
	s.fairness.dirty = nil
}

// AddInheritedShares adds what the accounts of a pool held under a former owner.
func (s *Scheduler) AddInheritedShares(now, wall time.Time, p job.PoolName, u fairshare.StoredUsage) {
	if s.settings.Policy.FairShares {
		if s.fairness.inheritedAges == nil {
			s.fairness.inheritedAges = map[job.PoolName]time.Duration{}
		}
		s.fairness.inheritedAges[p] = s.fairness.ledger.Restore(now, wall, p, u)
	}
}

// PoolShares describes a pool that is full.
type PoolShares struct {
	Pool job.PoolName `json:"pool"`
	// AccountCount is the number of accounts that hold, held or want room, of which Accounts lists
	// those that use most.
	AccountCount int             `json:"account_count"`
	Accounts     []AccountShares `json:"accounts"`
}

// AccountShares is the standing of an account in a pool that is full. Share and Usage are
// fractions of the pool's capacity.
type AccountShares struct {
	Account job.AccountName `json:"account"`
	Weight  float64         `json:"weight"`
	Share   float64         `json:"share"`
	Usage   float64         `json:"usage"`
	Held    job.Resources   `json:"held"`
	Waiting job.Resources   `json:"waiting"`
	Above   bool            `json:"above,omitempty"`
}

// FullPools returns the standing of the accounts in each pool that is full. The result may be up
// to shareReportInterval old and must not be modified.
func (s *Scheduler) FullPools(now time.Time) []PoolShares {
	f := &s.fairness
	if now.Before(f.reportExpires) {
		return f.report
	}
	f.reportExpires = now.Add(shareReportInterval)
	f.report = nil
	for _, p := range slices.Sorted(maps.Keys(f.full)) {
		x := f.full[p]
		if now.Sub(x.dividedAt) > fullRetention {
			continue
		}
		f.report = append(f.report, newPoolShares(p, x.division))
	}
	return f.report
}

func newPoolShares(p job.PoolName, d *fairshare.Division) PoolShares {
	standings := d.Standings()
	type entry struct {
		standing *fairshare.Standing
		usage    float64
	}
	entries := make([]entry, len(standings))
	for i, a := range standings {
		entries[i] = entry{a, a.Usage()}
	}
	slices.SortStableFunc(entries, func(a, b entry) int { return cmp.Compare(b.usage, a.usage) })
	out := PoolShares{Pool: p, AccountCount: len(entries)}
	for _, e := range entries[:min(len(entries), maxReportedAccounts)] {
		a := e.standing
		out.Accounts = append(out.Accounts, AccountShares{
			Account: a.Account, Weight: a.Weight, Share: a.Share.Fraction, Usage: e.usage, Held: a.Held(), Waiting: a.Waiting, Above: a.Above(),
		})
	}
	return out
}
