package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/policy"
)

// Load configures what callers ask for beside the mean load, and how uneven tasks, machines
// and callers are. Its zero value changes nothing.
type Load struct {
	// Accounts is the number of client accounts with shares. Each asks for half as much as
	// the one before. 0 means two accounts without shares that ask for equally much.
	Accounts int
	// Surges are periods of additional load.
	Surges []Surge
	// LongTaskShare is the share of tasks that run longTaskFactor times as long as others, on
	// any VM.
	LongTaskShare float64
	// LongJobShare is the share of jobs all tasks of which run longTaskFactor times as long.
	LongJobShare float64
	// SlowMachineShare is the share of machines whose VMs are always slow.
	SlowMachineShare float64
	// SpeculativeShare is the share of jobs whose tasks may have a second run.
	SpeculativeShare float64
	// ReturningCallers lets callers submit their jobs to entry VMs, and again after a refusal
	// or a missing answer. Otherwise the table takes each job immediately.
	ReturningCallers bool
	// GiveUpShare is the share of callers that cancel a job that isn't completed in time.
	GiveUpShare float64
}

const (
	longTaskFactor = 7
	// minMachineSlowdown and maxMachineSlowdown bound the factor by which tasks take longer on
	// slow machines.
	minMachineSlowdown = 4
	maxMachineSlowdown = 8
	// shareMargin is the share of an account divided by the load that it usually asks for.
	shareMargin = 1.5
)

// Surge is a period in which accounts ask for several times their usual load.
type Surge struct {
	// At is the time from the end of the lead time to the surge.
	At, Duration time.Duration
	// Factor multiplies the usual load.
	Factor float64
	// Accounts and Queue limit the surge to some accounts and one queue. Empty values mean all.
	Accounts []job.AccountName
	Queue    job.QueueName
}

func (s *Surge) end() time.Duration { return s.At + s.Duration }

func (s *Surge) includes(a job.AccountName) bool {
	return len(s.Accounts) == 0 || slices.Contains(s.Accounts, a)
}

// AccountName returns the name of the i-th client account.
func AccountName(i int) job.AccountName {
	if i < 2 {
		return [...]job.AccountName{"first", "second"}[i]
	}
	return job.AccountName(fmt.Sprintf("account-%d", i+1))
}

// addAccounts adds the client accounts to the configuration.
func (w *World) addAccounts(sc Scenario) {
	w.demand = map[job.AccountName]float64{}
	for i := range max(2, sc.Load.Accounts) {
		a := job.Account{Name: AccountName(i)}
		w.demand[a.Name] = 0.5
		if sc.Load.Accounts > 0 {
			// The demands of all accounts add up to a little less than 1.
			w.demand[a.Name] = 1 / float64(int(2)<<i)
			a.Weight = shareMargin * w.demand[a.Name] * 2 * sc.JobsPerSecond
		}
		if i == 0 {
			a.Quota = job.Resources{CPU: sc.Quota}
		}
		w.config.Accounts = append(w.config.Accounts, a)
	}
}

// demandOf returns the part of the mean load that the accounts in a surge ask for.
func (w *World) demandOf(s *Surge) float64 {
	sum := 0.0
	for _, a := range w.config.Accounts {
		if s.includes(a.Name) {
			sum += w.demand[a.Name]
		}
	}
	return sum
}

// randomAccount returns an account of a surge, with probability in proportion to its demand.
func (w *World) randomAccount(s *Surge) job.AccountName {
	x := w.rng.Float64() * w.demandOf(s)
	var last job.AccountName
	for _, a := range slices.Backward(w.config.Accounts) {
		if !s.includes(a.Name) {
			continue
		}
		if last = a.Name; x < w.demand[a.Name] {
			break
		}
		x -= w.demand[a.Name]
	}
	return last
}

// scheduleSurges schedules the jobs that surges add to the mean load.
func (w *World) scheduleSurges(sc Scenario) {
	for i := range sc.Load.Surges {
		s := &sc.Load.Surges[i]
		rate := (s.Factor - 1) * sc.JobsPerSecond * w.demandOf(s)
		if rate <= 0 {
			continue
		}
		for _, q := range w.config.Queues {
			if s.Queue != "" && s.Queue != q.Name {
				continue
			}
			for at := s.At + w.exponentialDelay(rate); at < s.end(); at += w.exponentialDelay(rate) {
				w.at(leadTime+at, func() { w.submitJob(sc, q.Name, s) })
			}
		}
	}
}

// exponentialDelay returns a random time between two events that occur at the given rate a
// second.
func (w *World) exponentialDelay(rate float64) time.Duration {
	return time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second))
}

// addLongTasks selects the tasks of a job that run longer than others.
func (w *World) addLongTasks(t *trackedJob, share float64) {
	if share <= 0 {
		return
	}
	t.longTasks = map[job.TaskID]bool{}
	for step := range t.Body.Steps {
		for i := range t.Body.Steps[step].Count {
			if w.chance(share) {
				t.longTasks[job.TaskID{Job: t.ID, Step: step, Index: i}] = true
			}
		}
	}
}

// hasLongTask reports whether a task of the step is long.
func (t *trackedJob) hasLongTask(step int) bool {
	for id := range t.longTasks {
		if id.Step == step {
			return true
		}
	}
	return false
}

// allowSecondRuns lets the tasks of a random share of jobs have a second run.
func (w *World) allowSecondRuns(t *trackedJob, share float64) {
	if !w.chance(share) {
		return
	}
	for i := range t.Body.Steps {
		t.Body.Steps[i].Speculative = true
	}
}

// randomSlowdown returns the factor by which tasks take longer on a machine.
func (w *World) randomSlowdown(share float64) float64 {
	if !w.chance(share) {
		return 1
	}
	return minMachineSlowdown + (maxMachineSlowdown-minMachineSlowdown)*w.rng.Float64()
}

const (
	// Random surges of accounts last from minSurge to maxSurge, and multiply the load by
	// minSurgeFactor to maxSurgeFactor.
	minSurge, maxSurge             = 2 * time.Second, 7 * time.Second
	minSurgeFactor, maxSurgeFactor = 4, 8
	// queueSurge is the duration of each of two successive surges of queues.
	queueSurge = 4 * time.Second
)

// RandomHotAccounts returns a surge of n random ones out of a number of accounts, at a random
// time before the given one.
func RandomHotAccounts(seed uint64, before time.Duration, accounts, n int) Surge {
	rng := rand.New(rand.NewPCG(seed, 6))
	s := Surge{
		At: time.Duration(rng.Int64N(int64(before))), Duration: minSurge + time.Duration(rng.Int64N(int64(maxSurge-minSurge))),
		Factor: minSurgeFactor + (maxSurgeFactor-minSurgeFactor)*rng.Float64(),
	}
	for _, i := range rng.Perm(accounts)[:n] {
		s.Accounts = append(s.Accounts, AccountName(i))
	}
	return s
}

// SuccessiveSurges returns a surge of the first queue and one of the second queue right after
// it.
func SuccessiveSurges(at time.Duration, factor float64) []Surge {
	return []Surge{
		{At: at, Duration: queueSurge, Factor: factor, Queue: "one"},
		{At: at + queueSurge, Duration: queueSurge, Factor: factor, Queue: "two"},
	}
}

// RandomPolicy returns a policy whose decisions are switched on at random.
func RandomPolicy(seed uint64) policy.Policy {
	rng := rand.New(rand.NewPCG(seed, 7))
	on := func() bool { return rng.IntN(2) == 0 }
	return policy.Policy{
		Admission: on(), FairShares: on(), RunTimeForecast: on(), SecondRuns: on(), RankedRoom: on(),
	}
}
