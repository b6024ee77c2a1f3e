package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"lavenderpond/core"
	"lavenderpond/core/home"
	"lavenderpond/core/queue/fair"
	"lavenderpond/core/retry"
	"lavenderpond/core/route"
	"lavenderpond/core/route/least"
	"lavenderpond/io/caller"
	"lavenderpond/io/inbound"
	"lavenderpond/io/ini"
	"lavenderpond/io/netrpc"
	"lavenderpond/io/operator"
	"lavenderpond/io/peer"
	"lavenderpond/io/platform"
	"lavenderpond/io/supervisor"
	"lavenderpond/io/target"
)

// Intervals of the daemon's periodic work.
const (
	tickInterval      = 20 * time.Millisecond
	directoryInterval = 2 * time.Second
	metricsInterval   = time.Second
	// announceRetryInterval is the pause after each try to announce this entry's address.
	announceRetryInterval = 500 * time.Millisecond
)

// settleTimeout is how long a graceful stop waits for mirrored starts to reach a target.
// Calls about ids in this entry's shards are delayed meanwhile. A start that is handed
// over before it has reached a target ends as outcome_unknown although it never ran.
const settleTimeout = 15 * time.Second

// maxConnectionsPerVM is the maximum number of connections from one entry to a target
// VM: one for each of the VM's 8 slots, and two for queries. With six entries in a zone,
// a VM has at most 60 connections, of the 64 that it accepts.
const maxConnectionsPerVM = 10

// Daemon is one run of an entry.
type Daemon struct {
	settings ini.Settings
	log      zerolog.Logger
	id       core.EntryID
	started  time.Time
	now      func() time.Time

	platform   *platform.Client
	liveList   *platform.SharedList
	peers      *netrpc.Pool
	directory  Directory
	config     *configuration
	shards     *peer.ShardManager
	allotments *platform.Allotments
	fleet      *platform.FleetWatcher
	controller *platform.Controller
	requests   *Requests
	front      *Front
	metrics    metrics.Registry

	callerListener net.Listener
	peerListener   net.Listener
	// stopping is set when a graceful stop begins.
	stopping atomic.Bool

	// aborted is canceled by Abort.
	aborted context.Context
	abort   context.CancelFunc
}

// New binds the daemon's addresses and creates its components, which Run starts.
func New(settings ini.Settings, log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{settings: settings, log: log, now: time.Now, peers: &netrpc.Pool{}, metrics: metrics.NewRegistry()}
	d.started = d.now()
	d.aborted, d.abort = context.WithCancel(context.Background())
	d.id = core.NewEntryID(settings.Entry.Name, d.started)
	d.platform = &platform.Client{
		BaseURL: settings.Platform.URL,
		HTTP:    &http.Client{Timeout: settings.Platform.Timeout},
		Zone:    settings.Entry.Zone,
	}
	d.liveList = &platform.SharedList{LiveList: d.platform, Now: d.now}
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.build()
	return d, nil
}

// listen binds the daemon's addresses. New does this first, so that a second daemon with
// the same settings fails before it acquires any lease.
func (d *Daemon) listen() error {
	var err error
	d.callerListener, err = inbound.Listen("tcp", d.settings.Entry.CallerListen.String())
	if err != nil {
		return errors.Wrap(err, "caller_listen")
	}
	d.peerListener, err = inbound.Listen("tcp", d.settings.Entry.PeerListen.String())
	if err != nil {
		return errors.Wrap(err, "peer_listen")
	}
	if d.settings.Entry.AdvertisePeer.Port() == 0 {
		d.settings.Entry.AdvertisePeer = d.peerListener.Addr().(*net.TCPAddr).AddrPort()
	}
	return nil
}

// build creates the components of the daemon and connects them.
func (d *Daemon) build() {
	seed := rand.New(rand.NewPCG(uint64(d.started.UnixNano()), 1))
	router := &least.Router{Rand: rand.New(rand.NewPCG(seed.Uint64(), 2))}
	queue := &fair.Queue{Rand: rand.New(rand.NewPCG(seed.Uint64(), 3))}
	h := &home.Home{
		Params: home.DefaultParams(), Router: router, Queue: queue,
		Budget: &retry.TokenBucket{Rand: rand.New(rand.NewPCG(seed.Uint64(), 4))},
	}
	h.Params.SkewBound = d.settings.Entry.SkewBound
	h.Params.MaxBytes = limitsFor(&d.settings).kept
	d.requests = NewRequests(h)
	d.requests.Now = d.now
	d.requests.Targets = target.NewClient(maxConnectionsPerVM, int64(d.settings.Entry.MaxBody))
	d.buildConfig(queue)
	d.buildLeases(h)
	d.buildFleet(router)
	d.front = &Front{
		Zone: d.settings.Entry.Zone, Zones: d.settings.Entry.Zones, Now: d.now,
		Leases: d.shards, Authorizer: d.config, Requests: d.requests, Directory: &d.directory, Peers: d.peers,
	}
}

// buildFleet creates the fleet watcher and the maintenance controller of the zone. The
// watcher passes the zone's targets to the router and learns from the results of
// dispatches.
func (d *Daemon) buildFleet(router *least.Router) {
	zone := d.settings.Entry.Zone
	rows := &platform.FleetRows{}
	d.fleet = &platform.FleetWatcher{
		Rows: rows,
		Zone: zone, Table: d.platform, Live: d.liveList, Now: d.now, Interval: d.settings.Platform.PollInterval,
		Probe: d.probe,
		OnChange: func(targets []route.Target) {
			pools := d.routePools()
			entries := len(d.shards.Dump().Live)
			d.requests.WithLock(func(*home.Home) {
				router.Entries = entries
				router.Update(d.now(), targets, pools)
			})
			d.requests.Handle(home.Changed{})
		},
	}
	d.controller = &platform.Controller{
		Rows: rows,
		Zone: zone, Self: d.id, Table: d.platform, Live: d.liveList, VMs: d.platform, Now: d.now, Log: d.log,
	}
	d.requests.Address = func(vm core.VMID) (string, bool) {
		row, ok := d.fleet.VM(vm)
		return row.VM.Address, ok
	}
	d.requests.OnDispatchEnded = d.observeDispatch
}

// observeDispatch passes the evidence that a dispatch gives of a VM's state to the fleet
// watcher and the controller.
func (d *Daemon) observeDispatch(vm core.VMID, sentAt time.Time, end home.End) {
	notStarted, ok := end.(home.NotStarted)
	switch {
	case !ok:
		d.fleet.Accepted(vm, sentAt)
	case notStarted.Reason == home.Leaving:
		d.fleet.Refused(vm)
	case notStarted.Reason == home.Unreachable:
		d.fleet.Unreachable(vm)
		d.controller.Suspect(vm)
	}
}

// Run serves until ctx ends. Then it stops gracefully: it finishes running requests and
// hands over the entry's shards.
func (d *Daemon) Run(ctx context.Context) error {
	// The children keep running during the graceful stop, because running requests
	// need them.
	childrenCtx, stopChildren := context.WithCancel(context.WithoutCancel(ctx))
	defer stopChildren()
	var g supervisor.Group
	g.Go(func() { _ = d.supervisorTree().Run(childrenCtx) })
	err := d.serveCallers(ctx)
	stopChildren()
	g.Wait()
	d.requests.Close()
	d.peers.Close()
	return err
}

// serveCallers serves callers and operators. After ctx ends, it returns when the graceful
// stop is complete.
func (d *Daemon) serveCallers(ctx context.Context) error {
	servingCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	var g supervisor.Group
	g.Go(func() {
		<-ctx.Done()
		d.stopGracefully()
		stopServing()
	})
	err := d.newHTTPServer().Serve(servingCtx, d.callerListener, d.settings.Entry.StopGrace)
	if ctx.Err() == nil {
		return errors.Wrap(err, "listener for callers ended unexpectedly")
	}
	g.Wait()
	return err
}

// stopGracefully hands over this entry's shards, so that waiting requests go on to their
// next holders, and waits for running requests to finish.
func (d *Daemon) stopGracefully() {
	d.stopping.Store(true)
	ctx, cancel := context.WithTimeout(d.aborted, d.settings.Entry.StopGrace)
	defer cancel()
	d.front.SetHandingOver(true)
	d.requests.Handle(home.Stopping{})
	settleCtx, cancelSettle := context.WithTimeout(ctx, settleTimeout)
	d.requests.Settle(settleCtx)
	cancelSettle()
	d.releaseLeases(ctx)
	d.front.SetHandingOver(false)
	if left := d.requests.Drain(ctx); left > 0 {
		d.log.Warn().Int("unfinished", left).Msg("stop_grace is over; unfinished tasks run until their leases end")
	}
	for d.front.Forwarded() > 0 && supervisor.Sleep(ctx, drainPollInterval) {
	}
	d.allotments.Release(ctx)
}

// newHTTPServer returns the server for callers, operators, metrics and readiness.
func (d *Daemon) newHTTPServer() *HTTPServer {
	limits := limitsFor(&d.settings)
	mux := http.NewServeMux()
	mux.Handle((&caller.Server{
		Backend: d.front, MaxBody: d.settings.Entry.MaxBody, SkewBound: d.settings.Entry.SkewBound,
		MaxLifetime: d.settings.Entry.MaxLifetime, MaxWaiting: limits.waiting,
	}).Handler())
	mux.Handle((&operator.Server{
		Table: d.platform, Backend: backend{d}, KeyDigest: d.settings.Keys.OperatorKeyDigest, Entry: d.id, Log: d.log,
	}).Handler())
	return &HTTPServer{Mux: mux, Metrics: d.metrics, Guard: d.newGuard("callers", limits.callers), Ready: d.ready, Aborted: d.aborted}
}

// Abort makes the current graceful stop, or the next one, end immediately. Running tasks
// may continue until their leases end. Shards that have not been handed over are taken
// over by other entries after this entry has ended.
func (d *Daemon) Abort() { d.abort() }

// ready reports whether a load balancer should send callers to this entry.
func (d *Daemon) ready() bool {
	return !d.stopping.Load() && d.config.isLoaded() && len(d.shards.Dump().Shards) > 0
}

// Unfinished returns the number of requests without a final answer.
func (d *Daemon) Unfinished() int {
	n := 0
	d.requests.WithLock(func(h *home.Home) { n = h.Unfinished() })
	return n
}

// supervisorTree returns the daemon's supervision tree.
func (d *Daemon) supervisorTree() *supervisor.Node {
	peers := supervisor.Node{Name: "peers", Log: d.log, Children: d.peerChildren()}
	platformNode := supervisor.Node{Name: "platform", Log: d.log, Children: []supervisor.Child{
		d.config.watcher.Child(), d.fleet.Child(), d.controller.Child(), d.allotments.Child(),
		(&operator.Exporter{Table: d.platform, Objects: d.platform, Log: d.log}).Child(),
		{Name: "budgets", Run: d.syncBudgets},
		{Name: "first_parts", Run: d.requestInitialAllotments},
		{Name: "directory", Run: d.maintainDirectory},
	}}
	local := supervisor.Node{Name: "local", Log: d.log, Children: []supervisor.Child{
		{Name: "tick", Run: d.tick},
		{Name: "metrics", Run: d.collectMetrics},
	}}
	return &supervisor.Node{Name: "daemon", Log: d.log, Children: []supervisor.Child{
		peers.AsChild(), platformNode.AsChild(), local.AsChild(),
	}}
}

// tick sends the Home a Tick every tickInterval.
func (d *Daemon) tick(ctx context.Context) error {
	return supervisor.Every(ctx, tickInterval, func(context.Context) { d.requests.Handle(home.Tick{}) })
}

// maintainDirectory announces this entry's address and keeps the directory up to date.
func (d *Daemon) maintainDirectory(ctx context.Context) error {
	self := Address{
		Entry: d.id, Zone: d.settings.Entry.Zone,
		Peer: d.settings.Entry.AdvertisePeer, Caller: d.settings.Entry.CallerListen,
	}
	announced := false
	for {
		pause := directoryInterval
		if !announced {
			err := d.directory.Announce(ctx, d.platform, self)
			announced = err == nil
			pause = announceRetryInterval
		}
		if err := d.directory.Refresh(ctx, d.platform); err != nil {
			d.log.Debug().Err(err).Msg("failed to refresh the directory")
		}
		if !supervisor.Sleep(ctx, pause) {
			return nil
		}
	}
}
