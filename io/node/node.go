// Package node implements the process that runs on each entry VM of a deployment. It
// serves callers from the platform's table. One of these processes is the owner, which
// runs the callers' jobs on the VMs.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lavenderpond/core/lease"
	"lavenderpond/core/policy"
	"lavenderpond/io/inbound"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

const (
	// readinessSlack is how much longer than the poll interval of the owner's rows the
	// table may leave this process without an answer before it reports that it isn't
	// ready. It covers an answer of a slow table. The load balancer checks once a second
	// and reacts to two misses, so each additional tenth of a second extends the time in
	// which callers are denied here. While the whole table is unreachable no entry VM is
	// ready, and callers stay at their entry VMs.
	readinessSlack = 450 * time.Millisecond
	// drainDuration is how long callers are still served after the stop signal. The load
	// balancer stops sending callers after two misses of a second each.
	drainDuration = 2800 * time.Millisecond
	// shutdownTimeout bounds the completion of the last calls after that. Together with
	// drainDuration it fits into the six seconds that the platform grants.
	shutdownTimeout = 2 * time.Second
	// headerTimeout and idleTimeout bound slow and idle callers.
	headerTimeout = 3 * time.Second
	idleTimeout   = 30 * time.Second
	// runIDBytes is the length in bytes of the random ID of a process's run.
	runIDBytes = 6
)

// Node is the process on an entry VM. Use New to create one.
type Node struct {
	settings platform.Settings
	// policy is read by currentPolicy. A stored policy isn't modified.
	policy        atomic.Pointer[policy.Policy]
	log           zerolog.Logger
	table         *platform.Table
	machines      *platform.Machines
	approvals     platform.ApprovalService
	view          *operatorView
	callers       *callerHandler
	election      *election
	metrics       *processMetrics
	decisions     *decisionLog
	admission     *admissionGate
	health        tableHealth
	owner         atomic.Pointer[owner]
	stopRequested atomic.Bool
	// limits bound what others make this process hold. The guards apply them to its listeners.
	limits                             holdLimits
	callerGuard, probeGuard, peerGuard *inbound.Guard
}

// New creates a Node that follows the operators' policy. Run starts it.
func New(s platform.Settings, p policy.Policy, log zerolog.Logger) (*Node, error) {
	runID := make([]byte, runIDBytes)
	if _, err := rand.Read(runID); err != nil {
		return nil, errors.Wrap(err, "generate run ID")
	}
	n := &Node{
		settings: s, log: log, metrics: newProcessMetrics(),
		table:     platform.NewTable(s.TableAddress),
		machines:  platform.NewMachines(s.MachinesAddress),
		approvals: platform.NewApprovalService(s.ApprovalAddress),
	}
	n.limits = limitsFor(&s)
	n.callerGuard = n.newGuard("callers", n.limits.callers)
	n.probeGuard = n.newGuard("probes", n.limits.probes)
	n.peerGuard = n.newGuard("peers", n.limits.peers)
	n.SetPolicy(p)
	n.health.log = log
	n.decisions = &decisionLog{log: log, count: n.metrics.count, recordDuration: n.metrics.recordDuration}
	n.view = &operatorView{table: n.table, log: log, onChange: n.reconfigured, health: &n.health}
	n.admission = newAdmissionGate(n.currentPolicy, log, n.metrics.count)
	n.callers = &callerHandler{
		view: n.view, health: &n.health, canApprove: n.approvals.Known(), limits: newEntryLimits(&s, n.currentPolicy, log, n.metrics), admission: n.admission, log: log,
		count: n.metrics.count, recordDuration: n.metrics.recordDuration,
		jobs: &jobStore{
			table: n.table, recordLatency: func(d time.Duration) { n.metrics.recordDuration("table_call", d) },
			health: &n.health, rowBytes: s.RowBytes, onVersion: n.admission.sawVersion,
		},
	}
	n.election = &election{
		table: n.table, node: s.Node, runID: hex.EncodeToString(runID), log: log, serve: n.serve,
		lowCapacity: s.Cores > 0 && s.Cores < lowCapacityCores, memoryMB: s.MemoryMB, health: &n.health, readsPerSecond: s.TableReadsPerSecond,
		grantedLease: lease.Granted(s.Bounds.LeaseMax),
		onPoll:       n.admission.polled,
	}
	n.callers.ownerFull = n.ownerFull
	return n, nil
}

// ownerFull reports whether the owner can't take further jobs.
func (n *Node) ownerFull() bool {
	if o := n.owner.Load(); o != nil {
		return o.full.Load()
	}
	return n.election.ownerFull.Load()
}

func (n *Node) setOwner(o *owner) { n.owner.Store(o) }

// reconfigured notifies the owner, if it is this process, that the operators' view has
// changed.
func (n *Node) reconfigured() {
	if o := n.owner.Load(); o != nil {
		select {
		case o.events <- reconfigured{}:
		default:
			// The event queue is full. The next round checks the view anyway.
			n.log.Warn().Str("event", "owner_behind").Send()
		}
	}
}

func (n *Node) stopping() bool { return n.stopRequested.Load() }

// Run serves until ctx ends, and then until the remaining callers have their answers.
func (n *Node) Run(ctx context.Context) error {
	callers, err := inbound.Listen("tcp4", n.settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	probes, err := inbound.Listen("tcp4", n.settings.ReadyAddress)
	if err != nil {
		return errors.Wrap(err, "listen for load balancer probes")
	}
	// The children outlive ctx: callers are still served while this process drains.
	serveCtx, endServing := context.WithCancel(context.WithoutCancel(ctx))
	defer endServing()
	callerServer := n.callerGuard.Server(n.callers, inbound.ServerOptions{Header: headerTimeout, Body: maxCallerTimeout, Idle: idleTimeout})
	probeServer := n.probeGuard.Server(n.probeHandler(), inbound.ServerOptions{Header: headerTimeout, Body: headerTimeout, Idle: idleTimeout})
	tree := supervisor.Node{Name: "node", Log: n.log, Children: []supervisor.Child{
		{Name: "operator", Run: func(context.Context) error { return n.view.follow(serveCtx) }},
		{Name: "candidacy", Run: func(context.Context) error { return n.election.run(ctx) }},
		{Name: "callers", Run: func(context.Context) error {
			return ignoreServerClosed(callerServer.Serve(n.callerGuard.HTTPListener(callers)))
		}},
		{Name: "probes", Run: func(context.Context) error {
			return ignoreServerClosed(probeServer.Serve(n.probeGuard.HTTPListener(probes)))
		}},
		{Name: "collector", Run: (&gcTuner{log: n.log}).run},
		{Name: "figures", Run: func(context.Context) error { return n.metrics.run(serveCtx) }},
	}}
	tree.Children = append(tree.Children, n.relayChildren(ctx, serveCtx)...)
	var g supervisor.Group
	g.Go(func() {
		<-ctx.Done()
		n.drain(callerServer)
		_ = probeServer.Close()
		endServing()
	})
	err = tree.Run(serveCtx)
	g.Wait()
	return err
}

// relayChildren returns the children that make this process a relay for the owner's orders.
// The member row is removed as soon as ctx ends, and orders are accepted until serveCtx
// ends.
func (n *Node) relayChildren(ctx, serveCtx context.Context) []supervisor.Child {
	if n.settings.PeerAddress == "" {
		return nil
	}
	m := membership{table: n.table, node: n.settings.Node, log: n.log, row: newMemberRow(&n.settings, n.election.runID)}
	return []supervisor.Child{
		{Name: "relay", Run: func(context.Context) error { return n.runRelay(serveCtx) }},
		{Name: "membership", Run: func(context.Context) error { return m.run(ctx) }},
	}
}

// runRelay accepts the calls of other processes until ctx ends.
func (n *Node) runRelay(ctx context.Context) error {
	l, err := inbound.Listen("tcp4", n.settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	return newRelay(ctx, n.limits.relayedOrders, n.metrics.count).serve(n.peerGuard.Listener(l))
}

// Stop makes the process report that it isn't ready and give up its ownership. The context
// of Run must end right after.
func (n *Node) Stop() { n.stopRequested.Store(true) }

// drain continues to serve until the load balancer sends no more callers, and then shuts
// the server down.
func (n *Node) drain(server *http.Server) {
	server.SetKeepAlivesEnabled(false)
	supervisor.Sleep(context.Background(), drainDuration)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		n.log.Warn().Err(err).Msg("open calls were aborted at shutdown")
		_ = server.Close()
	}
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (n *Node) ready() bool {
	return !n.stopping() && n.view.configuration() != nil && n.health.sinceLastAnswer() < readinessSlack+n.election.pollInterval()
}

func (n *Node) probeHandler() http.Handler {
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
