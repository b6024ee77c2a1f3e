package main

import (
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	pb "lavenderpond/io/gen/lavenderpond/v1"
)

type vmsCmd struct {
	List   vmsListCmd   `cmd:"" help:"List the VMs."`
	Add    vmsAddCmd    `cmd:"" help:"Add a VM to a pool."`
	Remove vmsRemoveCmd `cmd:"" help:"Remove a VM that is stopped, failed or being verified."`
	Move   vmsMoveCmd   `cmd:"" help:"Drain a VM and move it to another pool, within the budget."`
	Cordon vmsCordonCmd `cmd:"" help:"Take a VM out of service, within the budget: no new work, then drain and stop."`
	Return vmsReturnCmd `cmd:"" help:"Bring a VM back: end its drain, or have it verified, or let a verified one serve."`
}

// vmArg identifies a VM.
type vmArg struct {
	Zone string `arg:"" help:"Zone of the VM."`
	VM   string `arg:"" name:"vm" help:"Name of the VM."`
}

// drainFlag limits how long a drain may take.
type drainFlag struct {
	DrainWithin time.Duration `default:"30m" help:"A drain that is still busy after this time is given up, and the VM serves again."`
}

func (d drainFlag) deadline(a *app) *timestamppb.Timestamp {
	return timestamppb.New(a.now().Add(d.DrainWithin))
}

type vmsListCmd struct {
	Pool string `help:"Only this pool's VMs."`
}

// Run lists VMs.
func (c vmsListCmd) Run(a *app) error {
	reply, err := askAny(a, operatorClient.ListVMs, &pb.ListVMsRequest{Pool: c.Pool})
	if err != nil {
		return err
	}
	var g grid
	g.add("ZONE", "VM", "POOL", "STATE", "SINCE", "RACK", "ADDRESS", "SLOTS", "CONNECTIONS", "MOVES TO", "WAVE")
	for _, v := range reply.Vms {
		g.add(v.Zone, v.Vm, v.Pool, v.State, formatTime(v.Since), v.Rack, v.Address, v.Slots, v.Connections, v.MoveTo, v.Wave)
	}
	return a.show(reply, g)
}

type vmsAddCmd struct {
	vmArg
	Pool        string `required:"" help:"Pool that the VM joins."`
	Rack        string `required:"" help:"Rack that the VM stands in."`
	Address     string `required:"" placeholder:"IP:PORT" help:"Where the VM takes tasks."`
	Slots       int32  `default:"8" help:"Slots of the VM."`
	Connections int32  `default:"64" help:"Connections that the VM accepts."`
	Replace     bool   `help:"The VM takes the place of a removed one: the pool's size stays."`
	Verify      bool   `help:"Have the VM checked before it serves."`
}

// Run adds a VM.
func (c vmsAddCmd) Run(a *app) error {
	return a.change(&pb.ApplyChangeRequest{Change: &pb.ApplyChangeRequest_AddVm{AddVm: &pb.AddVM{
		Zone: c.Zone, Vm: c.VM, Pool: c.Pool, Rack: c.Rack, Address: c.Address,
		Slots: c.Slots, Connections: c.Connections, Replace: c.Replace, Verify: c.Verify,
	}}})
}

type vmsRemoveCmd struct {
	vmArg
	Shrink bool `help:"The pool's size falls by one; else the pool lacks the VM until another replaces it."`
}

// Run removes a VM.
func (c vmsRemoveCmd) Run(a *app) error {
	return a.change(&pb.ApplyChangeRequest{Change: &pb.ApplyChangeRequest_RemoveVm{
		RemoveVm: &pb.RemoveVM{Zone: c.Zone, Vm: c.VM, Shrink: c.Shrink},
	}})
}

type vmsMoveCmd struct {
	vmArg
	drainFlag
	Pool   string `required:"" help:"Pool to move to."`
	Resize bool   `help:"The VM's place moves too: the old pool's size falls by one, the new one's rises."`
}

// Run drains a VM and moves it to another pool.
func (c vmsMoveCmd) Run(a *app) error {
	return a.change(&pb.ApplyChangeRequest{Change: &pb.ApplyChangeRequest_MoveVm{
		MoveVm: &pb.MoveVM{Zone: c.Zone, Vm: c.VM, Pool: c.Pool, Resize: c.Resize, DrainBy: c.deadline(a)},
	}})
}

type vmsCordonCmd struct {
	vmArg
	drainFlag
}

// Run takes a VM out of service.
func (c vmsCordonCmd) Run(a *app) error {
	return a.change(&pb.ApplyChangeRequest{Change: &pb.ApplyChangeRequest_CordonVm{
		CordonVm: &pb.CordonVM{Zone: c.Zone, Vm: c.VM, DrainBy: c.deadline(a)},
	}})
}

type vmsReturnCmd struct{ vmArg }

// Run brings a VM back into service.
func (c vmsReturnCmd) Run(a *app) error {
	return a.change(&pb.ApplyChangeRequest{Change: &pb.ApplyChangeRequest_ReturnVm{
		ReturnVm: &pb.ReturnVM{Zone: c.Zone, Vm: c.VM},
	}})
}
