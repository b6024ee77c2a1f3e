package entry

import (
	"context"
	"runtime"

	metrics "github.com/rcrowley/go-metrics"

	"lavenderpond/core/home"
	"lavenderpond/io/supervisor"
)

// collectMetrics updates the gauges in the metrics registry every metricsInterval.
func (d *Daemon) collectMetrics(ctx context.Context) error {
	gauge := func(name string, value int64) {
		metrics.GetOrRegisterGauge(name, d.metrics).Update(value)
	}
	return supervisor.Every(ctx, metricsInterval, func(context.Context) {
		var dump home.Dump
		d.requests.WithLock(func(h *home.Home) { dump = h.Dump() })
		gauge("requests_submitted", dump.Counts.Submitted)
		gauge("requests_dispatched", dump.Counts.Dispatched)
		gauge("requests_records", int64(dump.Records))
		for code, n := range dump.Counts.Answers {
			gauge("answers_"+code.String(), n)
		}
		running, queued := int64(0), int64(0)
		for _, l := range dump.Loads {
			running += int64(l.Running)
			queued += int64(l.Queued)
		}
		gauge("requests_running", running)
		gauge("requests_queued", queued)
		gauge("shards_held", int64(d.shards.HeldCount()))
		gauge("config_version", int64(d.config.Version()))
		gauge("targets", int64(len(d.fleet.Targets())))
		gauge("goroutines", int64(runtime.NumGoroutine()))
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		gauge("heap_bytes", int64(m.HeapAlloc))
	})
}
