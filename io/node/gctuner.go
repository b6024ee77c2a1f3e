package node

import (
	"context"
	"math"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"github.com/rs/zerolog"

	"lavenderpond/io/supervisor"
)

const (
	// gcTuneInterval is how often the garbage collector's share of CPU time is checked.
	gcTuneInterval = time.Second
	// gcShareHigh and gcShareLow are fractions of the process's CPU time. Above
	// gcShareHigh, the heap may grow further between collections; below gcShareLow, it may
	// grow less.
	gcShareHigh = 0.06
	gcShareLow  = 0.01
	// minGCSeconds is the CPU time per interval, in seconds, above which garbage
	// collection justifies more memory. Most processes use less than that in total.
	minGCSeconds = 0.01
	// MinGCPercent and maxGCPercent bound the heap's growth between collections, in
	// percent.
	MinGCPercent = 60
	maxGCPercent = 480
)

// gcTuner adapts the garbage collector's target percentage and so trades memory for CPU
// time. With the percentage that suits a process that only serves callers, the owner of a
// thousand VMs spends a fifth of its CPU time on garbage collection. The memory limit
// applies independently of the percentage.
type gcTuner struct {
	percent int
	log     zerolog.Logger
}

// cpuTime is the CPU time that the process has used, in seconds.
type cpuTime struct{ gc, user float64 }

func readCPUTime() cpuTime {
	samples := []metrics.Sample{{Name: "/cpu/classes/gc/total:cpu-seconds"}, {Name: "/cpu/classes/user:cpu-seconds"}}
	metrics.Read(samples)
	return cpuTime{gc: samples[0].Value.Float64(), user: samples[1].Value.Float64()}
}

// run adjusts the garbage collector's percentage until ctx ends.
func (t *gcTuner) run(ctx context.Context) error {
	t.percent = MinGCPercent
	last := readCPUTime()
	return supervisor.Every(ctx, gcTuneInterval, func(context.Context) {
		now := readCPUTime()
		next := nextGCPercent(t.percent, now.gc-last.gc, now.user-last.user)
		last = now
		if next == t.percent {
			return
		}
		t.percent = next
		debug.SetGCPercent(next)
		t.log.Info().Str("event", "heap_growth_changed").Int("percent", next).Send()
	})
}

// nextGCPercent returns the percentage to use after an interval in which the process spent
// gc seconds of CPU time on garbage collection and user seconds on other work.
func nextGCPercent(percent int, gc, user float64) int {
	share := gc / math.Max(gc+user, math.SmallestNonzeroFloat64)
	switch {
	case gc <= 0 && user <= 0:
		// The metrics are updated at each collection, and none has run since.
		return percent
	case share > gcShareHigh && gc > minGCSeconds:
		return min(2*percent, maxGCPercent)
	case share < gcShareLow:
		return max(percent/2, MinGCPercent)
	}
	return percent
}
