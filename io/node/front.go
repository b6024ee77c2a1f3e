package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lavenderpond/core/contact"
	"lavenderpond/core/job"
	"lavenderpond/platform"
)

const (
	// answerMargin is left of a caller's patience for the answer's way back.
	answerMargin = 150 * time.Millisecond
	// defaultPatience is assumed of a caller that doesn't say how long it waits.
	defaultPatience = 3 * time.Second
	// comeBack is when a refused caller should try again: by then it reaches
	// another entry VM, or the table is back.
	comeBack = time.Second
	// backlogAge is how old the owner's count may be. Callers may be shown one
	// that is two seconds old.
	backlogAge = 1800 * time.Millisecond
)

// front answers callers.
type front struct {
	view    *operatorView
	reach   *reach
	jobs    *jobStore
	log     zerolog.Logger
	count   func(name string)
	elapsed func(name string, d time.Duration)

	// renewals remembers when each of the owner's counts was first seen.
	renewals renewalSight
}

// ServeHTTP implements http.Handler.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from := bootNow()
	call := platform.DecodeCall(r)
	conf := f.view.configuration()
	if conf == nil {
		f.deny(w, call, "", platform.DeniedUnavailable, "no configuration yet")
		return
	}
	q, rest := conf.Route(call.Host, call.Path)
	if q == nil {
		f.deny(w, call, "", platform.DeniedNoQueue, "no such queue")
		return
	}
	account, ok := conf.AccountForKey(call.Key)
	if !ok && !q.Public {
		f.deny(w, call, rest, platform.DeniedUnknownKey, "unknown key")
		return
	}
	p := partOf(call.Method, job.ID(rest))
	verdict := f.reach.decide(p)
	if verdict == contact.Refuse {
		f.deny(w, call, rest, platform.DeniedUnavailable, "no word of part "+p+" of the table, none of any for "+f.reach.age().String())
		return
	}
	patience := call.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	if q.Timeout > 0 {
		patience = min(patience, q.Timeout)
	}
	if verdict == contact.Probe && call.Method != platform.CallSubmit {
		patience = min(patience, probeWithin+answerMargin)
	}
	c := request{call: call, queue: q, account: account, id: job.ID(rest), until: from.Add(patience - answerMargin), conf: conf, verdict: verdict}
	f.serve(r.Context(), w, r, c)
	f.elapsed("call_"+call.Method.String(), bootNow().Sub(from))
}

// request is a call whose queue and account are known.
type request struct {
	call    platform.Call
	queue   *job.Queue
	account job.AccountName
	id      job.ID
	until   time.Time
	conf    *job.Configuration
	verdict contact.Decision
}

// partOf returns the part of the table that a call needs first.
func partOf(m platform.CallMethod, id job.ID) string {
	if m == platform.CallSubmit {
		return jobPart(id)
	}
	return part
}

func (f *front) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, c request) {
	// The work goes on when the caller leaves: a submission that is half done
	// would be answered as unknown for no reason.
	ctx = context.WithoutCancel(ctx)
	switch {
	case c.call.Method == platform.CallFetch && c.id == "":
		f.backlog(ctx, w, c)
	case !platform.ValidID(string(c.id)):
		f.deny(w, c.call, string(c.id), platform.DeniedMalformed, "malformed id")
	case c.call.Method == platform.CallSubmit:
		f.submit(ctx, w, r, c)
	case c.call.Method == platform.CallFetch:
		f.show(ctx, w, c)
	case c.call.Method == platform.CallCancel:
		f.cancel(ctx, w, c)
	default:
		f.deny(w, c.call, string(c.id), platform.DeniedMalformed, "unknown method")
	}
}

func (f *front) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, c request) {
	body, err := platform.DecodeJob(r.Body, c.conf.Limits.BodyBytes)
	if errors.Is(err, platform.ErrBodyTooLarge) {
		f.deny(w, c.call, string(c.id), platform.DeniedTooLarge, err.Error())
		return
	}
	if err != nil {
		f.deny(w, c.call, string(c.id), platform.DeniedMalformed, err.Error())
		return
	}
	q := c.queue
	j := job.Job{ID: c.id, Body: body, Terms: job.Terms{
		Queue: q.Name, Pool: q.Pool, Account: c.account, Priority: q.Priority, MaxAttempts: q.MaxAttempts,
		Stretch: q.Stretch, LatencyAllowance: q.LatencyAllowance,
	}}
	err = f.jobs.submit(ctx, c.until, j, c.verdict)
	if err != nil {
		f.failed(w, c, err)
		return
	}
	f.accepted(w, c)
}

func (f *front) show(ctx context.Context, w http.ResponseWriter, c request) {
	state, known, err := f.jobs.show(ctx, c.until, c.id)
	switch {
	case err != nil:
		f.failed(w, c, err)
	case !known:
		f.deny(w, c.call, string(c.id), platform.DeniedNoJob, "no such job")
	default:
		f.count("shown_" + state.String())
		platform.WriteState(w, state)
	}
}

func (f *front) cancel(ctx context.Context, w http.ResponseWriter, c request) {
	known, err := f.jobs.cancel(ctx, c.until, c.id)
	switch {
	case err != nil:
		f.failed(w, c, err)
	case !known:
		f.deny(w, c.call, string(c.id), platform.DeniedNoJob, "no such job")
	default:
		f.accepted(w, c)
	}
}

func (f *front) backlog(ctx context.Context, w http.ResponseWriter, c request) {
	r, version, err := f.jobs.backlog(ctx, c.until)
	if err != nil {
		f.failed(w, c, err)
		return
	}
	if !r.Counted || f.renewals.age(bootNow(), version) > backlogAge {
		f.deny(w, c.call, "", platform.DeniedUnavailable, "no count that is new enough")
		return
	}
	platform.WriteBacklog(w, r.Backlog[c.queue.Name])
}

func (f *front) accepted(w http.ResponseWriter, c request) {
	f.count("accepted_" + c.call.Method.String())
	f.log.Info().Str("event", "call_accepted").Str("method", c.call.Method.String()).Str("job", string(c.id)).
		Str("queue", string(c.queue.Name)).Str("account", string(c.account)).
		Int64("configuration", int64(c.conf.Version)).Send()
	platform.WriteAccepted(w)
}

// failed answers a call that the table didn't serve.
func (f *front) failed(w http.ResponseWriter, c request, err error) {
	d := platform.DeniedOutcomeUnknown
	switch {
	case errors.Is(err, errNotStored):
		d = platform.DeniedUnavailable
	case errors.Is(err, errTooLarge):
		d = platform.DeniedTooLarge
	}
	f.deny(w, c.call, string(c.id), d, err.Error())
}

func (f *front) deny(w http.ResponseWriter, c platform.Call, id string, d platform.Denial, why string) {
	f.count("denied_" + c.Method.String())
	f.log.Info().Str("event", "call_denied").Str("method", c.Method.String()).Str("job", id).
		Int("status", d.Status()).Str("reason", why).Send()
	pause := time.Duration(0)
	if d == platform.DeniedUnavailable || d == platform.DeniedBusy {
		pause = comeBack
	}
	if d == platform.DeniedUnavailable {
		// The balancer leaves an open connection where it is: a caller that keeps it comes
		// back to this process for as long as its zone is cut off. A new one goes elsewhere.
		w.Header().Set("Connection", "close")
	}
	platform.WriteDenial(w, d, pause)
}

// renewalSight tells how old the owner's last renewal is, by when it was first
// seen here. Its zero value works.
type renewalSight struct {
	mu      sync.Mutex
	version platform.Version
	seen    time.Time
}

func (s *renewalSight) age(now time.Time, v platform.Version) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v != s.version {
		s.version, s.seen = v, now
	}
	return now.Sub(s.seen)
}
