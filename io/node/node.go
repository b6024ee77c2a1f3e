// Package node is the process that runs on each entry VM of a deployment: it
// answers callers from the platform's table, and one of all is the owner that
// runs their jobs on the VMs.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

const (
	// readySlack is how much older than its last look at the owner's rows the table's
	// last word may be while this process still says that it is ready. The balancer asks
	// once a second and takes two misses: each tenth of a second is one more in which
	// callers are refused here. It covers an answer of a slow table. While the whole
	// table is out of reach no entry VM is ready, and callers stay where they are.
	readySlack = 450 * time.Millisecond
	// drainFor is how long callers are still served after the signal to stop:
	// the balancer takes two misses of a second each to send no more.
	drainFor = 2800 * time.Millisecond
	// closeWithin bounds the end of the last calls after that. Both fit into the
	// six seconds that the platform grants.
	closeWithin = 2 * time.Second
	// headerTimeout and idleTimeout bound slow and idle callers.
	headerTimeout = 3 * time.Second
	idleTimeout   = 30 * time.Second
	// lifeBytes is the length of the name of a process's life.
	lifeBytes = 6
)

// Node is the process. Use New.
type Node struct {
	settings  platform.Settings
	log       zerolog.Logger
	table     *platform.Table
	machines  *platform.Machines
	advice    *platform.ApprovalService
	view      *operatorView
	front     *front
	candidacy *candidacy
	metrics   *figures
	observer  *decisionLog
	reach     reach
	owner     atomic.Pointer[owner]
	stop      atomic.Bool
}

// New prepares a process.
func New(s platform.Settings, log zerolog.Logger) (*Node, error) {
	life := make([]byte, lifeBytes)
	if _, err := rand.Read(life); err != nil {
		return nil, errors.Wrap(err, "name of this life")
	}
	n := &Node{
		settings: s, log: log, metrics: newFigures(),
		table:    platform.NewTable(s.TableAddress),
		machines: platform.NewMachines(s.MachinesAddress),
	}
	if s.ApprovalAddress != "" {
		n.advice = platform.NewApprovalService(s.ApprovalAddress)
	}
	n.reach.log = log
	n.observer = &decisionLog{log: log, count: n.metrics.count, elapsed: n.metrics.elapsed}
	n.view = &operatorView{table: n.table, log: log, changed: n.reconfigured, reach: &n.reach}
	n.front = &front{
		view: n.view, reach: &n.reach, log: log, count: n.metrics.count, elapsed: n.metrics.elapsed,
		jobs: &jobStore{
			table: n.table, took: func(d time.Duration) { n.metrics.elapsed("table_call", d) },
			reach: &n.reach, rowBytes: s.RowBytes,
		},
	}
	n.candidacy = &candidacy{
		table: n.table, node: s.Node, life: hex.EncodeToString(life), log: log, serve: n.serve,
		weak: s.Cores > 0 && s.Cores < weakBelow, reach: &n.reach, readsPerSecond: s.TableReadsPerSecond,
	}
	return n, nil
}

func (n *Node) setOwner(o *owner) { n.owner.Store(o) }

// reconfigured tells the owner, if it is this process, that something changed.
func (n *Node) reconfigured() {
	if o := n.owner.Load(); o != nil {
		select {
		case o.events <- reconfigured{}:
		default:
			// The loop is far behind; its next turn sees the change.
			n.log.Warn().Str("event", "owner_behind").Send()
		}
	}
}

func (n *Node) stopping() bool { return n.stop.Load() }

// Run serves until ctx ends, and then until the callers that are there have
// their answers.
func (n *Node) Run(ctx context.Context) error {
	callers, err := listen(n.settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	probes, err := listen(n.settings.ReadyAddress)
	if err != nil {
		return errors.Wrap(err, "listen for the balancer")
	}
	// The parts outlast ctx: callers are still served while this process drains.
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	front := &http.Server{Handler: n.front, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	ready := &http.Server{Handler: n.probes(), ReadHeaderTimeout: headerTimeout}
	tree := supervisor.Node{Name: "node", Log: n.log, Children: []supervisor.Child{
		{Name: "operator", Run: func(context.Context) error { return n.view.follow(life) }},
		{Name: "candidacy", Run: func(context.Context) error { return n.candidacy.run(ctx) }},
		{Name: "callers", Run: func(context.Context) error { return served(front.Serve(callers)) }},
		{Name: "probes", Run: func(context.Context) error { return served(ready.Serve(probes)) }},
		{Name: "collector", Run: (&collector{log: n.log}).run},
		{Name: "figures", Run: func(context.Context) error { return n.metrics.run(life) }},
	}}
	tree.Children = append(tree.Children, n.relaying(ctx, life)...)
	var g supervisor.Group
	g.Go(func() {
		<-ctx.Done()
		n.drain(front)
		_ = ready.Close()
		end()
	})
	err = tree.Run(life)
	g.Wait()
	return err
}

// relaying returns the parts that carry orders for the owner. The row goes at once when
// this process is to stop; orders are taken until its end.
func (n *Node) relaying(ctx, life context.Context) []supervisor.Child {
	if n.settings.PeerAddress == "" {
		return nil
	}
	m := membership{table: n.table, node: n.settings.Node, log: n.log, row: memberRow{
		Zone: n.settings.Zone, Address: n.settings.PeerAddress, Cores: n.settings.Cores, LinkMbps: n.settings.LinkMbps, Life: n.candidacy.life,
	}}
	return []supervisor.Child{
		{Name: "relay", Run: func(context.Context) error { return (&Relay{}).run(life, n.settings.PeerAddress) }},
		{Name: "membership", Run: func(context.Context) error { return m.run(ctx) }},
	}
}

func listen(address string) (net.Listener, error) { return net.Listen("tcp4", address) }

// Stop makes the process say that it isn't ready and give its rights back. The
// context of Run has to end right after.
func (n *Node) Stop() { n.stop.Store(true) }

// drain serves on until the balancer sends no more callers, then ends.
func (n *Node) drain(front *http.Server) {
	front.SetKeepAlivesEnabled(false)
	supervisor.Sleep(context.Background(), drainFor)
	ctx, cancel := context.WithTimeout(context.Background(), closeWithin)
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		n.log.Warn().Err(err).Msg("calls were cut off")
		_ = front.Close()
	}
}

func served(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (n *Node) ready() bool {
	return !n.stopping() && n.view.configuration() != nil && n.reach.age() < readySlack+n.candidacy.every()
}

func (n *Node) probes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /metrics", n.metrics.serve)
	mux.HandleFunc("GET /dump", n.serveDump)
	return mux
}
