package home

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/route"
	"lavenderpond/core/shard"
)

// cancel ends a request on behalf of a caller. A request that still waits to be sent
// is answered as not run, if this entry still has the shard's lease.
func (h *Home) cancel(now time.Time, e Cancel) {
	r, ok := h.records[e.Key]
	if !ok {
		h.cancelUnknown(now, e)
		return
	}
	r.cancelled = true
	switch r.phase {
	case queued, announced:
		h.releaseUnsent(now, r)
		h.finishUnstarted(now, r, core.NotRun{Code: core.CodeCancelled})
	case running, asking, inherited:
		h.emit(StopTask{Key: e.Key, VM: r.vm})
		h.finish(r, core.OutcomeUnknown{Code: core.CodeCancelledRunning})
	case ended:
	}
	h.reply(e.Waiter, e.Key, r.answer)
}

// cancelUnknown records a cancellation that arrived before its request, so that
// the request does not run when it arrives.
func (h *Home) cancelUnknown(now time.Time, e Cancel) {
	verdict := h.Leases.Decide(now, e.Key, time.Time{}, now.Add(h.Params.Retention))
	if _, mayRun := verdict.(shard.Run); !mayRun {
		h.reply(e.Waiter, e.Key, core.OutcomeUnknown{Code: core.CodeNotFound})
		return
	}
	if h.full(0) {
		h.reply(e.Waiter, e.Key, core.OutcomeUnknown{Code: core.CodeOverloaded, ComeBackAt: now.Add(overloadRetry)})
		return
	}
	r := h.newRecord(core.Request{Key: e.Key, Deadline: now.Add(h.Params.Retention)})
	r.cancelled = true
	r.waiters = []Waiter{e.Waiter}
	h.finish(r, core.NotRun{Code: core.CodeCancelled})
}

// handleKeyWithdrawn refuses the waiting requests of a withdrawn key. Running
// requests finish.
func (h *Home) handleKeyWithdrawn(now time.Time, digest core.KeyDigest) {
	for _, r := range h.unsentRecords(func(r *record) bool { return r.request.KeyDigest == digest && !h.disabled.keyWithdrawal }) {
		h.releaseUnsent(now, r)
		h.finishUnstarted(now, r, core.NotRun{Code: core.CodeKeyWithdrawn})
	}
}

// handleShardLost ends the waiting requests of a shard that moved to another
// holder, so that the callers go there. Otherwise they would wait here, until their
// deadlines, for a lease that this entry has lost. None of these requests was sent,
// so CodeEntryStopping is accurate; the entry's front forwards them to the new
// holder.
func (h *Home) handleShardLost(now time.Time, e ShardLost) {
	for _, r := range h.unsentRecords(func(r *record) bool { return r.request.Key.Shard(e.Shards) == e.Shard }) {
		h.releaseUnsent(now, r)
		h.finish(r, core.NotRun{Code: core.CodeEntryStopping, ComeBackAt: now})
	}
}

// handleStopping refuses waiting requests, so that their callers go elsewhere
// immediately. The daemon waits for the running ones. A request whose start was mirrored
// and whose target had no slot is still sent from here: the next holder would
// consider it started, and its caller would be told that the outcome is unknown.
func (h *Home) handleStopping(now time.Time) {
	h.stopping = true
	for _, r := range h.unsentRecords(func(r *record) bool { return r.phase == queued && !r.mirrored }) {
		h.releaseUnsent(now, r)
		h.finish(r, core.NotRun{Code: core.CodeEntryStopping, ComeBackAt: now})
	}
}

// unsentRecords returns, in a fixed order, the records selected by keep that were
// not sent to a target. Most records have ended, so it filters before it sorts.
func (h *Home) unsentRecords(keep func(*record) bool) []*record {
	picked := make(map[core.RequestKey]*record)
	for key, r := range h.unfinished {
		if (r.phase == queued || r.phase == announced) && keep(r) {
			picked[key] = r
		}
	}
	return sortedRecords(picked)
}

// releaseUnsent releases the resources of a request that was not sent.
func (h *Home) releaseUnsent(now time.Time, r *record) {
	h.Queue.Remove(r.request.Key)
	if r.phase == announced {
		h.releaseSlots(now, r, route.Unsent)
	}
}
