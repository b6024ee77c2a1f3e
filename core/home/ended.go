package home

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/route"
)

// handleEnded handles the end of a dispatch. An end of another dispatch than the last
// one is late news about a task that is settled, and is left aside.
func (h *Home) handleEnded(now time.Time, e Ended) {
	r := h.records[e.Key]
	if r == nil || r.number != e.Number && !h.disabled.dispatchNumber || (r.phase != running && r.phase != ended) {
		return
	}
	if r.phase == ended {
		h.handleEndedAfterAnswer(now, r, e.End)
		return
	}
	switch end := e.End.(type) {
	case Answered:
		h.releaseSlots(now, r, route.Succeeded)
		h.finish(r, core.Done{VM: r.vm, Body: end.Body})
	case NotStarted:
		h.handleNotStarted(now, r, end.Reason)
	case Failed:
		h.releaseSlots(now, r, route.Failed)
		h.handleFailed(now, r, core.CodeTargetFailed)
	case Stopped:
		h.releaseSlots(now, r, route.Succeeded)
		h.finish(r, core.OutcomeUnknown{Code: core.CodeStoppedAtEnd})
	case Damaged:
		h.handleDamaged(now, r)
	case Lost:
		h.handleLost(now, r)
	}
	h.refillAfter(now, r)
}

// handleEndedAfterAnswer takes the slots back when a task ends whose caller already
// has its final answer, for instance after a cancellation.
func (h *Home) handleEndedAfterAnswer(now time.Time, r *record, end End) {
	switch end.(type) {
	case Lost:
		// Still unknown: the team's slot stays counted until the lease deadline.
		h.releaseTargetSlot(now, r, route.Failed)
	default:
		h.releaseSlots(now, r, route.Succeeded)
	}
	h.refillAfter(now, r)
}

var routeResults = map[Reason]route.Result{
	Unreachable: route.Unreachable,
	Full:        route.Full,
	Leaving:     route.Refused,
	Late:        route.Unsent,
	Invalid:     route.Failed,
}

// handleNotStarted tries another target: nothing ran, so this is safe for every
// request. A target's "full" is normal and has no bound but the deadline.
func (h *Home) handleNotStarted(now time.Time, r *record, reason Reason) {
	h.releaseSlots(now, r, routeResults[reason])
	notBefore := now
	switch reason {
	case Invalid:
		r.tried = append(r.tried, r.vm)
		if len(r.tried) >= h.Params.MaxTargets {
			h.finishUnstarted(now, r, core.NotRun{Code: core.CodeCannotRun})
			return
		}
	case Full, Late:
		// Other entries use the target too; it has to be seen with a free slot
		// again before more is sent, or a full pool would be asked in a loop.
		notBefore = now.Add(h.Params.FullBackoff)
	case Unreachable, Leaving:
		notBefore = h.Budget.Backoff(now, int(r.number))
	}
	h.requeue(now, r, notBefore)
}

// handleFailed ends a request that ran and failed. Only an idempotent one is tried
// again, at another target, within the retry budget and a bounded number of
// targets. It ran, so it ends with the code of its last failure and never as
// "cannot_run", which says that nothing started.
func (h *Home) handleFailed(now time.Time, r *record, code core.Code) {
	r.tried = append(r.tried, r.vm)
	if !r.request.Idempotent && !h.disabled.noRetryAfterLoss || !now.Before(r.request.Deadline) {
		h.finish(r, core.OutcomeUnknown{Code: code})
		return
	}
	if len(r.tried) >= h.Params.MaxTargets {
		h.finish(r, core.OutcomeUnknown{Code: code})
		return
	}
	if !h.Budget.Allow(now) {
		h.finish(r, core.OutcomeUnknown{Code: core.CodeRetryBudget, ComeBackAt: h.Budget.Backoff(now, len(r.tried))})
		return
	}
	h.requeue(now, r, h.Budget.Backoff(now, len(r.tried)))
}

// handleDamaged asks the target once more for an answer that came cut or crossed.
func (h *Home) handleDamaged(now time.Time, r *record) { h.ask(now, r) }

// handleLost asks the target what became of the task. The team's slot stays counted.
func (h *Home) handleLost(now time.Time, r *record) { h.ask(now, r) }

func (h *Home) ask(now time.Time, r *record) {
	r.phase = asking
	r.askUntil = now.Add(h.Params.AskTimeout)
	r.nextAsk = now.Add(h.Params.AskInterval)
	h.asking[r.request.Key] = r
	h.emit(AskTarget{Key: r.request.Key, VM: r.vm})
}

// handleAsked handles what the target says about a task whose answer was lost.
func (h *Home) handleAsked(now time.Time, e Asked) {
	r := h.records[e.Key]
	if r == nil || r.phase != asking {
		return
	}
	switch f := e.Finding.(type) {
	case FoundDone:
		h.releaseSlots(now, r, route.Succeeded)
		h.finish(r, core.Done{VM: r.vm, Body: f.Body})
	case FoundStopped:
		h.releaseSlots(now, r, route.Failed)
		h.finish(r, core.OutcomeUnknown{Code: core.CodeAnswerLost})
	case FoundRunning:
		r.askUntil = now.Add(h.Params.AskTimeout)
	case FoundNeverStarted, FoundNothing:
		// A target without a record may still get the request from the network
		// until start_by, or may have lost its records in a restart: neither says
		// that the task did not run. The last question decides.
		if !now.Before(r.askUntil) {
			h.giveUpAsking(now, r)
		}
	}
	h.refillAfter(now, r)
}

// giveUpAsking ends a request whose target can't tell. The team's slot is kept
// until the lease deadline: the task may still be running.
func (h *Home) giveUpAsking(now time.Time, r *record) {
	delete(h.asking, r.request.Key)
	h.releaseTargetSlot(now, r, route.Failed)
	if h.disabled.keepTeamSlot {
		h.Limiter.Release(r.request.Key)
	}
	if r.request.Idempotent || h.disabled.noRetryAfterLoss {
		h.handleFailed(now, r, core.CodeAnswerLost)
		return
	}
	h.finish(r, core.OutcomeUnknown{Code: core.CodeAnswerLost})
}
