package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// completeStep marks a job's step as complete, with the run times of its tasks.
func (h *harness) completeStep(j *jobState, step int, took ...time.Duration) {
	st := &j.occurrences[0].steps[step]
	st.runTimes, st.observedRuns = took, len(took)
	st.done.AddBelow(len(took))
	for _, d := range took {
		h.s.learnRunTime(j, st.def, d)
	}
	h.s.learnStep(h.now, j, st)
}

func (h *harness) newJob(id string, steps ...job.Step) *jobState {
	h.addJob(id, "free", steps...)
	return h.s.jobs.Get(job.ID(id))
}

func assertNear(t *testing.T, got, want time.Duration) {
	t.Helper()
	assert.Assert(t, got > want*95/100 && got < want*105/100, "%s, want about %s", got, want)
}

var pairStep = job.Step{Count: 2, Resources: job.Resources{CPU: 1000, MemMB: 100}, Estimate: 1400 * time.Millisecond}

// Guards against jobs that are predicted to be in time but end late: a step takes as long as
// the longest of its tasks and not as long as a typical one.
func TestStepTakesAsLongAsItsLongestTask(t *testing.T) {
	h := newHarness(t)
	for i := range 2 * minSamples {
		h.completeStep(h.newJob(string(rune('a'+i)), pairStep), 0, time.Second, 2*time.Second)
	}
	j := h.newJob("new", pairStep)
	assertNear(t, h.s.predictRunTime(j, &pairStep), 1414*time.Millisecond)
	assertNear(t, h.s.remainingTime(j, j.occurrences[0]), 2*time.Second)
	assertNear(t, j.objective.Sub(j.arrived), 3200*time.Millisecond+time.Second)
}

// Guards against giving up a long job as late, and against overestimating the slack of a short
// one. Once a step is complete, the run times of its tasks must be used for the later
// steps.
func TestRunTimesOfCompleteStepPredictLaterSteps(t *testing.T) {
	h := newHarness(t)
	for i := range 2 * minSamples {
		h.completeStep(h.newJob(string(rune('a'+i)), pairStep), 0, time.Second, time.Second)
	}
	after := pairStep
	after.After = []int{0}
	j := h.newJob("long", pairStep, after)
	h.completeStep(j, 0, 4*time.Second, 4*time.Second)
	assertNear(t, h.s.remainingTime(j, j.occurrences[0]), 4*time.Second)
	due, _ := h.s.predictObjective(j)
	assertNear(t, due.Sub(j.arrived), 8*time.Second*16/10+time.Second)
}

// Guards against objectives that grow when VMs are slow: callers expect the objectives that
// apply on healthy VMs.
func TestSlowRunsDontChangeStragglerRatio(t *testing.T) {
	h := newHarness(t)
	for i := range 2 * minSamples {
		h.completeStep(h.newJob(string(rune('a'+i)), wideStep), 0, time.Second, time.Second, time.Second, 9*time.Second)
	}
	assert.Equal(t, h.s.queueStats("q").steps, 0)
}

var wideStep = job.Step{Count: 4, Resources: job.Resources{CPU: 1000, MemMB: 100}, Estimate: time.Second}

// Guards against wrong predictions from incomplete data. A step with a run that this owner
// hasn't seen in full, for instance because it began under a former owner, must not change the
// statistics.
func TestPartlyObservedStepsDontChangeStatistics(t *testing.T) {
	h := newHarness(t)
	j := h.newJob("j", pairStep)
	h.completeStep(j, 0, time.Second)
	assert.Equal(t, j.typicalRun, time.Duration(0))
	assert.Equal(t, h.s.queueStats("q").steps, 0)
}

// Guards against a long step that is predicted to take as long as the short one before it, so that its job
// counts as useless while it runs.
func TestLongStepAfterShortOneIsPredictedLong(t *testing.T) {
	h := newHarness(t)
	long := smallStep
	long.Estimate, long.After = 80*time.Second, []int{0}
	j := h.newJob("j", smallStep, long)
	h.completeStep(j, 0, time.Second)
	assert.Assert(t, h.s.predictRunTime(j, j.occurrences[0].steps[1].def) > 20*time.Second)
	h.s.rateJob(h.now, j)
	assert.Assert(t, j.lateLimit.After(h.now.Add(80*time.Second)))
}

// Guards against a run that counts as slow because it takes long for each percent, as it is estimated to.
func TestRunOfManySecondsForEachPercentIsNotSlow(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one", "two")
	short := h.newJob("short", smallStep)
	for range 2 * minSamples {
		h.s.learnRunTime(short, &smallStep, time.Second)
	}
	long := smallStep
	long.Estimate = 1000 * time.Second
	h.addJob("long", "free", long)
	for _, c := range commandsOfType[Start](h.advance(10 * time.Millisecond)) {
		h.confirm(c)
		if c.Order.Task.Job != "long" {
			continue
		}
		for second := range 60 {
			h.answerHold(string(c.VM), []job.RunningTask{runningTask(c, second/10)})
			assert.Equal(t, len(commandsOfType[Stop](h.advance(time.Second))), 0, "after %d s", second)
		}
	}
}
