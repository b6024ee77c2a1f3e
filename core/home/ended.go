package home

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/route"
)

// handleEnded handles the end of a dispatch. It ignores the end of any dispatch
// but the latest: such a report is late, and that dispatch is already settled.
func (h *Home) handleEnded(now time.Time, e Ended) {
	r := h.records[e.Key]
	if r == nil || r.dispatchNumber != e.DispatchNumber && !h.disabled.dispatchNumber || (r.phase != running && r.phase != ended) {
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
		h.finish(r, core.OutcomeUnknown{Code: core.CodeStoppedAtDeadline})
	case Damaged:
		h.handleDamaged(now, r)
	case Lost:
		h.handleLost(now, r)
	}
	h.refillAfter(now, r)
}

// handleEndedAfterAnswer releases the slots when a task ends whose caller already
// has its final answer, for example after a cancellation.
func (h *Home) handleEndedAfterAnswer(now time.Time, r *record, end End) {
	switch end.(type) {
	case Lost:
		// The outcome is still unknown: the team's slot stays counted until the task's
		// lease ends.
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

// handleNotStarted tries another target. Nothing ran, so this is safe for every
// request. A target that reports "full" is normal; such retries are limited only
// by the deadline.
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
		// Other entries use the target too, so wait until it may have a free slot
		// again. Without the pause, a full pool would be asked in a loop.
		notBefore = now.Add(h.Params.FullBackoff)
	case Unreachable, Leaving:
		notBefore = h.Budget.Backoff(now, int(r.dispatchNumber))
	}
	h.requeue(now, r, notBefore)
}

// handleFailed handles a request that ran and failed. It retries only an
// idempotent request, at another target, within the retry budget and a limited
// number of targets. The request ran, so it ends with the code of its last failure
// and never with "cannot_run", which means that nothing started.
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

// handleDamaged asks the target again after an answer that was truncated or
// belonged to another task.
func (h *Home) handleDamaged(now time.Time, r *record) { h.ask(now, r) }

// handleLost asks the target about the outcome of the task. The team's slot stays
// counted.
func (h *Home) handleLost(now time.Time, r *record) { h.ask(now, r) }

func (h *Home) ask(now time.Time, r *record) {
	r.phase = asking
	r.askUntil = now.Add(h.Params.AskTimeout)
	r.nextAsk = now.Add(h.Params.AskInterval)
	h.asking[r.request.Key] = r
	h.emit(AskTarget{Key: r.request.Key, VM: r.vm})
}

// handleAsked handles the target's answer about a task whose result was lost.
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
	case FoundNoRecord, FoundNoAnswer:
		// A target without a record may still receive the request from the network
		// until start_by, or may have lost its records in a restart. Neither proves
		// that the task did not run, so ask again until the timeout.
		if !now.Before(r.askUntil) {
			h.giveUpAsking(now, r)
		}
	}
	h.refillAfter(now, r)
}

// giveUpAsking ends a request whose outcome the target can't report. The team's
// slot stays counted until the task's lease ends, because the task may still be
// running.
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
