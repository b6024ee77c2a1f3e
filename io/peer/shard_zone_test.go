package peer

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/shard"
	"lavenderpond/core/table"
	"lavenderpond/io/netrpc"
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
	// forgets makes successors ack starts that they don't remember.
	forgets bool
}

type testKeeper struct {
	*ShardKeeper
	id   core.EntryID
	zone *shardZone
	pool netrpc.Pool
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
	k := &testKeeper{zone: z, id: core.NewEntryID(live.Name, live.Started)}
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
	server := netrpc.NewServer()
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
		if core.NewEntryID(l.Name, l.Started) == id {
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
		return netrpc.ErrNotSent
	}
	batch, ok := args.(ShardBatch)
	if !ok || !k.zone.forgets {
		return k.pool.Call(ctx, address, method, args, reply)
	}
	err := k.pool.Call(ctx, address, method, withoutStarts(batch), reply)
	acks := reply.(*ShardBatch).StartAcks
	for i := range acks {
		acks[i].Key.ID = core.RequestID(strings.TrimSuffix(string(acks[i].Key.ID), forgotten))
	}
	return err
}

// forgotten marks the id that a forgetful successor remembers in place of a start's.
const forgotten = "-forgotten"

// withoutStarts returns the batch as a successor takes it that remembers no start.
func withoutStarts(b ShardBatch) ShardBatch {
	b.Starts, b.Copies = slices.Clone(b.Starts), slices.Clone(b.Copies)
	for i := range b.Starts {
		b.Starts[i].Start.Key.ID += forgotten
	}
	for i := range b.Copies {
		b.Copies[i].Starts = nil
	}
	return b
}

// Live implements platform.LiveList.
func (z *shardZone) Live(context.Context, core.ZoneID) ([]platform.Liveness, error) {
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
		return nil, 0, table.ErrUnreachable
	}
	return z.table.Changes(prefix, since), z.table.Revision(), nil
}

// Transact implements platform.Table.
func (z *shardZone) Transact(_ context.Context, t table.Transaction) error {
	if z.down {
		return table.ErrUnreachable
	}
	return z.table.Transact(t)
}

// held returns how many shards each entry holds, by name, and how many shards
// have a holder with a right and a successor in sync.
func (z *shardZone) held() (counts map[string]int, inSync int) {
	counts = map[string]int{}
	for name, k := range z.keepers {
		for _, s := range k.Dump().Shards {
			if s.LeaseExpiry.After(z.now) {
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
		if k.LeaseExpiry(z.now, key).After(z.now) {
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
