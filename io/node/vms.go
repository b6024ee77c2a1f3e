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

// vmOrders carries the orders for one VM that come by the thousand.
type vmOrders interface {
	Start(ctx context.Context, o job.StartOrder) (job.Report, schedule.Outcome)
	Hold(ctx context.Context, o job.HoldOrder) (job.Report, schedule.Outcome)
}

// directOrders calls the VM.
type directOrders struct{ vm *platform.VM }

// Start implements vmOrders.
func (d directOrders) Start(ctx context.Context, o job.StartOrder) (job.Report, schedule.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r, err := d.vm.Start(ctx, o)
	return r, outcomeOf(err)
}

// Hold implements vmOrders.
func (d directOrders) Hold(ctx context.Context, o job.HoldOrder) (job.Report, schedule.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, o.Wait+holdGrace)
	defer cancel()
	r, err := d.vm.Hold(ctx, o)
	return r, outcomeOf(err)
}

// relayGrace is how much longer than the relay its caller waits for the VM's answer.
const relayGrace = 100 * time.Millisecond

// relayedOrders has another entry VM call the VM.
type relayedOrders struct {
	relays  *relays
	relay   string
	vm      job.VMID
	address string
	direct  directOrders
}

// Start implements vmOrders.
func (x relayedOrders) Start(ctx context.Context, o job.StartOrder) (job.Report, schedule.Outcome) {
	r, out, sent := x.call(ctx, orderTimeout, "Start", StartArgs{VM: x.vm, Address: x.address, Order: o})
	if !sent {
		return x.direct.Start(ctx, o)
	}
	return r, out
}

// Hold implements vmOrders.
func (x relayedOrders) Hold(ctx context.Context, o job.HoldOrder) (job.Report, schedule.Outcome) {
	r, out, sent := x.call(ctx, o.Wait+holdGrace, "Hold", HoldArgs{VM: x.vm, Address: x.address, Order: o})
	if !sent {
		return x.direct.Hold(ctx, o)
	}
	return r, out
}

// call makes a call to the relay. sent is false if the relay certainly has done nothing.
func (x relayedOrders) call(ctx context.Context, within time.Duration, method string, args any) (r job.Report, out schedule.Outcome, sent bool) {
	callCtx, cancel := context.WithTimeout(ctx, within+relayGrace)
	defer cancel()
	var reply OrderReply
	err := x.relays.pool.Call(callCtx, x.relay, relayName+"."+method, args, &reply)
	if err == nil {
		return reply.Report, reply.Outcome, true
	}
	if ctx.Err() == nil {
		x.relays.fail(x.relay, err)
	}
	if errors.Is(err, netrpc.ErrNotSent) {
		return job.Report{}, schedule.NotDone, false
	}
	return job.Report{}, schedule.Unanswered, true
}
