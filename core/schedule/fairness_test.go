package schedule

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/fairshare"
	"lavenderpond/core/job"
	"lavenderpond/core/policy"
)

// fairHarness plays callers and VMs of one pool to a scheduler with fair shares. A job is named
// after its account, and its tasks run for about a second.
type fairHarness struct {
	*harness
	rng     *rand.Rand
	vms     []string
	running map[string][]fairRun
	lastEnd map[string]int64
	sent    map[job.AccountName]int
	inTime  map[job.AccountName]int
	logged  map[DecisionKind]int
	lastAge time.Duration
	saved   map[job.PoolName]fairshare.StoredUsage
}

type fairRun struct {
	start             Start
	startedAt, endsAt time.Time
}

// percent returns the progress of the run.
func (r fairRun) percent(now time.Time) int {
	return int(100 * now.Sub(r.startedAt) / r.endsAt.Sub(r.startedAt))
}

func (h *fairHarness) Decided(d Decision) {
	h.logged[d.Kind]++
	if d.Kind == AccountAboveShare {
		h.lastAge = d.Age
	}
	if j := h.s.jobs.Get(d.Job); d.Kind == JobEnded && d.Slack >= 0 && j != nil {
		h.inTime[j.Terms.Account]++
	}
}

func newFairHarness(t testing.TB, vmCount int, accounts ...job.Account) *fairHarness {
	h := &fairHarness{
		harness: newHarness(t), rng: rand.New(rand.NewPCG(11, 5)), running: map[string][]fairRun{}, lastEnd: map[string]int64{},
		sent: map[job.AccountName]int{}, inTime: map[job.AccountName]int{}, logged: map[DecisionKind]int{},
		saved: map[job.PoolName]fairshare.StoredUsage{},
	}
	h.s.settings.Policy.FairShares = true
	h.s.settings.Observer = h
	h.configure(2, accounts...)
	for i := range vmCount {
		h.vms = append(h.vms, fmt.Sprintf("vm%02d", i))
	}
	h.addReadyVMs(h.vms...)
	return h
}

func (h *fairHarness) configure(version job.ConfigVersion, accounts ...job.Account) {
	c := &job.Configuration{
		Version: version, Accounts: accounts, Pools: []job.Pool{{Name: poolA}},
		Queues: []job.Queue{{Name: "q", Pool: poolA, MaxAttempts: 2, Stretch: 1.6, LatencyAllowance: time.Second}},
	}
	c.Index()
	h.s.Configure(c)
}

// submit adds n jobs of an account.
func (h *fairHarness) submit(a job.AccountName, n int, step job.Step) {
	for range n {
		h.sent[a]++
		h.addJob(fmt.Sprintf("%s-%04d", a, h.sent[a]), a, step)
	}
}

// round lets runs end that are due, runs the scheduler and returns the starts.
func (h *fairHarness) round(d time.Duration) []Start {
	h.now = h.now.Add(d)
	for _, id := range h.vms {
		var ends []job.End
		var list []job.RunningTask
		var left []fairRun
		for _, r := range h.running[id] {
			if h.now.Before(r.endsAt) {
				left = append(left, r)
				list = append(list, runningTask(r.start, r.percent(h.now)))
				continue
			}
			h.lastEnd[id]++
			ends = append(ends, job.End{Number: h.lastEnd[id], Task: r.start.Order.Task, Attempt: r.start.Order.Attempt, How: job.EndedDone})
		}
		h.running[id] = left
		h.answerHold(id, list, ends...)
	}
	commands := h.advance(0)
	starts := commandsOfType[Start](commands)
	for _, c := range starts {
		h.confirm(c)
		runTime := time.Duration(900+h.rng.IntN(200)) * time.Millisecond
		h.running[string(c.VM)] = append(h.running[string(c.VM)], fairRun{c, h.now, h.now.Add(runTime)})
	}
	for _, c := range commandsOfType[SaveShares](commands) {
		h.saved[c.Pool] = c.Usage
	}
	return starts
}

// accountOf returns the account of a started task.
func (h *fairHarness) accountOf(c Start) job.AccountName {
	return h.s.jobs.Get(c.Order.Task.Job).Terms.Account
}

// startsByAccount counts starts.
func (h *fairHarness) startsByAccount(starts []Start) map[job.AccountName]int {
	out := map[job.AccountName]int{}
	for _, c := range starts {
		out[h.accountOf(c)]++
	}
	return out
}

// Guards against an account that starts a task beyond its share while another that is below its
// share waits, whatever the weights and the order in which jobs come. All tasks are of equal size.
func TestNoAccountBelowShareWaitsWhileOneAboveStarts(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 9))
	divisions := 0
	for range 8 {
		var accounts []job.Account
		for i := range 2 + rng.IntN(5) {
			accounts = append(accounts, job.Account{Name: job.AccountName(rune('a' + i)), Weight: float64(1 + rng.IntN(4))})
		}
		h := newFairHarness(t, 2, accounts...)
		for range 60 {
			for _, a := range accounts {
				if rng.IntN(12) == 0 {
					h.submit(a.Name, rng.IntN(12), smallStep)
				}
			}
			starts := h.startsByAccount(h.round(50 * time.Millisecond))
			f := h.s.fairness.full[poolA]
			if f == nil || !f.dividedAt.Equal(h.now) {
				continue
			}
			divisions++
			task := 1.0 / 16
			for _, x := range f.division.Standings() {
				waits := x.Waiting.CPU > int64(starts[x.Account])*smallStep.Resources.CPU
				if !waits || x.Above() {
					continue
				}
				for _, y := range f.division.Standings() {
					beyond := starts[y.Account] > 0 && y.Share.Limited && y.Usage() >= y.Share.Fraction+task
					assert.Assert(t, !beyond, "%s waits at %.3f of %.3f, %s starts at %.3f of %.3f",
						x.Account, x.Usage(), x.Share.Fraction, y.Account, y.Usage(), y.Share.Fraction)
				}
			}
		}
	}
	assert.Assert(t, divisions > 100)
}

// client is an account with the jobs a second that it usually sends.
type client struct {
	job.Account
	usual float64
}

// playHot returns the share of the quiet clients' jobs that are in time while the hot ones send
// their usual jobs times a factor. The pool runs 16 jobs a second.
func playHot(t *testing.T, quiet, hot []client, factor float64) float64 {
	const (
		length = 8 * time.Second
		step   = 50 * time.Millisecond
		// settle is how long the last jobs may take.
		settle = 4 * time.Second
	)
	var accounts []job.Account
	rates := map[job.AccountName]float64{}
	for _, c := range quiet {
		accounts, rates[c.Name] = append(accounts, c.Account), c.usual
	}
	for _, c := range hot {
		accounts, rates[c.Name] = append(accounts, c.Account), c.usual*factor
	}
	h := newFairHarness(t, 2, accounts...)
	due := map[job.AccountName]float64{}
	for at := time.Duration(0); at < length+settle; at += step {
		for _, a := range accounts {
			due[a.Name] += rates[a.Name] * step.Seconds() * 2 * h.rng.Float64()
			if n := int(due[a.Name]); at < length {
				due[a.Name] -= float64(n)
				h.submit(a.Name, n, smallStep)
			}
		}
		h.round(step)
	}
	sent, inTime := 0, 0
	for _, c := range quiet {
		sent, inTime = sent+h.sent[c.Name], inTime+h.inTime[c.Name]
	}
	return float64(inTime) / float64(sent)
}

// Load: a pool that holds a third of what is asked for, because one account or three at once send
// seven times their usual, with weights for the accounts and without. A job that is late is of
// little use to its caller, so the other accounts may have at most one in twenty more of their
// jobs late than if all sent their usual.
func TestHotAccountsPayForTheirOwnExcess(t *testing.T) {
	const moreLate = 0.05
	clients := func(weighted bool, rates map[job.AccountName]float64) (out []client) {
		for _, name := range slices.Sorted(maps.Keys(rates)) {
			c := client{job.Account{Name: name}, rates[name]}
			if weighted {
				c.Weight = c.usual
			}
			out = append(out, c)
		}
		return out
	}
	for _, weighted := range []bool{true, false} {
		quiet := clients(weighted, map[job.AccountName]float64{"q1": 2, "q2": 1.5, "q3": 1, "q4": 1})
		for _, rates := range []map[job.AccountName]float64{{"hot": 6}, {"h1": 2.5, "h2": 2, "h3": 1.5}} {
			hot := clients(weighted, rates)
			usual, excess := playHot(t, quiet, hot, 1), playHot(t, quiet, hot, 7)
			assert.Assert(t, usual > 0.95, "in time with the usual load: %.3f", usual)
			assert.Assert(t, excess >= usual-moreLate, "%d hot, weights %t: %.3f in time, %.3f with the usual load", len(hot), weighted, excess, usual)
		}
	}
}

// Guards against a share that its owner doesn't get back from an account that uses it while it is
// idle. As runs aren't stopped, the owner gets it as they end: within the longest run.
func TestIdleShareIsUsedAndGivenBack(t *testing.T) {
	h := newFairHarness(t, 2, job.Account{Name: "a"}, job.Account{Name: "b"})
	h.submit("a", 60, smallStep)
	assert.Equal(t, len(h.round(0)), 16, "a uses the whole pool")
	h.round(500 * time.Millisecond)
	h.submit("b", 40, smallStep)
	counts := map[job.AccountName]int{}
	for range 14 {
		for a, n := range h.startsByAccount(h.round(50 * time.Millisecond)) {
			counts[a] += n
		}
	}
	assert.Assert(t, counts["b"] >= 8, "%v", counts)
	assert.Equal(t, h.logged[AccountAboveShare], 1)
}

// Guards against an account that begins many jobs with small first steps, whose later steps then
// take the pool from the others. Its begun jobs go on, but only up to a multiple of its share.
func TestBegunJobsGoOnUpToALimit(t *testing.T) {
	h := newFairHarness(t, 2, job.Account{Name: "a"}, job.Account{Name: "b"}, job.Account{Name: "c"}, job.Account{Name: "d"})
	second := smallStep
	second.After = []int{0}
	for i := range 16 {
		h.addJob(fmt.Sprintf("a-%d", i), "a", smallStep, second)
	}
	assert.Equal(t, len(h.round(0)), 16)
	for _, other := range []job.AccountName{"b", "c", "d"} {
		h.submit(other, 20, smallStep)
	}
	counts := h.startsByAccount(h.round(1200 * time.Millisecond))
	assert.Equal(t, counts["a"], 4*begunMultiple, "%v", counts)
	assert.Equal(t, counts["b"]+counts["c"]+counts["d"], 16-4*begunMultiple, "%v", counts)
}

// Guards against a hot account that begins anew with each owner. The new owner restores what is
// stored, and the account's jobs come last though it holds nothing at that moment.
func TestUsageSurvivesChangeOfOwner(t *testing.T) {
	accounts := []job.Account{{Name: "a"}, {Name: "b"}}
	h := newFairHarness(t, 2, accounts...)
	h.submit("a", 200, smallStep)
	for range 160 {
		h.round(50 * time.Millisecond)
	}
	next := newFairHarness(t, 1, accounts...)
	next.s.AddInheritedShares(next.now, h.now.Add(500*time.Millisecond), poolA, h.saved[poolA])
	next.s.AddInheritedShares(next.now, h.now.Add(time.Hour), "full long ago", h.saved[poolA])
	next.submit("a", 20, smallStep)
	next.submit("b", 20, smallStep)
	assert.Equal(t, next.startsByAccount(next.round(0))["b"], 8)
	next.s.reportStanding(next.s.settings.TakeoverTime, AccountAboveShare, poolA, next.s.fairness.full[poolA].division.Standings()[0])
	assert.Equal(t, next.lastAge, h.now.Add(500*time.Millisecond).Sub(h.saved[poolA].StoredAt))
}

// Guards against rows of usage that load the table: at most one a second and pool, none while
// nothing changes, and none that causes a transaction of its own.
func TestUsageIsStoredAtABoundedRate(t *testing.T) {
	h := newFairHarness(t, 2, job.Account{Name: "a"}, job.Account{Name: "b"})
	saves, lastSave := 0, time.Time{}
	h.submit("a", 200, smallStep)
	for range 100 {
		before := h.saved[poolA].StoredAt
		h.round(50 * time.Millisecond)
		if after := h.saved[poolA].StoredAt; !after.Equal(before) {
			saves++
			assert.Assert(t, after.Sub(lastSave) >= shareSaveInterval)
			lastSave = after
		}
	}
	assert.Assert(t, saves >= 1 && saves <= 5, "%d saves", saves)
	h.s.TakeCommands()
	h.s.fairness.dirty = []SaveShares{{Pool: poolA}}
	assert.Equal(t, len(commandsOfType[SaveShares](h.s.TakeCommands())), 0)
}

// Guards against changes of weights and quotas that jobs which already wait don't feel, under the
// present owner or the next one.
func TestNewWeightsAndQuotasApplyToWaitingJobs(t *testing.T) {
	for _, changeOwner := range []bool{false, true} {
		h := newFairHarness(t, 2, job.Account{Name: "a", Weight: 1}, job.Account{Name: "b", Weight: 1})
		h.submit("a", 60, smallStep)
		h.submit("b", 60, smallStep)
		assert.DeepEqual(t, h.startsByAccount(h.round(0)), map[job.AccountName]int{"a": 8, "b": 8})
		if changeOwner {
			h = newFairHarness(t, 2)
			h.submit("a", 60, smallStep)
			h.submit("b", 60, smallStep)
		}
		h.configure(3, job.Account{Name: "a", Weight: 3}, job.Account{Name: "b", Weight: 1})
		counts := h.startsByAccount(h.round(1200 * time.Millisecond))
		assert.Equal(t, counts["a"]+counts["b"], 16)
		assert.Assert(t, counts["a"] >= 11, "%v", counts)
		h.configure(4, job.Account{Name: "a", Weight: 3, Quota: job.Resources{CPU: 2000}}, job.Account{Name: "b", Weight: 1})
		assert.DeepEqual(t, h.startsByAccount(h.round(1200*time.Millisecond)), map[job.AccountName]int{"a": 2, "b": 14})
	}
}

// Guards against an urgent job that waits behind others of the same account, and against an
// exception of the operators that has no effect.
func TestPriorityAndExceptionsHoldWithinShares(t *testing.T) {
	h := newFairHarness(t, 1, job.Account{Name: "a"}, job.Account{Name: "b"})
	h.submit("a", 20, smallStep)
	h.submit("b", 20, smallStep)
	urgent := h.s.jobs.Get("a-0020")
	urgent.Terms.Priority = -1
	starts := h.round(0)
	assert.Equal(t, starts[0].Order.Task.Job, urgent.ID)
	assert.DeepEqual(t, h.startsByAccount(starts), map[job.AccountName]int{"a": 4, "b": 4})
	h.s.settings.Policy.Exceptions = []policy.Exception{{Decision: policy.FairShares, Account: "a", Reason: "migration"}}
	assert.DeepEqual(t, h.startsByAccount(h.round(1200*time.Millisecond)), map[job.AccountName]int{"a": 8})
}

// BenchmarkRoundWithFairShares measures a round on a full fleet in which 20 accounts wait in each
// pool, with and without a new division of all pools.
func BenchmarkRoundWithFairShares(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprint(on), func(b *testing.B) {
			h := newFullFleetHarness(b, 350, 500)
			i := 0
			for _, j := range h.s.jobs.All() {
				j.Terms.Account = job.AccountName(fmt.Sprint(i / 5 % 20))
				i++
			}
			h.s.settings.Policy.FairShares = on
			for b.Loop() {
				h.s.fairness.full = nil
				h.s.Assign(h.now, h.now)
				h.s.TakeCommands()
			}
		})
	}
}

// Guards against a report of all accounts in all pools, which at 620 accounts and 215 pools takes more
// memory than the rest of the process.
func TestReportListsAccountsThatUseMost(t *testing.T) {
	h := newFairHarness(t, 2, job.Account{Name: "z"})
	for i := range 2 * maxReportedAccounts {
		h.submit(job.AccountName(fmt.Sprintf("a%02d", i)), 1, smallStep)
	}
	h.submit("z", 1, smallStep)
	h.s.fairness.ledger.Add(h.now, poolA, "z", job.Resources{CPU: 100_000})
	h.round(0)
	report := h.s.FullPools(h.now)
	assert.Equal(t, report[0].AccountCount, 2*maxReportedAccounts+1)
	assert.Equal(t, len(report[0].Accounts), maxReportedAccounts)
	assert.Equal(t, report[0].Accounts[0].Account, job.AccountName("z"))
}

// Guards against runs that shares don't know because they were started before shares were
// switched on: their account would get the room of the others as well, for as long as they run.
func TestSharesSwitchedOnCountWhatIsHeld(t *testing.T) {
	h := newFairHarness(t, 2, job.Account{Name: "a"}, job.Account{Name: "b"})
	h.s.SetPolicy(policy.Policy{})
	h.submit("a", 60, smallStep)
	assert.Equal(t, len(h.round(0)), 16)
	h.s.SetPolicy(policy.Policy{FairShares: true})
	h.submit("b", 40, smallStep)
	for range 24 {
		h.round(50 * time.Millisecond)
	}
	assert.Equal(t, h.logged[AccountAboveShare], 1)
	h.s.SetPolicy(policy.Policy{})
	h.round(50 * time.Millisecond)
	assert.Equal(t, len(h.s.FullPools(h.now.Add(shareReportInterval))), 0)
	for range 100 {
		h.round(50 * time.Millisecond)
	}
	h.s.SetPolicy(policy.Policy{FairShares: true})
	h.round(50 * time.Millisecond)
	assert.DeepEqual(t, h.s.fairness.ledger.Held(poolA), h.s.usage["a"].Add(h.s.usage["b"]))
}

// Guards against jobs that were marked as beyond the bucket of their account before shares were
// switched on: they would come after all late ones, and claim no room.
func TestSharesSwitchedOnOverrideBucket(t *testing.T) {
	h := newFairHarness(t, 2, job.Account{Name: "a", Weight: 0.1})
	h.s.SetPolicy(policy.Policy{})
	h.submit("a", 4, smallStep)
	last := h.s.jobs.Get("a-0004")
	assert.Equal(t, h.s.rateJob(h.now, last).rank, rankBeyondShare)
	h.s.SetPolicy(policy.Policy{FairShares: true})
	h.now = h.now.Add(ratingInterval)
	assert.Equal(t, h.s.rateJob(h.now, last).rank, rankInTime)
}

// Guards against a ledger that grows with each account that was ever there while no pool is full.
func TestUsageIsForgottenWhileNoPoolIsFull(t *testing.T) {
	h := newFairHarness(t, 2, job.Account{Name: "a"})
	h.submit("a", 1, smallStep)
	for range 20 {
		h.round(fairshare.Window)
	}
	assert.Assert(t, h.s.fairness.ledger.Empty())
}
