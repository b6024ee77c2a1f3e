// Package home manages requests at their home entry, the entry that holds the
// lease on the request's shard. It decides whether, when and where a request runs
// and what its caller is told. It does no I/O and reads no clock: callers pass in
// the time and events and execute the returned commands.
//
// A non-idempotent request starts at a target at most once. It is recorded before
// the dispatch, and its start is mirrored to the shard's successor before it is
// sent. Once a target may have received any bytes of the request, only that target
// is asked about it, and another target gets the request only if it is certain that
// the first one did not and will not start it.
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

// ShardLeases reports which requests this entry may decide about. It is
// implemented on top of core/shard.
type ShardLeases interface {
	// Decide returns whether a request without a record may run here.
	Decide(now time.Time, key core.RequestKey, firstSent, deadline time.Time) shard.Verdict
	// LeaseExpiry returns the time until which this entry may start key's request.
	LeaseExpiry(now time.Time, key core.RequestKey) time.Time
	// Start asks for permission to dispatch a request. The start may have to be
	// mirrored to the successor first: if Start returns false, a StartAllowed or
	// StartDenied event follows.
	Start(now time.Time, start shard.Start) bool
}

// Configuration provides the parts of the operators' configuration that a Home
// needs.
type Configuration interface {
	// Pool returns the pool of a queue and whether its requests may overflow to
	// other pools.
	Pool(now time.Time, q core.QueueID) (pool core.PoolID, overflow bool, ok bool)
	// VerifyKey returns whether a team key may start work now, and if not, the code
	// of the reason.
	VerifyKey(now time.Time, team core.TeamID, key core.KeyDigest) (core.Code, bool)
}

// Params are the time limits and other limits of a Home.
type Params struct {
	// SkewBound is the maximum difference between two clocks.
	SkewBound time.Duration
	// Retention is how long an answer is kept after its request's deadline.
	Retention time.Duration
	// AskInterval is the time between two queries to a target about a lost answer. It
	// is also the pause after a denied start.
	AskInterval time.Duration
	// AskTimeout is how long a target is queried before the outcome is reported as
	// unknown.
	AskTimeout time.Duration
	// FullBackoff is how long a request waits after a target had no free slot.
	FullBackoff time.Duration
	// MaxTargets is how often targets may refuse a request as invalid or fail to run
	// it. At the limit, a refusal ends the request with CodeCannotRun, and a failure
	// ends an idempotent request with the code of the failure.
	MaxTargets int
	// MaxBytes is the memory that the records may take from which on further requests are refused, in bytes; 0 means
	// no limit.
	MaxBytes int64
}

// DefaultParams returns the default limits.
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
// exported fields must be set before use. It is not safe for concurrent use.
type Home struct {
	Params  Params
	Leases  ShardLeases
	Config  Configuration
	Queue   queue.Queue
	Router  route.Router
	Limiter limit.Limiter
	Budget  retry.Budget

	records map[core.RequestKey]*record
	// unfinished holds the records of requests without a final answer, except
	// inherited ones that no caller has asked for. Most records have a final answer,
	// so work that is done every second or for each moved shard iterates over
	// unfinished instead of records.
	unfinished  map[core.RequestKey]*record
	expiry      deadline.Heap[*record]
	asking      map[core.RequestKey]*record
	awaitingAck map[core.RequestKey]*record
	commands    []Command
	// bytes is the memory that the records take.
	bytes    int64
	stopping bool
	counts   Counts
	// disabled disables safeguards. Only tests set it.
	disabled disabledSafeguards
}

// disabledSafeguards are the safeguards that a test may disable to prove that the
// checks detect their absence.
type disabledSafeguards struct {
	noRetryAfterLoss, joinAttempts, leaseCheck, laterAttemptUnknown, dispatchNumber, keepTeamSlot, keyWithdrawal, lenderFirst bool
}

// Counts are running totals for metrics and dumps.
type Counts struct {
	Submitted  int64               `json:"submitted"`
	Dispatched int64               `json:"dispatched"`
	Answers    map[core.Code]int64 `json:"answers"`
}

// Handle processes an event and returns the commands to execute, in order.
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
	case ShardLost:
		h.handleShardLost(now, e)
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

// refusalWindow is how long after a dispatch Unsettled assumes that the target may
// still refuse it.
const refusalWindow = time.Second

// Unsettled returns the number of requests whose start may be mirrored but that
// have not definitely reached a target, including those that a target may still
// refuse for lack of a slot. A shutdown waits for them before it hands shards
// over: such a request has to be sent again, and only this entry knows that it did
// not run.
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

// Unfinished returns the number of requests without a final answer.
func (h *Home) Unfinished() int {
	return len(h.unfinished)
}
