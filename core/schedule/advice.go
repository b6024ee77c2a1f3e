package schedule

import (
	"time"

	"lavenderpond/core/job"
)

// approved reports whether the step may start. If its queue requires advice and there is none
// yet, it asks for it.
func (a *assignment) approved(j *jobState, o *occurrence, i int) bool {
	q := a.s.config.Queue(j.Terms.Queue)
	if q == nil || q.Approval == nil {
		return true
	}
	st := &o.steps[i]
	if len(st.tickets) > 0 && a.now.Before(st.ticketsUntil) {
		return true
	}
	if st.asked && a.now.Before(st.askAt) {
		return false
	}
	var vms []job.VMID
	for _, v := range a.vms {
		if len(vms) < adviceMaxVMs && (st.def.Requires == "" || v.labels[st.def.Requires]) {
			vms = append(vms, v.id)
		}
	}
	if len(vms) == 0 {
		return false
	}
	st.asked, st.askAt = true, a.now.Add(adviceRetryDelay)
	a.s.emit(RequestTickets{Step: job.StepID{Job: j.ID, Occurrence: o.number, Step: i}, VMs: vms})
	return false
}

const (
	// adviceMaxVMs bounds the number of VMs in one request. Each VM adds to the time that the
	// advice service needs.
	adviceMaxVMs = 30
	// adviceRetryDelay is the pause before a request without an answer is repeated.
	adviceRetryDelay = time.Second
	// adviceMargin is how long before their expiry tickets are no longer used.
	adviceMargin = 200 * time.Millisecond
)

// AdviceAnswered handles the answer on which VMs may run a step. Without tickets, the request
// has failed.
func (s *Scheduler) AdviceAnswered(now time.Time, id job.StepID, tickets map[job.VMID]string, valid time.Duration) {
	_, _, st, _ := s.task(job.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step})
	if st == nil {
		return
	}
	st.asked = len(tickets) == 0
	st.tickets = tickets
	st.ticketsUntil = now.Add(valid - adviceMargin)
}

// dropTickets discards the tickets of a task's step, so that advice is requested again.
func (s *Scheduler) dropTickets(t job.TaskID) {
	if _, _, st, _ := s.task(t); st != nil {
		st.tickets, st.asked = nil, false
	}
}
