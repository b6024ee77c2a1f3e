package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
	"lavenderpond/core/lease"
)

// ownerSequence plays owners that follow each other. Each knows only what the former one stored.
type ownerSequence struct {
	*harness
	roster   map[job.VMID]RosterVM
	progress map[job.ID]job.Progress
	jobs     []job.Job
}

func newOwnerSequence(t testing.TB, jobs ...job.Job) *ownerSequence {
	return &ownerSequence{harness: newHarness(t), roster: map[job.VMID]RosterVM{}, progress: map[job.ID]job.Progress{}, jobs: jobs}
}

// round advances the time by d and keeps what is stored.
func (o *ownerSequence) round(d time.Duration) []Command {
	commands := o.advance(d)
	for _, c := range commands {
		switch c := c.(type) {
		case SaveVM:
			o.roster[c.VM.ID] = c.VM
		case DropVM:
			delete(o.roster, c.VM)
		case Save:
			o.progress[c.Job] = c.Progress
		}
	}
	return commands
}

// takeOver replaces the owner.
func (o *ownerSequence) takeOver() { o.takeOverFrom(o.s.settings.FormerLease) }

// takeOverFrom replaces an owner that granted leases of the given length; 0 stands for an owner of
// an older release.
func (o *ownerSequence) takeOverFrom(granted time.Duration) {
	former := o.s
	o.s = New(former.settings)
	o.s.settings.FormerLease = granted
	o.s.settings.TakeoverTime = o.now
	o.s.settings.AttemptBase += 100
	o.s.Configure(former.config)
	o.s.SetRights(former.rights)
	for _, v := range valuesOf(o.roster) {
		o.s.AddInheritedVM(v)
	}
	for _, j := range o.jobs {
		p := o.progress[j.ID]
		o.s.AddJob(o.now, j, &p, true)
	}
}

// valuesOf returns the values of a roster.
func valuesOf(roster map[job.VMID]RosterVM) []RosterVM {
	var out []RosterVM
	for _, v := range roster {
		out = append(out, v)
	}
	return out
}

// play runs rounds for d in which the VM "other" answers its holds and "lost" doesn't, and returns
// the starts.
func (o *ownerSequence) play(d time.Duration) []Start {
	var out []Start
	for end := o.now.Add(d); o.now.Before(end); {
		out = append(out, commandsOfType[Start](o.round(50*time.Millisecond))...)
		for id, v := range o.s.vms.All() {
			switch {
			case !v.holdInFlight:
			case id == "lost":
				o.s.HoldAnswered(o.now, Hold{VM: id}, Unanswered, job.Report{})
			default:
				o.answerHold(string(id), nil)
			}
		}
	}
	return out
}

// playUntilStart plays up to d and returns when a task started, or zero if none did.
func (o *ownerSequence) playUntilStart(d time.Duration) time.Time {
	for end := o.now.Add(d); o.now.Before(end); {
		if len(o.play(50*time.Millisecond)) > 0 {
			return o.now
		}
	}
	return time.Time{}
}

// newTestJob returns a job of one step.
func newTestJob(id job.ID, steps ...job.Step) job.Job {
	return job.Job{
		ID: id, Body: job.Body{Spec: "x", Steps: steps},
		Terms: job.Terms{Queue: "q", Pool: poolA, Account: "free", MaxAttempts: 2, Stretch: 1.6, LatencyAllowance: time.Second},
	}
}

// startOnLost lets the first owner start a task of each job on a VM named "lost".
func (o *ownerSequence) startOnLost() {
	o.makeReady("lost")
	for _, j := range o.jobs {
		o.s.AddJob(o.now, j, nil, false)
	}
	for range 2 {
		for _, c := range commandsOfType[Start](o.round(50 * time.Millisecond)) {
			o.confirm(c)
		}
	}
	o.makeReady("other")
}

// makeReady lists a VM and lets it answer its first hold.
func (o *ownerSequence) makeReady(id string) {
	o.listVM(id)
	o.round(0)
	o.answerHold(id, nil)
	o.round(0)
}

// Guards against a task that stays away for as long as owners change faster than a lease lasts.
func TestLeaseWaitContinuesUnderNextOwner(t *testing.T) {
	o := newOwnerSequence(t, newTestJob("j", smallStep))
	o.startOnLost()
	end := o.s.vms.Get("lost").leaseOver()
	for range 8 {
		if at := o.playUntilStart(1500 * time.Millisecond); !at.IsZero() {
			assert.Assert(t, !at.Before(end) && at.Sub(end) < 500*time.Millisecond, "started %s after the end", at.Sub(end))
			return
		}
		o.takeOver()
		o.listVM("other")
	}
	t.Fatal("the task never starts again")
}

// Guards against the same for a VM that no owner has reached since the first one.
func TestLeaseWaitOfUnreachedVMContinuesUnderNextOwner(t *testing.T) {
	o := newOwnerSequence(t, newTestJob("j", smallStep))
	o.startOnLost()
	o.takeOver()
	takeover := o.now
	for range 8 {
		o.listVM("other")
		if at := o.playUntilStart(1500 * time.Millisecond); !at.IsZero() {
			end := lease.InheritedLeaseEnd(takeover, o.s.formerLease())
			assert.Assert(t, !at.Before(end) && at.Sub(end) < 500*time.Millisecond, "started %s after the end", at.Sub(end))
			return
		}
		o.takeOver()
	}
	t.Fatal("the task never starts again")
}

// Guards against jobs that wait for a lost VM on which the former owner had started nothing of
// theirs, because it may have.
func TestStoredLeaseBlocksOnlyJobsOnTheVM(t *testing.T) {
	o := newOwnerSequence(t, newTestJob("there", smallStep))
	o.startOnLost()
	o.play(time.Second)
	elsewhere := newTestJob("elsewhere", smallStep)
	o.jobs = append(o.jobs, elsewhere)
	o.progress["elsewhere"] = job.Progress{State: job.Running, VMs: []job.VMID{"lost"}}
	o.takeOver()
	o.listVM("other")
	starts := o.play(time.Second)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Task.Job, job.ID("elsewhere"))
}

// Guards against a second run: the owner extends a lease whose end the next owner reads in the
// roster.
func TestLeaseIsExtendedOnlyOnceItsStoredEndIsRemoved(t *testing.T) {
	o := newOwnerSequence(t, newTestJob("j", smallStep))
	o.startOnLost()
	o.play(time.Second)
	assert.Assert(t, o.roster["lost"].Lease != nil)
	o.answerHold("lost", nil)
	o.now = o.now.Add(50 * time.Millisecond)
	o.s.Tick(o.now)
	commands := o.s.TakeCommands()
	for _, c := range commandsOfType[Hold](commands) {
		assert.Assert(t, c.VM != "lost" || c.Order.Deadline == 0, "the lease is extended")
		o.answerHold(string(c.VM), nil)
	}
	saved := false
	for _, c := range commandsOfType[SaveVM](commands) {
		saved = saved || (c.VM.ID == "lost" && c.VM.Lease == nil)
	}
	assert.Assert(t, saved, "the end of the lease stays stored")
	for _, c := range commands {
		o.store(c)
	}
	for _, c := range commandsOfType[Hold](o.round(50 * time.Millisecond)) {
		assert.Assert(t, c.VM != "lost" || c.Order.Deadline > 0, "the lease isn't extended")
	}
}

// Guards against hundreds of writes when a relay fails and its VMs are silent for a moment.
func TestLeaseOfBrieflySilentVMIsNotStored(t *testing.T) {
	o := newOwnerSequence(t, newTestJob("j", smallStep))
	o.startOnLost()
	o.play(leaseSaveDelay - 100*time.Millisecond)
	assert.Assert(t, o.s.vms.Get("lost").silent)
	assert.Assert(t, o.roster["lost"].Lease == nil)
}
