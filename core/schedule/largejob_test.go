package schedule

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// heapGrowth returns by how many bytes f makes the heap grow.
func heapGrowth(f func()) int64 {
	read := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := read()
	f()
	return read() - before
}

// repeated returns a job that repeats from the given time on.
func repeated(id string, first time.Time, interval time.Duration, occurrences int, steps ...job.Step) job.Job {
	j := newTestJob(job.ID(id), steps...)
	j.Body.Occurrences, j.Body.FirstDue, j.Body.Interval = occurrences, first, interval
	return j
}

// maxJobBytes is what the state of a job may take that has nothing to start.
const maxJobBytes = 20_000

// Guards against an owner that runs out of memory for occurrences and tasks that aren't due.
func TestWorkThatIsNotDueTakesNoMemory(t *testing.T) {
	const jobs = 100
	second := smallStep
	second.Count, second.After = 100_000, []int{0}
	wide := smallStep
	wide.Count = 100_000
	for name, make := range map[string]func(id string, now time.Time) job.Job{
		"occurrences": func(id string, now time.Time) job.Job {
			return repeated(id, now.Add(time.Hour), time.Minute, 7*24*60, smallStep)
		},
		"tasks of an occurrence": func(id string, now time.Time) job.Job {
			return repeated(id, now.Add(time.Hour), time.Minute, 2, wide)
		},
		"tasks of a later step": func(id string, _ time.Time) job.Job { return newTestJob(job.ID(id), smallStep, second) },
		"tasks without room":    func(id string, _ time.Time) job.Job { return newTestJob(job.ID(id), wide) },
		"occurrences without room": func(id string, now time.Time) job.Job {
			return repeated(id, now.Add(-time.Hour), time.Millisecond, 7*24*60, smallStep)
		},
	} {
		h := newHarness(t)
		h.addReadyVMs("one")
		growth := heapGrowth(func() {
			for i := range jobs {
				h.s.AddJob(h.now, make(fmt.Sprintf("j-%d", i), h.now), nil, false)
			}
			h.advance(time.Second)
		})
		limit := int64(jobs * maxJobBytes)
		if name == "occurrences without room" {
			limit *= maxWaitingSteps / 10
		}
		assert.Assert(t, growth < limit, "%s: %d bytes for %d jobs", name, growth, jobs)
		runtime.KeepAlive(h)
	}
}

// Guards against an owner that ends because of a single step's count.
func TestStepOfAnySizeRuns(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.addJob("j", "free", job.Step{Count: 1_000_000_000_000, Resources: job.Resources{CPU: 1000}, Estimate: time.Second})
	assert.Equal(t, len(commandsOfType[Start](h.advance(10*time.Millisecond))), 8)
	h.addJob("none", "free", job.Step{Count: 1_000_000_000_000, Estimate: time.Second})
	assert.Equal(t, len(commandsOfType[Start](h.advance(10*time.Millisecond))), maxPendingStarts-8)
}

// largeJobRun runs a job on two VMs whose runs end at once, with owners in turn.
type largeJobRun struct {
	*harness
	job    job.Job
	starts map[job.TaskID]int
	stored []byte
	base   job.Attempt
	ends   int64
}

// takeOver lets another owner take over from what is stored.
func (r *largeJobRun) takeOver() {
	now := r.now
	r.harness = newHarness(r.t)
	r.now = now
	r.base += 10_000
	r.ends = 0
	r.s.settings.AttemptBase, r.s.settings.TakeoverTime = r.base, now
	var p *job.Progress
	if r.stored != nil {
		p = &job.Progress{}
		assert.NilError(r.t, json.Unmarshal(r.stored, p))
	}
	r.addReadyVMs("one", "two")
	r.s.AddJob(r.now, r.job, p, p != nil)
}

// round plays one round and reports whether the job is complete.
func (r *largeJobRun) round() bool {
	r.now = r.now.Add(10 * time.Millisecond)
	r.s.Tick(r.now)
	r.s.Assign(r.now, r.now)
	complete := false
	for commands := r.s.TakeCommands(); len(commands) > 0; commands = r.s.TakeCommands() {
		for _, c := range commands {
			switch c := c.(type) {
			case Save:
				b, err := json.Marshal(c.Progress)
				assert.NilError(r.t, err)
				r.stored = b
				complete = complete || c.Progress.State == job.Completed
			case Start:
				r.starts[c.Order.Task]++
				r.ends++
				r.confirm(c)
				r.answerHold(string(c.VM), nil, job.End{Number: r.ends, Task: c.Order.Task, Attempt: c.Order.Attempt, How: job.EndedDone})
			}
			r.store(c)
		}
	}
	return complete
}

// Guards against tasks of large jobs that run twice or never, also under owners in turn.
func TestEachTaskOfLargeJobRunsOnce(t *testing.T) {
	step := func(count int, after ...int) job.Step {
		return job.Step{Count: count, After: after, Resources: job.Resources{CPU: 1000, MemMB: 100}, Estimate: time.Second}
	}
	for name, j := range map[string]job.Job{
		"listed":               repeated("j", startTime, 5*time.Millisecond, 300, step(2)),
		"occurrences":          repeated("j", startTime, time.Millisecond, 2600, step(2)),
		"overlapping":          repeated("j", startTime, 0, 900, step(3), step(3, 0)),
		"tasks":                newTestJob("j", step(3000), step(2500, 0)),
		"tasks of occurrences": repeated("j", startTime, time.Millisecond, 3, step(2000)),
	} {
		random := rand.New(rand.NewPCG(uint64(len(name)), 0))
		r := &largeJobRun{harness: &harness{t: t, now: startTime}, job: j, starts: map[job.TaskID]int{}}
		r.takeOver()
		for rounds := 0; !r.round(); rounds++ {
			assert.Assert(t, rounds < 10_000, "%s: not complete", name)
			if random.IntN(100) == 0 {
				r.takeOver()
			}
		}
		want := 0
		for _, s := range j.Body.Steps {
			want += s.Count * j.Body.OccurrenceCount()
		}
		assert.Equal(t, len(r.starts), want, name)
		for id, n := range r.starts {
			assert.Equal(t, n, 1, "%s: %v", name, id)
		}
	}
}
