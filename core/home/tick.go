package home

import (
	"sort"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/route"
	"lavenderpond/core/shard"
)

// tick lets deadlines take effect.
func (h *Home) tick(now time.Time) {
	for _, item := range h.Queue.Expired(now) {
		if r := h.records[item.Key]; r != nil {
			h.finishNotRun(now, r, core.NotRun{Code: core.CodeDeadlinePassed})
		}
	}
	h.expireAnnounced(now)
	h.askAgain(now)
	h.forgetOld(now)
	h.pumpAll(now)
}

// expireAnnounced ends requests whose start was never acknowledged in time.
func (h *Home) expireAnnounced(now time.Time) {
	for _, r := range sorted(h.waiting) {
		if !now.Before(r.request.Deadline) {
			h.releaseSlots(now, r, route.Unsent)
			h.finishNotRun(now, r, core.NotRun{Code: core.CodeDeadlinePassed})
		}
	}
}

func (h *Home) askAgain(now time.Time) {
	for _, r := range sorted(h.asking) {
		if now.Before(r.nextAsk) {
			continue
		}
		r.nextAsk = now.Add(h.Times.AskEvery)
		h.emit(AskTarget{Key: r.request.Key, VM: r.vm})
	}
}

// forgetOld drops the records whose time is over. A record that still runs is
// kept: its end has yet to be told.
func (h *Home) forgetOld(now time.Time) {
	for r, due := h.forget.Due(now); due; r, due = h.forget.Due(now) {
		if r.phase != ended && r.phase != inherited {
			r.forgetAt = now.Add(h.Times.Retention)
			h.forget.Fix(r)
			continue
		}
		h.drop(r)
	}
}

// inherit records a start of a former holder. It never runs again here. Its target
// is asked only once a caller wants the answer: a take-over inherits thousands of
// starts whose callers have theirs long since, and asking for all of them at once
// would flood the zone's targets just when an entry is missing.
func (h *Home) inherit(now time.Time, s shard.Start) {
	if _, ok := h.records[s.Key]; ok {
		return
	}
	r := h.newRecord(core.Request{Key: s.Key, Deadline: s.Deadline})
	r.vm = s.VM
	r.phase = inherited
	r.fromFormer = true
	delete(h.open, s.Key)
}

// wanted starts the questions about an inherited start that a caller waits for.
func (h *Home) wanted(now time.Time, r *record) {
	if r.phase == inherited {
		h.open[r.request.Key] = r
		h.ask(now, r)
	}
}

// sorted returns records in a fixed order, so that runs repeat exactly.
func sorted(records map[core.RequestKey]*record) []*record {
	list := make([]*record, 0, len(records))
	for _, r := range records {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].request.Key.String() < list[j].request.Key.String()
	})
	return list
}
