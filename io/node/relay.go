package node

import (
	"context"
	"sync"
	"time"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
	"lavenderpond/io/netrpc"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

// relayName is the net/rpc service name of Relay.
const relayName = "Relay"

const (
	// relayIdleTimeout is how long a VM's connections stay open without an order.
	relayIdleTimeout = 15 * time.Second
	// relaySweepInterval is how often idle connections are closed.
	relaySweepInterval = 5 * time.Second
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
}

// Relay forwards the owner's orders to the VMs of its zone. It is a net/rpc receiver. It
// makes no decisions and keeps no state but its connections: a VM refuses orders of a
// former owner by their fence and late starts by their deadline, whichever process sends
// them.
type Relay struct {
	// lifetime ends with the process, so that an order that waits at a VM doesn't delay
	// shutdown.
	lifetime context.Context

	mu  sync.Mutex
	vms map[job.VMID]*relayedVM
}

// relayedVM holds the connections to a VM and when they were last used.
type relayedVM struct {
	vmClient
	lastUsed time.Time
}

// Start forwards a start order to a VM.
func (x *Relay) Start(args StartArgs, reply *OrderReply) error {
	ctx, cancel := context.WithTimeout(x.lifetime, orderTimeout)
	defer cancel()
	r, err := x.vm(args.VM, args.Address).Start(ctx, args.Order)
	*reply = OrderReply{Outcome: outcomeFromError(err), Report: r}
	return nil
}

// Hold forwards a hold order to a VM.
func (x *Relay) Hold(args HoldArgs, reply *OrderReply) error {
	ctx, cancel := context.WithTimeout(x.lifetime, args.Order.Wait+holdGrace)
	defer cancel()
	r, err := x.vm(args.VM, args.Address).Hold(ctx, args.Order)
	*reply = OrderReply{Outcome: outcomeFromError(err), Report: r}
	return nil
}

// vm returns the client for a VM at an address.
func (x *Relay) vm(id job.VMID, address string) *platform.VM {
	x.mu.Lock()
	defer x.mu.Unlock()
	v := x.vms[id]
	if v == nil || v.address != address {
		if v != nil {
			v.vm.Close()
		}
		if x.vms == nil {
			x.vms = map[job.VMID]*relayedVM{}
		}
		v = &relayedVM{vmClient: vmClient{address: address, vm: platform.NewVM(id, address)}}
		x.vms[id] = v
	}
	v.lastUsed = bootNow()
	return v.vm
}

// closeIdle closes the connections to VMs that haven't had an order recently.
func (x *Relay) closeIdle(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for id, v := range x.vms {
		if now.Sub(v.lastUsed) > relayIdleTimeout {
			v.vm.Close()
			delete(x.vms, id)
		}
	}
}

// run accepts orders at the address until ctx ends.
func (x *Relay) run(ctx context.Context, address string) error {
	l, err := listen(address)
	if err != nil {
		return err
	}
	x.lifetime = ctx
	s := netrpc.NewServer()
	if err := s.Register(relayName, x); err != nil {
		return err
	}
	var g supervisor.Group
	defer g.Wait()
	g.Go(func() {
		_ = supervisor.Every(ctx, relaySweepInterval, func(context.Context) { x.closeIdle(bootNow()) })
	})
	return s.Serve(ctx, l)
}
