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
	shardTick = 100 * time.Millisecond
	shardList = time.Second
	// exchangeTimeout bounds one exchange with a peer. Evidence that comes later is
	// of little use, since it is dated at the send.
	exchangeTimeout = time.Second
	releasePoll     = 10 * time.Millisecond
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

// ShardKeeper runs a shard.LeaseManager in a daemon: it reads and swaps the zone's shard
// rows, speaks to the zone's other entries, and tells home what it may do. It is
// safe for concurrent use.
type ShardKeeper struct {
	cfg ShardConfig

	mu       sync.Mutex
	keeper   *shard.LeaseManager
	outboxes map[core.EntryID]*outbox
	swaps    []shard.SwapRow
	reading  bool
	stopped  bool
	notices  []shard.Command

	tableWork  chan struct{}
	noticeWork chan struct{}
	group      supervisor.Workers
	reader     rowReader
	lister     entryLister
}

// NewShardKeeper returns a ShardKeeper that holds nothing. Run its Children and
// register its Receiver.
func NewShardKeeper(cfg ShardConfig) *ShardKeeper {
	k := &ShardKeeper{
		cfg: cfg, keeper: shard.New(cfg.Params), outboxes: make(map[core.EntryID]*outbox),
		tableWork: make(chan struct{}, 1), noticeWork: make(chan struct{}, 1),
	}
	k.cfg.Params = k.keeper.Params()
	k.reader = rowReader{table: cfg.Table, zone: cfg.Params.Zone}
	k.lister = entryLister{self: cfg.Params.Self}
	return k
}

// Receiver returns the net/rpc receiver to register under ShardName.
func (k *ShardKeeper) Receiver() *ShardReceiver { return &ShardReceiver{keeper: k} }

// Child returns the node that runs the keeper until its context ends.
func (k *ShardKeeper) Child() supervisor.Child {
	n := &supervisor.Node{Name: "shards", Log: k.cfg.Log, Children: []supervisor.Child{
		{Name: "ticks", Run: k.runTicks},
		{Name: "table", Run: k.runTable},
		{Name: "notices", Run: k.runNotices},
		{Name: "list", Run: k.runList},
	}}
	return supervisor.Child{Name: n.Name, Run: func(ctx context.Context) error {
		err := n.Run(ctx)
		k.stop()
		return err
	}}
}

// Decide says whether this entry may start the request now.
func (k *ShardKeeper) Decide(now time.Time, key core.RequestKey, firstSent, deadline time.Time) shard.Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.keeper.Decide(now, k.keeper.Shard(key), key, firstSent, deadline)
}

// LeaseExpiry returns when the right to start key ends; zero if there is none.
func (k *ShardKeeper) LeaseExpiry(now time.Time, key core.RequestKey) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.keeper.LeaseExpiry(now, k.keeper.Shard(key))
}

// Start asks for the right to dispatch. If it returns false, OnAllowed or OnDenied
// follows. It never blocks on a peer.
func (k *ShardKeeper) Start(now time.Time, start shard.Start) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	allowed, commands := k.keeper.Start(now, k.keeper.Shard(start.Key), start)
	k.carryOut(commands)
	return allowed
}

// Holding returns how many shards this entry holds by its last word.
func (k *ShardKeeper) Holding() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.keeper.HeldCount()
}

// Dump returns the state of all shards.
func (k *ShardKeeper) Dump() shard.Dump {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.keeper.Dump(k.now())
}

// Release hands every shard over, for a graceful stop. It returns when none is
// held any more, or with an error that tells how many are left when ctx ends. Half
// of ctx's time goes to bringing successors in sync.
func (k *ShardKeeper) Release(ctx context.Context) error {
	by := k.now()
	if deadline, ok := ctx.Deadline(); ok {
		by = by.Add(deadline.Sub(by) / 2)
	}
	k.handle(shard.ShuttingDown{HandOverBy: by})
	for k.Holding() > 0 {
		if !supervisor.Sleep(ctx, releasePoll) {
			return errors.Errorf("%d shards were not handed over; they wait for their successors", k.Holding())
		}
		k.handle(shard.Tick{})
	}
	return nil
}

func (k *ShardKeeper) now() time.Time { return k.cfg.Now().Round(0) }

func (k *ShardKeeper) handle(e shard.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.carryOut(k.keeper.Handle(k.now(), e))
}

// stop waits for the exchanges under way; none begins after it.
func (k *ShardKeeper) stop() {
	k.mu.Lock()
	k.stopped = true
	k.mu.Unlock()
	k.group.Wait()
}

// carryOut queues commands for the goroutines that carry them out. The lock is
// held, so that they keep their order.
func (k *ShardKeeper) carryOut(commands []shard.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case shard.Send:
			k.post(c.To, func(b *ShardBatch) { b.add(c.Message) })
		case shard.SwapRow:
			k.swaps = append(k.swaps, c)
			wake(k.tableWork)
		case shard.ReadRows:
			k.reading = true
			wake(k.tableWork)
		default:
			k.notices = append(k.notices, c)
			wake(k.noticeWork)
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

func (k *ShardKeeper) runTicks(ctx context.Context) error {
	return supervisor.Every(ctx, shardTick, func(context.Context) { k.handle(shard.Tick{}) })
}

func (k *ShardKeeper) runNotices(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.noticeWork:
		}
		k.notifyAll()
	}
}

func (k *ShardKeeper) notifyAll() {
	k.mu.Lock()
	notices := k.notices
	k.notices = nil
	k.mu.Unlock()
	for _, n := range notices {
		k.notify(n)
	}
}

func (k *ShardKeeper) notify(c shard.Command) {
	switch c := c.(type) {
	case shard.StartAllowed:
		call(k.cfg.OnAllowed, c)
	case shard.StartDenied:
		call(k.cfg.OnDenied, c)
	case shard.Inherited:
		k.cfg.Log.Info().Uint32("shard", uint32(c.Shard)).Str("former", string(c.Former)).Int("starts", len(c.Starts)).Msg("shard inherited")
		call(k.cfg.OnInherited, c)
	case shard.Lost:
		k.cfg.Log.Info().Uint32("shard", uint32(c.Shard)).Str("holder", string(c.Holder)).Msg("shard lost")
		call(k.cfg.OnLost, c)
	}
}

func call[C shard.Command](f func(C), c C) {
	if f != nil {
		f(c)
	}
}
