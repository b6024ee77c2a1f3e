package node

import (
	"context"
	"net/http"
	"runtime"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"lavenderpond/io/supervisor"
)

// gaugeInterval is how often the gauges of this process are updated.
const gaugeInterval = 5 * time.Second

// histogramSampleSize bounds the number of values that a histogram keeps.
const histogramSampleSize = 512

// processMetrics holds the counters, gauges and histograms of this process.
type processMetrics struct{ registry metrics.Registry }

func newProcessMetrics() *processMetrics { return &processMetrics{registry: metrics.NewRegistry()} }

// count increments a counter.
func (p *processMetrics) count(name string) {
	p.registry.GetOrRegister(name, metrics.NewCounter).(metrics.Counter).Inc(1)
}

// recordDuration adds a duration to a histogram of microseconds.
func (p *processMetrics) recordDuration(name string, d time.Duration) {
	h := p.registry.GetOrRegister(name+"_us", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(histogramSampleSize))
	})
	h.(metrics.Histogram).Update(d.Microseconds())
}

func (p *processMetrics) run(ctx context.Context) error {
	return supervisor.Every(ctx, gaugeInterval, func(context.Context) {
		metrics.GetOrRegisterGauge("goroutines", p.registry).Update(int64(runtime.NumGoroutine()))
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		metrics.GetOrRegisterGauge("heap_bytes", p.registry).Update(int64(m.HeapAlloc))
		metrics.GetOrRegisterGauge("taken_bytes", p.registry).Update(int64(m.Sys))
	})
}

func (p *processMetrics) serve(w http.ResponseWriter, _ *http.Request) {
	metrics.WriteOnce(p.registry, w)
}
