package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// Guards against a new owner that stops long tasks since it knows of none: the former owner
// stored what it knew once it had met one. After ten minutes that counts no more.
func TestTakeoverKnowsLongTasks(t *testing.T) {
	h, step, beside := startBesideOthers(t)
	h.report(step[0], false, 50, append(step, beside...)...)
	h.addJob("other", "free", smallStep)
	saves := commandsOfType[SaveRunTimes](h.advance(100 * time.Millisecond))
	assert.Equal(t, len(saves), 1)
	for _, c := range []struct {
		age   time.Duration
		heavy bool
	}{{-time.Hour, true}, {10 * time.Second, true}, {10 * time.Minute, false}, {48 * time.Hour, false}} {
		next := newHarness(t)
		next.s.settings.Policy.RunTimeForecast = true
		next.s.AddInheritedRunTimes(next.now, h.now.Add(c.age), "q", saves[0].RunTimes)
		assert.Equal(t, next.s.queueForecast("q").LongRuns().Heavy, c.heavy, "%s", c.age)
	}
}

// Load: 1,000 queues with long tasks, each of which is met in every round. The saves must stay
// within ten a second, and each queue must have its turn.
func TestRunTimeSavesAreBounded(t *testing.T) {
	h := newHarness(t)
	const queues, seconds = 1000, 120
	saved := map[job.QueueName]int{}
	for range 10 * seconds {
		h.now = h.now.Add(runTimeSaveSpacing)
		for i := range queues {
			h.s.runTimeSaves.mark(job.QueueName(rune('a' + i)))
		}
		h.s.planRunTimeSave(h.now, h.now)
		h.s.flushRunTimes()
		for _, c := range commandsOfType[SaveRunTimes](h.s.TakeCommands()) {
			saved[c.Queue]++
		}
	}
	total := 0
	for _, n := range saved {
		total += n
	}
	assert.Equal(t, len(saved), queues)
	assert.Assert(t, total <= 10*seconds+1, "%d", total)
}
