package schedule

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/admission"
	"lavenderpond/core/job"
)

// Load: forty one-second tasks for a VM that runs eight at a time. The pool is listed with what
// runs and waits, and once there is room again it isn't.
func TestOutlookListsFullPools(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	h.advance(outlookInterval)
	assert.Assert(t, !h.outlook().Scarce())
	for i := range 7 {
		h.addJob(fmt.Sprintf("a%d", i), "free", smallStep)
	}
	starts := commandsOfType[Start](h.advance(outlookInterval))
	assert.Assert(t, !h.outlook().Scarce(), "nothing waits")
	for i := range 33 {
		h.addJob(fmt.Sprintf("b%02d", i), "free", smallStep)
	}
	starts = append(starts, commandsOfType[Start](h.advance(outlookInterval))...)
	assert.Equal(t, len(starts), 8)
	f := h.outlook()
	assert.Equal(t, len(f.Pools), 1)
	p := f.Pools[0]
	assert.Equal(t, p.Cores, admission.Cores(6.8))
	assert.Assert(t, p.Running > 7 && p.Running <= 8, "%+v", p)
	waiting := p.Queues[0].InTime + p.Queues[0].Late
	assert.Assert(t, waiting > 31.9 && waiting < 32.1, "%+v", p)
	for i := range 33 {
		h.s.Cancel(h.now, job.ID(fmt.Sprintf("b%02d", i)))
	}
	h.advance(outlookInterval)
	assert.Assert(t, !h.outlook().Scarce())
}

func (h *harness) outlook() *admission.Forecast {
	f, _ := h.s.Outlook(h.now)
	return &f
}

// Guards against refusals while the pool has room: what waits is kept back by its account's quota.
func TestWorkAboveQuotaDoesNotMakeAPoolScarce(t *testing.T) {
	h := newHarness(t)
	h.addReadyVMs("one")
	for i := range 30 {
		h.addJob(fmt.Sprintf("a%02d", i), "capped", smallStep)
	}
	assert.Equal(t, len(commandsOfType[Start](h.advance(outlookInterval))), 5)
	assert.Assert(t, !h.outlook().Scarce())
}

// Guards against refusals by an owner that has just taken over: its VMs haven't reported, so the
// capacity isn't known to be missing.
func TestUnreportedVMsCountAsArriving(t *testing.T) {
	h := newHarness(t)
	h.listVM("one")
	h.addJob("a", "free", smallStep)
	h.advance(firstReportGrace + outlookInterval)
	for _, p := range h.outlook().Pools {
		assert.Assert(t, len(p.Arriving) > 0, "%+v", p)
	}
}

// Guards against callers who gain from a refusal: a job that was refused 2 s before counts as waiting
// since then, so it comes after a job that can still be in time.
func TestRefusedCallerKeepsItsWaitingTime(t *testing.T) {
	h := newHarness(t)
	h.s.JobRefused(h.now, "again")
	h.now = h.now.Add(2 * time.Second)
	h.s.JobRefused(h.now, "again")
	h.addJob("again", "free", smallStep)
	h.addJob("new", "free", smallStep)
	again, fresh := h.s.jobs.Get("again"), h.s.jobs.Get("new")
	assert.Equal(t, fresh.arrived.Sub(again.arrived), 2*time.Second)
	assert.Assert(t, compareCandidates(h.s.newCandidate(h.now, fresh), h.s.newCandidate(h.now, again)) < 0)
}

// Load: 215 pools are full and 620 accounts are beyond their shares. An entry VM that reads the
// forecast with each of its 2.2 polls a second reads less than 10 KB a second.
func TestOutlookStaysSmall(t *testing.T) {
	h := newHarness(t)
	c := &job.Configuration{Version: 2}
	for i := range 620 {
		c.Accounts = append(c.Accounts, job.Account{Name: job.AccountName(fmt.Sprintf("account-%03d", i)), Weight: 1})
	}
	for i := range 215 {
		name := fmt.Sprintf("pool-%03d", i)
		c.Pools = append(c.Pools, job.Pool{Name: job.PoolName(name)})
		c.Queues = append(c.Queues, job.Queue{Name: job.QueueName("queue-" + name), Pool: job.PoolName(name)})
	}
	c.Index()
	h.s.Configure(c)
	for i, p := range c.Pools {
		h.s.VMListed(h.now, job.VMRecord{
			ID: job.VMID(p.Name), Pool: p.Name, Address: string(p.Name), Capacity: job.Resources{CPU: 8000, MemMB: 8000}, Born: 1,
		})
		h.answerHold(string(p.Name), nil)
		j := job.Job{ID: job.ID(p.Name), Terms: job.Terms{Queue: c.Queues[i].Name, Pool: p.Name}}
		j.Body.Steps = []job.Step{{Count: 100 + i, Resources: job.Resources{CPU: 1000, MemMB: 100}, Estimate: time.Second}}
		h.s.AddJob(h.now, j, nil, false)
	}
	for i := range c.Accounts {
		for range 10 {
			h.s.shares.exceeds(h.now, &c.Accounts[i])
		}
	}
	h.advance(outlookInterval)
	f := h.outlook()
	assert.Equal(t, len(f.Pools), maxOutlookPools)
	assert.Equal(t, len(f.BeyondShare), maxOutlookAccounts)
	b, err := json.Marshal(f)
	assert.NilError(t, err)
	assert.Assert(t, 22*len(b)/10 < 10_000, "%d bytes", len(b))
}

// Guards against ranking an account's jobs last at entry VMs, but not at the owner: a change of the
// configuration has taken its weight, and with it the share that it could exceed.
func TestAccountWithoutWeightIsNotBeyondShare(t *testing.T) {
	s := New(Settings{})
	configure := func(weight float64) {
		c := &job.Configuration{Accounts: []job.Account{{Name: "a", Weight: weight}}}
		c.Index()
		s.Configure(c)
	}
	now := time.Unix(1_800_000_000, 0)
	configure(1)
	for range 6 {
		s.shares.exceeds(now, s.config.Account("a"))
	}
	assert.DeepEqual(t, s.accountsBeyondShare(now), []job.AccountName{"a"})
	configure(0)
	assert.Equal(t, len(s.accountsBeyondShare(now)), 0)
}
