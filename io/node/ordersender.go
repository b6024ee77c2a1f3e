package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
	"lavenderpond/io/netrpc"
	"lavenderpond/platform"
)

// orderSender sends the frequent orders to one VM.
type orderSender interface {
	Start(ctx context.Context, o job.StartOrder) (job.Report, schedule.Outcome)
	Hold(ctx context.Context, o job.HoldOrder) (job.Report, schedule.Outcome)
}

// directSender calls the VM directly.
type directSender struct{ vm *platform.VM }

// Start implements orderSender.
func (s directSender) Start(ctx context.Context, o job.StartOrder) (job.Report, schedule.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r, err := s.vm.Start(ctx, o)
	return r, outcomeFromError(err)
}

// Hold implements orderSender.
func (s directSender) Hold(ctx context.Context, o job.HoldOrder) (job.Report, schedule.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, o.Wait+holdGrace)
	defer cancel()
	r, err := s.vm.Hold(ctx, o)
	return r, outcomeFromError(err)
}

// relayGrace is how much longer the owner waits for the VM's answer than the relay does.
const relayGrace = 100 * time.Millisecond

// relaySender sends orders to a VM by a relay on another entry VM.
type relaySender struct {
	relays  *relaySet
	relay   string
	vm      job.VMID
	address string
	// clients are the owner's own, for an order that the relay certainly hasn't acted on.
	clients *vmClients
}

// direct returns the sender that calls the VM without the relay.
func (s relaySender) direct() directSender { return directSender{s.clients.get(s.vm, s.address)} }

// Start implements orderSender.
func (s relaySender) Start(ctx context.Context, o job.StartOrder) (job.Report, schedule.Outcome) {
	r, outcome, sent := s.call(ctx, orderTimeout, "Start", StartArgs{VM: s.vm, Address: s.address, Order: o})
	if !sent {
		return s.direct().Start(ctx, o)
	}
	return r, outcome
}

// Hold implements orderSender.
func (s relaySender) Hold(ctx context.Context, o job.HoldOrder) (job.Report, schedule.Outcome) {
	r, outcome, sent := s.call(ctx, o.Wait+holdGrace, "Hold", HoldArgs{VM: s.vm, Address: s.address, Order: o})
	if !sent {
		return s.direct().Hold(ctx, o)
	}
	return r, outcome
}

// call calls the relay. sent is false if the relay certainly hasn't acted on the call.
func (s relaySender) call(ctx context.Context, timeout time.Duration, method string, args any) (r job.Report, outcome schedule.Outcome, sent bool) {
	callCtx, cancel := context.WithTimeout(ctx, timeout+relayGrace)
	defer cancel()
	var reply OrderReply
	err := s.relays.pool.Call(callCtx, s.relay, relayName+"."+method, args, &reply)
	if err == nil {
		return reply.Report, reply.Outcome, !reply.Refused
	}
	if ctx.Err() == nil {
		s.relays.markFailed(s.relay, err)
	}
	if errors.Is(err, netrpc.ErrNotSent) {
		return job.Report{}, schedule.NotDone, false
	}
	return job.Report{}, schedule.Unanswered, true
}
