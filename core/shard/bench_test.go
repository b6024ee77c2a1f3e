package shard

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lavenderpond/core"
)

// holdingManager returns a LeaseManager that holds all n shards.
func holdingManager(n core.ShardIndex) *LeaseManager {
	lm := New(Params{Zone: "a", Self: "e0#0", Shards: n})
	e := RowsRead{SentAt: simStart}
	for i := range n {
		e.Rows = append(e.Rows, VersionedRow{Shard: i, Version: 1, Row: Row{Holder: "e0#0", Epoch: 1, Successor: "e1#0"}})
	}
	lm.Handle(simStart, EntriesListed{Live: []core.EntryID{"e0#0", "e1#0"}})
	lm.Handle(simStart, e)
	return lm
}

// answerAll executes commands immediately, as an always available table and successor
// would.
func answerAll(lm *LeaseManager, now time.Time, commands []Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case ReadRows:
			answerAll(lm, now, lm.Handle(now, RowsRead{SentAt: now}))
		case SwapRow:
			answerAll(lm, now, lm.Handle(now, SwapSettled{Shard: c.Shard, Version: c.Version, SentAt: now}))
		case Send:
			switch m := c.Message.(type) {
			case Ping:
				answerAll(lm, now, lm.Handle(now, Received{From: c.To, Message: PingAck(m)}))
			case MirrorCopy:
				answerAll(lm, now, lm.Handle(now, Received{From: c.To, Message: CopyAck{Held: m.Held, Round: m.Round}}))
			}
		}
	}
}

// BenchmarkTick measures the CPU time of one tick. A daemon ticks ten times a second.
func BenchmarkTick(b *testing.B) {
	for _, n := range []core.ShardIndex{8, 32, 128} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			lm, now := holdingManager(n), simStart
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				answerAll(lm, now, lm.Handle(now, Tick{}))
			}
		})
	}
}

// BenchmarkDecideAndStart measures the CPU time per request.
func BenchmarkDecideAndStart(b *testing.B) {
	lm := holdingManager(32)
	deadline := simStart.Add(time.Minute)
	for b.Loop() {
		key := core.RequestKey{Team: "t", ID: "a~6b1f0c9e-4f2d-4c35"}
		shard := lm.Shard(key)
		lm.Decide(simStart, shard, key, simStart, deadline)
		lm.Start(simStart, shard, Start{Key: key, Deadline: deadline, FirstSent: simStart})
		lm.Forget(shard, key)
	}
}

// BenchmarkStartMemory measures the memory that each known start takes.
func BenchmarkStartMemory(b *testing.B) {
	const starts = 20_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		lm := holdingManager(32)
		for i := range starts {
			key := core.RequestKey{Team: "consortium-7", ID: core.RequestID(fmt.Sprintf("a~6b1f0c9e-4f2d-%08d", i))}
			lm.Start(simStart, lm.Shard(key), Start{Key: key, Deadline: simStart.Add(time.Minute), VM: "vm-a-17"})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/starts, "B/start")
		runtime.KeepAlive(lm)
	}
}
