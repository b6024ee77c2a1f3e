// Package peer implements the protocols between the entries of a fleet, over net/rpc.
// Each protocol has its own receiver: Forward passes callers' requests on to their
// home, Shard carries lease heartbeats and mirrored starts between the entries of a
// zone, and Spread replicates the configuration and the withdrawals of keys.
package peer

import (
	"context"
	"encoding/gob"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core"

	"lavenderpond/io/netrpc"
)

// ForwardName is the net/rpc service name of Forward.
const ForwardName = "Forward"

// ForwardKind is the kind of a forwarded call.
type ForwardKind int

// The kinds of forwarded calls.
const (
	ForwardSubmit ForwardKind = iota
	ForwardFetch
	ForwardCancel
)

// ForwardStage is the position of a call on its way to its home. A call passes each
// stage at most once, so entries with different views can't forward it in a loop.
type ForwardStage int

// The stages of a forwarded call.
const (
	// FromCaller means that the call came directly from a caller.
	FromCaller ForwardStage = iota
	// ToHomeZone means that the call was forwarded to an entry of its home zone, which
	// searches for the holder.
	ToHomeZone
	// ToHolder means that the call was forwarded to the presumed holder of its shard.
	// A receiver that isn't the holder rejects the call immediately, and the sender
	// searches for the holder again.
	ToHolder
)

// ForwardArgs is a caller's call that is forwarded to the home of its id.
type ForwardArgs struct {
	Kind    ForwardKind
	Request core.Request
	NoWait  bool
	Stage   ForwardStage
	// GiveUpAt is when the sender stops waiting for the reply.
	GiveUpAt time.Time
}

// Errors for a call at stage ToHolder that the peer rejected without acting on it.
// Both wrap netrpc.ErrNotSent.
var (
	// ErrNotHolder means that the peer has no valid lease on the shard of the id.
	ErrNotHolder = errors.Wrap(netrpc.ErrNotSent, "not the holder")
	// ErrHandingOver means that the peer is stopping and is handing over its shards.
	ErrHandingOver = errors.Wrap(netrpc.ErrNotSent, "handing over")
)

// ForwardResult reports whether a peer accepted a call.
type ForwardResult int

// The results of a forwarded call.
const (
	ForwardAccepted ForwardResult = iota
	ForwardNotHolder
	ForwardHandingOver
)

// ForwardReply contains the home's answer, or the reason why there is none.
type ForwardReply struct {
	Result ForwardResult
	Answer core.Answer
}

// ForwardHandler handles a call that a peer forwarded. It returns no errors other than
// ErrNotHolder and ErrHandingOver.
type ForwardHandler func(ctx context.Context, args ForwardArgs) (core.Answer, error)

// Forward is the net/rpc receiver for forwarded calls.
type Forward struct {
	// Context is canceled when the daemon stops.
	Context context.Context
	Handler ForwardHandler
}

// Call handles a forwarded call. A rejection is returned as the reply's Result,
// because net/rpc transmits only the text of an error.
func (f *Forward) Call(args ForwardArgs, reply *ForwardReply) error {
	ctx, cancel := context.WithDeadline(f.Context, args.GiveUpAt)
	defer cancel()
	answer, err := f.Handler(ctx, args)
	*reply = ForwardReply{Result: resultOf(err), Answer: answer}
	return nil
}

func resultOf(err error) ForwardResult {
	switch {
	case err == nil:
		return ForwardAccepted
	case errors.Is(err, ErrHandingOver):
		return ForwardHandingOver
	default:
		return ForwardNotHolder
	}
}

// ForwardTo forwards a call to the peer at address. In addition to the errors of
// Pool.Call, it returns ErrNotHolder or ErrHandingOver if the peer rejected the call.
func ForwardTo(ctx context.Context, p *netrpc.Pool, address string, args ForwardArgs) (core.Answer, error) {
	var reply ForwardReply
	if err := p.Call(ctx, address, ForwardName+".Call", args, &reply); err != nil {
		return nil, err
	}
	switch reply.Result {
	case ForwardHandingOver:
		return nil, ErrHandingOver
	case ForwardNotHolder:
		return nil, ErrNotHolder
	default:
		return reply.Answer, nil
	}
}

func init() {
	gob.Register(core.Done{})
	gob.Register(core.NotRun{})
	gob.Register(core.OutcomeUnknown{})
	gob.Register(core.Pending{})
}
