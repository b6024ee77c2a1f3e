package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lavenderpond/core/job"
)

// Day says what a day is made of. Its zero value is a calm day without load.
type Day struct {
	Seed uint64
	// Length is how long callers hand jobs in.
	Length time.Duration
	// Nodes is the number of entry VMs, VMs that of VMs in each pool.
	Nodes, VMs, Standby int
	// JobsPerSecond is the mean rate of each of the two queues.
	JobsPerSecond float64
	// Burst multiplies the rate of one queue after the other.
	Burst float64
	// Lasting is the number of lasting jobs of each pool.
	Lasting int
	// Wave is the number of machines that are due for upkeep.
	Wave int
	// Evacuations are what operators ask for.
	Evacuations []Evacuation
	// Faults are what goes wrong.
	Faults []Fault
	// LateShare of the orders get no answer and are carried out later.
	LateShare float64
	// LateToUnheld lets late starts reach a new life of their VM before an owner has held it.
	LateToUnheld bool
	// Cap bounds the CPU of the first account; 0 means no bound.
	Cap int64
	// FailingShare of the jobs have a single task that always fails.
	FailingShare float64
	// CrashingShare of the jobs, and CrashingLasting of the lasting ones, have a single
	// task that crashes each VM that starts it.
	CrashingShare, CrashingLasting float64
	// ShrinkingShare of the machines shrink and grow while they run; half of these take
	// whatever they are told to start.
	ShrinkingShare float64
	// Trace, if set, is told of each decision and fault.
	Trace func(line string)
}

// truth is a job as its caller knows it.
type truth struct {
	job.Job
	handedIn    time.Time
	cancelledAt time.Time
	poison      bool
	// failing is the one task of the job that always fails, crashing the one that
	// crashes each VM that starts it.
	failing, crashing job.TaskID
	errorShare        float64
	work              time.Duration
}

// runTime is how long a task really runs.
func (t *truth) runTime(id job.TaskID) time.Duration {
	// Tasks of a step differ a little, the same at each attempt.
	spread := 0.85 + 0.3*float64((id.Index*7+id.Step*3)%10)/10
	return time.Duration(float64(t.work) * spread)
}

// objective is how long the job may take.
func (t *truth) objective() time.Duration {
	return time.Duration(t.Terms.Stretch*float64(t.work)*1.15*float64(len(t.Body.Steps))) + t.Terms.LatencyAllowance
}

// pools of an emulated deployment.
const (
	poolOne = job.PoolName("one")
	poolTwo = job.PoolName("two")
	standby = job.PoolName("standby")
)

// settleFor is how long a day goes on after its last job: faults heal, and what
// was accepted must come to its end.
const settleFor = 45 * time.Second

// longestDay bounds a day on which an account asks more than its cap: its jobs
// come to their end one after the other, long after the last fault.
const longestDay = 4 * time.Minute

// unfinished tells whether an accepted job isn't over.
func (w *World) unfinished() bool {
	for _, s := range w.table.submitted {
		if !s.job.Body.LongRunning() && w.jobs[s.job.ID].owed() && !w.judge.states[s.job.ID].Final() {
			return true
		}
	}
	return false
}

// Play plays a day and returns what was broken and what happened.
func Play(d Day) (faults []string, f Figures) {
	w := build(d)
	for _, x := range d.Faults {
		w.at(leadTime+x.At, func() {
			w.tell("fault %s for %s", x.Kind, x.For)
			x.strike(w)
		})
	}
	for _, e := range d.Evacuations {
		w.at(leadTime+e.At, func() { e.begin(w) })
	}
	end := leadTime + d.Length + settleFor
	w.run(end)
	for end < longestDay && w.unfinished() {
		end += settleFor
		w.run(end)
	}
	w.checkEnd()
	return w.judge.faults, w.Figures
}

// leadTime is how long the system runs before callers come.
const leadTime = 6 * time.Second

func build(d Day) *World {
	w := &World{
		now: epoch, rng: rand.New(rand.NewPCG(d.Seed, 1)), vms: map[job.VMID]*vm{}, jobs: map[job.ID]*truth{},
		evacuated: map[job.ZoneName]time.Time{},
	}
	w.trace = d.Trace
	w.table = newTable(w)
	w.judge = newJudge(w)
	w.judge.lateShare = d.LateShare
	w.lateToUnheld = d.LateToUnheld
	w.judge.evacuateWithin = evacuateWithin
	if len(d.Faults) == 0 {
		w.judge.evacuateWithin = evacuateCalmly
	}
	w.conf = &job.Configuration{
		Version: 1,
		Queues: []job.Queue{
			{Name: "one", Pool: poolOne, MaxAttempts: 3, Stretch: 1.6, LatencyAllowance: 600 * time.Millisecond},
			{Name: "two", Pool: poolTwo, MaxAttempts: 3, Stretch: 1.6, LatencyAllowance: 600 * time.Millisecond},
		},
		Pools:    []job.Pool{{Name: poolOne}, {Name: poolTwo}, {Name: standby, Standby: true}},
		Accounts: []job.Account{{Name: "first", Quota: job.Resources{CPU: d.Cap}}, {Name: "second"}},
	}
	w.conf.Index()
	w.addMachines(d)
	for i := range d.Nodes {
		n := &node{w: w, name: fmt.Sprintf("entry-%d", i), zone: zoneName(i), cutFrom: map[job.ZoneName]bool{}}
		w.nodes = append(w.nodes, n)
		w.after(w.between(0, 300*time.Millisecond), n.boot)
	}
	w.addJobs(d)
	if d.Wave > 0 {
		w.at(leadTime+2*time.Second, func() { w.addWave(d.Wave) })
	}
	return w
}

func zoneName(i int) job.ZoneName { return job.ZoneName(rune('a' + i%zoneCount)) }

const zoneCount = 3

func (w *World) addMachines(d Day) {
	add := func(pool job.PoolName, n int) {
		for i := range n {
			m := &machine{
				id: job.MachineID(fmt.Sprintf("m-%s-%02d", pool, i)), pool: pool, zone: zoneName(i),
				rack: job.Label(fmt.Sprintf("r%s-%d", zoneName(i), i/4)), state: job.MachineUp, shrinks: w.chance(d.ShrinkingShare),
			}
			m.unguarded = m.shrinks && w.chance(0.5)
			w.machines = append(w.machines, m)
			if pool != standby {
				w.newLife(m, "")
			}
		}
	}
	add(poolOne, d.VMs)
	add(poolTwo, d.VMs)
	add(standby, d.Standby)
}

// addJobs plans the callers' jobs.
func (w *World) addJobs(d Day) {
	for i := range d.Lasting {
		for _, queue := range []job.QueueName{"one", "two"} {
			w.at(leadTime-3*time.Second+time.Duration(i)*100*time.Millisecond, func() { w.submitLasting(d, queue) })
		}
	}
	if d.JobsPerSecond <= 0 {
		return
	}
	for q, queue := range []job.QueueName{"one", "two"} {
		at := time.Duration(0)
		for at < d.Length {
			rate := d.JobsPerSecond
			// The queues burst in turn, for four seconds each.
			if d.Burst > 0 && int(at/(4*time.Second))%4 == q {
				rate *= d.Burst
			}
			at += time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second))
			w.at(leadTime+at, func() { w.submitJob(d, queue) })
		}
	}
}

func (w *World) newID() job.ID { return job.ID(fmt.Sprintf("%016x", w.rng.Uint64())) }

func (w *World) submitLasting(d Day, queue job.QueueName) {
	t := &truth{handedIn: w.now, errorShare: 0, work: startup}
	t.Job = job.Job{ID: w.newID(), Terms: w.terms(queue, "second"), Body: job.Body{
		Spec:  "lasting",
		Steps: []job.Step{{Count: 4, Resources: job.Resources{CPU: 3000, MemMB: 4000}, LongRunning: true, MaxPerVM: 1, DisruptionBudget: 1, HasDisruptionBudget: true}},
	}}
	if w.chance(d.CrashingLasting) {
		t.crashing = w.anyTask(t)
	}
	w.jobs[t.ID] = t
	w.table.submit(t.Job)
}

func (w *World) terms(queue job.QueueName, a job.AccountName) job.Terms {
	q := w.conf.Queue(queue)
	return job.Terms{Queue: queue, Pool: q.Pool, Account: a, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, LatencyAllowance: q.LatencyAllowance}
}

func (w *World) submitJob(d Day, queue job.QueueName) {
	t := &truth{handedIn: w.now, errorShare: 0.002, poison: w.chance(0.01)}
	t.work = time.Duration(math.Exp(w.rng.NormFloat64()*0.4) * float64(time.Second))
	t.work = min(max(t.work, 100*time.Millisecond), 3*time.Second)
	account := job.AccountName("first")
	if w.chance(0.5) {
		account = "second"
	}
	body := job.Body{Spec: "work"}
	for s := range 1 + w.rng.IntN(2) {
		st := job.Step{
			Count: 2 + w.rng.IntN(8), Resources: job.Resources{CPU: 800 + w.rng.Int64N(2500), MemMB: 1000},
			Estimate: time.Duration(math.Exp(w.rng.NormFloat64()*0.5) * float64(t.work)),
		}
		if s > 0 {
			st.After = []int{s - 1}
		}
		body.Steps = append(body.Steps, st)
	}
	t.Job = job.Job{ID: w.newID(), Terms: w.terms(queue, account), Body: body}
	w.addFlaws(t, d)
	w.jobs[t.ID] = t
	w.Figures.Jobs++
	w.table.submit(t.Job)
	if w.chance(0.05) {
		w.after(w.between(0, 2*time.Second), func() {
			t.cancelledAt = w.now
			w.table.cancel(t.ID)
		})
	}
}

// addWave asks for the upkeep of machines of both pools.
func (w *World) addWave(n int) {
	w.wave = job.Wave{Number: 1, MaxConcurrent: 2, Within: 30 * time.Second}
	for i, m := range w.machines {
		if i%2 == 0 && len(w.wave.Machines) < n {
			w.wave.Machines = append(w.wave.Machines, m.id)
		}
	}
	w.hasWave = true
	for _, x := range w.nodes {
		if o := x.owner; o != nil && o.scheduler != nil {
			o.scheduler.AddWave(w.now, w.wave, nil)
		}
	}
}

func (w *World) waves() map[int64]job.Wave {
	if !w.hasWave {
		return nil
	}
	return map[int64]job.Wave{w.wave.Number: w.wave}
}

func (w *World) waveCap() int { return w.wave.MaxConcurrent }

// checkEnd checks that nothing was lost: by now every accepted job is over, and
// what is to last runs.
func (w *World) checkEnd() {
	for _, s := range w.table.submitted {
		t := w.jobs[s.job.ID]
		state := w.judge.states[t.ID]
		switch {
		case !t.owed():
		case t.Body.LongRunning():
			w.judge.checkLasts(t)
		case !state.Final():
			w.judge.broken("%s, handed in at %.3f s, is still %s", t.ID, t.handedIn.Sub(epoch).Seconds(), state)
		}
	}
	if w.hasWave && w.judge.waveState != job.WaveCompleted && !w.judge.lastingGivenUp() {
		w.judge.broken("the wave is not completed")
	}
}
