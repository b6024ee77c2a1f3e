package main

import (
	pb "lavenderpond/io/gen/lavenderpond/v1"
)

type queuesCmd struct {
	List queuesListCmd `cmd:"" help:"List the queues."`
	Set  queuesSetCmd  `cmd:"" help:"Create a queue or change its settings; what isn't given stays."`
}

type queuesListCmd struct{}

// Run lists the queues.
func (queuesListCmd) Run(a *app) error {
	reply, err := askAny(a, operatorClient.ListQueues, &pb.ListQueuesRequest{})
	if err != nil {
		return err
	}
	a.warnView(reply.View)
	var g grid
	g.add("QUEUE", "POOL", "OVERFLOW", "MAX QUEUED", "ROW VERSION")
	for _, q := range reply.Queues {
		g.add(q.Queue, q.Pool, q.Overflow, orDefault(q.MaxQueued), q.RowVersion)
	}
	return a.show(reply, g)
}

type queuesSetCmd struct {
	Queue     string  `arg:"" help:"Name of the queue."`
	Pool      *string `help:"Pool that serves the queue."`
	Overflow  *bool   `negatable:"" help:"Requests may run in idle slots of pools that lend them."`
	MaxQueued *int32  `help:"The most requests that wait at one entry; 0 is the default's."`
	IfVersion uint64  `help:"Refuse unless the row still has this version."`
}

// Run creates a queue or changes its settings.
func (c queuesSetCmd) Run(a *app) error {
	return a.change(&pb.ApplyChangeRequest{IfVersion: c.IfVersion, Change: &pb.ApplyChangeRequest_SetQueue{
		SetQueue: &pb.SetQueue{Queue: c.Queue, Pool: c.Pool, Overflow: c.Overflow, MaxQueued: c.MaxQueued},
	}})
}
