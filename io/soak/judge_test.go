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
	judgedJob = job.ID("0000000100000001")
	judgedVM  = job.VMID("vm")
)

// judged returns a judge that knows of an accepted job with a task that crashes VMs and
// a sound one, and of a VM; clock is what it reads the time from.
func judged(crash *standin.CrashingTask, at Place) (j *Judge, clock *time.Time) {
	j = NewJudge()
	clock = new(time.Now())
	j.now = func() time.Time { return *clock }
	j.Offered(judgedJob, standin.Spec{CPU: 1000, Crash: crash}, []standin.StepBody{{Count: 2, CPU: 1000}})
	j.Answered(judgedJob, 200)
	j.Placed(judgedVM, at)
	return j, clock
}

func judgedTask(index int) job.TaskID { return job.TaskID{Job: judgedJob, Index: index} }

// startAndCrash plays n starts of a task and the crash of the VM after each.
func startAndCrash(j *Judge, t job.TaskID, n int) {
	for range n {
		j.Started(judgedVM, t, 1, "")
		j.Ended(judgedVM, t, 1, "lost")
	}
}

func assertBroken(t *testing.T, j *Judge, want ...string) {
	t.Helper()
	got := j.Broken()
	assert.Equal(t, len(got), len(want), "%s", strings.Join(got, "\n"))
	for i, w := range want {
		assert.Assert(t, strings.Contains(got[i], w), "%s", got[i])
	}
}

// Guards against a task that takes one VM after the other down without an end.
func TestCrashingTaskHasTwoSpareStarts(t *testing.T) {
	j, _ := judged(&standin.CrashingTask{}, Place{Room: 2000})
	startAndCrash(j, judgedTask(0), crashesMost+sparesMost)
	assertBroken(t, j)
	startAndCrash(j, judgedTask(0), 1)
	assertBroken(t, j, "after 5 VMs have crashed under it")
}

// Guards against a sound task that is given up since it ran beside a crashing one.
func TestSoundTaskMayBeStartedAnyTime(t *testing.T) {
	j, _ := judged(&standin.CrashingTask{}, Place{Room: 2000})
	startAndCrash(j, judgedTask(1), crashesMost+sparesMost+1)
	assertBroken(t, j)
}

// Guards against a job that is given up before two VMs have crashed under one task.
func TestFailedNeedsTwoCrashesUnderOneTask(t *testing.T) {
	j, _ := judged(&standin.CrashingTask{}, Place{Room: 2000})
	startAndCrash(j, judgedTask(0), 1)
	startAndCrash(j, judgedTask(1), 1)
	j.Shown(judgedJob, 200, "failed")
	assertBroken(t, j, "is shown as failed")
	startAndCrash(j, judgedTask(0), 1)
	j.Shown(judgedJob, 200, "failed")
	assertBroken(t, j, "is shown as failed")
}

// Guards against an accepted job without a crashing task that never ends.
func TestOnlyCrashingJobsMayStayOpen(t *testing.T) {
	j, _ := judged(&standin.CrashingTask{}, Place{Room: 2000})
	j.Finish()
	assertBroken(t, j)
	j, _ = judged(nil, Place{Room: 2000})
	j.Finish()
	assertBroken(t, j, "was accepted and isn't over")
}

// Guards against starts that bring a VM without a guard over its room.
func TestUnguardedVMIsKeptWithinItsRoom(t *testing.T) {
	for _, unguarded := range []bool{false, true} {
		j, _ := judged(nil, Place{Room: 1000, Unguarded: unguarded})
		j.Started(judgedVM, judgedTask(0), 1, "")
		assertBroken(t, j)
		j.Started(judgedVM, judgedTask(1), 1, "")
		if unguarded {
			assertBroken(t, j, "brings it to 2000 of 1000")
			continue
		}
		assertBroken(t, j)
	}
}

// Guards against starts by a room that has shrunk long ago.
func TestShrunkRoomCountsAfterItsTime(t *testing.T) {
	for since, broken := range map[time.Duration]bool{shrinkWithin: false, shrinkWithin + time.Millisecond: true} {
		j, clock := judged(nil, Place{Room: 2000, Unguarded: true})
		j.Started(judgedVM, judgedTask(0), 1, "")
		j.Resized(judgedVM, 500)
		*clock = clock.Add(since)
		j.Started(judgedVM, judgedTask(1), 1, "")
		if broken {
			assertBroken(t, j, "brings it to 2000 of 500")
			continue
		}
		assertBroken(t, j)
	}
}

// Guards against a judge that holds a VM to the small room that it no longer has.
func TestGrownRoomCountsAtOnce(t *testing.T) {
	j, clock := judged(nil, Place{Room: 2000, Unguarded: true})
	j.Resized(judgedVM, 500)
	*clock = clock.Add(2 * shrinkWithin)
	j.Resized(judgedVM, 2000)
	j.Started(judgedVM, judgedTask(0), 1, "")
	j.Started(judgedVM, judgedTask(1), 1, "")
	assertBroken(t, j)
}
