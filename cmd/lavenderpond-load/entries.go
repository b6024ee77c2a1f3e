package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"lavenderpond/core"
	"lavenderpond/io/caller"
	pb "lavenderpond/io/gen/lavenderpond/v1"
)

// retryPause is how long a caller waits before it repeats a request at another entry,
// unless the answer says to come back later.
const retryPause = 50 * time.Millisecond

type entriesCommand struct {
	loadFlags
	Entry      []netip.AddrPort `help:"Addresses of entries, used in turn." required:""`
	Team       string           `help:"Team." required:""`
	Queue      string           `help:"Queue." required:""`
	Home       string           `help:"Home zone of all ids; empty: by hash."`
	Lifetime   time.Duration    `help:"Time from sending to deadline." default:"10s"`
	Patience   time.Duration    `help:"How long to wait for one attempt's answer before the next; 0: as long as it takes."`
	Idempotent bool             `help:"Send idempotent requests."`
	Retry      bool             `help:"Repeat an id at the next entry until it is done or its deadline."`
	Record     string           `help:"Write every attempt's answer to this file, for the check command." type:"path"`

	clients []*caller.Client
	mu      sync.Mutex
	records *json.Encoder
}

// attempt is a line of the record file: one attempt of a request and its answer.
type attempt struct {
	ID      string `json:"id"`
	Attempt int    `json:"attempt"`
	Outcome string `json:"outcome"`
	Code    string `json:"code"`
	// BodyValid reports that the body of the answer is complete and belongs to this id.
	BodyValid bool `json:"whole"`
	// AtMs is the time of the answer, in Unix milliseconds.
	AtMs int64 `json:"at_ms"`
}

// Run generates load on the entries. The team key comes from LAVENDERPOND_TEAM_KEY.
func (c *entriesCommand) Run(ctx context.Context) error {
	if err := loopbackOnly(c.Entry); err != nil {
		return err
	}
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Concurrency}}
	for _, a := range c.Entry {
		c.clients = append(c.clients, caller.NewClient(h, "http://"+a.String(), core.TeamID(c.Team), os.Getenv("LAVENDERPOND_TEAM_KEY")))
	}
	if c.Record != "" {
		file, err := os.Create(c.Record)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		c.records = json.NewEncoder(file)
	}
	runID := time.Now().UnixNano()
	return c.run(ctx, func(ctx context.Context, n int) string { return c.request(ctx, runID, n) }).print()
}

// request sends request number n and repeats it if Retry is set. It returns the code name
// of the last attempt's answer, or "error" if that attempt got none.
func (c *entriesCommand) request(ctx context.Context, runID int64, n int) string {
	now := time.Now()
	id := fmt.Sprintf("load-%d-%d", runID, n)
	if c.Home != "" {
		id = c.Home + "~" + id
	}
	req := core.Request{
		Key: core.RequestKey{ID: core.RequestID(id)}, Queue: core.QueueID(c.Queue),
		Deadline: now.Add(c.Lifetime), FirstSent: now, Idempotent: c.Idempotent, Body: c.body(),
	}
	for {
		req.Attempt++
		answer, err := c.submit(ctx, req, n)
		c.record(req, answer, err)
		if err == nil && answer.Outcome == pb.Outcome_OUTCOME_DONE {
			return answer.CodeName
		}
		if !c.Retry || !c.pause(req, answer) {
			if err != nil {
				return "error"
			}
			return answer.CodeName
		}
	}
}

// submit sends one attempt to the next entry.
func (c *entriesCommand) submit(ctx context.Context, req core.Request, n int) (*pb.Answer, error) {
	if c.Patience > 0 {
		bounded, cancel := context.WithTimeout(ctx, c.Patience)
		defer cancel()
		ctx = bounded
	}
	return c.clients[(n+int(req.Attempt)-1)%len(c.clients)].Submit(ctx, req, false)
}

// pause waits until the next attempt may be made: when the answer says to come back, but
// at least retryPause from now. It returns false if that is after the deadline.
func (c *entriesCommand) pause(req core.Request, answer *pb.Answer) bool {
	at := time.Now().Add(retryPause)
	if answer != nil && answer.ComeBackAt != nil && answer.ComeBackAt.AsTime().After(at) {
		at = answer.ComeBackAt.AsTime()
	}
	if !at.Before(req.Deadline) {
		return false
	}
	time.Sleep(time.Until(at))
	return true
}

func (c *entriesCommand) record(req core.Request, answer *pb.Answer, err error) {
	if c.records == nil {
		return
	}
	a := attempt{ID: c.Team + "/" + string(req.Key.ID), Attempt: int(req.Attempt), Outcome: "no_answer", AtMs: time.Now().UnixMilli()}
	if err == nil {
		a.Outcome, a.Code = answer.Outcome.String(), answer.CodeName
		a.BodyValid = strings.HasPrefix(string(answer.Body), "done "+a.ID+",") && len(answer.Body) >= c.Bytes
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.records.Encode(a)
}
