package main

import (
	pb "lavenderpond/io/gen/lavenderpond/v1"
)

type defaultsCmd struct {
	Show defaultsShowCmd `cmd:"" help:"Show the defaults."`
	Set  defaultsSetCmd  `cmd:"" help:"Change defaults; what isn't given stays."`
}

type defaultsShowCmd struct{}

// Run shows the defaults.
func (defaultsShowCmd) Run(a *app) error {
	reply, err := askAny(a, operatorClient.GetDefaults, &pb.GetDefaultsRequest{})
	if err != nil {
		return err
	}
	a.warnView(reply.View)
	var g grid
	g.add("SHARE", "LIMIT", "MAX UNAVAILABLE", "MAX QUEUED", "MAX BODY", "ROW VERSION")
	g.add(reply.Share, reply.Limit, reply.MaxUnavailable, reply.MaxQueued, reply.MaxBody, reply.RowVersion)
	return a.show(reply, g)
}

type defaultsSetCmd struct {
	Share          *int32 `help:"Share of teams that have none."`
	Limit          *int32 `help:"Upper limit of teams that have none."`
	MaxUnavailable *int32 `help:"Availability budget of pools that have none."`
	MaxQueued      *int32 `help:"Bound of queues that have none."`
	MaxBody        *int32 `help:"Largest body of a request, in bytes."`
	IfVersion      uint64 `help:"Refuse unless the row still has this version."`
}

// Run changes the defaults that are given.
func (c defaultsSetCmd) Run(a *app) error {
	return a.change(&pb.ApplyChangeRequest{IfVersion: c.IfVersion, Change: &pb.ApplyChangeRequest_SetDefaults{
		SetDefaults: &pb.SetDefaults{
			Share: c.Share, Limit: c.Limit, MaxUnavailable: c.MaxUnavailable, MaxQueued: c.MaxQueued, MaxBody: c.MaxBody,
		},
	}})
}
