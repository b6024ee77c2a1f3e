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

// Bounds of forwarding.
const (
	// holderSearchTimeout is how long a call looks for a holder before it is refused, counted
	// anew while an entry is known to hand its rights over.
	holderSearchTimeout = 1500 * time.Millisecond
	// holderSearchInterval is the pause between two looks.
	holderSearchInterval = 20 * time.Millisecond
	// replyGrace is how long after a request's deadline its final answer may take
	// to come back from the home.
	replyGrace = 3 * time.Second
	// defaultCallTimeout bounds calls that have no deadline of their own.
	defaultCallTimeout = 5 * time.Second
)

// LeaseDecider tells who decides about an id of the own zone.
type LeaseDecider interface {
	Decide(now time.Time, key core.RequestKey, firstSent, deadline time.Time) shard.Verdict
}

// Authorizer checks a request against the configuration and the keys of this entry.
type Authorizer interface {
	// Authorize returns the refusal of a request whose team or key isn't good.
	Authorize(now time.Time, team core.TeamID, digest core.KeyDigest) (core.Code, bool)
}

// Front brings callers' calls to the home of their ids: to this entry's own
// Requests, to the holder in this zone, or to an entry of another zone. All
// fields must be set.
type Front struct {
	Zone       core.ZoneID
	Zones      []core.ZoneID
	Now        func() time.Time
	Leases     LeaseDecider
	Authorizer Authorizer
	Requests   *Requests
	Directory  *Directory
	Peers      *netrpc.Pool

	forwarded   atomic.Int64
	handingOver atomic.Bool
}

var _ caller.Front = (*Front)(nil)

// Submit implements caller.Front.
func (f *Front) Submit(ctx context.Context, req core.Request, noWait bool) core.Answer {
	return f.authorizeAndHandle(ctx, peer.ForwardArgs{Kind: peer.ForwardSubmit, Request: req, NoWait: noWait})
}

// Fetch implements caller.Front.
func (f *Front) Fetch(ctx context.Context, key core.RequestKey, digest core.KeyDigest) core.Answer {
	req := core.Request{Key: key, KeyDigest: digest}
	return f.authorizeAndHandle(ctx, peer.ForwardArgs{Kind: peer.ForwardFetch, Request: req})
}

// Cancel implements caller.Front.
func (f *Front) Cancel(ctx context.Context, key core.RequestKey, digest core.KeyDigest) core.Answer {
	req := core.Request{Key: key, KeyDigest: digest}
	return f.authorizeAndHandle(ctx, peer.ForwardArgs{Kind: peer.ForwardCancel, Request: req})
}

// authorizeAndHandle checks the key, so that no other entry works for a caller without rights.
func (f *Front) authorizeAndHandle(ctx context.Context, args peer.ForwardArgs) core.Answer {
	if code, ok := f.Authorizer.Authorize(f.Now(), args.Request.Key.Team, args.Request.KeyDigest); !ok {
		return core.RefusalAnswer(args.Request.Attempt, core.NotRun{Code: code})
	}
	args.GiveUpAt = f.giveUpAt(args)
	return f.Handle(ctx, args)
}

func (f *Front) giveUpAt(args peer.ForwardArgs) time.Time {
	if args.Kind == peer.ForwardSubmit && !args.NoWait {
		return args.Request.Deadline.Add(replyGrace)
	}
	return f.Now().Add(defaultCallTimeout)
}

// HandleForwarded is the handler of calls that peers forward. They are counted, so
// that a planned stop doesn't cut them off.
func (f *Front) HandleForwarded(ctx context.Context, args peer.ForwardArgs) (core.Answer, error) {
	f.forwarded.Add(1)
	defer f.forwarded.Add(-1)
	if args.Stage == peer.ToHolder {
		return f.handleAsHolder(ctx, args, f.decide(args))
	}
	return f.Handle(ctx, args), nil
}

// SetHandingOver says whether this entry hands its rights over just now.
func (f *Front) SetHandingOver(on bool) { f.handingOver.Store(on) }

// Forwarded returns how many calls of peers are under way here.
func (f *Front) Forwarded() int64 { return f.forwarded.Load() }

// Handle brings a call one step nearer to its home.
func (f *Front) Handle(ctx context.Context, args peer.ForwardArgs) core.Answer {
	home := args.Request.Key.Home(f.Zones)
	if home != f.Zone {
		return f.forwardToZone(ctx, home, args)
	}
	return f.sendToHolder(ctx, args)
}

// sendToHolder looks for the holder of the id, for a short while: rights move within
// milliseconds when an entry stops, and within seconds when one dies. Only the first
// entry of the home zone looks. Were a call passed on from one supposed holder to
// the next, it could end at a former holder whose view can't help it, and be refused
// although the new holder serves.
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

// searchDeadline returns when a search that begins now ends.
func (f *Front) searchDeadline(args peer.ForwardArgs) time.Time {
	until := f.Now().Add(holderSearchTimeout)
	if until.After(args.GiveUpAt) {
		return args.GiveUpAt
	}
	return until
}

// tryHolder hands the call to the holder that is known now.
func (f *Front) tryHolder(ctx context.Context, args peer.ForwardArgs) (core.Answer, error) {
	verdict := f.decide(args)
	if v, ok := verdict.(shard.NotHolder); ok {
		return f.forwardToEntry(ctx, v.Holder, args)
	}
	return f.handleAsHolder(ctx, args, verdict)
}

func (f *Front) decide(args peer.ForwardArgs) shard.Verdict {
	return f.Leases.Decide(f.Now(), args.Request.Key, args.Request.FirstSent, f.decisionDeadline(args))
}

// handleAsHolder answers the call if this entry may decide about its id. The errors are
// peer.ErrNotHolder and peer.ErrHandingOver.
func (f *Front) handleAsHolder(ctx context.Context, args peer.ForwardArgs, verdict shard.Verdict) (core.Answer, error) {
	switch verdict.(type) {
	case shard.Wait, shard.NotHolder:
		return nil, f.notHolderError()
	default:
	}
	answer := f.handleLocally(ctx, args)
	switch core.CodeOf(answer) {
	case core.CodeEntryStopping:
		// A planned stop cuts nobody off: the call goes on to the next holder.
		return nil, peer.ErrHandingOver
	case core.CodeNoHolder:
		// The right moved between the two questions.
		return nil, f.notHolderError()
	default:
		return answer, nil
	}
}

// notHolderError returns why this entry doesn't decide.
func (f *Front) notHolderError() error {
	if f.handingOver.Load() {
		return peer.ErrHandingOver
	}
	return peer.ErrNotHolder
}

// decisionDeadline returns the deadline by which Decide judges a call. Calls about an
// id that may be recorded already are never refused by their times.
func (f *Front) decisionDeadline(args peer.ForwardArgs) time.Time {
	if args.Kind == peer.ForwardSubmit {
		return args.Request.Deadline
	}
	return f.Now().Add(defaultCallTimeout)
}

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

// followNoWait stays with a request whose caller doesn't wait. When this entry hands the
// id over before the request was sent, it takes it to the next holder: nobody else
// is left who would, and the caller would fetch an answer that never comes.
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

// needsNewHolder says that the request has still to be brought to a holder.
func needsNewHolder(a core.Answer) bool {
	switch core.CodeOf(a) {
	case core.CodeEntryStopping, core.CodeNoHolder, core.CodeHomeUnreachable:
		return true
	default:
		return false
	}
}

func (f *Front) forwardToEntry(ctx context.Context, id core.EntryID, args peer.ForwardArgs) (core.Answer, error) {
	a, ok := f.Directory.Find(f.Zone, id)
	if !ok {
		return nil, errors.Wrapf(netrpc.ErrNotSent, "no address of %s", id)
	}
	args.Stage = peer.ToHolder
	return peer.ForwardTo(ctx, f.Peers, a.Peer.String(), args)
}

// forwardToZone sends a call to an entry of its home zone, and to the next one if no
// answer came back: an entry that stops or dies must not cost the caller its
// answer. Two copies of a call meet at the id's record and run once.
func (f *Front) forwardToZone(ctx context.Context, zone core.ZoneID, args peer.ForwardArgs) core.Answer {
	if args.Stage != peer.FromCaller {
		// The sender's settings name other zones than ours.
		return f.failedForwardAnswer(args, false, core.CodeZoneUnreachable)
	}
	args.Stage = peer.ToHomeZone
	sent := false
	entries := f.Directory.Zone(zone)
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

// failedForwardAnswer answers a call that did not come back. Only a first attempt that was sent
// nowhere is known not to have run.
func (f *Front) failedForwardAnswer(args peer.ForwardArgs, sent bool, code core.Code) core.Answer {
	comeBack := f.Now().Add(holderSearchTimeout)
	if sent || args.Kind != peer.ForwardSubmit {
		return core.OutcomeUnknown{Code: core.CodeHomeUnreachable, ComeBackAt: comeBack}
	}
	return core.RefusalAnswer(args.Request.Attempt, core.NotRun{Code: code, ComeBackAt: comeBack})
}
