package main

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/home"
	"lavenderpond/io/target"
)

type targetsCommand struct {
	loadFlags
	First netip.AddrPort `help:"Address of the first target; the others follow." required:""`
	Count int            `help:"Number of targets, used in turn." default:"10"`
}

// Run generates load on the targets. It names each answer after the type of its end.
func (c *targetsCommand) Run(ctx context.Context) error {
	if err := loopbackOnly([]netip.AddrPort{c.First}); err != nil {
		return err
	}
	client := target.NewClient(64, 1<<20)
	runID := time.Now().UnixNano()
	return c.run(ctx, func(ctx context.Context, n int) string {
		address := netip.AddrPortFrom(c.First.Addr(), c.First.Port()+uint16(n%c.Count))
		deadline := time.Now().Add(10 * time.Second)
		end := client.Start(ctx, address.String(), home.Dispatch{
			Request: core.Request{
				Key:  core.RequestKey{Team: "load", ID: core.RequestID(fmt.Sprintf("%d-%d", runID, n))},
				Body: c.body(),
			},
			DispatchNumber: 1, StartBy: deadline, LeaseUntil: deadline,
		})
		return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", end), "home."))
	}).print()
}
