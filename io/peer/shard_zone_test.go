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

// shardZone runs the ShardManagers of one zone in steps of a simulated clock, with real
// net/rpc connections over loopback and an in-memory table.
type shardZone struct {
	t         *testing.T
	mu        sync.Mutex
	now       time.Time
	table     table.Memory
	tableDown bool
	listed    []platform.Liveness
	entries   map[string]*testEntry
	names     []string
	// addresses contains the addresses of all runs, including ended ones.
	addresses map[core.EntryID]string
	group     supervisor.Group
	// forgetStarts makes successors acknowledge starts without recording them.
	forgetStarts bool
}

// testEntry is one run of an entry with its server and its connections to peers.
type testEntry struct {
	*ShardManager
	id         core.EntryID
	zone       *shardZone
	pool       netrpc.Pool
	isolated   bool
	stopServer context.CancelFunc

	allowed   []core.RequestKey
	inherited []core.RequestKey
}

func newShardZone(t *testing.T, names ...string) *shardZone {
	z := &shardZone{t: t, now: time.Unix(1_000_000_000, 0), entries: map[string]*testEntry{}, addresses: map[core.EntryID]string{}}
	t.Cleanup(z.close)
	for _, name := range names {
		z.startEntry(name)
	}
	return z
}

func (z *shardZone) close() {
	for _, e := range z.entries {
		e.stopServer()
		e.pool.Close()
	}
	z.group.Wait()
}

// startEntry starts a new run of the named entry and adds it to the list of live entries.
func (z *shardZone) startEntry(name string) *testEntry {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(z.t, err)
	live := platform.Liveness{Name: name, Zone: "a", Started: z.now}
	e := &testEntry{zone: z, id: core.NewEntryID(live.Name, live.Started)}
	z.addresses[e.id] = l.Addr().String()
	e.ShardManager = NewShardManager(ShardConfig{
		Params: shard.Params{Zone: "a", Self: e.id, Shards: testShards},
		Table:  z, Live: z, Peers: e, Address: z.address, Now: z.clock,
		OnAllowed: func(c shard.StartAllowed) { e.allowed = append(e.allowed, c.Key) },
		OnInherited: func(c shard.Inherited) {
			for _, s := range c.Starts {
				e.inherited = append(e.inherited, s.Key)
			}
		},
	})
	server := netrpc.NewServer()
	assert.NilError(z.t, server.Register(ShardName, e.Receiver()))
	ctx, cancel := context.WithCancel(context.Background())
	e.stopServer = cancel
	z.group.Go(func() { _ = server.Serve(ctx, l) })
	z.listed = append(z.listed, live)
	z.entries[name] = e
	if !slices.Contains(z.names, name) {
		z.names = append(z.names, name)
	}
	return e
}

// kill stops an entry immediately, without a handover. It remains in the list of live
// entries.
func (z *shardZone) kill(name string) {
	e := z.entries[name]
	e.stopServer()
	e.pool.Close()
	delete(z.entries, name)
}

// unlist removes a run from the list of live entries.
func (z *shardZone) unlist(id core.EntryID) {
	for i, l := range z.listed {
		if core.NewEntryID(l.Name, l.Started) == id {
			z.listed = append(z.listed[:i], z.listed[i+1:]...)
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

// advance advances the clock by d in steps of tickInterval.
func (z *shardZone) advance(d time.Duration) {
	for end := z.now.Add(d); z.now.Before(end); {
		z.mu.Lock()
		z.now = z.now.Add(tickInterval)
		z.mu.Unlock()
		for _, name := range z.names {
			if e := z.entries[name]; e != nil {
				e.refreshEntries(context.Background())
				e.handle(shard.Tick{})
			}
		}
		z.settle()
	}
}

// settle executes all queued commands until none is left.
func (z *shardZone) settle() {
	for busy := true; busy; {
		busy = false
		for _, name := range z.names {
			if e := z.entries[name]; e != nil {
				busy = e.processTableWork(context.Background()) || busy
				e.exchanges.Wait()
				e.notifyAll()
			}
		}
	}
}

// Call implements Caller. All calls of an isolated entry fail.
func (e *testEntry) Call(ctx context.Context, address, method string, args, reply any) error {
	if e.isolated {
		return netrpc.ErrNotSent
	}
	batch, ok := args.(ShardBatch)
	if !ok || !e.zone.forgetStarts {
		return e.pool.Call(ctx, address, method, args, reply)
	}
	err := e.pool.Call(ctx, address, method, withoutStarts(batch), reply)
	acks := reply.(*ShardBatch).StartAcks
	for i := range acks {
		acks[i].Key.ID = core.RequestID(strings.TrimSuffix(string(acks[i].Key.ID), forgottenSuffix))
	}
	return err
}

// forgottenSuffix is added to the ids of the starts that a forgetful successor records,
// so that it doesn't recognize the real ones.
const forgottenSuffix = "-forgotten"

// withoutStarts returns the batch with altered starts and empty copies, so that the
// successor records none of the real starts.
func withoutStarts(b ShardBatch) ShardBatch {
	b.Starts, b.Copies = slices.Clone(b.Starts), slices.Clone(b.Copies)
	for i := range b.Starts {
		b.Starts[i].Start.Key.ID += forgottenSuffix
	}
	for i := range b.Copies {
		b.Copies[i].Starts = nil
	}
	return b
}

// Live implements platform.LiveList.
func (z *shardZone) Live(context.Context, core.ZoneID) ([]platform.Liveness, error) {
	return z.listed, nil
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
	if z.tableDown {
		return nil, 0, table.ErrUnreachable
	}
	return z.table.Changes(prefix, since), z.table.Revision(), nil
}

// Transact implements platform.Table.
func (z *shardZone) Transact(_ context.Context, t table.Transaction) error {
	if z.tableDown {
		return table.ErrUnreachable
	}
	return z.table.Transact(t)
}

// heldCounts returns the number of shards on which each entry has a valid lease, by
// name, and how many of all these shards have a successor in sync.
func (z *shardZone) heldCounts() (counts map[string]int, inSync int) {
	counts = map[string]int{}
	for name, e := range z.entries {
		for _, s := range e.Dump().Shards {
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
	counts, inSync := z.heldCounts()
	assert.DeepEqual(z.t, counts, want)
	assert.Equal(z.t, inSync, testShards)
}

// requestHeldBy returns the key of a request whose shard the entry holds.
func (z *shardZone) requestHeldBy(e *testEntry) core.RequestKey {
	for i := range 10_000 {
		key := core.RequestKey{Team: "t", ID: core.RequestID(fmt.Sprint(i))}
		if e.LeaseExpiry(z.now, key).After(z.now) {
			return key
		}
	}
	z.t.Fatalf("%s holds no shard", e.id)
	return core.RequestKey{}
}

func (z *shardZone) decide(e *testEntry, key core.RequestKey) shard.Verdict {
	return e.Decide(z.now, key, time.Time{}, z.now.Add(time.Minute))
}

// countRunners returns the number of entries that would run key.
func (z *shardZone) countRunners(key core.RequestKey) (n int) {
	for _, e := range z.entries {
		if _, ok := z.decide(e, key).(shard.Run); ok {
			n++
		}
	}
	return n
}
