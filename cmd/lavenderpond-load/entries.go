package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"lavenderpond/core"
	"lavenderpond/io/caller"
)

type entriesCommand struct {
	shape
	Entry      []netip.AddrPort `help:"Addresses of entries, used in turn." required:""`
	Team       string           `help:"Team." required:""`
	Queue      string           `help:"Queue." required:""`
	Home       string           `help:"Home zone of all ids; empty: by hash."`
	Lifetime   time.Duration    `help:"Time from sending to deadline." default:"10s"`
	Idempotent bool             `help:"Send idempotent requests."`
}

// Run loads the entries. The team key comes from LAVENDERPOND_TEAM_KEY.
func (c *entriesCommand) Run(ctx context.Context) error {
	if err := loopbackOnly(c.Entry); err != nil {
		return err
	}
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Concurrency}}
	var clients []*caller.Client
	for _, a := range c.Entry {
		clients = append(clients, caller.NewClient(h, "http://"+a.String(), core.TeamID(c.Team), os.Getenv("LAVENDERPOND_TEAM_KEY")))
	}
	run := time.Now().UnixNano()
	return c.run(ctx, func(ctx context.Context, n int) string {
		now := time.Now()
		id := fmt.Sprintf("load-%d-%d", run, n)
		if c.Home != "" {
			id = c.Home + "~" + id
		}
		answer, err := clients[n%len(clients)].Submit(ctx, core.Request{
			Key: core.RequestKey{ID: core.RequestID(id)}, Attempt: 1, Queue: core.QueueID(c.Queue),
			Deadline: now.Add(c.Lifetime), FirstSent: now, Idempotent: c.Idempotent, Body: c.body(),
		}, false)
		if err != nil {
			return "error"
		}
		return answer.CodeName
	}).print()
}
