package entry

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/home"
	"lavenderpond/io/caller"
	pb "lavenderpond/io/gen/lavenderpond/v1"
	"lavenderpond/io/target"
)

// BenchmarkPath compares, in one run, direct calls to the targets with requests through
// an entry: submitted at the holder, submitted at an entry that forwards them to the
// holder, and idempotent requests, whose starts are not mirrored.
//
//	go test ./io/entry -run '^$' -bench Path -benchtime 3s
func BenchmarkPath(b *testing.B) {
	f := newTestFleet(b, map[core.ZoneID]int{"zone_a": 2}, 8)
	f.awaitServing()
	b.Run("direct", func(b *testing.B) {
		c := target.NewClient(64, 1<<20)
		measure(b, func(n int64) bool {
			deadline := time.Now().Add(10 * time.Second)
			end := c.Start(b.Context(), f.addresses[n%int64(len(f.addresses))], home.Dispatch{
				Request:        core.Request{Key: core.RequestKey{Team: "lyra", ID: core.RequestID(fmt.Sprintf("direct-%d", n))}, Body: []byte(`{}`)},
				DispatchNumber: 1, StartBy: deadline, LeaseUntil: deadline,
			})
			_, ok := end.(home.Answered)
			return ok
		})
	})
	for _, kind := range []string{"holder", "forwarded", "idempotent"} {
		b.Run(kind, func(b *testing.B) { measure(b, f.submitter(kind)) })
	}
}

// submitter returns a function that submits request number n. With the kind "forwarded"
// it submits to the entry that does not hold the request's shard, otherwise to the
// holder.
func (f *testFleet) submitter(kind string) func(n int64) bool {
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	var clients []*caller.Client
	for _, e := range f.entries {
		clients = append(clients, caller.NewClient(h, "http://"+e.daemon.callerListener.Addr().String(), "lyra", teamKey))
	}
	return func(n int64) bool {
		now := time.Now()
		id := core.RequestID(fmt.Sprintf("%s-%d", kind, n))
		i := 0
		if !f.entries[1].daemon.shards.LeaseExpiry(now, core.RequestKey{Team: "lyra", ID: id}).IsZero() {
			i = 1
		}
		if kind == "forwarded" {
			i = 1 - i
		}
		a, err := clients[i].Submit(f.ctx, core.Request{
			Key: core.RequestKey{ID: id}, Attempt: 1, Queue: "frames", FirstSent: now,
			Deadline: now.Add(10 * time.Second), Body: []byte(`{}`), Idempotent: kind == "idempotent",
		}, false)
		return err == nil && a.Outcome == pb.Outcome_OUTCOME_DONE
	}
}

// requestCounter numbers the requests of all sub-benchmarks, so that ids are unique.
var requestCounter atomic.Int64

// measure calls do from parallel goroutines and reports the latency percentiles, the
// throughput, the CPU time per request and the number of failures.
func measure(b *testing.B, request func(n int64) bool) {
	var mu sync.Mutex
	var allLatencies []time.Duration
	var failed atomic.Int64
	b.SetParallelism(2)
	cpu := cpuTime(b)
	b.RunParallel(func(p *testing.PB) {
		var latencies []time.Duration
		for p.Next() {
			begin := time.Now()
			if !request(requestCounter.Add(1)) {
				failed.Add(1)
			}
			latencies = append(latencies, time.Since(begin))
		}
		mu.Lock()
		defer mu.Unlock()
		allLatencies = append(allLatencies, latencies...)
	})
	cpu = cpuTime(b) - cpu
	slices.Sort(allLatencies)
	percentile := func(q float64) float64 {
		return float64(allLatencies[int(q*float64(len(allLatencies)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(percentile(0.5), "p50-ms")
	b.ReportMetric(percentile(0.99), "p99-ms")
	b.ReportMetric(float64(len(allLatencies))/b.Elapsed().Seconds(), "req/s")
	b.ReportMetric(float64(cpu.Microseconds())/float64(len(allLatencies)), "cpu-µs/req")
	b.ReportMetric(float64(failed.Load()), "failed")
}

// cpuTime returns the process's user and system CPU time. On a busy machine it is more
// meaningful than latency.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
