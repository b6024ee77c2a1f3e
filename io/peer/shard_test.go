package peer

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/shard"
	"lavenderpond/io/netrpc"
	"lavenderpond/io/platform"
	"lavenderpond/io/supervisor"
)

// TestShardsAreBalanced checks that three entries that start with an empty table get the
// same number of shards, each with a successor in sync, and that a fourth entry gets its
// share by handovers.
func TestShardsAreBalanced(t *testing.T) {
	z := newShardZone(t, "a1", "a2", "a3")
	z.advance(10 * time.Second)
	z.assertHeld(map[string]int{"a1": 4, "a2": 4, "a3": 4})
	z.startEntry("a4")
	z.advance(20 * time.Second)
	z.assertHeld(map[string]int{"a1": 3, "a2": 3, "a3": 3, "a4": 3})
}

// TestReleaseHandsOverStarts checks that the next holder knows the starts of an entry
// that has stopped gracefully: it answers a retry of a started id as unknown, and runs
// other ids immediately, although their callers provide no first_sent. A successor that
// forgets the starts would run the started id a second time.
func TestReleaseHandsOverStarts(t *testing.T) {
	for _, forgetStarts := range []bool{false, true} {
		z := newShardZone(t, "a1", "a2", "a3")
		z.forgetStarts = forgetStarts
		z.advance(10 * time.Second)
		e := z.entries["a1"]
		key := z.requestHeldBy(e)
		assert.Assert(t, !e.Start(z.now, shard.Start{Key: key, Deadline: z.now.Add(time.Minute), VM: "vm"}), "the start was allowed before it was mirrored")
		z.settle()
		assert.DeepEqual(t, e.allowed, []core.RequestKey{key})
		e.handle(shard.ShuttingDown{HandOverBy: z.now.Add(5 * time.Second)})
		z.advance(2 * time.Second)
		assert.Equal(t, e.HeldCount(), 0)
		counts, _ := z.heldCounts()
		assert.Equal(t, counts["a2"]+counts["a3"], testShards)
		if forgetStarts {
			assert.Equal(t, z.countRunners(key), 1, "forgetful successors must run the request again")
			continue
		}
		assert.Equal(t, z.countRunners(key), 0)
		inherited := append(z.entries["a2"].inherited, z.entries["a3"].inherited...)
		assert.DeepEqual(t, inherited, []core.RequestKey{key})
		key.ID += "-other"
		assert.Equal(t, z.countRunners(key), 1)
	}
}

// TestStoppingEntryGetsNoShardsBack checks that the balancing hands no shards to an entry
// that is stopping. In a zone of two entries, the stopping entry holds the fewest shards
// and is the other entry's successor in sync while it waits for long requests to finish.
// If it ended with shards, their callers would have to wait for a takeover and would be
// told "unknown" for ids that never ran.
func TestStoppingEntryGetsNoShardsBack(t *testing.T) {
	z := newShardZone(t, "a1", "a2")
	z.advance(20 * time.Second)
	z.assertHeld(map[string]int{"a1": testShards / 2, "a2": testShards / 2})
	z.entries["a1"].handle(shard.ShuttingDown{HandOverBy: z.now.Add(5 * time.Second)})
	for z.entries["a1"].HeldCount() > 0 {
		z.advance(tickInterval)
	}
	handedBack := 0
	for range 200 {
		z.advance(tickInterval)
		handedBack = max(handedBack, z.entries["a1"].HeldCount())
	}
	assert.Equal(t, handedBack, 0, "shards handed to a stopping entry")
	assert.Equal(t, z.entries["a2"].HeldCount(), testShards)
}

// TestAllEntriesStopTogether checks that when both entries of a zone stop at the same
// time, each shard is handed over at most once, and not back and forth until both have
// ended.
func TestAllEntriesStopTogether(t *testing.T) {
	z := newShardZone(t, "a1", "a2")
	z.advance(10 * time.Second)
	for _, e := range z.entries {
		e.handle(shard.ShuttingDown{HandOverBy: z.now.Add(time.Second)})
	}
	z.advance(10 * time.Second)
	for _, s := range z.entries["a1"].Dump().Shards {
		assert.Assert(t, s.Row.Epoch <= 2, "shard %d is in epoch %d", s.Shard, s.Row.Epoch)
	}
}

// TestTableOutage checks that all shards are served during a table outage of minutes,
// because the successors keep extending the leases. If one entry is isolated as well,
// only its own shards and those whose successor it is become unavailable, until the
// table or the entry is reachable again.
func TestTableOutage(t *testing.T) {
	z := newShardZone(t, "a1", "a2", "a3")
	z.advance(10 * time.Second)
	z.tableDown = true
	z.advance(2 * time.Minute)
	z.assertHeld(map[string]int{"a1": 4, "a2": 4, "a3": 4})
	before := z.entries["a2"].Dump()
	z.entries["a1"].isolated, z.entries["a2"].isolated, z.entries["a3"].isolated = true, false, false
	z.addresses[z.entries["a1"].id] = "127.0.0.1:1"
	z.advance(5 * time.Second)
	want := map[string]int{}
	for _, s := range before.Shards {
		if holder := s.Row.Holder.Name(); holder != "a1" && s.Row.Successor.Name() != "a1" {
			want[holder]++
		}
	}
	counts, _ := z.heldCounts()
	assert.DeepEqual(t, counts, want)
	z.tableDown = false
	z.advance(20 * time.Second)
	counts, _ = z.heldCounts()
	assert.Equal(t, counts["a1"]+counts["a2"]+counts["a3"], testShards)
}

// TestDeadSuccessor checks what happens if an entry ends during a table outage. Its own
// shards are unavailable until the table is back, because moving them requires the
// table. The shards whose successor it was are still served: the list of live entries
// proves, before the lease expires, that no entry can take over.
func TestDeadSuccessor(t *testing.T) {
	z := newShardZone(t, "a1", "a2", "a3")
	z.advance(10 * time.Second)
	z.tableDown = true
	id := z.entries["a1"].id
	z.kill("a1")
	z.advance(time.Second)
	z.unlist(id)
	z.advance(time.Minute)
	counts, _ := z.heldCounts()
	assert.DeepEqual(t, counts, map[string]int{"a2": 4, "a3": 4})
	e, started := z.entries["a2"], 0
	for i := range 100 {
		key := core.RequestKey{Team: "t", ID: core.RequestID(fmt.Sprint(i))}
		if !e.LeaseExpiry(z.now, key).After(z.now) {
			continue
		}
		started++
		if e.Start(z.now, shard.Start{Key: key, Deadline: z.now.Add(time.Minute)}) {
			e.allowed = append(e.allowed, key)
		}
	}
	z.settle()
	assert.Equal(t, len(e.allowed), started)
	z.tableDown = false
	z.advance(20 * time.Second)
	z.assertHeld(map[string]int{"a2": 6, "a3": 6})
}

// TestCrashAndRestart checks that an entry that crashes right after a start and restarts
// under the same name never runs the started id again. The new run proves that the old
// one has ended, so its shards are taken over immediately.
func TestCrashAndRestart(t *testing.T) {
	z := newShardZone(t, "a1", "a2", "a3")
	z.advance(10 * time.Second)
	e := z.entries["a1"]
	key := z.requestHeldBy(e)
	e.Start(z.now, shard.Start{Key: key, Deadline: z.now.Add(time.Minute)})
	z.settle()
	z.kill("a1")
	z.advance(time.Second)
	z.unlist(e.id)
	z.startEntry("a1")
	z.advance(2 * time.Second)
	counts, _ := z.heldCounts()
	assert.Equal(t, counts["a1"]+counts["a2"]+counts["a3"], testShards)
	assert.Equal(t, z.countRunners(key), 0)
	z.advance(20 * time.Second)
	z.assertHeld(map[string]int{"a1": 4, "a2": 4, "a3": 4})
}

// TestEndedEntriesDetected checks which lists prove that an entry has ended. A list that
// doesn't contain this entry proves nothing. A list that contains it proves the end of
// an older run of a listed name, of an entry that was listed before, and, after
// unseenEntryTimeout, of an entry that was never listed.
func TestEndedEntriesDetected(t *testing.T) {
	at := time.UnixMilli(1000)
	self, other := platform.Liveness{Name: "a", Started: at}, platform.Liveness{Name: "b", Started: at}
	named := []core.EntryID{"a#1000", "b#1000", "c#500", "b#500"}
	tracker := entryTracker{self: "a#1000"}
	update := func(now time.Time, live ...platform.Liveness) []core.EntryID {
		return tracker.update(now, live, named).Ended
	}
	assert.Equal(t, len(update(at)), 0, "empty list")
	assert.Equal(t, len(update(at, other)), 0)
	assert.DeepEqual(t, update(at, self, other), []core.EntryID{"b#500"})
	assert.DeepEqual(t, update(at.Add(unseenEntryTimeout-1), self, other), []core.EntryID{"b#500"})
	assert.DeepEqual(t, update(at.Add(unseenEntryTimeout), self, other), []core.EntryID{"c#500", "b#500"})
	assert.DeepEqual(t, update(at.Add(unseenEntryTimeout), self), []core.EntryID{"b#1000", "c#500", "b#500"})
}

// fixedReply replies to every exchange with the same batch.
type fixedReply struct{ batch ShardBatch }

// Exchange has the signature of ShardReceiver.Exchange.
func (r *fixedReply) Exchange(_ ShardBatch, reply *ShardBatch) error {
	*reply = r.batch
	return nil
}

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn
	n atomic.Int64
}

// Read implements io.Reader.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}

// BenchmarkShardBytes reports the size of one exchange between two entries over net/rpc,
// without the overhead of TCP and IP.
func BenchmarkShardBytes(b *testing.B) {
	now := time.Unix(1_000_000_000, 0)
	start := shard.Start{
		Key: core.RequestKey{Team: "consortium-7", ID: "a~6b1f0c9e-4f2d-4c35"}, Deadline: now, FirstSent: now, VM: "vm-a-17",
	}
	held := func(n int) []shard.Held { return repeat(shard.Held{Shard: 20, Epoch: 1000}, n) }
	starts := func(n int) [2]ShardBatch {
		return [2]ShardBatch{{Starts: repeat(shard.MirrorStart{Start: start}, n)}, {StartAcks: repeat(shard.StartAck{Key: start.Key}, n)}}
	}
	pings := func(n int) [2]ShardBatch {
		return [2]ShardBatch{{Pings: []shard.Ping{{SentAt: now, Held: held(n)}}}, {PingAcks: []shard.PingAck{{SentAt: now, Held: held(n)}}}}
	}
	for _, bc := range []struct {
		name  string
		batch [2]ShardBatch
	}{
		{"ping2", pings(2)}, {"ping8", pings(8)}, {"ping16", pings(16)}, {"start1", starts(1)}, {"start16", starts(16)},
		{"copy1000", [2]ShardBatch{{Copies: []shard.MirrorCopy{{Starts: repeat(start, 1000)}}}, {CopyAcks: repeat(shard.CopyAck{}, 1)}}},
	} {
		b.Run(bc.name, func(b *testing.B) { benchmarkExchange(b, bc.batch[0], bc.batch[1]) })
	}
}

func benchmarkExchange(b *testing.B, batch, reply ShardBatch) {
	batch.From, batch.To = "entry-a-1#1000000000000", "entry-a-2#1000000000000"
	reply.From, reply.To = batch.To, batch.From
	server := netrpc.NewServer()
	assert.NilError(b, server.Register(ShardName, &fixedReply{reply}))
	clientConn, serverConn := net.Pipe()
	conn := &countingConn{Conn: clientConn}
	var g supervisor.Group
	g.Go(func() { server.ServeConn(context.Background(), serverConn) })
	client := rpc.NewClient(conn)
	exchange := func() { assert.NilError(b, client.Call(ShardName+".Exchange", batch, &ShardBatch{})) }
	exchange() // The first exchange also transmits the gob type definitions.
	before, n := conn.n.Load(), 0
	for b.Loop() {
		exchange()
		n++
	}
	b.ReportMetric(float64(conn.n.Load()-before)/float64(n), "B/exchange")
	assert.NilError(b, client.Close())
	g.Wait()
}

func repeat[T any](v T, n int) []T {
	list := make([]T, n)
	for i := range list {
		list[i] = v
	}
	return list
}
