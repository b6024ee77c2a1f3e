package home

import (
	"sort"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/route"
	"lavenderpond/core/shard"
)

// tick does the time-dependent work.
func (h *Home) tick(now time.Time) {
	for _, item := range h.Queue.Expired(now) {
		if r := h.records[item.Key]; r != nil {
			h.finishUnstarted(now, r, core.NotRun{Code: core.CodeDeadlinePassed})
		}
	}
	h.expireAnnounced(now)
	h.repeatDueAsks(now)
	h.dropExpired(now)
	h.fillAllSlots(now)
}

// expireAnnounced ends requests whose start was not acked before the deadline.
func (h *Home) expireAnnounced(now time.Time) {
	for _, r := range sortedRecords(h.awaitingAck) {
		if !now.Before(r.request.Deadline) {
			h.releaseSlots(now, r, route.Unsent)
			h.finishUnstarted(now, r, core.NotRun{Code: core.CodeDeadlinePassed})
		}
	}
}

func (h *Home) repeatDueAsks(now time.Time) {
	for _, r := range sortedRecords(h.asking) {
		if now.Before(r.nextAsk) {
			continue
		}
		r.nextAsk = now.Add(h.Params.AskInterval)
		h.emit(AskTarget{Key: r.request.Key, VM: r.vm})
	}
}

// dropExpired drops the records that have expired. The record of a request that is
// still running is kept, because its end has yet to be reported.
func (h *Home) dropExpired(now time.Time) {
	for r, due := h.expiry.Due(now); due; r, due = h.expiry.Due(now) {
		if r.phase != ended && r.phase != inherited {
			r.forgetAt = now.Add(h.Params.Retention)
			h.expiry.Fix(r)
			continue
		}
		h.drop(r)
	}
}

// handleInherited records a start of a former holder. The request never runs again
// here. Its target is asked only once a caller wants the answer: a takeover
// inherits thousands of starts, most of whose callers already have their answers,
// and asking about all of them at the same time would flood the zone's targets just
// when an entry has failed.
func (h *Home) handleInherited(now time.Time, s shard.Start) {
	if _, ok := h.records[s.Key]; ok {
		return
	}
	r := h.newRecord(core.Request{Key: s.Key, Deadline: s.Deadline})
	r.vm = s.VM
	r.phase = inherited
	r.fromFormerHolder = true
	delete(h.unfinished, s.Key)
}

// askInherited starts asking the target about an inherited start that a caller
// waits for.
func (h *Home) askInherited(now time.Time, r *record) {
	if r.phase == inherited {
		h.unfinished[r.request.Key] = r
		h.ask(now, r)
	}
}

// sortedRecords returns records in a fixed order, which makes runs reproducible.
func sortedRecords(records map[core.RequestKey]*record) []*record {
	list := make([]*record, 0, len(records))
	for _, r := range records {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].request.Key.String() < list[j].request.Key.String()
	})
	return list
}
