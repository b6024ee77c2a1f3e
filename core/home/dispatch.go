package home

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/queue"
	"lavenderpond/core/route"
	"lavenderpond/core/shard"
)

// poolScope is where a queue's requests may run.
type poolScope int

const (
	ownPool poolScope = iota
	anyPool
)

// fillAllSlots moves waiting requests of every queue to free slots, those of their own
// pools first. Else a flood of one queue's urgent work would take each slot that
// comes free in a pool that lends, and the lender's own requests would wait for it
// to end.
func (h *Home) fillAllSlots(now time.Time) {
	queues := h.Queue.Queues()
	for _, q := range queues {
		h.fillSlots(now, q, ownPool)
	}
	for _, q := range queues {
		h.fillSlots(now, q, anyPool)
	}
}

// refillAfter fills the slot that r gave back. A slot that its pool had lent goes to
// its own queue first.
func (h *Home) refillAfter(now time.Time, r *record) {
	if r.borrowed && !h.disabled.lenderFirst {
		h.fillAllSlots(now)
		return
	}
	h.fillSlots(now, r.request.Queue, anyPool)
}

// fillSlots moves waiting requests of q to free slots until there is none left.
func (h *Home) fillSlots(now time.Time, q core.QueueID, to poolScope) {
	pool, overflow, ok := h.Config.Pool(now, q)
	if !ok {
		return
	}
	// Urgent: whether an item is, is known when it is offered.
	want := route.Want{Pool: pool, Overflow: overflow && to == anyPool, Urgent: true}
	for h.Queue.Len(q) > 0 && h.Router.Idle(now, want) > 0 {
		var vm core.VMID
		item, ok := h.Queue.Pop(now, q, func(item queue.Item) bool {
			var ready bool
			vm, ready = h.tryReserve(now, item, want)
			return ready
		})
		if !ok {
			return
		}
		h.announce(now, h.records[item.Key], vm)
	}
}

// tryReserve says whether item may start now, and where. It takes the team's slot.
func (h *Home) tryReserve(now time.Time, item queue.Item, want route.Want) (core.VMID, bool) {
	r := h.records[item.Key]
	if r == nil || h.stopping && !r.mirrored || now.Before(r.notBefore) || !now.Before(h.Leases.LeaseExpiry(now, item.Key)) {
		return "", false
	}
	want.Tried, want.Urgent = r.tried, item.Urgent
	// A request that runs once must not be spent on finding out about a suspect VM.
	want.NoProbe = !r.request.Idempotent
	vm, ok := h.pickTarget(now, r, want)
	if !ok {
		// A small pool may have no untried target; the bound on refusals ends it.
		want.Tried = nil
		vm, ok = h.pickTarget(now, r, want)
	}
	if !ok {
		return "", false
	}
	// The slot is counted until the target's lease has certainly ended by every
	// clock, unless the end of the task is certain earlier.
	if !h.Limiter.Acquire(now, item.Key, r.request.Deadline.Add(h.Params.SkewBound)) {
		h.Limiter.Wanted(now, item.Key.Team)
		return "", false
	}
	return vm, true
}

// pickTarget chooses a target for r, of its own pool if one has a slot.
func (h *Home) pickTarget(now time.Time, r *record, want route.Want) (core.VMID, bool) {
	own := want
	own.Overflow = false
	vm, ok := h.Router.Pick(now, own)
	r.borrowed = !ok
	if !ok && want.Overflow {
		vm, ok = h.Router.Pick(now, want)
	}
	return vm, ok
}

// announce takes the target's slot and has the start mirrored before it leaves.
func (h *Home) announce(now time.Time, r *record, vm core.VMID) {
	r.phase = announced
	r.vm = vm
	r.slotHeld = true
	h.Router.Started(now, vm)
	h.awaitingAck[r.request.Key] = r
	if r.request.Idempotent || r.mirrored {
		// The successor takes a mirrored id for started already; further targets
		// after a certain "not started" change nothing about that.
		h.dispatch(now, r)
		return
	}
	start := shard.Start{Key: r.request.Key, Deadline: r.request.Deadline, FirstSent: r.request.FirstSent, VM: vm}
	if h.Leases.Start(now, start) {
		r.mirrored = true
		h.dispatch(now, r)
	}
}

func (h *Home) handleStartAllowed(now time.Time, key core.RequestKey) {
	if r := h.records[key]; r != nil && r.phase == announced {
		r.mirrored = true
		h.dispatch(now, r)
	}
}

// handleStartDenied takes the request back: this entry sent nothing. If the shard was lost
// and won back meanwhile, another holder may have run the id: then it must neither
// wait here nor be called "not run".
func (h *Home) handleStartDenied(now time.Time, e StartDenied) {
	r := h.records[e.Key]
	if r == nil || r.phase != announced {
		return
	}
	h.releaseSlots(now, r, route.Unsent)
	switch v := e.Verdict.(type) {
	case shard.Unknown:
		h.finish(r, core.OutcomeUnknown{Code: v.Code})
	case shard.NotHolder:
		h.finish(r, core.NotRun{Code: core.CodeEntryStopping, ComeBackAt: now})
	default:
		h.requeue(now, r, now.Add(h.Params.AskInterval))
	}
}

func (h *Home) dispatch(now time.Time, r *record) {
	startBy := earlier(h.Leases.LeaseExpiry(now, r.request.Key), r.request.Deadline)
	if !now.Before(startBy) {
		h.releaseSlots(now, r, route.Unsent)
		h.requeue(now, r, now)
		return
	}
	if r.number == 0 {
		h.Budget.First(now)
	}
	h.counts.Dispatched++
	delete(h.awaitingAck, r.request.Key)
	r.phase = running
	r.number++
	r.startedAt = now
	h.emit(Dispatch{
		Request: r.request, VM: r.vm, Number: r.number, StartBy: startBy, LeaseUntil: r.request.Deadline,
	})
}

// releaseSlots gives back the team's slot and the target's, once it is certain
// that nothing runs there.
func (h *Home) releaseSlots(now time.Time, r *record, result route.Result) {
	h.Limiter.Release(r.request.Key)
	h.releaseTargetSlot(now, r, result)
}

func (h *Home) releaseTargetSlot(now time.Time, r *record, result route.Result) {
	if !r.slotHeld {
		return
	}
	r.slotHeld = false
	var run time.Duration
	if result == route.Succeeded || result == route.Failed {
		run = now.Sub(r.startedAt)
	}
	h.Router.Ended(now, r.vm, result, run)
	if r.request.Queue != "" {
		h.Queue.Observe(now, r.request.Queue, r.request.Key.Team, run)
	}
}

// requeue lets r wait for another slot, not before the given time.
func (h *Home) requeue(now time.Time, r *record, notBefore time.Time) {
	delete(h.awaitingAck, r.request.Key)
	r.phase = queued
	r.notBefore = notBefore
	if h.stopping && !r.mirrored {
		h.finish(r, core.NotRun{Code: core.CodeEntryStopping, ComeBackAt: now})
		return
	}
	refusal, ok := h.Queue.Push(now, itemOf(now, r.request), 0)
	if !ok {
		h.finishUnstarted(now, r, refusal)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
