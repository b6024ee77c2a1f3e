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

// Intervals of a ShardKeeper.
const (
	tickInterval = 100 * time.Millisecond
	listInterval = time.Second
	// exchangeTimeout bounds one exchange with a peer. Evidence that comes later is
	// of little use, since it is dated at the send.
	exchangeTimeout     = time.Second
	releasePollInterval = 10 * time.Millisecond
)

// Caller calls peers; a Pool is one.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// ShardConfig is what a ShardKeeper works with. All fields but Log and the
// callbacks are needed.
type ShardConfig struct {
	Params shard.Params
	Table  platform.Table
	Live   platform.LiveList
	Peers  Caller
	// Address returns where the peers' port of one run of an entry is.
	Address func(core.EntryID) (string, bool)
	// Now returns the wall clock's time: a monotonic clock stands still while a VM
	// is suspended, and the lease would seem to last.
	Now func() time.Time
	Log zerolog.Logger

	// The callbacks come one after the other, on a goroutine that holds no lock.
	OnAllowed   func(shard.StartAllowed)
	OnDenied    func(shard.StartDenied)
	OnInherited func(shard.Inherited)
	OnLost      func(shard.Lost)
}

// ShardManager runs a shard.LeaseManager in a daemon: it reads and swaps the zone's shard
// rows, speaks to the zone's other entries, and tells home what it may do. It is
// safe for concurrent use.
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

// NewShardManager returns a ShardKeeper that holds nothing. Run its Children and
// register its Receiver.
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

// Child returns the node that runs the keeper until its context ends.
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

// Decide says whether this entry may start the request now.
func (sm *ShardManager) Decide(now time.Time, key core.RequestKey, firstSent, deadline time.Time) shard.Verdict {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	return sm.leases.Decide(now, sm.leases.Shard(key), key, firstSent, deadline)
}

// LeaseExpiry returns when the right to start key ends; zero if there is none.
func (sm *ShardManager) LeaseExpiry(now time.Time, key core.RequestKey) time.Time {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	return sm.leases.LeaseExpiry(now, sm.leases.Shard(key))
}

// Start asks for the right to dispatch. If it returns false, OnAllowed or OnDenied
// follows. It never blocks on a peer.
func (sm *ShardManager) Start(now time.Time, start shard.Start) bool {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	allowed, commands := sm.leases.Start(now, sm.leases.Shard(start.Key), start)
	sm.execute(commands)
	return allowed
}

// HeldCount returns how many shards this entry holds by its last word.
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

// Release hands every shard over, for a graceful stop. It returns when none is
// held any more, or with an error that tells how many are left when ctx ends. Half
// of ctx's time goes to bringing successors in sync.
func (sm *ShardManager) Release(ctx context.Context) error {
	by := sm.now()
	if deadline, ok := ctx.Deadline(); ok {
		by = by.Add(deadline.Sub(by) / 2)
	}
	sm.handle(shard.ShuttingDown{HandOverBy: by})
	for sm.HeldCount() > 0 {
		if !supervisor.Sleep(ctx, releasePollInterval) {
			return errors.Errorf("%d shards were not handed over; they wait for their successors", sm.HeldCount())
		}
		sm.handle(shard.Tick{})
	}
	return nil
}

func (sm *ShardManager) now() time.Time { return sm.cfg.Now().Round(0) }

func (sm *ShardManager) handle(e shard.Event) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.execute(sm.leases.Handle(sm.now(), e))
}

// stop waits for the exchanges under way; none begins after it.
func (sm *ShardManager) stop() {
	sm.mu.Lock()
	sm.stopped = true
	sm.mu.Unlock()
	sm.exchanges.Wait()
}

// execute queues commands for the goroutines that carry them out. The lock is
// held, so that they keep their order.
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

// wake signals a worker; one signal is enough for all work that waits.
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
