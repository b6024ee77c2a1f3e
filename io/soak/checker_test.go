package soak

import (
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
func newTestChecker(crash *standin.CrashingTask, p Placement) (j *Checker, clock *time.Time) {
	j = NewChecker()
	clock = new(time.Now())
	j.now = func() time.Time { return *clock }
	j.Submitting(testJob, standin.Spec{CPU: 1000, Crash: crash}, []standin.StepBody{{Count: 2, CPU: 1000}})
	j.SubmitAnswered(testJob, 200)
	j.Placed(testVM, p)
	return j, clock
}

func testTask(index int) job.TaskID { return job.TaskID{Job: testJob, Index: index} }

// startAndCrash records n starts of a task, each followed by a crash of the VM.
func startAndCrash(j *Checker, t job.TaskID, n int) {
	for range n {
		j.Started(testVM, t, 1, "")
		j.Ended(testVM, t, 1, "lost")
	}
}

func assertViolations(t *testing.T, j *Checker, want ...string) {
	t.Helper()
	got := j.Violations()
	assert.Equal(t, len(got), len(want), "%s", strings.Join(got, "\n"))
	for i, w := range want {
		assert.Assert(t, strings.Contains(got[i], w), "%s", got[i])
	}
}

// Guards against a task that crashes one VM after another without limit.
func TestCrashingTaskHasTwoMoreStarts(t *testing.T) {
	j, _ := newTestChecker(&standin.CrashingTask{}, Placement{Capacity: 2000})
	startAndCrash(j, testTask(0), crashLimit+maxStartsAfterCrashLimit)
	assertViolations(t, j)
	startAndCrash(j, testTask(0), 1)
	assertViolations(t, j, "after 5 VMs crashed while they ran it")
}

// Guards against a checker that limits the starts of a task which only ran beside a crashing
// one.
func TestTaskBesideCrashingOneMayRestart(t *testing.T) {
	j, _ := newTestChecker(&standin.CrashingTask{}, Placement{Capacity: 2000})
	startAndCrash(j, testTask(1), crashLimit+maxStartsAfterCrashLimit+1)
	assertViolations(t, j)
}

// Guards against a job that fails before two VMs have crashed while they ran the same task.
func TestFailureNeedsTwoCrashesUnderOneTask(t *testing.T) {
	j, _ := newTestChecker(&standin.CrashingTask{}, Placement{Capacity: 2000})
	startAndCrash(j, testTask(0), 1)
	startAndCrash(j, testTask(1), 1)
	j.StateReturned(testJob, 200, "failed")
	assertViolations(t, j, "is shown as failed")
	startAndCrash(j, testTask(0), 1)
	j.StateReturned(testJob, 200, "failed")
	assertViolations(t, j, "is shown as failed")
}

// Guards against an accepted job that never finishes, unless one of its tasks crashes VMs.
func TestOnlyCrashingJobsMayStayUnfinished(t *testing.T) {
	j, _ := newTestChecker(&standin.CrashingTask{}, Placement{Capacity: 2000})
	j.Finish()
	assertViolations(t, j)
	j, _ = newTestChecker(nil, Placement{Capacity: 2000})
	j.Finish()
	assertViolations(t, j, "was accepted and has not finished")
}

// Guards against starts that overload a VM which ignores its capacity.
func TestVMIgnoringCapacityIsNotOverloaded(t *testing.T) {
	for _, ignoresCapacity := range []bool{false, true} {
		j, _ := newTestChecker(nil, Placement{Capacity: 1000, IgnoresCapacity: ignoresCapacity})
		j.Started(testVM, testTask(0), 1, "")
		assertViolations(t, j)
		j.Started(testVM, testTask(1), 1, "")
		if ignoresCapacity {
			assertViolations(t, j, "overloads vm: CPU 2000 of 1000")
			continue
		}
		assertViolations(t, j)
	}
}

// Guards against starts that rely on a capacity from before a decrease, once its limit is over.
func TestShrunkCapacityAppliesAfterLimit(t *testing.T) {
	for elapsed, violated := range map[time.Duration]bool{shrinkLimit: false, shrinkLimit + time.Millisecond: true} {
		j, clock := newTestChecker(nil, Placement{Capacity: 2000, IgnoresCapacity: true})
		j.Started(testVM, testTask(0), 1, "")
		j.Resized(testVM, 500)
		*clock = clock.Add(elapsed)
		j.Started(testVM, testTask(1), 1, "")
		if violated {
			assertViolations(t, j, "overloads vm: CPU 2000 of 500")
			continue
		}
		assertViolations(t, j)
	}
}

// Guards against a checker that still applies a small capacity after an increase.
func TestGrownCapacityAppliesAtOnce(t *testing.T) {
	j, clock := newTestChecker(nil, Placement{Capacity: 2000, IgnoresCapacity: true})
	j.Resized(testVM, 500)
	*clock = clock.Add(2 * shrinkLimit)
	j.Resized(testVM, 2000)
	j.Started(testVM, testTask(0), 1, "")
	j.Started(testVM, testTask(1), 1, "")
	assertViolations(t, j)
}
