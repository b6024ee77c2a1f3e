package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/core/shard"
	"lavenderpond/io/caller"
	"lavenderpond/io/netrpc"
	"lavenderpond/io/peer"
	"lavenderpond/io/supervisor"
)

// Time limits of forwarding.
const (
	// holderSearchTimeout is how long a call searches for the shard's holder before it
	// is refused. It starts again whenever an entry replies that it is handing over
	// its shards.
	holderSearchTimeout = 1500 * time.Millisecond
	// holderSearchInterval is the pause between two tries of the search.
	holderSearchInterval = 20 * time.Millisecond
	// replyGrace is how long after a request's deadline its final answer may arrive
	// from the home entry.
	replyGrace = 3 * time.Second
	// defaultCallTimeout is the time limit of calls without a deadline of their own.
	defaultCallTimeout = 5 * time.Second
)

// LeaseDecider decides, by the shard leases, whether this entry may answer a request of
// its zone or which entry holds the request's shard. It is implemented by
// peer.ShardManager.
type LeaseDecider interface {
	Decide(now time.Time, key core.RequestKey, firstSent, deadline time.Time) shard.Verdict
}

// Authorizer checks callers' teams and keys against this entry's configuration.
type Authorizer interface {
	// Authorize reports whether the team exists and the key is valid for it. If not,
	// it returns the code with which the call is refused.
	Authorize(now time.Time, team core.TeamID, digest core.KeyDigest) (core.Code, bool)
}

// Front routes each call to the home of its request id, the entry that holds the id's
// shard. If that is this entry, its own Requests answer the call. Otherwise the call is
// forwarded to another entry of this zone or, if the id belongs to another zone, to an
// entry of that zone. All exported fields must be set.
type Front struct {
	Zone       core.ZoneID
	Zones      []core.ZoneID
	Now        func() time.Time
	Leases     LeaseDecider
	Authorizer Authorizer
	Requests   *Requests
	Directory  *Directory
	Peers      *netrpc.Pool

	// forwarded counts the calls from peers and the requests of followNoWait that are in
	// progress. See Forwarded.
	forwarded atomic.Int64
	// handingOver reports whether this entry is handing over its shards.
	handingOver atomic.Bool
}

var _ caller.Backend = (*Front)(nil)

// Submit implements caller.Backend.
func (f *Front) Submit(ctx context.Context, req core.Request, noWait bool) core.Answer {
	return f.authorizeAndHandle(ctx, peer.ForwardArgs{Kind: peer.ForwardSubmit, Request: req, NoWait: noWait})
}

// Fetch implements caller.Backend.
func (f *Front) Fetch(ctx context.Context, key core.RequestKey, digest core.KeyDigest) core.Answer {
	req := core.Request{Key: key, KeyDigest: digest}
	return f.authorizeAndHandle(ctx, peer.ForwardArgs{Kind: peer.ForwardFetch, Request: req})
}

// Cancel implements caller.Backend.
func (f *Front) Cancel(ctx context.Context, key core.RequestKey, digest core.KeyDigest) core.Answer {
	req := core.Request{Key: key, KeyDigest: digest}
	return f.authorizeAndHandle(ctx, peer.ForwardArgs{Kind: peer.ForwardCancel, Request: req})
}

// authorizeAndHandle handles a call from a caller. It checks the key first, so that
// unauthorized calls are never forwarded.
func (f *Front) authorizeAndHandle(ctx context.Context, args peer.ForwardArgs) core.Answer {
	if code, ok := f.Authorizer.Authorize(f.Now(), args.Request.Key.Team, args.Request.KeyDigest); !ok {
		return core.RefusalAnswer(args.Request.Attempt, core.NotRun{Code: code})
	}
	args.GiveUpAt = f.giveUpAt(args)
	return f.Handle(ctx, args)
}

// giveUpAt returns the time after which no entry needs to work on a call any longer.
func (f *Front) giveUpAt(args peer.ForwardArgs) time.Time {
	if args.Kind == peer.ForwardSubmit && !args.NoWait {
		return args.Request.Deadline.Add(replyGrace)
	}
	return f.Now().Add(defaultCallTimeout)
}

// HandleForwarded handles a call that a peer has forwarded. Such calls are counted, so
// that a graceful stop waits for them.
func (f *Front) HandleForwarded(ctx context.Context, args peer.ForwardArgs) (core.Answer, error) {
	f.forwarded.Add(1)
	defer f.forwarded.Add(-1)
	if args.Stage == peer.ToHolder {
		return f.handleAsHolder(ctx, args, f.decide(args))
	}
	return f.Handle(ctx, args), nil
}

// SetHandingOver sets whether this entry is handing over its shards.
func (f *Front) SetHandingOver(on bool) { f.handingOver.Store(on) }

// Forwarded returns the number of calls that a graceful stop has to wait for: forwarded
// calls from peers, and requests without a waiting caller that this entry follows.
func (f *Front) Forwarded() int64 { return f.forwarded.Load() }

// Handle sends a call to the id's home zone, or to the holder if this is the home zone.
func (f *Front) Handle(ctx context.Context, args peer.ForwardArgs) core.Answer {
	home := args.Request.Key.Home(f.Zones)
	if home != f.Zone {
		return f.forwardToZone(ctx, home, args)
	}
	return f.sendToHolder(ctx, args)
}

// sendToHolder searches for the holder of the id's shard and passes the call to it. It
// retries for a short time, because shards move within milliseconds when an entry stops,
// and within seconds when one crashes. Only the first entry of the home zone searches.
// If presumed holders passed a call on to each other, it could end at a former holder
// with outdated rows and be refused although the new holder is serving.
func (f *Front) sendToHolder(ctx context.Context, args peer.ForwardArgs) core.Answer {
	sent := false
	until := f.searchDeadline(args)
	for {
		answer, err := f.tryHolder(ctx, args)
		if err == nil {
			return answer
		}
		sent = sent || !errors.Is(err, netrpc.ErrNotSent)
		if errors.Is(err, peer.ErrHandingOver) {
			until = f.searchDeadline(args)
		}
		if !f.Now().Before(until) || !supervisor.Sleep(ctx, holderSearchInterval) {
			return f.failedForwardAnswer(args, sent, core.CodeNoHolder)
		}
	}
}

// searchDeadline returns the end of a search that starts now.
func (f *Front) searchDeadline(args peer.ForwardArgs) time.Time {
	until := f.Now().Add(holderSearchTimeout)
	if until.After(args.GiveUpAt) {
		return args.GiveUpAt
	}
	return until
}

// tryHolder passes the call to the holder that this entry currently knows.
func (f *Front) tryHolder(ctx context.Context, args peer.ForwardArgs) (core.Answer, error) {
	verdict := f.decide(args)
	if v, ok := verdict.(shard.NotHolder); ok {
		return f.forwardToEntry(ctx, v.Holder, args)
	}
	return f.handleAsHolder(ctx, args, verdict)
}

// decide returns this entry's verdict on the id of a call.
func (f *Front) decide(args peer.ForwardArgs) shard.Verdict {
	return f.Leases.Decide(f.Now(), args.Request.Key, args.Request.FirstSent, f.decisionDeadline(args))
}

// handleAsHolder answers the call from this entry's own Requests. If the verdict is Wait
// or NotHolder, or if the shard moves meanwhile, it returns peer.ErrNotHolder or
// peer.ErrHandingOver instead.
func (f *Front) handleAsHolder(ctx context.Context, args peer.ForwardArgs, verdict shard.Verdict) (core.Answer, error) {
	switch verdict.(type) {
	case shard.Wait, shard.NotHolder:
		return nil, f.notHolderError()
	default:
	}
	answer := f.handleLocally(ctx, args)
	switch core.CodeOf(answer) {
	case core.CodeEntryStopping:
		// The call is not refused during a graceful stop. It is sent to the next
		// holder instead.
		return nil, peer.ErrHandingOver
	case core.CodeNoHolder:
		// The shard moved between decide and the Home's own check.
		return nil, f.notHolderError()
	default:
		return answer, nil
	}
}

// notHolderError returns the error for a call that this entry may not decide about.
func (f *Front) notHolderError() error {
	if f.handingOver.Load() {
		return peer.ErrHandingOver
	}
	return peer.ErrNotHolder
}

// decisionDeadline returns the deadline that is passed to Decide. Fetch and Cancel
// concern ids that may already have a record, so they get a later deadline and are never
// refused because of the request's times.
func (f *Front) decisionDeadline(args peer.ForwardArgs) time.Time {
	if args.Kind == peer.ForwardSubmit {
		return args.Request.Deadline
	}
	return f.Now().Add(defaultCallTimeout)
}

// handleLocally answers the call from this entry's own Requests.
func (f *Front) handleLocally(ctx context.Context, args peer.ForwardArgs) core.Answer {
	switch args.Kind {
	case peer.ForwardFetch:
		return f.Requests.Fetch(ctx, args.Request.Key)
	case peer.ForwardCancel:
		return f.Requests.Cancel(ctx, args.Request.Key)
	default:
		answer := f.Requests.Submit(ctx, args.Request, args.NoWait)
		if args.NoWait && core.CodeOf(answer) == core.CodePending {
			f.followNoWait(args)
		}
		return answer
	}
}

// followNoWait waits in the background for the answer to a request whose caller doesn't
// wait. If this entry hands over the id's shard before the request is dispatched, it
// submits the request to the next holder. Otherwise nobody would submit it there, and the
// caller could never fetch an answer.
func (f *Front) followNoWait(args peer.ForwardArgs) {
	f.forwarded.Add(1)
	f.Requests.Go(func(ctx context.Context) {
		defer f.forwarded.Add(-1)
		ctx, cancel := context.WithDeadline(ctx, args.Request.Deadline.Add(replyGrace))
		defer cancel()
		answer := f.Requests.Submit(ctx, args.Request, false)
		args.GiveUpAt = args.Request.Deadline.Add(replyGrace)
		for needsNewHolder(answer) && ctx.Err() == nil {
			answer = f.sendToHolder(ctx, args)
		}
	})
}

// needsNewHolder reports whether the answer means that the request still has to be
// submitted to a holder.
func needsNewHolder(a core.Answer) bool {
	switch core.CodeOf(a) {
	case core.CodeEntryStopping, core.CodeNoHolder, core.CodeHomeUnreachable:
		return true
	default:
		return false
	}
}

// forwardToEntry forwards a call to the entry of this zone with the given id.
func (f *Front) forwardToEntry(ctx context.Context, id core.EntryID, args peer.ForwardArgs) (core.Answer, error) {
	a, ok := f.Directory.Find(f.Zone, id)
	if !ok {
		return nil, errors.Wrapf(netrpc.ErrNotSent, "no address known for entry %s", id)
	}
	args.Stage = peer.ToHolder
	return peer.ForwardTo(ctx, f.Peers, a.Peer.String(), args)
}

// forwardToZone forwards a call to an entry of its home zone. If no answer comes back,
// it tries the next entry, so that the caller still gets an answer when one entry stops
// or crashes. This is safe because both copies of the call reach the same record of the
// id, and the request runs only once.
func (f *Front) forwardToZone(ctx context.Context, zone core.ZoneID, args peer.ForwardArgs) core.Answer {
	if args.Stage != peer.FromCaller {
		// Another entry forwarded the call to the wrong zone. Its setting of the
		// zones must differ from this entry's.
		return f.failedForwardAnswer(args, false, core.CodeZoneUnreachable)
	}
	args.Stage = peer.ToHomeZone
	sent := false
	entries := f.Directory.AddressesInZone(zone)
	offset := int(args.Request.Key.Shard(1 << 16))
	for i := range entries {
		a := entries[(i+offset)%len(entries)]
		answer, err := peer.ForwardTo(ctx, f.Peers, a.Peer.String(), args)
		if err == nil {
			return answer
		}
		sent = sent || !errors.Is(err, netrpc.ErrNotSent)
		if ctx.Err() != nil {
			break
		}
	}
	return f.failedForwardAnswer(args, sent, core.CodeZoneUnreachable)
}

// failedForwardAnswer returns the answer to a call that no holder answered. The request is
// known not to have run only if this is the first attempt and no message was sent; sent
// reports whether a message may have been sent. Otherwise the outcome is unknown.
func (f *Front) failedForwardAnswer(args peer.ForwardArgs, sent bool, code core.Code) core.Answer {
	retryAt := f.Now().Add(holderSearchTimeout)
	if sent || args.Kind != peer.ForwardSubmit {
		return core.OutcomeUnknown{Code: core.CodeHomeUnreachable, ComeBackAt: retryAt}
	}
	return core.RefusalAnswer(args.Request.Attempt, core.NotRun{Code: code, ComeBackAt: retryAt})
}
