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
	// gcTuneInterval is how often the share of the garbage collector is looked at.
	gcTuneInterval = time.Second
	// gcShareHigh and collectLittle are parts of the process's own processor time.
	// Above the first the heap may grow further between collections, below the second
	// less far.
	gcShareHigh = 0.06
	gcShareLow  = 0.01
	// minGCSeconds is the processor time, in seconds of each period, from which collecting
	// is worth more memory. Most processes use less than that for all that they do.
	minGCSeconds = 0.01
	// MinGCPercent and collectMost bound the growth of the heap, in percent.
	MinGCPercent = 60
	maxGCPercent = 480
)

// gcTuner trades memory for processor time: an owner of a thousand VMs spends a
// fifth of its time on collecting garbage at the growth that suits a process which
// serves callers only. The limit on memory holds whatever the growth.
type gcTuner struct {
	percent int
	log     zerolog.Logger
}

// cpuTime is what the process has used, in seconds.
type cpuTime struct{ gc, user float64 }

func readCPUTime() cpuTime {
	samples := []metrics.Sample{{Name: "/cpu/classes/gc/total:cpu-seconds"}, {Name: "/cpu/classes/user:cpu-seconds"}}
	metrics.Read(samples)
	return cpuTime{gc: samples[0].Value.Float64(), user: samples[1].Value.Float64()}
}

// run sets the heap's growth until ctx ends.
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

// nextGCPercent returns the heap's growth after a period in which so much processor time
// went into collecting and into other work.
func nextGCPercent(percent int, gc, user float64) int {
	share := gc / math.Max(gc+user, math.SmallestNonzeroFloat64)
	switch {
	case gc <= 0 && user <= 0:
		// The figures are of the last collection: nothing has been collected since.
		return percent
	case share > gcShareHigh && gc > minGCSeconds:
		return min(2*percent, maxGCPercent)
	case share < gcShareLow:
		return max(percent/2, MinGCPercent)
	}
	return percent
}
