package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
	"lavenderpond/core/lease"
)

// startRecorded lets an owner start a task of the only job on a VM named "lost". The job was taken
// over, so the start is recorded.
func (o *ownerSequence) startRecorded() {
	o.progress["j"] = job.Progress{State: job.Running, VMs: []job.VMID{"gone long ago"}}
	o.takeOver()
	o.listVM("lost")
	o.round(0)
	o.answerHold("lost", nil)
	for range 3 {
		for _, c := range commandsOfType[Start](o.round(50 * time.Millisecond)) {
			o.confirm(c)
		}
	}
}

// Guards against a task that never starts again: its lost VM's lease ends before the next owner has
// found the VM silent.
func TestRecordedStartIsFreedWhenStoredLeaseIsOver(t *testing.T) {
	for _, before := range []time.Duration{-100, 100, 500, 1000, 5000} {
		o := newOwnerSequence(t, newTestJob("j", smallStep))
		o.startRecorded()
		o.makeReady("other")
		o.play(time.Second)
		end := o.roster["lost"].Lease.End
		takeover := end.Add(-before * time.Millisecond)
		if before > 0 {
			assert.Equal(t, len(o.play(takeover.Sub(o.now))), 0)
		}
		o.now = takeover
		o.takeOver()
		o.listVM("other")
		at := o.playUntilStart(10 * time.Second)
		assert.Assert(t, !at.Before(end) && at.Sub(end) < time.Second, "takeover %d ms before the end, start %s after it", before, at.Sub(end))
	}
}

// Guards against a recorded run that waits for another job's start without an answer on its VM.
func TestRecordedRunWaitsOnlyForItsOwnEnd(t *testing.T) {
	o := newOwnerSequence(t, newTestJob("j", smallStep))
	o.startRecorded()
	k := newTestJob("k", smallStep)
	o.s.AddJob(o.now, k, nil, false)
	unanswered := onlyCommand[Start](o.harness, o.round(50*time.Millisecond))
	o.s.StartAnswered(o.now, unanswered, Unanswered, job.Report{})
	o.jobs = append(o.jobs, k)
	lost := o.now
	o.makeReady("other")
	o.play(1500 * time.Millisecond)
	o.takeOver()
	o.listVM("other")
	at := o.playUntilStart(30 * time.Second)
	assert.Assert(t, at.Sub(lost) < 7*time.Second, "started after %s", at.Sub(lost))
}

// Guards against a second run: a VM that restarts executes a start that the former owner waits for.
func TestNextOwnerWaitsForUnansweredStartAsLongAsFormerOwner(t *testing.T) {
	o := newOwnerSequence(t, newTestJob("j", smallStep))
	o.makeReady("lost")
	o.s.AddJob(o.now, o.jobs[0], nil, false)
	unanswered := onlyCommand[Start](o.harness, o.round(50*time.Millisecond))
	o.s.StartAnswered(o.now, unanswered, Unanswered, job.Report{})
	ordered := o.now
	o.makeReady("other")
	o.play(1200 * time.Millisecond)
	o.takeOver()
	o.listVM("other")
	at := o.playUntilStart(30 * time.Second)
	assert.Assert(t, at.Sub(ordered) >= maxOrderDelay && at.Sub(ordered) < maxOrderDelay+time.Second, "started after %s", at.Sub(ordered))
}

// Guards against a second run: a VM answers an owner without its lists, or restarts, and is silent
// again, and the next owner knows nothing of what the one before the last left there.
func TestLeaseStoredAgainCoversInheritedJobs(t *testing.T) {
	for _, how := range []string{"restart", "answer without lists"} {
		o := newOwnerSequence(t, newTestJob("j", smallStep))
		o.startOnLost()
		o.play(time.Second)
		end := o.roster["lost"].Lease.End
		o.takeOver()
		o.listVM("other")
		o.play(200 * time.Millisecond)
		if how == "restart" {
			o.s.VMListed(o.now, job.VMRecord{ID: "lost", Pool: poolA, Address: "lost", Machine: "m-lost", Born: 2})
		} else {
			o.s.HoldAnswered(o.now, Hold{VM: "lost"}, Answered, job.Report{Clock: o.clock(), Born: 1})
		}
		o.play(time.Second)
		o.takeOver()
		o.listVM("other")
		at := o.playUntilStart(40 * time.Second)
		assert.Assert(t, !at.Before(end), "%s: started %s before the end", how, end.Sub(at))
	}
}

// Guards against a second run: an owner of an older release extends a lease and leaves the end of it
// that the owner before had stored.
func TestLeaseStoredBeforeOlderReleaseIsReplaced(t *testing.T) {
	o := newOwnerSequence(t, newTestJob("j", smallStep))
	o.startOnLost()
	o.play(time.Second)
	assert.Assert(t, o.roster["lost"].Lease != nil)
	o.now = o.now.Add(20 * time.Second)
	o.takeOverFrom(0)
	o.round(0)
	assert.Assert(t, o.roster["lost"].Lease == nil, "the next owner would rely on it")
	v := o.s.vms.Get("lost")
	assert.Assert(t, v.inheritedUntil.Sub(o.now) > o.s.settings.LeaseMax)
	assert.Assert(t, v.leaseSave > 0, "the lease may be extended before that is stored")
}

// Guards against a lease whose end is stored and which is extended in the same round.
func TestLeaseOfUnlistedVMThatAnswersIsNotStored(t *testing.T) {
	o := newOwnerSequence(t, newTestJob("j", smallStep))
	o.startOnLost()
	o.takeOver()
	o.listVM("lost")
	o.s.DirectoryRead(o.now)
	var ends []job.End
	for i := range maxListedEnds {
		ends = append(ends, job.End{Number: int64(i + 1), Task: job.TaskID{Job: "x"}, Attempt: job.Attempt(i + 1), How: job.EndedDone})
	}
	o.round(50 * time.Millisecond)
	o.answerHold("lost", []job.RunningTask{{Task: job.TaskID{Job: "j"}, Attempt: 101}}, ends...)
	o.s.VMUnlisted(o.now, "lost")
	o.round(100 * time.Millisecond)
	assert.Assert(t, o.roster["lost"].Lease == nil)
}

// Guards against a wait that is shorter than what an owner before the last granted.
func TestStoredLeaseOfEarlierOwnerIsKept(t *testing.T) {
	o := newOwnerSequence(t, newTestJob("j", smallStep))
	o.s.settings.LeaseMax = 10 * time.Second
	o.startOnLost()
	o.takeOverFrom(0)
	first := o.now
	o.listVM("other")
	assert.Equal(t, len(o.play(time.Second)), 0)
	o.takeOverFrom(6 * time.Second)
	o.listVM("other")
	at := o.playUntilStart(30 * time.Second)
	assert.Assert(t, !at.Before(lease.OlderReleaseLeaseEnd(first, 10*time.Second)))
}

// Guards against a task that runs again because its end isn't among the 500 that its VM lists.
func TestJobWaitsForAllEndsOfVMThatAnswers(t *testing.T) {
	h := newHarness(t)
	end := h.now.Add(time.Second)
	l := &RosterLease{End: end, Jobs: map[job.ID]time.Time{"j": end}}
	h.s.AddInheritedVM(RosterVM{ID: "one", Address: "one", Pool: poolA, Machine: "m-one", Born: 1, Lease: l})
	h.addReadyVMs("two")
	h.listVM("one")
	h.s.AddJob(h.now, newTestJob("j", smallStep), &job.Progress{State: job.Running, VMs: []job.VMID{"one"}}, true)
	var ends []job.End
	for n := range int64(maxListedEnds) {
		ends = append(ends, job.End{Number: n + 1, Task: job.TaskID{Job: "other", Index: int(n)}, How: job.EndedDone})
	}
	for h.now.Before(end.Add(time.Second)) {
		h.answerHold("one", nil, ends...)
		h.answerHold("two", nil)
		assert.Equal(t, len(commandsOfType[Start](h.advance(50*time.Millisecond))), 0)
	}
}
