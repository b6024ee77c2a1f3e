// Package home decides about requests at their home entry: whether they may run,
// when, where, and what the caller is told. It is pure: events and the time come
// in, commands come out.
//
// A non-idempotent request is sent to a target at most once: its record is made
// before the dispatch, its start is mirrored to the successor before it leaves,
// and once bytes may have reached a target, only that target is asked again.
package home

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/deadline"
	"lavenderpond/core/limit"
	"lavenderpond/core/queue"
	"lavenderpond/core/retry"
	"lavenderpond/core/route"
	"lavenderpond/core/shard"
)

// ShardLeases tells what this entry may decide. Implemented over core/shard.
type ShardLeases interface {
	// Decide says whether a request without a record may run here.
	Decide(now time.Time, key core.RequestKey, firstSent, deadline time.Time) shard.Verdict
	// LeaseExpiry returns until when this entry may start key's request.
	LeaseExpiry(now time.Time, key core.RequestKey) time.Time
	// Start announces a start. If it returns false, a StartAllowed or StartDenied
	// event follows.
	Start(now time.Time, start shard.Start) bool
}

// Configuration is what home looks up in the operators' configuration.
type Configuration interface {
	// Pool returns the pool of a queue and whether requests may overflow.
	Pool(now time.Time, q core.QueueID) (pool core.PoolID, overflow bool, ok bool)
	// KeyGood says whether a team key may start work now, and why not.
	KeyGood(now time.Time, team core.TeamID, key core.KeyDigest) (core.Code, bool)
}

// Params are the bounds that home works with.
type Params struct {
	// SkewBound is the most that two clocks differ.
	SkewBound time.Duration
	// Retention is how long an answer is kept after its request's deadline.
	Retention time.Duration
	// AskInterval is the time between two questions about a lost answer.
	AskInterval time.Duration
	// AskTimeout is how long a target is asked before the outcome is called unknown.
	AskTimeout time.Duration
	// FullBackoff is how long a request waits after a target had no free slot.
	FullBackoff time.Duration
	// MaxTargets is how many targets may refuse a request as invalid, or fail an
	// idempotent one, before it is given up with CodeCannotRun.
	MaxTargets int
}

// DefaultParams are the bounds for the brief's fleet.
func DefaultParams() Params {
	return Params{
		SkewBound:   250 * time.Millisecond,
		Retention:   time.Minute,
		AskInterval: 200 * time.Millisecond,
		AskTimeout:  2 * time.Second,
		FullBackoff: 10 * time.Millisecond,
		MaxTargets:  retry.MaxTargets,
	}
}

// Home holds the records of the requests that this entry decides about. All
// fields must be set before use. It is not safe for concurrent use.
type Home struct {
	Params  Params
	Leases  ShardLeases
	Config  Configuration
	Queue   queue.Queue
	Router  route.Router
	Limiter limit.Limiter
	Budget  retry.Budget

	records map[core.RequestKey]*record
	// unfinished holds the records without a final answer. Most have one, and what is done
	// once a second or for each shard that moves must not walk over those.
	unfinished  map[core.RequestKey]*record
	expiry      deadline.Heap[*record]
	asking      map[core.RequestKey]*record
	awaitingAck map[core.RequestKey]*record
	commands    []Command
	stopping    bool
	counts      Counts
	// disabled switches safeguards off, in tests only.
	disabled disabledSafeguards
}

// disabledSafeguards name the safeguards that a test may switch off to see it fail.
type disabledSafeguards struct {
	noRetryAfterLoss, joinAttempts, leaseCheck, laterAttemptUnknown, dispatchNumber, keepTeamSlot, keyWithdrawal, lenderFirst bool
}

// Counts are running totals for metrics and dumps.
type Counts struct {
	Submitted  int64               `json:"submitted"`
	Dispatched int64               `json:"dispatched"`
	Answers    map[core.Code]int64 `json:"answers"`
}

// Handle applies an event and returns what has to be done, in order.
func (h *Home) Handle(now time.Time, e Event) []Command {
	h.commands = nil
	h.apply(now, e)
	return h.commands
}

func (h *Home) apply(now time.Time, e Event) {
	switch e := e.(type) {
	case Submit:
		h.submit(now, e)
	case Fetch:
		h.fetch(now, e)
	case Cancel:
		h.cancel(now, e)
	case Abandon:
		h.abandon(e)
	case StartAllowed:
		h.handleStartAllowed(now, e.Key)
	case StartDenied:
		h.handleStartDenied(now, e)
	case Inherited:
		h.handleInherited(now, e.Start)
	case Ended:
		h.handleEnded(now, e)
	case Asked:
		h.handleAsked(now, e)
	case KeyWithdrawn:
		h.handleKeyWithdrawn(now, e.Digest)
	case HandedOver:
		h.handleHandedOver(now, e)
	case Changed:
		h.fillAllSlots(now)
	case Stopping:
		h.handleStopping(now)
	case Tick:
		h.tick(now)
	}
}

func (h *Home) emit(c Command) { h.commands = append(h.commands, c) }

// reply answers a waiter and counts the answer.
func (h *Home) reply(w Waiter, key core.RequestKey, a core.Answer) {
	if h.counts.Answers == nil {
		h.counts.Answers = make(map[core.Code]int64)
	}
	h.counts.Answers[core.CodeOf(a)]++
	h.emit(Reply{Waiter: w, Key: key, Answer: a})
}

// refusalWindow is how long after a dispatch the target's refusal may still come.
const refusalWindow = time.Second

// Unsettled returns how many requests are between their mirrored start and their
// target, those included whose target may still say that it has no slot. A stop
// that hands rights over waits for them first: such a request has to be sent again,
// and only this entry knows that it did not run.
func (h *Home) Unsettled(now time.Time) int {
	n := 0
	for _, r := range h.unfinished {
		switch r.phase {
		case announced:
			n++
		case queued:
			if r.mirrored {
				n++
			}
		case running:
			if now.Before(r.startedAt.Add(refusalWindow)) {
				n++
			}
		default:
		}
	}
	return n
}

// Unfinished returns how many requests have no final answer yet.
func (h *Home) Unfinished() int {
	return len(h.unfinished)
}
