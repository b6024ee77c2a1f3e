package home

import (
	"crypto/sha256"
	"time"

	"lavenderpond/core"
)

// phase is the state of a request.
type phase int

const (
	// queued: waits for a slot.
	queued phase = iota
	// announced: has a slot; the start waits for the successor's ack.
	announced
	// running: sent to a target.
	running
	// asking: the answer was lost; the target is being asked.
	asking
	// inherited: a former holder mirrored its start; no caller has asked for it here.
	inherited
	// ended: has its final answer.
	ended
)

var phaseNames = [...]string{"queued", "announced", "running", "asking", "inherited", "ended"}

// String returns the phase's name as shown in dumps.
func (p phase) String() string { return phaseNames[p] }

// record is the state of a request at its home.
type record struct {
	request  core.Request
	bodyHash [sha256.Size]byte
	phase    phase
	answer   core.Answer
	waiters  []Waiter

	// vm is the chosen target.
	vm core.VMID
	// dispatchNumber is the number of the latest dispatch; zero before the first.
	dispatchNumber core.Attempt
	// startedAt is when the latest dispatch was sent.
	startedAt time.Time
	// tried are the targets that refused the request as invalid or failed to run it.
	tried []core.VMID
	// notBefore is the earliest time of the next dispatch.
	notBefore time.Time
	cancelled bool
	// fetchLater reports that a caller doesn't wait for the answer but fetches it
	// later.
	fetchLater bool
	// fromFormerHolder reports that the record came from a former holder, without
	// the request's body.
	fromFormerHolder bool
	// mirrored reports that ShardLeases.Start has allowed this request once.
	mirrored bool
	// slotHeld reports that the router counts a slot of vm for this record.
	slotHeld bool
	// borrowed reports that vm belongs to another pool, which lends its idle
	// slots.
	borrowed bool

	nextAsk  time.Time
	askUntil time.Time

	forgetAt  time.Time
	heapIndex int
	// bytes is what the record counts for in Home.bytes.
	bytes int64
}

// recordBytes is the memory of a record beside the bodies of its request and its answer.
const recordBytes = 1 << 10

// countBytes counts what a record takes now.
func (h *Home) countBytes(r *record) {
	n := recordBytes + int64(len(r.request.Body))
	if done, ok := r.answer.(core.Done); ok {
		n += int64(len(done.Body))
	}
	h.bytes += n - r.bytes
	r.bytes = n
}

// full reports whether there is no memory for the record of a request with a body of the given length.
func (h *Home) full(bodyBytes int) bool {
	return h.Params.MaxBytes > 0 && h.bytes+recordBytes+int64(bodyBytes) > h.Params.MaxBytes
}

// newRecord creates and stores the record of a request. The record is dropped some
// time after the deadline. No attempt is accepted once the deadline has passed, so an
// id whose record was dropped can't run again.
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
	h.countBytes(r)
	return r
}

func (h *Home) drop(r *record) {
	h.bytes -= r.bytes
	r.bytes = 0
	delete(h.records, r.request.Key)
	delete(h.unfinished, r.request.Key)
	delete(h.asking, r.request.Key)
	delete(h.awaitingAck, r.request.Key)
	h.expiry.Remove(r)
}

// finish sets r's final answer and sends it to the waiters. The record is kept so
// that the id can't run again. After a NotRun, a later attempt of the same id may
// still run, so the record is dropped unless the request was cancelled or a caller
// will fetch the answer. The record of a request that continues at another entry is
// dropped even if its answer would be fetched.
func (h *Home) finish(r *record, a core.Answer) {
	r.phase = ended
	r.answer = a
	// Drop what only an unfinished request needs, to save memory until the record
	// expires.
	r.request.Body, r.request.KeyDigest, r.tried = nil, "", nil
	h.countBytes(r)
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

// finishUnstarted answers that r did not run if this entry still holds the shard
// lease. If the lease has expired, another holder may have accepted an attempt of
// the same id, and the outcome is unknown.
func (h *Home) finishUnstarted(now time.Time, r *record, a core.NotRun) {
	if now.Before(h.Leases.LeaseExpiry(now, r.request.Key)) || h.disabled.leaseCheck {
		h.finish(r, a)
		return
	}
	h.finish(r, core.OutcomeUnknown{Code: core.CodeHomeReplaced, ComeBackAt: a.ComeBackAt})
}

// Deadline implements deadline.Item. It returns when the record is dropped.
func (r *record) Deadline() time.Time { return r.forgetAt }

// HeapIndex implements deadline.Item.
func (r *record) HeapIndex() *int { return &r.heapIndex }
