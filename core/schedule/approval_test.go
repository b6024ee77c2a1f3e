package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
)

// approvalHarness is a harness whose queue requires approvals, with a stand-in for the service that
// approves VMs.
type approvalHarness struct {
	*harness
	// approves tells which VMs may run a step.
	approves func(vm job.VMID) bool
	// rejects tells which requests are refused.
	rejects func(c RequestApproval) bool
	// answersAfter is how long the service takes, and valid how long its tickets are valid.
	answersAfter, valid time.Duration
	// issued is when the last ticket was issued. asked holds all requests.
	issued  time.Time
	asked   []RequestApproval
	pending []RequestApproval
}

// newApprovalHarness returns a harness with n ready VMs, named vm-00 and so on, of which the service
// approves those numbered from first on.
func newApprovalHarness(t testing.TB, n, first int) *approvalHarness {
	h := &approvalHarness{
		harness: newHarness(t), valid: 3 * time.Second, answersAfter: 50 * time.Millisecond,
		approves: func(vm job.VMID) bool { return vm >= vmNumber(first) },
		rejects:  func(RequestApproval) bool { return false },
	}
	c := *h.s.config
	c.Version++
	c.Queues = slices.Clone(c.Queues)
	c.Queues[0].Approval = &job.Approval{DecisionTime: 20 * time.Millisecond, TimePerVM: time.Millisecond, ValidPeriod: 3 * time.Second}
	c.Index()
	h.s.Configure(&c)
	var ids []string
	for i := range n {
		ids = append(ids, string(vmNumber(i)))
	}
	h.addReadyVMs(ids...)
	return h
}

func vmNumber(i int) job.VMID { return job.VMID(fmt.Sprintf("vm-%02d", i)) }

// run advances the time in steps of 50 ms, serves requests, and returns all starts. VMs confirm each
// start with a valid ticket.
func (h *approvalHarness) run(d time.Duration) []Start {
	var starts []Start
	for end := h.now.Add(d); h.now.Before(end); {
		for _, c := range h.advance(50 * time.Millisecond) {
			switch c := c.(type) {
			case RequestApproval:
				h.asked, h.pending = append(h.asked, c), append(h.pending, c)
			case Start:
				starts = append(starts, c)
				h.answerStart(c)
			case Hold:
				h.answerHoldWithRuns(c)
			}
		}
		h.answerRequests()
	}
	return starts
}

// answerHoldWithRuns answers a hold with the runs that the scheduler knows.
func (h *approvalHarness) answerHoldWithRuns(c Hold) {
	var running []job.RunningTask
	for _, r := range h.s.vms.Get(c.VM).runs.All() {
		running = append(running, job.RunningTask{Task: r.task, Attempt: r.attempt, Percent: 50})
	}
	h.answerHold(string(c.VM), running)
}

// answerStart accepts a start with the ticket of its VM, and refuses others.
func (h *approvalHarness) answerStart(c Start) {
	report := job.Report{Clock: h.clock(), Born: 1}
	if c.Order.Ticket != "ticket-"+string(c.VM) || h.now.After(h.issued.Add(h.valid)) {
		report.Refused = job.RefusedTicket
	}
	h.s.StartAnswered(h.now, c, Answered, report)
}

// answerRequests answers the requests that have waited long enough, and fails those that are overdue.
func (h *approvalHarness) answerRequests() {
	h.pending = slices.DeleteFunc(h.pending, func(c RequestApproval) bool {
		switch {
		case h.rejects(c), !h.now.Before(c.AnswerDue):
			h.s.ApprovalAnswered(h.now, c, ApprovalAnswer{Failed: true})
			return true
		case h.now.Before(c.SentAt.Add(h.answersAfter)):
			return false
		}
		tickets := map[job.VMID]string{}
		for _, vm := range c.VMs {
			if h.approves(vm) {
				tickets[vm] = "ticket-" + string(vm)
			}
		}
		h.issued = h.now
		h.s.ApprovalAnswered(h.now, c, ApprovalAnswer{Tickets: tickets, ValidPeriod: h.valid})
		return true
	})
}

// Guards against a step that never starts because the same VMs are asked about each time.
func TestApprovedVMIsFoundBeyondFirstRequest(t *testing.T) {
	for _, n := range []int{40, 200} {
		h := newApprovalHarness(t, n, n-1)
		h.approves = func(vm job.VMID) bool { return vm == vmNumber(n-1) }
		h.addJob("j", "free", smallStep)
		starts := h.run(3 * time.Second)
		assert.Equal(t, len(starts), 1)
		assert.Equal(t, starts[0].VM, vmNumber(n-1))
	}
}

// Guards against a step that waits for approved VMs without room while others have room.
func TestFurtherVMsAreAskedAboutWhenApprovedOnesAreFull(t *testing.T) {
	h := newApprovalHarness(t, 40, 0)
	large := job.Step{Count: 40, Resources: job.Resources{CPU: 8000, MemMB: 100}, Estimate: time.Minute}
	h.addJob("j", "free", large)
	assert.Equal(t, len(h.run(3*time.Second)), 40)
}

// Guards against a gang that never starts because no single request names enough VMs.
func TestGangIsApprovedByMoreThanOneRequest(t *testing.T) {
	h := newApprovalHarness(t, 60, 30)
	h.addJob("j", "free", job.Step{Count: 30, Gang: true, Resources: job.Resources{CPU: 8000, MemMB: 100}, Estimate: time.Minute})
	assert.Equal(t, len(h.run(3*time.Second)), 30)
}

// Guards against a service that is never waited for long enough.
func TestLateApprovalIsUsed(t *testing.T) {
	h := newApprovalHarness(t, 9, 0)
	h.answersAfter = 5 * time.Second
	h.addJob("j", "free", smallStep)
	assert.Equal(t, len(h.run(20*time.Second)), 1)
}

// Guards against a request that is refused because of one VM and repeated unchanged.
func TestRefusedRequestIsNotRepeatedUnchanged(t *testing.T) {
	h := newApprovalHarness(t, 40, 0)
	h.rejects = func(c RequestApproval) bool { return slices.Contains(c.VMs, vmNumber(3)) }
	h.addJob("j", "free", smallStep)
	assert.Equal(t, len(h.run(5*time.Second)), 1)
}

// Guards against tickets that are taken to be expired on arrival.
func TestShortTicketIsUsed(t *testing.T) {
	h := newApprovalHarness(t, 9, 0)
	h.valid = 150 * time.Millisecond
	h.addJob("j", "free", smallStep)
	assert.Equal(t, len(h.run(time.Second)), 1)
}

// Guards against starts that are repeated on a VM that refuses its ticket while others accept theirs.
func TestStartGoesElsewhereAfterRefusedTicket(t *testing.T) {
	h := newApprovalHarness(t, 2, 0)
	h.addJob("j", "free", smallStep)
	h.advance(50 * time.Millisecond)
	var first Start
	for first.VM == "" {
		for _, c := range h.advance(50 * time.Millisecond) {
			switch c := c.(type) {
			case RequestApproval:
				h.pending = append(h.pending, c)
			case Start:
				first = c
			}
		}
		h.answerRequests()
	}
	h.s.StartAnswered(h.now, first, Answered, job.Report{Clock: h.clock(), Born: 1, Refused: job.RefusedTicket})
	starts := h.run(time.Second)
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].VM != first.VM)
}

// Guards against steps without room whose requests delay those of steps that could start.
func TestStepsWithoutRoomAskOneAfterAnother(t *testing.T) {
	h := newApprovalHarness(t, 2, 0)
	h.addJob("first", "free", job.Step{Count: 2, Resources: job.Resources{CPU: 8000, MemMB: 100}, Estimate: time.Minute})
	assert.Equal(t, len(h.run(time.Second)), 2)
	for i := range 20 {
		h.addJob(fmt.Sprintf("j%d", i), "free", smallStep)
	}
	outstanding := len(commandsOfType[RequestApproval](h.advance(50 * time.Millisecond)))
	assert.Equal(t, outstanding, maxEarlyApprovals)
}

// Guards against VMs that are never asked about again although they are denied no longer.
func TestDeniedVMsAreAskedAboutAgain(t *testing.T) {
	h := newApprovalHarness(t, 9, 9)
	h.addJob("j", "free", smallStep)
	assert.Equal(t, len(h.run(time.Second)), 0)
	h.approves = func(job.VMID) bool { return true }
	assert.Equal(t, len(h.run(3*time.Second)), 1)
}

// Guards against a new VM that isn't asked about until the denied ones are asked about again.
func TestNewVMIsAskedAboutAtOnce(t *testing.T) {
	h := newApprovalHarness(t, 9, 9)
	h.addJob("j", "free", smallStep)
	assert.Equal(t, len(h.run(30*time.Second)), 0)
	h.addReadyVMs(string(vmNumber(9)))
	assert.Equal(t, len(h.run(500*time.Millisecond)), 1)
}

// Guards against a decision about the former life of a VM that counts for the life after its restart.
func TestApprovalOfFormerLifeIsNotUsed(t *testing.T) {
	for _, approved := range []bool{false, true} {
		h := newApprovalHarness(t, 1, 0)
		h.addJob("j", "free", smallStep)
		c := onlyCommand[RequestApproval](h.harness, h.advance(time.Second))
		record := job.VMRecord{ID: vmNumber(0), Pool: poolA, Address: "a", Capacity: job.Resources{CPU: 8000, MemMB: 8000}, Born: 2}
		h.s.VMListed(h.now, record)
		h.s.HoldAnswered(h.now, Hold{VM: vmNumber(0)}, Answered, job.Report{Clock: 10, Born: 2, Lists: true})
		answer := ApprovalAnswer{ValidPeriod: h.valid}
		if approved {
			answer.Tickets = map[job.VMID]string{vmNumber(0): "former"}
		}
		h.s.ApprovalAnswered(h.now, c, answer)
		commands := h.advance(50 * time.Millisecond)
		assert.Equal(t, len(commandsOfType[Start](commands)), 0, "approved: %v", approved)
		again := onlyCommand[RequestApproval](h.harness, commands)
		assert.DeepEqual(t, again.VMs, []job.VMID{vmNumber(0)})
	}
}
