package schedule

import (
	"time"

	"lavenderpond/core/job"
)

// approved reports whether the step may start. If its queue requires an approval and there is
// none yet, it requests one.
func (a *assignment) approved(j *jobState, o *occurrence, i int) bool {
	q := a.s.config.Queue(j.Terms.Queue)
	if q == nil || q.Approval == nil {
		return true
	}
	st := &o.steps[i]
	if len(st.tickets) > 0 && a.now.Before(st.ticketsUntil) {
		return true
	}
	if st.approvalRequested && a.now.Before(st.approvalRetryAt) {
		return false
	}
	var vms []job.VMID
	for _, v := range a.vms {
		if len(vms) < approvalMaxVMs && (st.def.Requires == "" || v.labels[st.def.Requires]) {
			vms = append(vms, v.id)
		}
	}
	if len(vms) == 0 {
		return false
	}
	st.approvalRequested, st.approvalRetryAt = true, a.now.Add(approvalRetryDelay)
	a.s.emit(RequestApproval{Step: job.StepID{Job: j.ID, Occurrence: o.index, Step: i}, VMs: vms})
	return false
}

const (
	// approvalMaxVMs bounds the number of VMs in one request. Each VM adds to the time that the
	// approval service needs.
	approvalMaxVMs = 30
	// approvalRetryDelay is the pause before an approval request without an answer is repeated.
	approvalRetryDelay = time.Second
	// ticketExpiryMargin is how long before its expiry a ticket stops being used.
	ticketExpiryMargin = 200 * time.Millisecond
)

// ApprovalAnswered handles the answer to a RequestApproval command. tickets holds a ticket for
// each approved VM. Without tickets, the request has failed.
func (s *Scheduler) ApprovalAnswered(now time.Time, id job.StepID, tickets map[job.VMID]string, valid time.Duration) {
	_, _, st, _ := s.task(job.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step})
	if st == nil {
		return
	}
	st.approvalRequested = len(tickets) == 0
	st.tickets = tickets
	st.ticketsUntil = now.Add(valid - ticketExpiryMargin)
}

// dropTickets discards the tickets of a task's step, so that an approval is requested again.
func (s *Scheduler) dropTickets(t job.TaskID) {
	if _, _, st, _ := s.task(t); st != nil {
		st.tickets, st.approvalRequested = nil, false
	}
}
