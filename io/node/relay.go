package node

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
	"lavenderpond/io/netrpc"
	"lavenderpond/io/supervisor"
)

// relayName is the net/rpc service name of Relay.
const relayName = "Relay"

// relaySweepInterval is how often idle connections are closed.
const relaySweepInterval = 5 * time.Second

const (
	// maxOrderMessage is the maximum length of an order in bytes. The longest part is the spec of a job, of
	// up to 4,000 bytes.
	maxOrderMessage = 64 << 10
	// maxHoldWait is the longest time that a VM waits for the end of a task.
	maxHoldWait = 2 * time.Second
)

// StartArgs holds a start order for the VM at an address.
type StartArgs struct {
	VM      job.VMID
	Address string
	Order   job.StartOrder
}

// HoldArgs holds a hold order for the VM at an address.
type HoldArgs struct {
	VM      job.VMID
	Address string
	Order   job.HoldOrder
}

// OrderReply holds the outcome of an order and the VM's report.
type OrderReply struct {
	Outcome schedule.Outcome
	Report  job.Report
	// Refused is set if the relay has not acted on the order, since it has too many in progress.
	Refused bool
}

// Relay forwards the owner's orders to the VMs of its zone. It is a net/rpc receiver. It
// makes no decisions and keeps no state but its connections: a VM refuses orders of a
// former owner by their fence and late starts by their deadline, whichever process sends
// them.
type Relay struct {
	// lifetime ends with the process, so that an order that waits at a VM doesn't delay
	// shutdown.
	lifetime context.Context
	// maxOrders is the maximum number of orders in progress, each of which holds a connection to a VM; 0
	// means no limit.
	maxOrders int64
	// count increments a counter; it may be nil.
	count func(name string)

	vms     vmClients
	ongoing atomic.Int64
}

// newRelay returns a relay that lives as long as ctx.
func newRelay(ctx context.Context, maxOrders int, count func(name string)) *Relay {
	return &Relay{lifetime: ctx, maxOrders: int64(maxOrders), count: count, vms: vmClients{max: maxOrders}}
}

// begin counts an order, or returns false if too many are in progress. Each that begins must end.
func (x *Relay) begin(reply *OrderReply) bool {
	if n := x.ongoing.Add(1); x.maxOrders == 0 || n <= x.maxOrders {
		return true
	}
	x.end()
	if x.count != nil {
		x.count("relayed_orders_refused")
	}
	*reply = OrderReply{Outcome: schedule.NotDone, Refused: true}
	return false
}

func (x *Relay) end() { x.ongoing.Add(-1) }

// Start forwards a start order to a VM.
func (x *Relay) Start(args StartArgs, reply *OrderReply) error {
	if !x.begin(reply) {
		return nil
	}
	defer x.end()
	ctx, cancel := context.WithTimeout(x.lifetime, orderTimeout)
	defer cancel()
	r, err := x.vms.get(args.VM, args.Address).Start(ctx, args.Order)
	*reply = OrderReply{Outcome: outcomeFromError(err), Report: r}
	return nil
}

// Hold forwards a hold order to a VM.
func (x *Relay) Hold(args HoldArgs, reply *OrderReply) error {
	if !x.begin(reply) {
		return nil
	}
	defer x.end()
	ctx, cancel := context.WithTimeout(x.lifetime, min(args.Order.Wait, maxHoldWait)+holdGrace)
	defer cancel()
	r, err := x.vms.get(args.VM, args.Address).Hold(ctx, args.Order)
	*reply = OrderReply{Outcome: outcomeFromError(err), Report: r}
	return nil
}

// serve accepts orders from l until the relay's lifetime ends.
func (x *Relay) serve(l net.Listener) error {
	s := netrpc.NewServer()
	s.MaxMessage = maxOrderMessage
	if err := s.Register(relayName, x); err != nil {
		return err
	}
	var g supervisor.Group
	defer g.Wait()
	g.Go(func() {
		_ = supervisor.Every(x.lifetime, relaySweepInterval, func(context.Context) { x.vms.closeIdle(bootNow()) })
	})
	return s.Serve(x.lifetime, l)
}
