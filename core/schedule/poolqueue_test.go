package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
	"lavenderpond/core/policy"
)

// pausePlay plays short tasks beside other work on three VMs, and measures how long the short ones wait.
type pausePlay struct {
	*harness
	// lasts is how long the other tasks take, and fails is set if they fail at once.
	lasts  time.Duration
	fails  bool
	starts map[runKey]Start
	// active holds the present runs in the order of their starts, and began when they began.
	active []runKey
	began  map[runKey]time.Time
	ends   map[job.VMID]int64
	stops  int
	shorts int
	// waiting is when each short job that hasn't started was submitted.
	waiting map[job.ID]time.Time
	longest time.Duration
}

const shortRun = 500 * time.Millisecond

func newPausePlay(t *testing.T, forecast bool) *pausePlay {
	p := &pausePlay{
		harness: newHarness(t), lasts: shortRun, starts: map[runKey]Start{}, began: map[runKey]time.Time{}, ends: map[job.VMID]int64{},
		waiting: map[job.ID]time.Time{},
	}
	p.s.SetPolicy(policy.Policy{RunTimeForecast: forecast})
	p.addReadyVMs("one", "two", "three")
	for range 40 {
		p.addShort()
		p.play(200 * time.Millisecond)
	}
	return p
}

// addShort submits a short job.
func (p *pausePlay) addShort() {
	p.shorts++
	id := job.ID(fmt.Sprintf("short-%d", p.shorts))
	p.waiting[id] = p.now
	p.addJob(string(id), "free", job.Step{Count: 1, Resources: job.Resources{CPU: 500, MemMB: 100}, Estimate: shortRun})
}

func (p *pausePlay) isShort(k runKey) bool { return len(k.task.Job) > 6 && k.task.Job[:6] == "short-" }

// play advances the time. VMs report their runs every 100 ms.
func (p *pausePlay) play(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		for _, c := range p.advance(100 * time.Millisecond) {
			switch c := c.(type) {
			case Start:
				k := runKey{c.Order.Task, c.Order.Attempt}
				p.starts[k], p.began[k] = c, p.now
				p.active = append(p.active, k)
				p.confirm(c)
				if since, ok := p.waiting[k.task.Job]; ok {
					p.longest = max(p.longest, p.now.Sub(since))
					delete(p.waiting, k.task.Job)
				}
			case Stop:
				if k := (runKey{c.Task, c.Attempt}); slices.Contains(p.active, k) {
					p.stops++
					p.end(k, c.VM, job.EndedStopped)
				}
			}
		}
		p.report()
	}
	for _, since := range p.waiting {
		p.longest = max(p.longest, p.now.Sub(since))
	}
}

// end lets a VM report the end of a run.
func (p *pausePlay) end(k runKey, vm job.VMID, how job.Ending) {
	p.active = slices.DeleteFunc(p.active, func(x runKey) bool { return x == k })
	p.ends[vm]++
	p.answerHold(string(vm), p.running(vm), job.End{Number: p.ends[vm], Task: k.task, Attempt: k.attempt, How: how})
}

// report lets each VM report its runs, and ends those that are over.
func (p *pausePlay) report() {
	for _, vm := range []job.VMID{"one", "two", "three"} {
		p.answerHold(string(vm), p.running(vm))
	}
	for _, k := range slices.Clone(p.active) {
		switch {
		case !p.isShort(k) && p.fails:
			p.end(k, p.starts[k].VM, job.EndedFailed)
		case p.now.Sub(p.began[k]) >= p.duration(k):
			p.end(k, p.starts[k].VM, job.EndedDone)
		}
	}
}

func (p *pausePlay) duration(k runKey) time.Duration {
	if p.isShort(k) {
		return shortRun
	}
	return p.lasts
}

// running lists the runs of a VM.
func (p *pausePlay) running(vm job.VMID) []job.RunningTask {
	var out []job.RunningTask
	for _, k := range p.active {
		if c := p.starts[k]; c.VM == vm {
			out = append(out, runningTask(c, min(99, int(100*p.now.Sub(p.began[k])/p.duration(k)))))
		}
	}
	return out
}

// maxWait is the longest that a short job may wait for a VM: less than callers accept, and enough for a
// round after a VM has been suspected.
const maxWait = 3 * time.Second

// Guards against long tasks that are taken for signs of slow VMs and pause all VMs of a pool.
func TestLongTasksDoNotPauseWholePool(t *testing.T) {
	other := job.Step{Count: 1, Resources: job.Resources{CPU: 5000, MemMB: 100}}
	gang := other
	gang.Gang, gang.Count = true, 3
	for name, c := range map[string]struct {
		step     job.Step
		estimate time.Duration
		maxStops int
	}{
		"right estimate":           {other, 80 * time.Second, 0},
		"rough estimate":           {other, 35 * time.Second, 0},
		"estimate of another task": {other, shortRun, 2 * 3},
		"no estimate":              {other, 0, 2 * 3},
		"gang":                     {gang, shortRun, 0},
	} {
		for _, forecast := range []bool{false, true} {
			p := newPausePlay(t, forecast)
			p.lasts, p.longest = 80*time.Second, 0
			c.step.Estimate = c.estimate
			for i := range 3 / c.step.Count {
				p.addJob(fmt.Sprintf("long-%d", i), "free", c.step)
				p.play(time.Second)
			}
			for range 100 {
				p.addShort()
				p.play(300 * time.Millisecond)
			}
			assert.Assert(t, p.longest < maxWait, "%s, forecast %t: a short job waits for %s", name, forecast, p.longest)
			assert.Assert(t, p.stops <= c.maxStops, "%s, forecast %t: %d stops", name, forecast, p.stops)
		}
	}
}

// Guards against jobs whose tasks all fail and that keep all VMs of a pool suspected.
func TestFailingTasksDoNotPauseWholePool(t *testing.T) {
	p := newPausePlay(t, true)
	p.fails, p.longest = true, 0
	for i := range 60 {
		p.addJob(fmt.Sprintf("failing-%d", i), "free", job.Step{Count: 3, Resources: job.Resources{CPU: 2000, MemMB: 100}, Estimate: shortRun})
		p.addShort()
		p.play(300 * time.Millisecond)
	}
	assert.Assert(t, p.longest < maxWait, "a short job waits for %s", p.longest)
}

// Guards against a waiver that lets a single slow VM get tasks.
func TestFewSuspectedVMsStayPaused(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one", "two", "three", "four", "five")
	for _, id := range []job.VMID{"one", "two"} {
		h.s.vms.Get(id).slowUntil = h.now.Add(time.Minute)
	}
	h.addJob("j", "free", job.Step{Count: 30, Resources: job.Resources{CPU: 1000, MemMB: 10}, Estimate: time.Second})
	for _, c := range commandsOfType[Start](h.advance(10 * time.Millisecond)) {
		assert.Assert(t, c.VM != "one" && c.VM != "two")
	}
}

// Guards against tasks that need VMs of their own and take all of a pool.
func TestIsolatedTasksLeaveHalfOfPool(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one", "two", "three", "four")
	step := smallStep
	step.Count = 6
	h.addJob("crashing", "free", step)
	_, _, st, _ := h.s.task(job.TaskID{Job: "crashing"})
	for i := range step.Count {
		task := st.task(i)
		task.crashes.attempts = []job.Attempt{1, 2, 3}
		st.update(task)
	}
	h.addJob("other", "free", smallStep)
	isolated := map[job.VMID]bool{}
	other := 0
	for _, c := range commandsOfType[Start](h.advance(10 * time.Millisecond)) {
		h.confirm(c)
		if c.Order.Task.Job == "other" {
			other++
			continue
		}
		isolated[c.VM] = true
	}
	assert.Equal(t, len(isolated), 2)
	assert.Equal(t, other, 1)
}
