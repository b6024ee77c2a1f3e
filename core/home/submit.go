package home

import (
	"crypto/sha256"
	"slices"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/queue"
	"lavenderpond/core/route"
	"lavenderpond/core/shard"
)

// noHolderRetry is how long a caller should wait before it tries again while no
// entry holds the lease on the id's shard.
const noHolderRetry = time.Second

// overloadRetry is how long a caller should wait before it tries again while there is no memory for its request.
const overloadRetry = time.Second

// laterAttempt represents any attempt after the first.
const laterAttempt core.Attempt = 2

func (h *Home) submit(now time.Time, e Submit) {
	h.counts.Submitted++
	key := e.Request.Key
	if r, ok := h.records[key]; ok && !h.disabled.joinAttempts {
		if !r.refused() {
			h.join(now, r, e)
			return
		}
		// The record is only a refusal that was kept to be fetched. This attempt may
		// run.
		h.drop(r)
	}
	if refusal := h.refuseNew(now, e.Request); refusal != nil {
		h.reply(e.Waiter, key, refusal)
		return
	}
	if h.full(len(e.Request.Body)) {
		h.reply(e.Waiter, key, h.refuse(e.Request.Attempt, core.NotRun{Code: core.CodeOverloaded, ComeBackAt: now.Add(overloadRetry)}))
		return
	}
	pool, overflow, _ := h.Config.Pool(now, e.Request.Queue)
	idle := h.Router.Idle(now, route.Criteria{Pool: pool, Overflow: overflow, Urgent: e.Request.Urgent})
	if refusal, ok := h.Queue.Push(now, queueItem(now, e.Request), idle); !ok {
		h.reply(e.Waiter, key, refusal)
		return
	}
	r := h.newRecord(e.Request)
	h.addWaiter(r, e)
	h.fillSlots(now, e.Request.Queue, anyPool)
}

// refused reports whether r ended without running, for a reason other than
// cancellation.
func (r *record) refused() bool {
	_, notRun := r.answer.(core.NotRun)
	return r.phase == ended && notRun && !r.cancelled
}

// join answers another attempt from the existing record. An id runs only once,
// however many attempts reach its home and in whatever order.
func (h *Home) join(now time.Time, r *record, e Submit) {
	sameBody := sha256.Sum256(e.Request.Body) == r.bodyHash
	if r.phase == ended && r.dispatchNumber == 0 && r.cancelled {
		sameBody = true // the cancellation may have arrived before the request, without a body
	}
	if !sameBody && !r.fromFormerHolder {
		h.reply(e.Waiter, e.Request.Key, core.NotRun{Code: core.CodeIDReused})
		return
	}
	if r.phase == ended {
		h.reply(e.Waiter, e.Request.Key, r.answer)
		return
	}
	h.addWaiter(r, e)
	h.askInherited(now, r)
}

func (h *Home) addWaiter(r *record, e Submit) {
	if e.NoWait {
		r.fetchLater = true
		h.reply(e.Waiter, e.Request.Key, core.Pending{Running: r.phase != queued})
		return
	}
	r.waiters = append(r.waiters, e.Waiter)
}

// refuseNew returns the refusal of a request without a record, or nil if the
// request is accepted.
func (h *Home) refuseNew(now time.Time, req core.Request) core.Answer {
	switch v := h.Leases.Decide(now, req.Key, req.FirstSent, req.Deadline).(type) {
	case shard.Run:
	case shard.Unknown:
		return core.OutcomeUnknown{Code: v.Code}
	case shard.Refuse:
		return h.refuse(req.Attempt, core.NotRun{Code: v.Code})
	case shard.Wait:
		return h.refuse(req.Attempt, core.NotRun{Code: core.CodeNoHolder, ComeBackAt: v.ComeBackAt})
	default:
		return h.refuse(req.Attempt, core.NotRun{Code: core.CodeNoHolder, ComeBackAt: now.Add(noHolderRetry)})
	}
	if h.stopping {
		return core.NotRun{Code: core.CodeEntryStopping, ComeBackAt: now}
	}
	if !now.Before(req.Deadline) {
		// The record of an earlier attempt may have been dropped already.
		return h.refuse(req.Attempt, core.NotRun{Code: core.CodeDeadlinePassed})
	}
	if code, ok := h.Config.VerifyKey(now, req.Key.Team, req.KeyDigest); !ok {
		return core.NotRun{Code: code}
	}
	if _, _, ok := h.Config.Pool(now, req.Queue); !ok {
		return core.NotRun{Code: core.CodeUnknownQueue, Detail: "queue " + string(req.Queue)}
	}
	return nil
}

// refuse answers "not run" to a first attempt and "unknown" to a later one.
func (h *Home) refuse(attempt core.Attempt, refusal core.NotRun) core.Answer {
	if h.disabled.laterAttemptUnknown {
		return refusal
	}
	return core.RefusalAnswer(attempt, refusal)
}

func queueItem(now time.Time, req core.Request) queue.Item {
	return queue.Item{
		Key: req.Key, Queue: req.Queue, Urgent: req.Urgent, Deadline: req.Deadline,
		Enqueued: now, DeclaredRun: req.DeclaredRun,
	}
}

func (h *Home) fetch(now time.Time, e Fetch) {
	r, ok := h.records[e.Key]
	switch {
	case !ok:
		// A fetch follows an attempt that a former holder may have run, so it is
		// refused like a later attempt: with "unknown".
		h.reply(e.Waiter, e.Key, h.refuse(laterAttempt, core.NotRun{Code: core.CodeNotFound}))
	case r.phase == ended:
		h.reply(e.Waiter, e.Key, r.answer)
	case r.phase == inherited:
		r.waiters = append(r.waiters, e.Waiter)
		h.askInherited(now, r)
	default:
		h.reply(e.Waiter, e.Key, core.Pending{Running: r.phase != queued})
	}
}

func (h *Home) abandon(e Abandon) {
	if r, ok := h.records[e.Key]; ok {
		r.waiters = slices.DeleteFunc(r.waiters, func(w Waiter) bool { return w == e.Waiter })
	}
}
