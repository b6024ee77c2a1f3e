package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// harness feeds events to a scheduler and collects its commands. It simulates VMs that hold 8
// cores each and share one clock.
type harness struct {
	t   testing.TB
	s   *Scheduler
	now time.Time
}

// startTime is the time of the takeover, at which each test starts.
var startTime = time.Unix(1_800_000_000, 0)

// poolA is the pool of the tests' queue, and poolOff a standby pool.
const (
	poolA   = job.PoolName("a")
	poolOff = job.PoolName("off")
)

// newHarness returns a harness with a configuration and all rights.
func newHarness(t testing.TB) *harness {
	h := &harness{t: t, now: startTime}
	h.s = New(Settings{
		Fence: 5, AttemptBase: 100, TakeoverTime: startTime, LeaseMax: 6 * time.Second, FormerLease: 6 * time.Second, TaskStopMax: 400 * time.Millisecond,
		MachineLease: 3 * time.Second, MachineMoveTime: 1500 * time.Millisecond, OrderIssuer: "here",
	})
	c := &job.Configuration{
		Version:  1,
		Queues:   []job.Queue{{Name: "q", Pool: poolA, MaxAttempts: 2, Stretch: 1.6, LatencyAllowance: time.Second}},
		Pools:    []job.Pool{{Name: poolA}, {Name: poolOff, Standby: true}},
		Accounts: []job.Account{{Name: "capped", Quota: job.Resources{CPU: 5000}}, {Name: "free"}},
	}
	c.Index()
	h.s.Configure(c)
	h.s.SetRights(Rights{OrderMachines: true, StartTasks: true, ExtendLeases: true})
	return h
}

// advance moves the time forward by d and returns the commands of three rounds. Saves are stored
// immediately.
func (h *harness) advance(d time.Duration) []Command {
	h.now = h.now.Add(d)
	var out []Command
	for range 3 {
		h.s.Tick(h.now)
		h.s.Assign(h.now, h.now)
		commands := h.s.TakeCommands()
		out = append(out, commands...)
		for _, c := range commands {
			h.store(c)
		}
	}
	return out
}

// store confirms c as stored if it is a save.
func (h *harness) store(c Command) {
	if sequence, ok := SequenceOf(c); ok {
		h.s.SavesStored(h.now, sequence)
	}
}

// listVM feeds a VM's directory entry to the scheduler.
func (h *harness) listVM(id string) { h.listVMInZone(id, "") }

// listVMInZone is listVM for a VM in an availability zone.
func (h *harness) listVMInZone(id string, zone job.ZoneName) {
	h.s.VMListed(h.now, job.VMRecord{
		ID: job.VMID(id), Pool: poolA, Address: id, Zone: zone, Capacity: job.Resources{CPU: 8000, MemMB: 8000},
		Machine: job.MachineID("m-" + id), Born: 1,
	})
}

// clock returns the clock reading of all VMs.
func (h *harness) clock() job.VMClock { return job.VMClock(h.now.Sub(startTime).Milliseconds()) + 1000 }

// answerHold answers a hold of the VM with the given lists.
func (h *harness) answerHold(id string, running []job.RunningTask, ended ...job.End) {
	h.s.HoldAnswered(h.now, Hold{VM: job.VMID(id)}, Answered, job.Report{
		Clock: h.clock(), Born: 1, Lists: true, Running: running, Finished: ended,
	})
}

// addReadyVMs lists VMs and lets them answer a hold, after which they accept tasks.
func (h *harness) addReadyVMs(ids ...string) {
	for _, id := range ids {
		h.listVM(id)
	}
	h.advance(0)
	for _, id := range ids {
		h.answerHold(id, nil)
	}
	h.advance(30 * time.Millisecond)
}

// addJob adds a job of the given steps.
func (h *harness) addJob(id string, account job.AccountName, steps ...job.Step) {
	j := job.Job{ID: job.ID(id), Body: job.Body{Spec: "x", Steps: steps}}
	j.Terms = job.Terms{Queue: "q", Pool: poolA, Account: account, MaxAttempts: 2, Stretch: 1.6, LatencyAllowance: time.Second}
	h.s.AddJob(h.now, j, nil, false)
}

// confirm answers a start: the VM has started the task.
func (h *harness) confirm(c Start) {
	h.s.StartAnswered(h.now, c, Answered, job.Report{Clock: h.clock(), Born: 1})
}

// runningTask returns a list entry for the run that c started.
func runningTask(c Start, percent int) job.RunningTask {
	return job.RunningTask{Task: c.Order.Task, Attempt: c.Order.Attempt, Percent: percent}
}

// commandsOfType returns the commands of type T.
func commandsOfType[T Command](commands []Command) []T {
	var out []T
	for _, c := range commands {
		if x, ok := c.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

// onlyCommand returns the only command of type T, and fails the test if there isn't exactly one.
func onlyCommand[T Command](h *harness, commands []Command) T {
	h.t.Helper()
	out := commandsOfType[T](commands)
	assert.Equal(h.t, len(out), 1, "%s", fmt.Sprint(commands))
	return out[0]
}

// smallStep is a step of one short task.
var smallStep = job.Step{Count: 1, Resources: job.Resources{CPU: 1000, MemMB: 100}, Estimate: time.Second}

// decisionRecorder is an Observer that keeps all decisions.
type decisionRecorder struct{ decisions []Decision }

func (r *decisionRecorder) Decided(d Decision) { r.decisions = append(r.decisions, d) }

// only returns the only decision of a kind, and fails the test if there isn't exactly one.
func (r *decisionRecorder) only(t testing.TB, kind DecisionKind) Decision {
	t.Helper()
	var out []Decision
	for _, d := range r.decisions {
		if d.Kind == kind {
			out = append(out, d)
		}
	}
	assert.Equal(t, len(out), 1, "%s: %+v", kind, out)
	return out[0]
}
