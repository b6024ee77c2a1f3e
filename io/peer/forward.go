// Package peer is what lavenderpond's own daemons tell each other. Each concern has a
// receiver of its own: Forward (requests to their home), Shard (acks, mirrored starts),
// Spread (configuration and keys).
package peer

import (
	"context"
	"encoding/gob"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core"

	"lavenderpond/io/netrpc"
)

// ForwardName is the name under which a Forward is registered.
const ForwardName = "Forward"

// ForwardKind says what is forwarded.
type ForwardKind int

// The kinds of forwarded calls.
const (
	ForwardSubmit ForwardKind = iota
	ForwardFetch
	ForwardCancel
)

// ForwardStage says how far a call has come on its way. A call passes each stage
// once at most, so that entries with unlike views can't pass it back and forth.
type ForwardStage int

// The stages of a forwarded call.
const (
	// FromCaller is a call that was taken from a caller.
	FromCaller ForwardStage = iota
	// ToHomeZone is a call sent to an entry of its home zone, which looks for the
	// holder.
	ToHomeZone
	// ToHolder is a call sent to the entry that the sender takes for the holder. If
	// it isn't, it says so at once, and the sender looks again.
	ToHolder
)

// ForwardArgs is a caller's call on its way to the home of its id.
type ForwardArgs struct {
	Kind    ForwardKind
	Request core.Request
	NoWait  bool
	Stage   ForwardStage
	// GiveUpAt is when the sender stops waiting for the reply.
	GiveUpAt time.Time
}

// Reasons why a peer did not take a call at stage ToHolder. It did nothing with the
// call, so they are also ErrNotSent.
var (
	// ErrNotHolder says that the peer may not decide about the id now.
	ErrNotHolder = errors.Wrap(netrpc.ErrNotSent, "not the holder")
	// ErrHandingOver says that the peer stops and hands its rights over just now.
	ErrHandingOver = errors.Wrap(netrpc.ErrNotSent, "handing over")
)

// ForwardResult says whether a peer took a call.
type ForwardResult int

// The results of a forwarded call.
const (
	ForwardAccepted ForwardResult = iota
	ForwardNotHolder
	ForwardHandingOver
)

// ForwardReply is the home's answer, or the reason why there is none.
type ForwardReply struct {
	Result ForwardResult
	Answer core.Answer
}

// ForwardHandler takes a call that a peer forwarded. Its errors are ErrNotHolder and
// ErrHandingOver.
type ForwardHandler func(ctx context.Context, args ForwardArgs) (core.Answer, error)

// Forward is the net/rpc receiver for forwarded calls.
type Forward struct {
	// Context ends when the daemon stops.
	Context context.Context
	Handler ForwardHandler
}

// Call is the method that peers call.
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

// ForwardTo sends a call to the peer at address. Besides the errors of Call, it
// returns ErrNotHolder or ErrHandingOver if the peer did not take the call.
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
