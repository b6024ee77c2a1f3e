package peer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lavenderpond/core"
	"lavenderpond/core/shard"
	"lavenderpond/io/platform"
	"lavenderpond/io/supervisor"
)

// Timing of a ShardManager.
const (
	tickInterval = 100 * time.Millisecond
	listInterval = time.Second
	// exchangeTimeout bounds one exchange with a peer. An acknowledgment that arrives
	// later is of little use, because the lease counts from when the ping was sent.
	exchangeTimeout     = time.Second
	releasePollInterval = 10 * time.Millisecond
)

// Caller makes calls to peers. It is implemented by netrpc.Pool.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// ShardConfig contains the settings and dependencies of a ShardManager. All fields
// except Log and the callbacks are required.
type ShardConfig struct {
	Params shard.Params
	Table  platform.Table
	Live   platform.LiveList
	Peers  Caller
	// Address returns the peer address of a run of an entry, if it is known.
	Address func(core.EntryID) (string, bool)
	// Now returns the wall-clock time. A monotonic clock stops while the VM is
	// suspended, so an expired lease would seem to be valid.
	Now func() time.Time
	Log zerolog.Logger

	// The callbacks are called one at a time, from a goroutine that holds no lock.
	OnAllowed   func(shard.StartAllowed)
	OnDenied    func(shard.StartDenied)
	OnInherited func(shard.Inherited)
	OnLost      func(shard.Lost)
}

// ShardManager runs a shard.LeaseManager: it reads and swaps the zone's shard rows,
// exchanges messages with the zone's other entries, and reports the decisions through
// the callbacks of its ShardConfig. It is safe for concurrent use.
type ShardManager struct {
	cfg ShardConfig

	mu            sync.Mutex
	leases        *shard.LeaseManager
	outboxes      map[core.EntryID]*outbox
	pendingSwaps  []shard.SwapRow
	readPending   bool
	stopped       bool
	notifications []shard.Command

	tableWake  chan struct{}
	notifyWake chan struct{}
	exchanges  supervisor.Workers
	rows       rowReader
	entries    entryTracker
}

// NewShardManager returns a ShardManager that holds no shards. The caller must run its
// Child and register its Receiver.
func NewShardManager(cfg ShardConfig) *ShardManager {
	sm := &ShardManager{
		cfg: cfg, leases: shard.New(cfg.Params), outboxes: make(map[core.EntryID]*outbox),
		tableWake: make(chan struct{}, 1), notifyWake: make(chan struct{}, 1),
	}
	sm.cfg.Params = sm.leases.Params()
	sm.rows = rowReader{table: cfg.Table, zone: cfg.Params.Zone}
	sm.entries = entryTracker{self: cfg.Params.Self}
	return sm
}

// Receiver returns the net/rpc receiver to register under ShardName.
func (sm *ShardManager) Receiver() *ShardReceiver { return &ShardReceiver{manager: sm} }

// Child returns the supervised child that runs the ShardManager until its context ends.
func (sm *ShardManager) Child() supervisor.Child {
	n := &supervisor.Node{Name: "shards", Log: sm.cfg.Log, Children: []supervisor.Child{
		{Name: "ticks", Run: sm.runTicks},
		{Name: "table", Run: sm.runTable},
		{Name: "notices", Run: sm.runNotifications},
		{Name: "list", Run: sm.runLister},
	}}
	return supervisor.Child{Name: n.Name, Run: func(ctx context.Context) error {
		err := n.Run(ctx)
		sm.stop()
		return err
	}}
}

// Decide returns the verdict on whether this entry may start the request now.
func (sm *ShardManager) Decide(now time.Time, key core.RequestKey, firstSent, deadline time.Time) shard.Verdict {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	return sm.leases.Decide(now, sm.leases.Shard(key), key, firstSent, deadline)
}

// LeaseExpiry returns when this entry's lease on the shard of key ends, or zero if it
// holds none.
func (sm *ShardManager) LeaseExpiry(now time.Time, key core.RequestKey) time.Time {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	return sm.leases.LeaseExpiry(now, sm.leases.Shard(key))
}

// Start asks for permission to dispatch a non-idempotent request. If it returns false,
// a call of OnAllowed or OnDenied follows. It never waits for a peer.
func (sm *ShardManager) Start(now time.Time, start shard.Start) bool {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	allowed, commands := sm.leases.Start(now, sm.leases.Shard(start.Key), start)
	sm.execute(commands)
	return allowed
}

// HeldCount returns how many shards this entry holds according to the rows it knows.
func (sm *ShardManager) HeldCount() int {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	return sm.leases.HeldCount()
}

// Dump returns the state of all shards.
func (sm *ShardManager) Dump() shard.Dump {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	return sm.leases.Dump(sm.now())
}

// Release hands over all shards before a graceful stop. It returns when this entry
// holds none, or with an error when ctx ends first. Up to half of the time until ctx's
// deadline is spent on bringing the successors in sync.
func (sm *ShardManager) Release(ctx context.Context) error {
	by := sm.now()
	if deadline, ok := ctx.Deadline(); ok {
		by = by.Add(deadline.Sub(by) / 2)
	}
	sm.handle(shard.ShuttingDown{HandOverBy: by})
	for sm.HeldCount() > 0 {
		if !supervisor.Sleep(ctx, releasePollInterval) {
			return errors.Errorf("%d shards were not handed over; they are unavailable until their successors take over", sm.HeldCount())
		}
		sm.handle(shard.Tick{})
	}
	return nil
}

// now returns the wall-clock time without Go's monotonic reading; see ShardConfig.Now.
func (sm *ShardManager) now() time.Time { return sm.cfg.Now().Round(0) }

func (sm *ShardManager) handle(e shard.Event) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.execute(sm.leases.Handle(sm.now(), e))
}

// stop prevents new exchanges and waits for those in progress.
func (sm *ShardManager) stop() {
	sm.mu.Lock()
	sm.stopped = true
	sm.mu.Unlock()
	sm.exchanges.Wait()
}

// execute queues commands for the goroutines that execute them. The caller must still
// hold the lock under which the LeaseManager returned the commands, so that they keep
// their order.
func (sm *ShardManager) execute(commands []shard.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case shard.Send:
			sm.enqueue(c.To, func(b *ShardBatch) { b.add(c.Message) })
		case shard.SwapRow:
			sm.pendingSwaps = append(sm.pendingSwaps, c)
			wake(sm.tableWake)
		case shard.ReadRows:
			sm.readPending = true
			wake(sm.tableWake)
		default:
			sm.notifications = append(sm.notifications, c)
			wake(sm.notifyWake)
		}
	}
}

// wake signals a worker. One signal is enough for all queued work.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (sm *ShardManager) runTicks(ctx context.Context) error {
	return supervisor.Every(ctx, tickInterval, func(context.Context) { sm.handle(shard.Tick{}) })
}

func (sm *ShardManager) runNotifications(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-sm.notifyWake:
		}
		sm.notifyAll()
	}
}

func (sm *ShardManager) notifyAll() {
	sm.mu.Lock()
	notifications := sm.notifications
	sm.notifications = nil
	sm.mu.Unlock()
	for _, n := range notifications {
		sm.notify(n)
	}
}

func (sm *ShardManager) notify(c shard.Command) {
	switch c := c.(type) {
	case shard.StartAllowed:
		callIfSet(sm.cfg.OnAllowed, c)
	case shard.StartDenied:
		callIfSet(sm.cfg.OnDenied, c)
	case shard.Inherited:
		sm.cfg.Log.Info().Uint32("shard", uint32(c.Shard)).Str("former", string(c.Former)).Int("starts", len(c.Starts)).Msg("shard inherited")
		callIfSet(sm.cfg.OnInherited, c)
	case shard.Lost:
		sm.cfg.Log.Info().Uint32("shard", uint32(c.Shard)).Str("holder", string(c.Holder)).Msg("shard lost")
		callIfSet(sm.cfg.OnLost, c)
	}
}

func callIfSet[C shard.Command](f func(C), c C) {
	if f != nil {
		f(c)
	}
}
