package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

var start = time.Unix(1_800_000_000, 0)

// testJob needs the CPU, in thousandths of a core, for a second. It is late after 3 s and of no use
// after 9 s.
func testJob(id job.ID, cpu int64) *job.Job {
	return &job.Job{
		ID: id, Terms: job.Terms{Queue: "q", Pool: "p", Account: "a", Stretch: 2, LatencyAllowance: time.Second},
		Body: job.Body{Steps: []job.Step{{Count: 1, Estimate: time.Second, Resources: job.Resources{CPU: cpu}}}},
	}
}

// forecast lists one pool of 10 cores in which work waits.
func forecast(n Sequence, inTime, late CoreSeconds) Forecast {
	return Forecast{RunID: "owner", Sequence: n, Entries: 1, Pools: []Pool{{
		Name: "p", Cores: 10, ArrivalRate: 1000, Queues: []Queue{{Name: "q", InTime: inTime, Late: late}},
	}}}
}

// controllerAt returns a controller whose forecast is in force.
func controllerAt(f Forecast) *Controller {
	var c Controller
	c.Update(start, Forecast{RunID: "owner", Sequence: f.Sequence - 1}, "owner")
	c.Update(start, f, "owner")
	return &c
}

func refused(c *Controller, now time.Time, j *job.Job) bool {
	_, refused := c.Decide(now, Request{Job: j}).(Refuse)
	return refused
}

// Guards against refusals without a sound reason: only a forecast of the present owner whose age is
// known and low counts.
func TestUnusableForecastAdmits(t *testing.T) {
	full := forecast(2, 1000, 0)
	assert.Assert(t, refused(controllerAt(full), start, testJob("j", 1000)))
	for name, x := range map[string]struct {
		c    *Controller
		now  time.Time
		want AdmitReason
	}{
		"none":                    {&Controller{}, start, NoForecast},
		"stale":                   {controllerAt(full), start.Add(maxForecastAge + 1), StaleForecast},
		"pool not listed":         {controllerAt(Forecast{RunID: "owner", Sequence: 2}), start, RoomFree},
		"first one read":          {updated(full, "owner"), start, NoForecast},
		"former owner's":          {updated(full, "next"), start, NoForecast},
		"no owner":                {updated(full, ""), start, NoForecast},
		"owner without forecasts": {updated(Forecast{}, "next"), start, NoForecast},
	} {
		assert.DeepEqual(t, x.c.Decide(x.now, Request{Job: testJob("j", 1000)}), Decision(Admit{x.want}))
		_ = name
	}
}

// updated returns a controller that has read one forecast.
func updated(f Forecast, owner string) *Controller {
	var c Controller
	c.Update(start, f, owner)
	return &c
}

// Checks that jobs that run for long or at set times are admitted whatever waits.
func TestLongRunningAndScheduledJobsAreAdmitted(t *testing.T) {
	c := controllerAt(forecast(2, 1e6, 1e6))
	long, scheduled := testJob("l", 1000), testJob("s", 1000)
	long.Body.Steps[0].LongRunning, scheduled.Body.Occurrences = true, 2
	assert.Assert(t, !refused(c, start, long) && !refused(c, start, scheduled))
}

// Load: a pool whose late work takes 20 s. A job that can be in time comes before it, and one of an
// account beyond its share after it.
func TestAccountBeyondShareIsRefusedFirst(t *testing.T) {
	f := forecast(2, 10, 200)
	f.Pools[0].ArrivalRate = 0
	assert.Assert(t, !refused(controllerAt(f), start, testJob("j", 1000)))
	f.BeyondShare = []job.AccountName{"a"}
	d := controllerAt(f).Decide(start, Request{Job: testJob("j", 1000)})
	r, ok := d.(Refuse)
	assert.Assert(t, ok)
	assert.Equal(t, r.Reason, BeyondShare)
	assert.Assert(t, r.Complete.After(r.LateLimit) && r.Start.After(start), "%+v", r)
}

// Compares decisions about random pools with a twin that plays the work in steps of 10 ms.
func TestDecideMatchesSimulation(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for i := range 500 {
		f := forecast(2, CoreSeconds(r.IntN(200)), CoreSeconds(r.IntN(200)))
		p := &f.Pools[0]
		p.ArrivalRate, p.Running, p.Cores = CoreSeconds(r.IntN(20)), CoreSeconds(r.IntN(30)), Cores(1+r.IntN(20))
		for at := int64(0); at < 3000; at += 250 + int64(r.IntN(1500)) {
			p.Arriving = append(p.Arriving, Arrival{AfterMS: at, Cores: Cores(r.IntN(20))})
		}
		inTime := simulate(p, p.Running+p.Queues[0].InTime)
		late := simulate(p, p.Running+p.Queues[0].InTime+p.Queues[0].Late+p.ArrivalRate)
		if near(inTime, 2) || near(late, 10.25) {
			continue
		}
		// The job has no work of its own, takes a second, and is refused after 1.25 times 9 s.
		assert.Equal(t, refused(controllerAt(f), start, testJob("j", 0)), inTime > 2 && late > 10.25, "case %d: %+v", i, f)
	}
}

func simulate(p *Pool, work CoreSeconds) (seconds float64) {
	for ; work > 0 && seconds < 60; seconds += 0.01 {
		cores := p.Cores
		for _, a := range p.Arriving {
			if float64(a.AfterMS) <= 1000*seconds {
				cores += a.Cores
			}
		}
		work -= CoreSeconds(0.01 * float64(cores))
	}
	return seconds
}

func near(a, b float64) bool { return a > b-0.03 && a < b+0.03 }

// Load: 34 entry VMs, of which a few get most of the jobs, decide by one forecast while more work
// arrives than the pool can take. Together they admit what fits by the late limit and a job each.
func TestEntriesTogetherAdmitWhatFits(t *testing.T) {
	const entries, work = 34, 0.5
	f := forecast(2, 0, 60)
	f.Entries, f.Pools[0].ArrivalRate = entries, 5000
	r := rand.New(rand.NewPCG(3, 4))
	var controllers [entries]*Controller
	for i := range controllers {
		controllers[i] = controllerAt(f)
	}
	admitted := 0
	for i := range 4000 {
		e := int(float64(entries) * r.Float64() * r.Float64() * r.Float64())
		if !refused(controllers[e], start.Add(time.Duration(i)*100*time.Microsecond), testJob(job.ID(rune(i)), 500)) {
			admitted++
		}
	}
	// A job is in time if it starts within 2 s, when 20 core-seconds are done, and 4 more are done
	// while the calls arrive. The others come after all that arrives.
	assert.Assert(t, float64(admitted)*work <= 20+4+entries*work, "admitted %d", admitted)
	assert.Assert(t, float64(admitted)*work >= 10, "admitted %d", admitted)
}

// Checks that a job counts as unseen until a forecast includes its row, and not at all if it wasn't
// stored.
func TestAdmittedWorkCountsUntilForecastIncludesIt(t *testing.T) {
	f := forecast(2, 0, 0)
	f.Pools[0].ArrivalRate = 0
	c := controllerAt(f)
	for _, id := range []job.ID{"a", "b", "c"} {
		assert.Assert(t, !refused(c, start, testJob(id, 20_000)))
	}
	assert.Equal(t, c.unseen(start, c.forecast.Pool("p"), 0, false), CoreSeconds(60))
	c.Withdraw("a")
	c.Stored("b", 7)
	f.Sequence, f.Includes = 3, 7
	c.Update(start, f, "owner")
	assert.Equal(t, c.unseen(start, c.forecast.Pool("p"), 0, false), CoreSeconds(20))
}
