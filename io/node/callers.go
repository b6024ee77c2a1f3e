package node

import (
	"context"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lavenderpond/core/admission"
	"lavenderpond/core/contact"
	"lavenderpond/core/job"
	"lavenderpond/io/inbound"
	"lavenderpond/platform"
)

const (
	// replyMargin is the part of a caller's timeout that is reserved for sending the reply
	// back.
	replyMargin = 150 * time.Millisecond
	// defaultCallerTimeout is assumed for a caller that doesn't state its timeout.
	defaultCallerTimeout = 3 * time.Second
	// maxCallerTimeout bounds the timeout that a caller may state, and how long its body may take. Callers of the
	// known deployments wait 3 s.
	maxCallerTimeout = 30 * time.Second
	// assumedBodyLimit is the maximum length of a body if the configuration doesn't limit it, in bytes.
	assumedBodyLimit = 1 << 20
	// retryAfter is the delay after which a denied caller is told to retry. By then the
	// caller reaches another entry VM, or the table is available again.
	retryAfter = time.Second
	// maxBacklogAge bounds the age of the owner's backlog count that is shown to callers.
	// Callers may be shown a count that is at most two seconds old.
	maxBacklogAge = 1800 * time.Millisecond
)

// callerHandler serves the HTTP calls that submit, show and cancel jobs and show backlogs.
type callerHandler struct {
	view   *operatorView
	health *tableHealth
	jobs   *jobStore
	// canApprove is set if there is a service that approves VMs for the queues that require it.
	canApprove bool
	// ownerFull reports whether the owner can't take further jobs; nil means that it can.
	ownerFull      func() bool
	limits         *entryLimits
	admission      *admissionGate
	log            zerolog.Logger
	count          func(name string)
	recordDuration func(name string, d time.Duration)

	// denials bounds the log lines of denied calls.
	denials lineLimiter[platform.Denial]
	// renewalAge records when each version of the owner's renewal row, which holds the
	// backlog count, was first seen.
	renewalAge renewalAgeTracker
}

// ServeHTTP implements http.Handler.
func (h *callerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := bootNow()
	call := platform.DecodeCall(r)
	config := h.view.configuration()
	if config == nil {
		h.deny(w, call, "", platform.DeniedUnavailable, "no configuration yet")
		return
	}
	q, rest := config.Route(call.Host, call.Path)
	if q == nil {
		h.deny(w, call, "", platform.DeniedNoQueue, "no such queue")
		return
	}
	account, ok := config.AccountForKey(call.Key)
	if !ok && !q.Public {
		h.deny(w, call, rest, platform.DeniedUnknownKey, "unknown key")
		return
	}
	release, refusal := h.limits.admit(account, r, config.Limits.BodyBytes)
	if refusal != nil {
		h.deny(w, call, rest, platform.DeniedUnavailable, h.limits.refusalReason(account, refusal))
		return
	}
	defer release()
	p := tablePartitionFor(call.Method, job.ID(rest))
	decision := h.health.decide(p)
	if decision == contact.Refuse {
		h.deny(w, call, rest, platform.DeniedUnavailable, "no answer from partition "+p+" of the table, none from any partition for "+h.health.sinceLastAnswer().String())
		return
	}
	timeout := call.Patience
	if timeout <= 0 {
		timeout = defaultCallerTimeout
	}
	if q.Timeout > 0 {
		timeout = min(timeout, q.Timeout)
	}
	timeout = min(timeout, maxCallerTimeout)
	h.boundBody(w, r, timeout-replyMargin)
	if decision == contact.Probe && call.Method != platform.CallSubmit {
		timeout = min(timeout, probeTimeout+replyMargin)
	}
	rc := routedCall{
		tableVersion: h.admission.tableVersion(),
		call:         call, queue: q, account: account, id: job.ID(rest), deadline: started.Add(timeout - replyMargin), config: config, decision: decision,
	}
	h.serve(r.Context(), w, r, rc)
	h.recordDuration("call_"+call.Method.String(), bootNow().Sub(started))
}

// boundBody lets reading the body fail once timeout has passed. Otherwise a caller that sends its body
// slowly, or has gone without closing its connection, would stay in progress.
func (h *callerHandler) boundBody(w http.ResponseWriter, r *http.Request, timeout time.Duration) {
	if r.ContentLength == 0 {
		return
	}
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout)); err != nil {
		h.log.Debug().Err(err).Msg("the time to read a body could not be bounded")
	}
}

// routedCall is a call whose queue and client account are known.
type routedCall struct {
	call     platform.Call
	queue    *job.Queue
	account  job.AccountName
	id       job.ID
	deadline time.Time
	config   *job.Configuration
	decision contact.Decision
	// tableVersion is the newest version of the table that was known when the call arrived.
	tableVersion platform.Version
}

// tablePartitionFor returns the partition of the table that a call accesses first.
func tablePartitionFor(m platform.CallMethod, id job.ID) string {
	if m == platform.CallSubmit {
		return jobPartition(id)
	}
	return mainPartition
}

func (h *callerHandler) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, c routedCall) {
	// The work continues when the caller disconnects. Otherwise a submission in progress
	// would end with an unknown outcome for no reason.
	ctx = context.WithoutCancel(ctx)
	switch {
	case c.call.Method == platform.CallFetch && c.id == "":
		h.backlog(ctx, w, c)
	case !platform.ValidID(string(c.id)):
		h.deny(w, c.call, string(c.id), platform.DeniedMalformed, "malformed id")
	case c.call.Method == platform.CallSubmit:
		h.submit(ctx, w, r, c)
	case c.call.Method == platform.CallFetch:
		h.show(ctx, w, c)
	case c.call.Method == platform.CallCancel:
		h.cancel(ctx, w, c)
	default:
		h.deny(w, c.call, string(c.id), platform.DeniedMalformed, "unknown method")
	}
}

func (h *callerHandler) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, c routedCall) {
	if h.ownerFull != nil && h.ownerFull() {
		h.deny(w, c.call, string(c.id), platform.DeniedUnavailable, "the owner can't take further jobs")
		return
	}
	reserve := func(bytes int64) error { return inbound.Reserve(r.Context(), bytes) }
	body, err := platform.DecodeJob(r.Body, orAssumed(c.config.Limits.BodyBytes, assumedBodyLimit), reserve)
	if err != nil {
		h.denyBody(w, c, err)
		return
	}
	q := c.queue
	if q.Approval != nil && !h.canApprove {
		h.deny(w, c.call, string(c.id), platform.DeniedUnavailable, "the queue requires approvals, and the settings name no service for them")
		return
	}
	j := job.Job{ID: c.id, Body: body, Terms: job.Terms{
		Queue: q.Name, Pool: q.Pool, Account: c.account, Priority: q.Priority, MaxAttempts: q.MaxAttempts,
		Stretch: q.Stretch, LatencyAllowance: q.LatencyAllowance,
	}}
	if r, refused := h.admission.decide(bootNow(), time.Now(), &j, 0).(admission.Refuse); refused && h.refuse(ctx, w, c, &j, r) {
		return
	}
	var again admission.Refuse
	version, err := h.jobs.submitArrived(ctx, c.deadline, j, c.decision, arrival{c.tableVersion, func(firstAt tableTime) bool {
		refused := false
		again, refused = h.admission.decide(bootNow(), time.Now(), &j, firstAt).(admission.Refuse)
		return !refused
	}})
	if errors.Is(err, errRefusedAgain) {
		if h.refuse(ctx, w, c, &j, again) {
			return
		}
		version, err = h.jobs.submitArrived(ctx, c.deadline, j, c.decision, arrival{c.tableVersion, alwaysReadmit})
	}
	h.admission.settle(j.ID, version, err)
	if err != nil {
		h.denyFailed(w, c, err)
		return
	}
	h.accept(w, c)
}

// denyBody answers a submission whose body couldn't be read or decoded.
func (h *callerHandler) denyBody(w http.ResponseWriter, c routedCall, err error) {
	d, reason := platform.DeniedMalformed, err.Error()
	switch {
	case errors.Is(err, platform.ErrBodyTooLarge):
		d = platform.DeniedTooLarge
	case errors.Is(err, inbound.ErrOverloaded):
		d = platform.DeniedUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		d, reason = platform.DeniedUnavailable, "the body was not received in time"
	}
	h.deny(w, c.call, string(c.id), d, reason)
}

// refuse answers a submission that is refused, and reports whether it has. If the refusal can't
// be stored, or the table isn't known to be available, the job is submitted like any other.
func (h *callerHandler) refuse(ctx context.Context, w http.ResponseWriter, c routedCall, j *job.Job, r admission.Refuse) bool {
	if c.decision != contact.Call {
		return false
	}
	refused, err := h.jobs.refuse(ctx, c.deadline, j.ID, h.admission.tableTime(bootNow()))
	if err != nil {
		h.count("refusals_not_stored")
		h.log.Info().Err(err).Str("event", "refusal_not_stored").Str("job", string(j.ID)).Send()
		return false
	}
	if !refused {
		h.accept(w, c)
		return true
	}
	delay := h.admission.refused(bootNow(), j, r)
	h.count("denied_" + c.call.Method.String())
	platform.WriteDenial(w, platform.DeniedBusy, delay)
	return true
}

func (h *callerHandler) show(ctx context.Context, w http.ResponseWriter, c routedCall) {
	state, known, err := h.jobs.show(ctx, c.deadline, c.id)
	switch {
	case err != nil:
		h.denyFailed(w, c, err)
	case !known:
		h.deny(w, c.call, string(c.id), platform.DeniedNoJob, "no such job")
	default:
		h.count("shown_" + state.String())
		platform.WriteState(w, state)
	}
}

func (h *callerHandler) cancel(ctx context.Context, w http.ResponseWriter, c routedCall) {
	known, err := h.jobs.cancel(ctx, c.deadline, c.id)
	switch {
	case err != nil:
		h.denyFailed(w, c, err)
	case !known:
		h.deny(w, c.call, string(c.id), platform.DeniedNoJob, "no such job")
	default:
		h.accept(w, c)
	}
}

func (h *callerHandler) backlog(ctx context.Context, w http.ResponseWriter, c routedCall) {
	r, version, err := h.jobs.backlog(ctx, c.deadline)
	if err != nil {
		h.denyFailed(w, c, err)
		return
	}
	if !r.Counted || h.renewalAge.age(bootNow(), version) > maxBacklogAge {
		h.deny(w, c.call, "", platform.DeniedUnavailable, "no backlog count that is recent enough")
		return
	}
	platform.WriteBacklog(w, r.Backlog[c.queue.Name])
}

func (h *callerHandler) accept(w http.ResponseWriter, c routedCall) {
	h.count("accepted_" + c.call.Method.String())
	h.log.Info().Str("event", "call_accepted").Str("method", c.call.Method.String()).Str("job", string(c.id)).
		Str("queue", string(c.queue.Name)).Str("account", string(c.account)).
		Int64("configuration", int64(c.config.Version)).Send()
	platform.WriteAccepted(w)
}

// denyFailed answers a call for which the table request failed.
func (h *callerHandler) denyFailed(w http.ResponseWriter, c routedCall, err error) {
	d := platform.DeniedOutcomeUnknown
	switch {
	case errors.Is(err, errNotStored):
		d = platform.DeniedUnavailable
	case errors.Is(err, errTooLarge):
		d = platform.DeniedTooLarge
	case errors.Is(err, errRefusedMeanwhile):
		d = platform.DeniedBusy
	}
	h.deny(w, c.call, string(c.id), d, err.Error())
}

// maxLoggedText bounds the texts of callers that are logged, in bytes. Log lines wait in memory until
// they are written.
const maxLoggedText = 300

// logDenial logs a denial, unless many others of its kind were logged within the second.
func (h *callerHandler) logDenial(c platform.Call, id string, d platform.Denial, reason string) {
	omitted, ok := h.denials.admit(d)
	if !ok {
		return
	}
	e := h.log.Info().Str("event", "call_denied").Str("method", c.Method.String()).Str("job", truncate(id, maxLoggedText)).
		Int("status", d.Status()).Str("reason", truncate(reason, maxLoggedText))
	if omitted > 0 {
		e.Int("omitted", omitted)
	}
	e.Send()
}

// truncate returns the first n bytes of a text.
func truncate(text string, n int) string { return text[:min(len(text), n)] }

func (h *callerHandler) deny(w http.ResponseWriter, c platform.Call, id string, d platform.Denial, reason string) {
	h.count("denied_" + c.Method.String())
	h.logDenial(c, id, d, reason)
	retryDelay := time.Duration(0)
	if d == platform.DeniedUnavailable || d == platform.DeniedBusy {
		retryDelay = h.admission.unavailableDelay(id)
	}
	if d == platform.DeniedUnavailable {
		// The load balancer doesn't move open connections. A caller that keeps its
		// connection would return to this process for as long as the zone is cut off. A
		// new connection goes to another entry VM.
		w.Header().Set("Connection", "close")
	}
	platform.WriteDenial(w, d, retryDelay)
}

// renewalAgeTracker reports how long ago a version of the owner's renewal row was first
// seen by this process. The zero value is ready to use.
type renewalAgeTracker struct {
	mu        sync.Mutex
	version   platform.Version
	firstSeen time.Time
}

func (t *renewalAgeTracker) age(now time.Time, v platform.Version) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v != t.version {
		t.version, t.firstSeen = v, now
	}
	return now.Sub(t.firstSeen)
}
