package peer

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/shard"
	"lavenderpond/core/table"
	"lavenderpond/io/platform"
	"lavenderpond/io/supervisor"
)

const testShards = 12

// shardZone runs the keepers of one zone in steps of an injected clock, over real
// net/rpc on loopback and a table in memory.
type shardZone struct {
	t       *testing.T
	mu      sync.Mutex
	now     time.Time
	table   table.Memory
	down    bool
	live    []platform.Liveness
	keepers map[string]*testKeeper
	order   []string
	// addresses are those of all runs, ended ones too.
	addresses map[core.EntryID]string
	group     supervisor.Group
}

type testKeeper struct {
	*ShardKeeper
	id   core.EntryID
	pool Pool
	cut  bool
	end  context.CancelFunc

	allowed   []core.RequestKey
	inherited []core.RequestKey
}

func newShardZone(t *testing.T, names ...string) *shardZone {
	z := &shardZone{t: t, now: time.Unix(1_000_000_000, 0), keepers: map[string]*testKeeper{}, addresses: map[core.EntryID]string{}}
	t.Cleanup(z.close)
	for _, name := range names {
		z.boot(name)
	}
	return z
}

func (z *shardZone) close() {
	for _, k := range z.keepers {
		k.end()
		k.pool.Close()
	}
	z.group.Wait()
}

func (z *shardZone) boot(name string) *testKeeper {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(z.t, err)
	live := platform.Liveness{Name: name, Zone: "a", Started: z.now}
	k := &testKeeper{id: entryID(live)}
	z.addresses[k.id] = l.Addr().String()
	k.ShardKeeper = NewShardKeeper(ShardConfig{
		Params: shard.Params{Zone: "a", Self: k.id, Shards: testShards},
		Table:  z, Live: z, Peers: k, Address: z.address, Now: z.clock,
		OnAllowed: func(c shard.StartAllowed) { k.allowed = append(k.allowed, c.Key) },
		OnInherited: func(c shard.Inherited) {
			for _, s := range c.Starts {
				k.inherited = append(k.inherited, s.Key)
			}
		},
	})
	server := NewServer()
	assert.NilError(z.t, server.Register(ShardName, k.Receiver()))
	ctx, cancel := context.WithCancel(context.Background())
	k.end = cancel
	z.group.Go(func() { _ = server.Serve(ctx, l) })
	z.live = append(z.live, live)
	z.keepers[name] = k
	if !slices.Contains(z.order, name) {
		z.order = append(z.order, name)
	}
	return k
}

// kill ends an entry at once. The list still shows it.
func (z *shardZone) kill(name string) {
	k := z.keepers[name]
	k.end()
	k.pool.Close()
	delete(z.keepers, name)
}

func (z *shardZone) unlist(id core.EntryID) {
	for i, l := range z.live {
		if entryID(l) == id {
			z.live = append(z.live[:i], z.live[i+1:]...)
			return
		}
	}
}

func (z *shardZone) clock() time.Time {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.now
}

func (z *shardZone) address(id core.EntryID) (string, bool) {
	a, ok := z.addresses[id]
	return a, ok
}

// run lets time pass in steps of a tenth of a second.
func (z *shardZone) run(d time.Duration) {
	for end := z.now.Add(d); z.now.Before(end); {
		z.mu.Lock()
		z.now = z.now.Add(shardTick)
		z.mu.Unlock()
		for _, name := range z.order {
			if k := z.keepers[name]; k != nil {
				k.list(context.Background())
				k.handle(shard.Tick{})
			}
		}
		z.settle()
	}
}

// settle carries out all commands until none is left.
func (z *shardZone) settle() {
	for busy := true; busy; {
		busy = false
		for _, name := range z.order {
			if k := z.keepers[name]; k != nil {
				busy = k.tableStep(context.Background()) || busy
				k.group.Wait()
				k.notifyAll()
			}
		}
	}
}

// Call implements Caller: a cut entry reaches nobody.
func (k *testKeeper) Call(ctx context.Context, address, method string, args, reply any) error {
	if k.cut {
		return ErrNotSent
	}
	return k.pool.Call(ctx, address, method, args, reply)
}

// Live implements platform.LiveList.
func (z *shardZone) Live(context.Context, core.ZoneID) ([]platform.Liveness, error) {
	if z.down {
		return nil, table.ErrDown
	}
	return z.live, nil
}

// Read implements platform.Table.
func (z *shardZone) Read(_ context.Context, key table.Key) (table.Row, error) {
	return z.table.Read(key), nil
}

// Scan implements platform.Table.
func (z *shardZone) Scan(ctx context.Context, prefix string) ([]table.Row, table.Revision, error) {
	return z.Changes(ctx, prefix, 0)
}

// Changes implements platform.Table.
func (z *shardZone) Changes(_ context.Context, prefix string, since table.Revision) ([]table.Row, table.Revision, error) {
	if z.down {
		return nil, 0, table.ErrDown
	}
	return z.table.Changes(prefix, since), z.table.Revision(), nil
}

// Transact implements platform.Table.
func (z *shardZone) Transact(_ context.Context, t table.Transaction) error {
	if z.down {
		return table.ErrDown
	}
	return z.table.Transact(t)
}

// held returns how many shards each entry holds, by name, and how many shards
// have a holder with a right and a successor in sync.
func (z *shardZone) held() (counts map[string]int, inSync int) {
	counts = map[string]int{}
	for name, k := range z.keepers {
		for _, s := range k.Dump().Shards {
			if s.RightUntil.After(z.now) {
				counts[name]++
				if s.Row.InSync {
					inSync++
				}
			}
		}
	}
	return counts, inSync
}

func (z *shardZone) assertHeld(want map[string]int) {
	z.t.Helper()
	counts, inSync := z.held()
	assert.DeepEqual(z.t, counts, want)
	assert.Equal(z.t, inSync, testShards)
}

// idAt returns a request id of a shard that the entry holds.
func (z *shardZone) idAt(k *testKeeper) core.RequestKey {
	for i := range 10_000 {
		key := core.RequestKey{Team: "t", ID: core.RequestID(fmt.Sprint(i))}
		if k.RightUntil(z.now, key).After(z.now) {
			return key
		}
	}
	z.t.Fatalf("%s holds no shard", k.id)
	return core.RequestKey{}
}

func (z *shardZone) decide(k *testKeeper, key core.RequestKey) shard.Verdict {
	return k.Decide(z.now, key, time.Time{}, z.now.Add(time.Minute))
}

// runners counts the entries that would run key.
func (z *shardZone) runners(key core.RequestKey) (n int) {
	for _, k := range z.keepers {
		if _, ok := z.decide(k, key).(shard.Run); ok {
			n++
		}
	}
	return n
}

// TestShardsSpread: three entries start on an empty table and share the shards
// evenly, each with a successor in sync. A fourth gets its part by hand-overs.
func TestShardsSpread(t *testing.T) {
	z := newShardZone(t, "a1", "a2", "a3")
	z.run(10 * time.Second)
	z.assertHeld(map[string]int{"a1": 4, "a2": 4, "a3": 4})
	z.boot("a4")
	z.run(20 * time.Second)
	z.assertHeld(map[string]int{"a1": 3, "a2": 3, "a3": 3, "a4": 3})
}

// TestReleaseHandsOverStarts: an entry stops gracefully after a start. The next
// holder answers a retry of that id as unknown, and runs other ids at once, though
// callers give no first_sent.
func TestReleaseHandsOverStarts(t *testing.T) {
	z := newShardZone(t, "a1", "a2", "a3")
	z.run(10 * time.Second)
	k := z.keepers["a1"]
	key := z.idAt(k)
	assert.Assert(t, !k.Start(z.now, shard.Start{Key: key, Deadline: z.now.Add(time.Minute), VM: "vm"}), "not mirrored")
	z.settle()
	assert.DeepEqual(t, k.allowed, []core.RequestKey{key})
	k.handle(shard.Releasing{By: z.now.Add(5 * time.Second)})
	z.run(2 * time.Second)
	assert.Equal(t, k.Holding(), 0)
	counts, _ := z.held()
	assert.Equal(t, counts["a2"]+counts["a3"], testShards)
	assert.Equal(t, z.runners(key), 0)
	inherited := append(z.keepers["a2"].inherited, z.keepers["a3"].inherited...)
	assert.DeepEqual(t, inherited, []core.RequestKey{key})
	key.ID += "-other"
	assert.Equal(t, z.runners(key), 1)
}

// TestTableDown: the table is down for minutes. All shards are served on the
// successors' word. Then one entry is cut off as well: what waits is exactly its
// own shards and those whose successor it is, until either comes back.
func TestTableDown(t *testing.T) {
	z := newShardZone(t, "a1", "a2", "a3")
	z.run(10 * time.Second)
	z.down = true
	z.run(2 * time.Minute)
	z.assertHeld(map[string]int{"a1": 4, "a2": 4, "a3": 4})
	before := z.keepers["a2"].Dump()
	z.keepers["a1"].cut, z.keepers["a2"].cut, z.keepers["a3"].cut = true, false, false
	z.addresses[z.keepers["a1"].id] = "127.0.0.1:1"
	z.run(5 * time.Second)
	want := map[string]int{}
	for _, s := range before.Shards {
		if holder := s.Row.Holder.Name(); holder != "a1" && s.Row.Successor.Name() != "a1" {
			want[holder]++
		}
	}
	counts, _ := z.held()
	assert.DeepEqual(t, counts, want)
	z.down = false
	z.run(20 * time.Second)
	counts, _ = z.held()
	assert.Equal(t, counts["a1"]+counts["a2"]+counts["a3"], testShards)
}

// TestCrashAndRestart: an entry dies right after a start and comes back under its
// name before the list drops the old run. The newer run proves the old one's end:
// its shards are taken over at once, and the started id never runs again.
func TestCrashAndRestart(t *testing.T) {
	z := newShardZone(t, "a1", "a2", "a3")
	z.run(10 * time.Second)
	k := z.keepers["a1"]
	key := z.idAt(k)
	k.Start(z.now, shard.Start{Key: key, Deadline: z.now.Add(time.Minute)})
	z.settle()
	z.kill("a1")
	z.run(time.Second)
	z.unlist(k.id)
	z.boot("a1")
	z.run(2 * time.Second)
	counts, _ := z.held()
	assert.Equal(t, counts["a1"]+counts["a2"]+counts["a3"], testShards)
	assert.Equal(t, z.runners(key), 0)
	z.run(20 * time.Second)
	z.assertHeld(map[string]int{"a1": 4, "a2": 4, "a3": 4})
}

// TestListProvesNothing: a list that lacks this entry itself, or that is merely
// older than an entry's start, proves nobody's end.
func TestListProvesNothing(t *testing.T) {
	at := time.UnixMilli(1000)
	self, other := platform.Liveness{Name: "a", Started: at}, platform.Liveness{Name: "b", Started: at}
	named := []core.EntryID{"a#1000", "b#1000", "c#500"}
	l := entryLister{self: "a#1000"}
	update := func(now time.Time, live ...platform.Liveness) []core.EntryID {
		return l.update(now, live, named).Gone
	}
	assert.Equal(t, len(update(at, self, other)), 0)
	assert.Equal(t, len(update(at)), 0, "an empty list")
	assert.Equal(t, len(update(at, other)), 0)
	assert.Equal(t, len(update(at.Add(unseenGone-1), self, other)), 0)
	assert.DeepEqual(t, update(at.Add(unseenGone), self, other), []core.EntryID{"c#500"})
	assert.DeepEqual(t, update(at.Add(unseenGone), self), []core.EntryID{"b#1000", "c#500"})
}

// BenchmarkShardBytes gives the bytes of a pair of entries' messages.
func BenchmarkShardBytes(b *testing.B) {
	now := time.Unix(1_000_000_000, 0)
	held := make([]shard.Held, 16)
	for i := range held {
		held[i] = shard.Held{Shard: core.ShardIndex(i), Epoch: 1000}
	}
	start := shard.Start{Key: core.RequestKey{Team: "consortium-7", ID: "a~6b1f0c9e-4f2d-4c35"}, Deadline: now, VM: "vm-a-17"}
	batches := map[string][2]ShardBatch{
		"ping16":  {{Pings: []shard.Ping{{SentAt: now, Held: held}}}, {PingAcks: []shard.PingAck{{SentAt: now, Held: held}}}},
		"start1":  {{Starts: repeat(shard.MirrorStart{Start: start}, 1)}, {StartAcks: repeat(shard.StartAck{Key: start.Key}, 1)}},
		"start16": {{Starts: repeat(shard.MirrorStart{Start: start}, 16)}, {StartAcks: repeat(shard.StartAck{Key: start.Key}, 16)}},
		"copy1k":  {{Copies: []shard.MirrorCopy{{Starts: repeat(start, 1000)}}}, {CopyAcks: repeat(shard.CopyAck{}, 1)}},
	}
	for name, batch := range batches {
		b.Run(name, func(b *testing.B) {
			var buf bytes.Buffer
			e := gob.NewEncoder(&buf)
			for range b.N + 1 {
				buf.Reset()
				for _, part := range batch {
					part.From, part.To = "entry-a-1#1000000000000", "entry-a-2#1000000000000"
					assert.NilError(b, e.Encode(part))
				}
			}
			b.ReportMetric(float64(buf.Len()), "B/exchange")
		})
	}
}

func repeat[T any](v T, n int) []T {
	list := make([]T, n)
	for i := range list {
		list[i] = v
	}
	return list
}
