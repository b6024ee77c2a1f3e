package peer

import (
	"context"
	"encoding/gob"
	"time"

	"lavenderpond/core"
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

// ForwardArgs is a caller's call on its way to the home of its id.
type ForwardArgs struct {
	Kind    ForwardKind
	Request core.Request
	NoWait  bool
	// Hops counts the entries that passed it on.
	Hops int
	// GiveUpAt is when the sender stops waiting for the reply.
	GiveUpAt time.Time
}

// ForwardReply is the home's answer.
type ForwardReply struct{ Answer core.Answer }

// ForwardHandler takes a call that a peer forwarded.
type ForwardHandler func(ctx context.Context, args ForwardArgs) core.Answer

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
	reply.Answer = f.Handler(ctx, args)
	return nil
}

// ForwardTo sends a call to the peer at address.
func (p *Pool) ForwardTo(ctx context.Context, address string, args ForwardArgs) (core.Answer, error) {
	var reply ForwardReply
	err := p.Call(ctx, address, ForwardName+".Call", args, &reply)
	return reply.Answer, err
}

func init() {
	gob.Register(core.Done{})
	gob.Register(core.NotRun{})
	gob.Register(core.OutcomeUnknown{})
	gob.Register(core.Pending{})
}
