package home

import (
	"crypto/sha256"
	"time"

	"lavenderpond/core"
)

// phase is how far a request has come.
type phase int

const (
	// queued: waits for a slot.
	queued phase = iota
	// announced: a slot is taken; the start waits for the successor's ack.
	announced
	// running: sent to a target.
	running
	// asking: the answer was lost; the target is being asked.
	asking
	// inherited: a former holder announced its start. Nobody has asked for it here.
	inherited
	// ended: has its final answer.
	ended
)

var phaseNames = [...]string{"queued", "announced", "running", "asking", "inherited", "ended"}

// String returns the phase's name, as dumps show it.
func (p phase) String() string { return phaseNames[p] }

// record is what the home knows of a request.
type record struct {
	request  core.Request
	bodyHash [sha256.Size]byte
	phase    phase
	answer   core.Answer
	waiters  []Waiter

	vm        core.VMID
	number    core.Attempt
	startedAt time.Time
	tried     []core.VMID
	notBefore time.Time
	cancelled bool
	// fetchLater says that a caller does not wait but fetches the answer later.
	fetchLater bool
	// fromFormerHolder says that the record came from a former holder, without its body.
	fromFormerHolder bool
	// mirrored says that Rights.Start allowed this request once.
	mirrored bool
	// slotHeld says that the router counts a slot of vm for this record.
	slotHeld bool
	// borrowed says that vm is of another pool, which lends its idle slots.
	borrowed bool

	nextAsk  time.Time
	askUntil time.Time

	forgetAt  time.Time
	heapIndex int
}

// newRecord stores a record. It is forgotten some time after the deadline: from
// the deadline on no attempt is taken any more, so a forgotten id can't run again.
func (h *Home) newRecord(req core.Request) *record {
	if h.records == nil {
		h.records = make(map[core.RequestKey]*record)
		h.unfinished = make(map[core.RequestKey]*record)
		h.asking = make(map[core.RequestKey]*record)
		h.awaitingAck = make(map[core.RequestKey]*record)
	}
	r := &record{request: req, bodyHash: sha256.Sum256(req.Body)}
	r.forgetAt = req.Deadline.Add(h.Params.Retention)
	h.records[req.Key] = r
	h.unfinished[req.Key] = r
	h.expiry.Push(r)
	return r
}

func (h *Home) drop(r *record) {
	delete(h.records, r.request.Key)
	delete(h.unfinished, r.request.Key)
	delete(h.asking, r.request.Key)
	delete(h.awaitingAck, r.request.Key)
	h.expiry.Remove(r)
}

// finish gives r its final answer. It is kept, so that the id can't run again, but
// for a NotRun: a later attempt of the same id may still run. Of a caller that
// fetches its answer a NotRun is kept too, unless the request goes on elsewhere.
func (h *Home) finish(r *record, a core.Answer) {
	r.phase = ended
	r.answer = a
	// What only a request that still runs needs is not kept until the deadline.
	r.request.Body, r.request.KeyDigest, r.tried = nil, "", nil
	delete(h.unfinished, r.request.Key)
	delete(h.asking, r.request.Key)
	delete(h.awaitingAck, r.request.Key)
	for _, w := range r.waiters {
		h.reply(w, r.request.Key, a)
	}
	r.waiters = nil
	if refusal, notRun := a.(core.NotRun); notRun && !r.cancelled {
		if !r.fetchLater || refusal.Code == core.CodeEntryStopping {
			h.drop(r)
		}
	}
}

// finishUnstarted says that r did not run, if this entry can still know it: with
// its right lapsed, another holder may have taken an attempt of the same id.
func (h *Home) finishUnstarted(now time.Time, r *record, a core.NotRun) {
	if now.Before(h.Leases.LeaseExpiry(now, r.request.Key)) || h.disabled.leaseCheck {
		h.finish(r, a)
		return
	}
	h.finish(r, core.OutcomeUnknown{Code: core.CodeHomeReplaced, ComeBackAt: a.ComeBackAt})
}

// Deadline implements deadline.Item: when the record is forgotten.
func (r *record) Deadline() time.Time { return r.forgetAt }

// Place implements deadline.Item.
func (r *record) Place() *int { return &r.heapIndex }
