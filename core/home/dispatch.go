package home

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/queue"
	"lavenderpond/core/route"
	"lavenderpond/core/shard"
)

// poolScope restricts the pools that a queue's requests may be sent to.
type poolScope int

const (
	ownPool poolScope = iota
	anyPool
)

// fillAllSlots dispatches waiting requests of every queue to free slots. It fills
// the slots of each queue's own pool first. Otherwise a flood of urgent requests
// in one queue would take every slot that becomes free in a lending pool, and
// requests of the lending pool's own queue would wait until the flood ends.
func (h *Home) fillAllSlots(now time.Time) {
	queues := h.Queue.Queues()
	for _, q := range queues {
		h.fillSlots(now, q, ownPool)
	}
	for _, q := range queues {
		h.fillSlots(now, q, anyPool)
	}
}

// refillAfter fills the slot that r released. If r had borrowed the slot from
// another pool, the queues of that pool go first.
func (h *Home) refillAfter(now time.Time, r *record) {
	if r.borrowed && !h.disabled.lenderFirst {
		h.fillAllSlots(now)
		return
	}
	h.fillSlots(now, r.request.Queue, anyPool)
}

// fillSlots dispatches waiting requests of q until no free slot or no request that
// can start is left.
func (h *Home) fillSlots(now time.Time, q core.QueueID, scope poolScope) {
	pool, overflow, ok := h.Config.Pool(now, q)
	if !ok {
		return
	}
	// Assume urgent here. Whether an item is urgent is only known when the queue
	// offers it.
	want := route.Criteria{Pool: pool, Overflow: overflow && scope == anyPool, Urgent: true}
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

// tryReserve returns whether item may start now, and at which target. If it may,
// tryReserve has acquired the team's slot.
func (h *Home) tryReserve(now time.Time, item queue.Item, want route.Criteria) (core.VMID, bool) {
	r := h.records[item.Key]
	if r == nil || h.stopping && !r.mirrored || now.Before(r.notBefore) || !now.Before(h.Leases.LeaseExpiry(now, item.Key)) {
		return "", false
	}
	want.Tried, want.Urgent = r.tried, item.Urgent
	// A request that may run only once must not be used to probe a suspect VM.
	want.NoProbe = !r.request.Idempotent
	vm, ok := h.pickTarget(now, r, want)
	if !ok {
		// A small pool may have no untried target left. Try any, since MaxTargets limits
		// the number of refusals.
		want.Tried = nil
		vm, ok = h.pickTarget(now, r, want)
	}
	if !ok {
		return "", false
	}
	// The slot stays counted until the task's lease at the target has ended by
	// every clock, unless the task is known to have ended earlier.
	if !h.Limiter.Acquire(now, item.Key, r.request.Deadline.Add(h.Params.SkewBound)) {
		h.Limiter.RecordDemand(now, item.Key.Team)
		return "", false
	}
	return vm, true
}

// pickTarget chooses a target for r. It prefers r's own pool and uses another one
// only if the own pool has no free slot.
func (h *Home) pickTarget(now time.Time, r *record, want route.Criteria) (core.VMID, bool) {
	own := want
	own.Overflow = false
	vm, ok := h.Router.Pick(now, own)
	r.borrowed = !ok
	if !ok && want.Overflow {
		vm, ok = h.Router.Pick(now, want)
	}
	return vm, ok
}

// announce takes the target's slot and dispatches r, after its start has been
// mirrored if that is required.
func (h *Home) announce(now time.Time, r *record, vm core.VMID) {
	r.phase = announced
	r.vm = vm
	r.slotHeld = true
	h.Router.Started(now, vm)
	h.awaitingAck[r.request.Key] = r
	if r.request.Idempotent || r.mirrored {
		// The successor already considers a mirrored id started. Sending it to another
		// target after a confirmed "not started" doesn't change that.
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

// handleStartDenied handles the denial of a start; this entry has sent nothing. If
// the shard was lost and regained in the meantime, another holder may have run the
// id. In that case the request must neither wait here nor be answered "not run".
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
	if r.dispatchNumber == 0 {
		h.Budget.First(now)
	}
	h.counts.Dispatched++
	delete(h.awaitingAck, r.request.Key)
	r.phase = running
	r.dispatchNumber++
	r.startedAt = now
	h.emit(Dispatch{
		Request: r.request, VM: r.vm, DispatchNumber: r.dispatchNumber, StartBy: startBy, LeaseUntil: r.request.Deadline,
	})
}

// releaseSlots releases the team's slot and the target's slot. It may only be
// called once it is certain that the task is not running.
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

// requeue returns r to the queue, to be dispatched at notBefore or later.
func (h *Home) requeue(now time.Time, r *record, notBefore time.Time) {
	delete(h.awaitingAck, r.request.Key)
	r.phase = queued
	r.notBefore = notBefore
	if h.stopping && !r.mirrored {
		h.finish(r, core.NotRun{Code: core.CodeEntryStopping, ComeBackAt: now})
		return
	}
	refusal, ok := h.Queue.Push(now, queueItem(now, r.request), 0)
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
