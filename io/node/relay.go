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

// relayName is the name under which a Relay takes calls.
const relayName = "Relay"

const (
	// relayIdleTimeout is how long a VM gets no order until its connections are closed.
	relayIdleTimeout = 15 * time.Second
	// relaySweepInterval is how often that is looked at.
	relaySweepInterval = 5 * time.Second
)

// StartArgs is a start for a VM at an address.
type StartArgs struct {
	VM      job.VMID
	Address string
	Order   job.StartOrder
}

// HoldArgs is a hold for a VM at an address.
type HoldArgs struct {
	VM      job.VMID
	Address string
	Order   job.HoldOrder
}

// OrderReply is what came of an order.
type OrderReply struct {
	Outcome schedule.Outcome
	Report  job.Report
}

// Relay carries out the owner's orders on the VMs of its zone, as a receiver of
// net/rpc. It decides nothing and keeps nothing: a VM refuses the orders of a former
// owner by their fence and starts that come too late by their deadline, whoever
// carries them.
type Relay struct {
	// lifetime ends with the process: an order that waits at a VM must not hold up its end.
	lifetime context.Context

	mu  sync.Mutex
	vms map[job.VMID]*relayedVM
}

// relayedVM is the connections to a VM.
type relayedVM struct {
	vmClient
	lastUsed time.Time
}

// Start carries out a start.
func (x *Relay) Start(args StartArgs, reply *OrderReply) error {
	ctx, cancel := context.WithTimeout(x.lifetime, orderTimeout)
	defer cancel()
	r, err := x.vm(args.VM, args.Address).Start(ctx, args.Order)
	*reply = OrderReply{Outcome: outcomeFromError(err), Report: r}
	return nil
}

// Hold carries out a hold.
func (x *Relay) Hold(args HoldArgs, reply *OrderReply) error {
	ctx, cancel := context.WithTimeout(x.lifetime, args.Order.Wait+holdGrace)
	defer cancel()
	r, err := x.vm(args.VM, args.Address).Hold(ctx, args.Order)
	*reply = OrderReply{Outcome: outcomeFromError(err), Report: r}
	return nil
}

// vm returns the client of a VM at an address.
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

// closeIdle closes the connections to VMs that have had no order of late.
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

// run takes orders at the address until ctx ends.
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
