package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"lavenderpond/core"
	pb "lavenderpond/io/gen/lavenderpond/v1"
	"lavenderpond/io/gen/lavenderpond/v1/lavenderpondv1connect"
	"lavenderpond/io/operator"
	"lavenderpond/io/supervisor"
)

// maxRounds is how many times a change or request is offered to every entry in turn.
const maxRounds = 3

// roundPauseStep is the pause before the second round. Each later pause is longer by
// the same amount.
const roundPauseStep = 500 * time.Millisecond

func pauseLinear(ctx context.Context, n int) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(n) * roundPauseStep):
	}
}

// addresses returns the addresses of the entries to call.
func (a *app) addresses() ([]string, error) {
	if len(a.Entry) == 0 {
		return nil, failf(exitUsage, "no entry: give --entry IP:PORT or set $LAVENDERPOND_ENTRIES")
	}
	for _, e := range a.Entry {
		if _, err := netip.ParseAddrPort(e); err != nil {
			return nil, failf(exitUsage, "--entry: read %q, allowed is an IP number and a port", e)
		}
	}
	return a.Entry, nil
}

// dialTimeout limits how long connecting to an entry may take, so that an unreachable
// entry doesn't use up the time of the others.
const dialTimeout = 2 * time.Second

// newHTTP returns a client that connects to the entries directly and ignores any proxy
// that the environment configures.
func newHTTP() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}}
}

// notSent reports whether err proves that nothing was sent, because no connection was
// established.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// operatorClient calls the operators' service of one entry with the operator key.
type operatorClient struct {
	lavenderpondv1connect.OperatorServiceClient
	address string
	key     string
	timeout time.Duration
}

func (a *app) operatorClients() ([]operatorClient, error) {
	addresses, err := a.addresses()
	if err != nil {
		return nil, err
	}
	key, err := a.readKey(a.OperatorKeyFile, "LAVENDERPOND_OPERATOR_KEY")
	if err != nil {
		return nil, err
	}
	var clients []operatorClient
	for _, address := range addresses {
		c := lavenderpondv1connect.NewOperatorServiceClient(a.http, "http://"+address)
		clients = append(clients, operatorClient{c, address, key, a.Timeout})
	}
	return clients, nil
}

// call is a method of the operators' service.
type call[Q, R any] func(operatorClient, context.Context, *connect.Request[Q]) (*connect.Response[R], error)

func (f call[Q, R]) do(ctx context.Context, c operatorClient, m *Q) (*R, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req := connect.NewRequest(m)
	req.Header().Set("Authorization", "Bearer "+c.key)
	resp, err := f(c, ctx, req)
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// askAny calls the entries in turn until one answers. A refusal counts as an answer,
// unless it says only that this entry can't reach the table.
func askAny[Q, R any](a *app, f call[Q, R], m *Q) (*R, error) {
	clients, err := a.operatorClients()
	if err != nil {
		return nil, err
	}
	var tableDown error
	for _, c := range clients {
		reply, err := f.do(a.ctx, c, m)
		e, answered := operator.FromConnect(err)
		switch {
		case err == nil:
			return reply, nil
		case answered && e.Code == core.CodePlatformDown:
			// An entry in another zone may still reach the table.
			tableDown = e
		case answered:
			return nil, e
		default:
			a.warnf("entry %s: %v\n", c.address, err)
		}
	}
	if tableDown != nil {
		return nil, tableDown
	}
	return nil, failf(exitUnreachable, "no entry was reached")
}

// reply is the answer of one entry, or the error if there is none.
type reply[R any] struct {
	address string
	value   *R
	err     error
}

// askAll calls all entries concurrently. It fails only if every call failed.
func askAll[Q, R any](a *app, f call[Q, R], m *Q) ([]reply[R], error) {
	clients, err := a.operatorClients()
	if err != nil {
		return nil, err
	}
	replies := make([]reply[R], len(clients))
	var g supervisor.Group
	for i, c := range clients {
		g.Go(func() {
			value, err := f.do(a.ctx, c, m)
			replies[i] = reply[R]{c.address, value, err}
		})
	}
	g.Wait()
	var refusal error
	for _, r := range replies {
		if r.err == nil {
			return replies, nil
		}
		if e, answered := operator.FromConnect(r.err); answered {
			refusal = e
		}
	}
	if refusal != nil {
		return nil, refusal
	}
	return nil, failf(exitUnreachable, "no entry was reached: %v", replies[0].err)
}

// apply makes a change. If an answer is lost, it repeats the change under the same id,
// at the same entry or another one. The id ensures that the change takes effect once.
func (a *app) apply(m *pb.ApplyChangeRequest) (*pb.ApplyChangeReply, error) {
	clients, err := a.operatorClients()
	if err != nil {
		return nil, err
	}
	if m.ChangeId = a.ChangeID; m.ChangeId == "" {
		m.ChangeId = "change-" + a.token()
	}
	if m.Author, err = a.author(); err != nil {
		return nil, err
	}
	f := call[pb.ApplyChangeRequest, pb.ApplyChangeReply](operatorClient.ApplyChange)
	var lastErr error
	unknown := false
	shown := map[string]bool{}
	for n := range maxRounds {
		if n > 0 {
			a.pause(a.ctx, n)
		}
		for _, c := range clients {
			reply, err := f.do(a.ctx, c, m)
			if err == nil {
				return reply, nil
			}
			e, answered := operator.FromConnect(err)
			if answered && e.Code != core.CodeChangeUnknown && e.Code != core.CodePlatformDown {
				return nil, e
			}
			unknown = unknown || answered && e.Code == core.CodeChangeUnknown || !answered && !notSent(err)
			lastErr = &exitError{exitUnreachable, entryError(err)}
			if line := fmt.Sprintf("entry %s: %v\n", c.address, lastErr); !shown[line] {
				shown[line] = true
				a.warnf("%s", line)
			}
		}
		if !unknown {
			return nil, lastErr
		}
	}
	return nil, core.Errorf(core.CodeChangeUnknown, "the change may have taken effect; repeat the command with --change-id %s", m.ChangeId)
}

// change makes a change and prints the configuration version that it produced.
func (a *app) change(m *pb.ApplyChangeRequest) error {
	reply, err := a.apply(m)
	if err != nil {
		return err
	}
	var g grid
	g.add("VERSION", "CHANGE", "REPEATED")
	g.add(reply.Version, m.ChangeId, reply.Repeated)
	if reply.Note != "" {
		a.warnf("note: %s\n", reply.Note)
	}
	return a.show(reply, g)
}
