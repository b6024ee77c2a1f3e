package schedule

import (
	"slices"
	"strconv"
	"time"

	"lavenderpond/core/job"
)

const (
	// approvalBatch is the number of VMs in the first request of a step. Each VM adds to the time
	// that the approval service needs.
	approvalBatch = 30
	// approvalRetryDelay is the pause before a request that failed is repeated.
	approvalRetryDelay = time.Second
	// approvalTimeout is how long an answer may take beyond the time that the service needs for the
	// request and those before it. It doubles with each failure, up to maxApprovalTimeout.
	approvalTimeout    = 2 * time.Second
	maxApprovalTimeout = 16 * time.Second
	// approvalCheckInterval is the pause after no VM was found to ask about.
	approvalCheckInterval = 100 * time.Millisecond
	// deniedPause is how long after all VMs were denied they are asked about again. It doubles each
	// time, up to maxDeniedPause.
	deniedPause    = time.Second
	maxDeniedPause = 32 * time.Second
	// maxEarlyApprovals is the number of outstanding requests from which on a step that has no room
	// yet doesn't ask. The service handles one request at a time, so that those steps would delay
	// the ones that can start.
	maxEarlyApprovals = 2
)

// requiresApproval reports whether the queue's approval service decides which VMs may run the
// job's steps.
func (s *Scheduler) requiresApproval(j *jobState) bool {
	q := s.config.Queue(j.Terms.Queue)
	return q != nil && q.Approval != nil
}

// approved reports whether the step may start on any VM as far as approvals are concerned.
func (a *assignment) approved(j *jobState, st *stepState) bool {
	st.approval.required = a.s.requiresApproval(j)
	return !st.approval.required || st.approval.anyTicket(a.now)
}

// requestApproval asks about VMs that could run the step's open tasks and whose approval isn't
// known. Those that have room come first. It asks about some VMs at a time, and about others with
// each request, until the tasks have started.
func (a *assignment) requestApproval(j *jobState, o *occurrence, i int) {
	st := &o.steps[i]
	p := &st.approval
	if !p.required || a.now.Before(p.retryAt) || a.now.Before(p.answerDue) {
		return
	}
	step := job.StepID{Job: j.ID, Occurrence: o.index, Step: i}
	withRoom, full := a.approvalCandidates(st, step)
	if !a.s.withinQuota(j, st.def.Resources) {
		withRoom, full = nil, append(withRoom, full...)
	}
	if len(withRoom) == 0 && (p.anyTicket(a.now) || a.s.approvalRequests >= maxEarlyApprovals) {
		p.retryAt = a.now.Add(approvalCheckInterval)
		return
	}
	vms := append(p.order(withRoom), p.order(full)...)
	if len(vms) == 0 {
		p.retryAt = a.now.Add(approvalCheckInterval)
		p.forgetDenied(a.now)
		return
	}
	vms = vms[:min(len(vms), p.batchSize(a.s.settings.ApprovalMaxVMs))]
	a.s.emitApprovalRequest(a.now, j, p, RequestApproval{Step: step, VMs: vms})
}

// anyStartable reports whether one of the step's tasks waits for nothing but a VM.
func (a *assignment) anyStartable(st *stepState) bool {
	startable := func(t *taskState) bool {
		return t.open() && !a.now.Before(t.notBefore) && !a.s.mayHaveEnded(t)
	}
	return st.openTasks > 0 && (slices.ContainsFunc(st.live, startable) || st.newTasks() > 0)
}

// approvalCandidates returns the VMs that could run tasks of the step if they were approved, those
// with room for a task apart from the others.
func (a *assignment) approvalCandidates(st *stepState, step job.StepID) (withRoom, full []*vmState) {
	for _, v := range a.vms {
		switch {
		case !st.eligible(step, v) || !st.approval.unknown(a.now, v):
		case v.mayHold(a.now, st.def) && (!v.yielding || st.def.LongRunning):
			withRoom = append(withRoom, v)
		default:
			full = append(full, v)
		}
	}
	return withRoom, full
}

// emitApprovalRequest sends a request and records when its answer is due.
func (s *Scheduler) emitApprovalRequest(now time.Time, j *jobState, p *stepApproval, c RequestApproval) {
	terms := s.config.Queue(j.Terms.Queue).Approval
	needed := terms.DecisionTime + time.Duration(len(c.VMs))*terms.TimePerVM
	s.approvalRequests++
	for _, id := range c.VMs {
		c.Lives = append(c.Lives, s.vms.Get(id).born)
	}
	c.SentAt = now
	c.AnswerDue = now.Add(p.timeout() + time.Duration(s.approvalRequests)*needed)
	p.answerDue, p.retryAt = c.AnswerDue, now.Add(approvalRetryDelay)
	s.emit(c)
}

// ApprovalAnswer is the answer to a RequestApproval.
type ApprovalAnswer struct {
	// Failed is set if the service gave no answer, or refused the request.
	Failed bool
	// Tickets holds a ticket for each VM of the request that may run the step.
	Tickets map[job.VMID]string
	// ValidPeriod is how long the tickets are valid.
	ValidPeriod time.Duration
}

// ApprovalAnswered handles the answer to a RequestApproval command. Each command has one answer,
// also if the request failed.
func (s *Scheduler) ApprovalAnswered(now time.Time, c RequestApproval, answer ApprovalAnswer) {
	s.approvalRequests--
	id := job.TaskID{Job: c.Step.Job, Occurrence: c.Step.Occurrence, Step: c.Step.Step}
	outcome := "failed"
	if !answer.Failed {
		outcome = "approved " + strconv.Itoa(len(answer.Tickets)) + " of " + strconv.Itoa(len(c.VMs))
	}
	s.reportDecision(Decision{Kind: StepApproval, Job: id.Job, Task: id, VM: c.VMs[0], Reason: outcome, Age: now.Sub(c.SentAt)})
	j, _, st, _ := s.task(id)
	if st == nil {
		return
	}
	p := &st.approval
	p.answerDue = time.Time{}
	if answer.Failed {
		p.failed(c.VMs)
		return
	}
	if q := s.config.Queue(j.Terms.Queue); answer.ValidPeriod == 0 && q != nil && q.Approval != nil {
		answer.ValidPeriod = q.Approval.ValidPeriod
	}
	p.answered(now, answer)
	for i, vm := range c.VMs {
		// An answer says nothing of a VM that has restarted since.
		if v := s.vms.Get(vm); v != nil && v.born == c.Lives[i] {
			p.record(now, v, answer)
		}
	}
}

// ticketRefused handles a start that a VM refused because of its ticket. The step's other tickets
// were issued no later, so all of them are requested again, and the task prefers another VM.
func (s *Scheduler) ticketRefused(now time.Time, id job.TaskID, vm job.VMID) {
	if _, _, st, t := s.task(id); t != nil {
		t.avoidVM = vm
		st.approval.expireTickets(now)
	}
}

// ticketAccepted handles a start that a VM has accepted.
func (s *Scheduler) ticketAccepted(id job.TaskID) {
	if _, _, st, _ := s.task(id); st != nil {
		st.approval.refusals = 0
	}
}
