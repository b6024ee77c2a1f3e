package home

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/route"
)

// ended handles the end of a dispatch. An end of another dispatch than the last
// one is late news about a task that is settled, and is left aside.
func (h *Home) ended(now time.Time, e Ended) {
	r := h.records[e.Key]
	if r == nil || r.number != e.Number && !h.off.number || (r.phase != running && r.phase != ended) {
		return
	}
	if r.phase == ended {
		h.endedAfterAnswer(now, r, e.End)
		return
	}
	switch end := e.End.(type) {
	case Answered:
		h.releaseSlots(now, r, route.Succeeded)
		h.finish(r, core.Done{VM: r.vm, Body: end.Body})
	case NotStarted:
		h.notStarted(now, r, end.Reason)
	case Failed:
		h.releaseSlots(now, r, route.Failed)
		h.failed(now, r, core.CodeTargetFailed)
	case Stopped:
		h.releaseSlots(now, r, route.Succeeded)
		h.finish(r, core.OutcomeUnknown{Code: core.CodeStoppedAtEnd})
	case Damaged:
		h.damaged(now, r)
	case Lost:
		h.lost(now, r)
	}
	h.pumpAfter(now, r)
}

// endedAfterAnswer takes the slots back when a task ends whose caller already
// has its final answer, for instance after a cancellation.
func (h *Home) endedAfterAnswer(now time.Time, r *record, end End) {
	switch end.(type) {
	case Lost:
		// Still unknown: the team's slot stays counted until the lease deadline.
		h.endAtTarget(now, r, route.Failed)
	default:
		h.releaseSlots(now, r, route.Succeeded)
	}
	h.pumpAfter(now, r)
}

var resultOf = map[Reason]route.Result{
	Unreachable: route.Unreachable,
	Full:        route.Full,
	Leaving:     route.Refused,
	Late:        route.Unsent,
	Invalid:     route.Failed,
}

// notStarted tries another target: nothing ran, so this is safe for every
// request. A target's "full" is normal and has no bound but the deadline.
func (h *Home) notStarted(now time.Time, r *record, reason Reason) {
	h.releaseSlots(now, r, resultOf[reason])
	notBefore := now
	switch reason {
	case Invalid:
		r.tried = append(r.tried, r.vm)
		if len(r.tried) >= h.Times.MaxTargets {
			h.finishNotRun(now, r, core.NotRun{Code: core.CodeCannotRun})
			return
		}
	case Full, Late:
		// Other entries use the target too; it has to be seen with a free slot
		// again before more is sent, or a full pool would be asked in a loop.
		notBefore = now.Add(h.Times.FullPause)
	case Unreachable, Leaving:
		notBefore = h.Budget.Backoff(now, int(r.number))
	}
	h.requeue(now, r, notBefore)
}

// failed ends a request that ran and failed. Only an idempotent one is tried
// again, at another target, within the retry budget and a bounded number of
// targets. It ran, so it ends with the code of its last failure and never as
// "cannot_run", which says that nothing started.
func (h *Home) failed(now time.Time, r *record, code core.Code) {
	r.tried = append(r.tried, r.vm)
	if !r.request.Idempotent && !h.off.retryLost || !now.Before(r.request.Deadline) {
		h.finish(r, core.OutcomeUnknown{Code: code})
		return
	}
	if len(r.tried) >= h.Times.MaxTargets {
		h.finish(r, core.OutcomeUnknown{Code: code})
		return
	}
	if !h.Budget.Allow(now) {
		h.finish(r, core.OutcomeUnknown{Code: core.CodeRetryBudget, ComeBackAt: h.Budget.Backoff(now, len(r.tried))})
		return
	}
	h.requeue(now, r, h.Budget.Backoff(now, len(r.tried)))
}

// damaged asks the target once more for an answer that came cut or crossed.
func (h *Home) damaged(now time.Time, r *record) { h.ask(now, r) }

// lost asks the target what became of the task. The team's slot stays counted.
func (h *Home) lost(now time.Time, r *record) { h.ask(now, r) }

func (h *Home) ask(now time.Time, r *record) {
	r.phase = asking
	r.askUntil = now.Add(h.Times.AskFor)
	r.nextAsk = now.Add(h.Times.AskEvery)
	h.asking[r.request.Key] = r
	h.emit(AskTarget{Key: r.request.Key, VM: r.vm})
}

// asked handles what the target says about a task whose answer was lost.
func (h *Home) asked(now time.Time, e Asked) {
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
		r.askUntil = now.Add(h.Times.AskFor)
	case FoundNeverStarted, FoundNothing:
		// A target without a record may still get the request from the network
		// until start_by, or may have lost its records in a restart: neither says
		// that the task did not run. The last question decides.
		if !now.Before(r.askUntil) {
			h.giveUpAsking(now, r)
		}
	}
	h.pumpAfter(now, r)
}

// giveUpAsking ends a request whose target can't tell. The team's slot is kept
// until the lease deadline: the task may still be running.
func (h *Home) giveUpAsking(now time.Time, r *record) {
	delete(h.asking, r.request.Key)
	h.endAtTarget(now, r, route.Failed)
	if h.off.slotKept {
		h.Limiter.Release(r.request.Key)
	}
	if r.request.Idempotent || h.off.retryLost {
		h.failed(now, r, core.CodeAnswerLost)
		return
	}
	h.finish(r, core.OutcomeUnknown{Code: core.CodeAnswerLost})
}
