package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/io/supervisor"
)

// maxRequests is the maximum number of requests of a run, whatever the flags say.
const maxRequests = 2_000_000

// loadFlags holds the flags that the commands entries and targets have in common.
type loadFlags struct {
	Concurrency int           `help:"Requests under way at once." default:"32"`
	Rate        float64       `help:"Requests a second in all; 0: as many as answers allow." default:"0"`
	For         time.Duration `help:"How long." default:"5s"`
	RunMs       int64         `help:"How long the stand-in target works on each request, in ms." default:"0"`
	Bytes       int           `help:"Size of each answer, in bytes." default:"100"`
}

// result is the printed result of a run. Answers counts the answers by name.
type result struct {
	Requests  int            `json:"requests"`
	Seconds   float64        `json:"seconds"`
	PerSecond float64        `json:"per_second"`
	P50Ms     float64        `json:"p50_ms"`
	P99Ms     float64        `json:"p99_ms"`
	MaxMs     float64        `json:"max_ms"`
	Answers   map[string]int `json:"answers"`
}

// sendFunc sends request number n, waits for the answer and returns its name.
type sendFunc func(ctx context.Context, n int) string

// run generates the load and measures the latency of every request.
func (f loadFlags) run(ctx context.Context, send sendFunc) result {
	ctx, cancel := context.WithTimeout(ctx, f.For)
	defer cancel()
	numbers := make(chan int)
	var g supervisor.Group
	var mu sync.Mutex
	var latencies []time.Duration
	answers := make(map[string]int)
	begin := time.Now()
	g.Go(func() { f.pace(ctx, numbers) })
	for range f.Concurrency {
		g.Go(func() {
			for n := range numbers {
				start := time.Now()
				answer := send(context.Background(), n)
				latency := time.Since(start)
				mu.Lock()
				latencies = append(latencies, latency)
				answers[answer]++
				mu.Unlock()
			}
		})
	}
	g.Wait()
	return summarize(latencies, time.Since(begin), answers)
}

// pace sends request numbers to the workers, at the requested rate, until ctx ends.
func (f loadFlags) pace(ctx context.Context, numbers chan<- int) {
	defer close(numbers)
	begin := time.Now()
	for n := range maxRequests {
		if f.Rate > 0 {
			due := begin.Add(time.Duration(float64(n) / f.Rate * float64(time.Second)))
			time.Sleep(time.Until(due))
		}
		select {
		case <-ctx.Done():
			return
		case numbers <- n:
		}
	}
}

func summarize(latencies []time.Duration, elapsed time.Duration, answers map[string]int) result {
	slices.Sort(latencies)
	quantileMs := func(q float64) float64 {
		if len(latencies) == 0 {
			return 0
		}
		return float64(latencies[int(q*float64(len(latencies)-1))]) / float64(time.Millisecond)
	}
	return result{
		Requests: len(latencies), Seconds: elapsed.Seconds(), PerSecond: float64(len(latencies)) / elapsed.Seconds(),
		P50Ms: quantileMs(0.5), P99Ms: quantileMs(0.99), MaxMs: quantileMs(1), Answers: answers,
	}
}

func (r result) print() error {
	return json.NewEncoder(os.Stdout).Encode(r)
}

// body returns the body of a request, which tells the stand-in target how long to work
// and how many bytes to answer.
func (f loadFlags) body() []byte {
	return fmt.Appendf(nil, `{"run_ms":%d,"answer_bytes":%d}`, f.RunMs, f.Bytes)
}

func loopbackOnly(addresses []netip.AddrPort) error {
	for _, a := range addresses {
		if !a.Addr().IsLoopback() {
			return errors.Errorf("%s is not a loopback address", a)
		}
	}
	return nil
}
