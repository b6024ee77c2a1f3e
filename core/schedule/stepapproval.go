package schedule

import (
	"cmp"
	"slices"
	"time"

	"lavenderpond/core/job"
)

// stepApproval is what is known of the VMs that may run a step whose queue requires an approval.
// The service's decision about a VM doesn't change while the VM lives; only tickets expire.
type stepApproval struct {
	required bool
	// tickets holds the ticket of each approved VM, also of those whose ticket has expired.
	tickets map[job.VMID]ticket
	// denied holds the lives of the VMs that aren't approved.
	denied map[job.VMID]job.Born
	// answerDue is when the outstanding request has certainly failed; zero if there is none.
	answerDue time.Time
	// retryAt is the earliest time of the next request.
	retryAt time.Time
	// recheckAt is when denied VMs may be asked about again; zero unless all VMs are denied.
	recheckAt time.Time
	// batch is the number of VMs of the next request; 0 stands for approvalBatch.
	batch int
	// skip is the number of VMs that failed requests named, so that the next one begins with others.
	skip int
	// failures, denials and refusals count requests that failed, rounds in which all VMs were denied,
	// and tickets that VMs refused, each since the last success.
	failures, denials, refusals int
}

// ticket permits starts on one life of a VM.
type ticket struct {
	value string
	born  job.Born
	until time.Time
}

// ticketExpiryMargin is how long before its expiry a ticket stops being used. A ticket that is valid
// for a short time is used for usedFraction of it.
const (
	ticketExpiryMargin = 200 * time.Millisecond
	usedFraction       = 0.75
	// minTicketUse is the shortest time that a ticket is used. It lasts until the next round.
	minTicketUse = 50 * time.Millisecond
	// maxDoublings bounds how often a pause or a timeout is doubled.
	maxDoublings = 8
)

// usablePeriod returns how long after its arrival a ticket is used.
func usablePeriod(valid time.Duration) time.Duration {
	return max(valid-ticketExpiryMargin, time.Duration(usedFraction*float64(valid)), minTicketUse)
}

// permits reports whether a task may start on the VM now.
func (p *stepApproval) permits(now time.Time, v *vmState) bool {
	return !p.required || p.tickets[v.id].validFor(now, v)
}

// mayPermit reports whether a task may start on the VM once it has a valid ticket. Nothing is known
// of any VM before the first approval.
func (p *stepApproval) mayPermit(v *vmState) bool {
	_, approved := p.tickets[v.id]
	return !p.required || approved || len(p.tickets) == 0
}

func (t ticket) validFor(now time.Time, v *vmState) bool {
	return t.born == v.born && now.Before(t.until)
}

// anyTicket reports whether any ticket is valid.
func (p *stepApproval) anyTicket(now time.Time) bool {
	for _, t := range p.tickets {
		if now.Before(t.until) {
			return true
		}
	}
	return false
}

// unknown reports whether it isn't known whether a task may start on the VM now.
func (p *stepApproval) unknown(now time.Time, v *vmState) bool {
	born, denied := p.denied[v.id]
	return (!denied || born != v.born) && !p.tickets[v.id].validFor(now, v)
}

// order returns the VMs in the order in which to ask about them. Half of a request is left to
// approved VMs whose tickets have expired, those that expired first before the others, and the rest
// to VMs that were never asked about.
func (p *stepApproval) order(vms []*vmState) []job.VMID {
	var approved, others []job.VMID
	for _, v := range vms {
		if _, ok := p.tickets[v.id]; ok {
			approved = append(approved, v.id)
		} else {
			others = append(others, v.id)
		}
	}
	slices.SortStableFunc(approved, func(x, y job.VMID) int { return p.tickets[x].until.Compare(p.tickets[y].until) })
	if len(others) > 0 {
		first := p.skip % len(others)
		others = slices.Concat(others[first:], others[:first])
	}
	half := min(len(approved), cmp.Or(p.batch, approvalBatch)/2)
	return slices.Concat(approved[:half], others, approved[half:])
}

// batchSize returns the number of VMs of the next request, given the most that the service accepts,
// or 0 if that isn't known.
func (p *stepApproval) batchSize(most int) int {
	n := cmp.Or(p.batch, approvalBatch)
	return min(n, cmp.Or(most, n))
}

// timeout returns how long the service may take longer than it should.
func (p *stepApproval) timeout() time.Duration {
	return min(approvalTimeout<<min(p.failures, maxDoublings), maxApprovalTimeout)
}

// failed handles a request that failed. A service that is slow answers a smaller one sooner, and one
// that rejects a VM may accept others.
func (p *stepApproval) failed(vms []job.VMID) {
	p.failures++
	p.skip += len(vms)
	p.batch = max(1, len(vms)/2)
}

// answered handles the answer to a request. Without an approval, the next request follows at once
// and names more VMs.
func (p *stepApproval) answered(now time.Time, answer ApprovalAnswer) {
	p.failures, p.skip = 0, 0
	p.retryAt = now
	if len(answer.Tickets) == 0 {
		p.batch = 2 * cmp.Or(p.batch, approvalBatch)
		return
	}
	p.batch, p.denials, p.recheckAt = 0, 0, time.Time{}
}

// record records what an answer says of a VM that it was asked about.
func (p *stepApproval) record(now time.Time, v *vmState, answer ApprovalAnswer) {
	value, approved := answer.Tickets[v.id]
	if !approved {
		if p.denied == nil {
			p.denied = map[job.VMID]job.Born{}
		}
		p.denied[v.id] = v.born
		delete(p.tickets, v.id)
		return
	}
	if p.tickets == nil {
		p.tickets = map[job.VMID]ticket{}
	}
	p.tickets[v.id] = ticket{value: value, born: v.born, until: now.Add(usablePeriod(answer.ValidPeriod))}
	delete(p.denied, v.id)
}

// forgetDenied lets the denied VMs be asked about again some time after the last of them was denied.
func (p *stepApproval) forgetDenied(now time.Time) {
	switch {
	case len(p.denied) == 0:
	case p.recheckAt.IsZero():
		p.recheckAt = now.Add(min(deniedPause<<min(p.denials, maxDoublings), maxDeniedPause))
		p.denials++
	case !now.Before(p.recheckAt):
		p.denied, p.recheckAt = nil, time.Time{}
	}
}

// expireTickets stops the use of all tickets after a VM has refused one. The VMs remain approved.
func (p *stepApproval) expireTickets(now time.Time) {
	if !p.anyTicket(now) {
		return
	}
	p.refusals++
	p.retryAt = now
	if p.refusals > 1 {
		p.retryAt = now.Add(approvalRetryDelay)
	}
	for vm, t := range p.tickets {
		t.until = time.Time{}
		p.tickets[vm] = t
	}
}
