package main

import (
	pb "lavenderpond/io/gen/lavenderpond/v1"
)

type poolsCmd struct {
	List poolsListCmd `cmd:"" help:"List the pools, with what is out of each."`
	Set  poolsSetCmd  `cmd:"" help:"Create a pool or change its settings; what isn't given stays."`
}

type poolsListCmd struct{}

// Run lists the pools.
func (poolsListCmd) Run(a *app) error {
	reply, err := askAny(a, operatorClient.ListPools, &pb.ListPoolsRequest{})
	if err != nil {
		return err
	}
	var g grid
	g.add("POOL", "SIZE", "MEMBERS", "OUT PLANNED", "OUT FAILED", "MAX UNAVAILABLE", "SPARE", "LENDS IDLE", "ROW VERSION")
	for _, p := range reply.Pools {
		g.add(p.Pool, p.Size, p.Members, p.OutPlanned, p.OutFailed, p.MaxUnavailable, p.Spare, p.LendsIdle, p.RowVersion)
	}
	return a.show(reply, g)
}

type poolsSetCmd struct {
	Pool           string `arg:"" help:"Name of the pool."`
	MaxUnavailable *int32 `help:"Availability budget: the most VMs that may be out at once, planned and failed together."`
	Spare          *bool  `negatable:"" help:"The pool's VMs repair other pools."`
	LendsIdle      *bool  `negatable:"" help:"Other queues' requests may run in the pool's idle slots: urgent ones in all, others in all but two of each VM."`
	IfVersion      uint64 `help:"Refuse unless the row still has this version."`
}

// Run creates a pool or changes its settings.
func (c poolsSetCmd) Run(a *app) error {
	return a.change(&pb.ApplyChangeRequest{IfVersion: c.IfVersion, Change: &pb.ApplyChangeRequest_SetPool{
		SetPool: &pb.SetPool{Pool: c.Pool, MaxUnavailable: c.MaxUnavailable, Spare: c.Spare, LendsIdle: c.LendsIdle},
	}})
}
