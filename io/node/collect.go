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
	// collectEvery is how often the share of the garbage collector is looked at.
	collectEvery = time.Second
	// collectMuch and collectLittle are parts of the process's own processor time.
	// Above the first the heap may grow further between collections, below the second
	// less far.
	collectMuch   = 0.06
	collectLittle = 0.01
	// collectWorth is the processor time, in seconds of each period, from which collecting
	// is worth more memory. Most processes use less than that for all that they do.
	collectWorth = 0.01
	// CollectLeast and collectMost bound the growth of the heap, in percent.
	CollectLeast = 60
	collectMost  = 480
)

// collector trades memory for processor time: an owner of a thousand VMs spends a
// fifth of its time on collecting garbage at the growth that suits a process which
// serves callers only. The limit on memory holds whatever the growth.
type collector struct {
	percent int
	log     zerolog.Logger
}

// processorTime is what the process has used, in seconds.
type processorTime struct{ collecting, working float64 }

func readProcessorTime() processorTime {
	samples := []metrics.Sample{{Name: "/cpu/classes/gc/total:cpu-seconds"}, {Name: "/cpu/classes/user:cpu-seconds"}}
	metrics.Read(samples)
	return processorTime{collecting: samples[0].Value.Float64(), working: samples[1].Value.Float64()}
}

// run sets the heap's growth until ctx ends.
func (c *collector) run(ctx context.Context) error {
	c.percent = CollectLeast
	last := readProcessorTime()
	return supervisor.Every(ctx, collectEvery, func(context.Context) {
		now := readProcessorTime()
		next := nextGrowth(c.percent, now.collecting-last.collecting, now.working-last.working)
		last = now
		if next == c.percent {
			return
		}
		c.percent = next
		debug.SetGCPercent(next)
		c.log.Info().Str("event", "heap_growth_changed").Int("percent", next).Send()
	})
}

// nextGrowth returns the heap's growth after a period in which so much processor time
// went into collecting and into other work.
func nextGrowth(percent int, collecting, working float64) int {
	share := collecting / math.Max(collecting+working, math.SmallestNonzeroFloat64)
	switch {
	case collecting <= 0 && working <= 0:
		// The figures are of the last collection: nothing has been collected since.
		return percent
	case share > collectMuch && collecting > collectWorth:
		return min(2*percent, collectMost)
	case share < collectLittle:
		return max(percent/2, CollectLeast)
	}
	return percent
}
