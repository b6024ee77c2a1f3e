package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
	"lavenderpond/platform/standin"
)

const (
	testJob = job.ID("0000000100000001")
	testVM  = job.VMID("vm")
)

// newTestChecker returns a checker with an accepted job of two tasks, of which crash selects the
// one that crashes VMs, and with a VM. The checker reads the time from clock.
func newTestChecker(crash *standin.CrashingTask, p Placement) (c *Checker, clock *time.Time) {
	c = NewChecker()
	clock = new(time.Now())
	c.now = func() time.Time { return *clock }
	c.Submitting(testJob, standin.Accounts[0].Name, standin.Spec{CPU: 1000, Crash: crash}, []standin.StepBody{{Count: 2, CPU: 1000}})
	c.SubmitAnswered(testJob, 200)
	c.Placed(testVM, p)
	return c, clock
}

func testTask(index int) job.TaskID { return job.TaskID{Job: testJob, Index: index} }

// startAndCrash records n starts of a task, each followed by a crash of the VM.
func startAndCrash(c *Checker, t job.TaskID, n int) {
	for range n {
		c.Started(testVM, t, 1, "")
		c.Ended(testVM, t, 1, "lost")
	}
}

func assertViolations(t *testing.T, c *Checker, want ...string) {
	t.Helper()
	got := c.Violations()
	assert.Equal(t, len(got), len(want), "%s", strings.Join(got, "\n"))
	for i, w := range want {
		assert.Assert(t, strings.Contains(got[i], w), "%s", got[i])
	}
}

// Guards against a task that crashes one VM after another without limit.
func TestCrashingTaskMayStartTwiceAfterCrashLimit(t *testing.T) {
	c, _ := newTestChecker(&standin.CrashingTask{}, Placement{Capacity: 2000})
	startAndCrash(c, testTask(0), crashLimit+maxStartsAfterCrashLimit)
	assertViolations(t, c)
	startAndCrash(c, testTask(0), 1)
	assertViolations(t, c, "after 5 VMs crashed while they ran it")
}

// Guards against a checker that limits the starts of a task that only ran beside a crashing
// task.
func TestTaskBesideCrashingOneMayRestart(t *testing.T) {
	c, _ := newTestChecker(&standin.CrashingTask{}, Placement{Capacity: 2000})
	startAndCrash(c, testTask(1), crashLimit+maxStartsAfterCrashLimit+1)
	assertViolations(t, c)
}

// Guards against a job that fails before two VMs have crashed while they ran the same task.
func TestFailureNeedsTwoCrashesUnderOneTask(t *testing.T) {
	c, _ := newTestChecker(&standin.CrashingTask{}, Placement{Capacity: 2000})
	startAndCrash(c, testTask(0), 1)
	startAndCrash(c, testTask(1), 1)
	c.StateReturned(testJob, 200, "failed")
	assertViolations(t, c, "is shown as failed")
	startAndCrash(c, testTask(0), 1)
	c.StateReturned(testJob, 200, "failed")
	assertViolations(t, c, "is shown as failed")
}

// Guards against an accepted job that never finishes, unless one of its tasks crashes VMs.
func TestOnlyCrashingJobsMayStayUnfinished(t *testing.T) {
	c, _ := newTestChecker(&standin.CrashingTask{}, Placement{Capacity: 2000})
	c.Finish()
	assertViolations(t, c)
	c, _ = newTestChecker(nil, Placement{Capacity: 2000})
	c.Finish()
	assertViolations(t, c, "was accepted and has not finished")
}

// Guards against starts that overload a VM which ignores its capacity.
func TestVMIgnoringCapacityIsNotOverloaded(t *testing.T) {
	for _, ignoresCapacity := range []bool{false, true} {
		c, _ := newTestChecker(nil, Placement{Capacity: 1000, IgnoresCapacity: ignoresCapacity})
		c.Started(testVM, testTask(0), 1, "")
		assertViolations(t, c)
		c.Started(testVM, testTask(1), 1, "")
		if ignoresCapacity {
			assertViolations(t, c, "overloads vm: CPU 2000 of 1000")
			continue
		}
		assertViolations(t, c)
	}
}

// Guards against starts that rely on a capacity from before a decrease, once its limit is over.
func TestShrunkCapacityAppliesAfterLimit(t *testing.T) {
	for elapsed, violated := range map[time.Duration]bool{shrinkLimit: false, shrinkLimit + time.Millisecond: true} {
		c, clock := newTestChecker(nil, Placement{Capacity: 2000, IgnoresCapacity: true})
		c.Started(testVM, testTask(0), 1, "")
		c.Resized(testVM, 500)
		*clock = clock.Add(elapsed)
		c.Started(testVM, testTask(1), 1, "")
		if violated {
			assertViolations(t, c, "overloads vm: CPU 2000 of 500")
			continue
		}
		assertViolations(t, c)
	}
}

// Guards against a checker that still applies a small capacity after an increase.
func TestGrownCapacityAppliesImmediately(t *testing.T) {
	c, clock := newTestChecker(nil, Placement{Capacity: 2000, IgnoresCapacity: true})
	c.Resized(testVM, 500)
	*clock = clock.Add(2 * shrinkLimit)
	c.Resized(testVM, 2000)
	c.Started(testVM, testTask(0), 1, "")
	c.Started(testVM, testTask(1), 1, "")
	assertViolations(t, c)
}

// acceptWaiting submits a job of an account, has it accepted, and starts none of its tasks.
func acceptWaiting(c *Checker, id job.ID, account job.AccountName) {
	c.Submitting(id, account, standin.Spec{CPU: 1000}, []standin.StepBody{{Count: 1, CPU: 1000}})
	c.SubmitAnswered(id, 200)
}

// Guards against an account within its weight that gets no start while later jobs of others run.
func TestAccountWithinWeightIsNotStarved(t *testing.T) {
	waiting, later, own := standin.Accounts[2], job.ID("0000000200000001"), job.ID("0000000300000002")
	for name, test := range map[string]struct {
		jobs   int
		served bool
		waited time.Duration
		starts job.TaskID
		want   []string
	}{
		"starved":          {jobs: 1, waited: starvationLimit + time.Second, starts: job.TaskID{Job: later}, want: []string{"within its weight, has waited"}},
		"served meanwhile": {jobs: 1, served: true, waited: starvationLimit + time.Second, starts: job.TaskID{Job: later}},
		"short wait":       {jobs: 1, waited: starvationLimit, starts: job.TaskID{Job: later}},
		"beyond weight":    {jobs: int(waiting.Weight*weightWindow.Seconds()) + 1, waited: starvationLimit + time.Second, starts: job.TaskID{Job: later}},
		"same account":     {jobs: 1, waited: starvationLimit + time.Second, starts: job.TaskID{Job: own}},
		"earlier job":      {jobs: 1, waited: starvationLimit + time.Second, starts: testTask(1)},
	} {
		c, clock := newTestChecker(nil, Placement{Capacity: 9000})
		c.Started(testVM, testTask(0), 1, "")
		*clock = clock.Add(time.Second)
		for i := range test.jobs {
			acceptWaiting(c, job.ID(fmt.Sprintf("00000003%08x", 16+i)), waiting.Name)
		}
		*clock = clock.Add(test.waited)
		if test.served {
			acceptWaiting(c, "0000000300000003", waiting.Name)
			c.Started(testVM, job.TaskID{Job: "0000000300000003"}, 1, "")
		}
		acceptWaiting(c, later, standin.Accounts[1].Name)
		acceptWaiting(c, own, waiting.Name)
		c.Started(testVM, test.starts, 1, "")
		t.Log(name)
		assertViolations(t, c, test.want...)
	}
}

// Guards against a refusal after which a caller can't know when to come back.
func TestRefusalSaysWhenToComeBack(t *testing.T) {
	c, _ := newTestChecker(nil, Placement{})
	assert.Equal(t, c.Answered(testJob, 429, "2"), 2*time.Second)
	c.Answered(testJob, 504, "")
	assertViolations(t, c)
	c.Answered(testJob, 503, "")
	c.Answered(testJob, 429, "0")
	assertViolations(t, c, "status 503", "status 429")
}

// Guards against a job that was refused each time and runs all the same.
func TestRefusedJobMustNotRun(t *testing.T) {
	c, _ := newTestChecker(nil, Placement{Capacity: 9000})
	startAndCrash(c, testTask(0), 2)
	c.StateReturned(testJob, 200, "failed")
	refused := job.ID("0000000200000001")
	c.Submitting(refused, standin.Accounts[0].Name, standin.Spec{CPU: 1000}, []standin.StepBody{{Count: 1, CPU: 1000}})
	c.SubmitAnswered(refused, 429)
	c.SubmitAnswered(refused, 503)
	c.Started(testVM, job.TaskID{Job: refused}, 1, "")
	c.Finish()
	assertViolations(t, c, "all its submissions were refused")
}
