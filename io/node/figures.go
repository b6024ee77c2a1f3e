package node

import (
	"context"
	"net/http"
	"runtime"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"lavenderpond/io/supervisor"
)

// figuresEvery is how often the gauges of this process are taken.
const figuresEvery = 5 * time.Second

// sampleSize bounds what a histogram remembers.
const sampleSize = 512

// figures are the counters and histograms of this process.
type figures struct{ registry metrics.Registry }

func newFigures() *figures { return &figures{registry: metrics.NewRegistry()} }

// count adds one to a counter.
func (f *figures) count(name string) {
	f.registry.GetOrRegister(name, metrics.NewCounter).(metrics.Counter).Inc(1)
}

// elapsed adds a period to a histogram of microseconds.
func (f *figures) elapsed(name string, d time.Duration) {
	h := f.registry.GetOrRegister(name+"_us", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
	})
	h.(metrics.Histogram).Update(d.Microseconds())
}

func (f *figures) run(ctx context.Context) error {
	return supervisor.Every(ctx, figuresEvery, func(context.Context) {
		metrics.GetOrRegisterGauge("goroutines", f.registry).Update(int64(runtime.NumGoroutine()))
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		metrics.GetOrRegisterGauge("heap_bytes", f.registry).Update(int64(m.HeapAlloc))
		metrics.GetOrRegisterGauge("taken_bytes", f.registry).Update(int64(m.Sys))
	})
}

func (f *figures) serve(w http.ResponseWriter, _ *http.Request) {
	metrics.WriteOnce(f.registry, w)
}
