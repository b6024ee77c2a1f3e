package node

import (
	"context"
	"net/http"
	"runtime"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"lavenderpond/core/policy"
	"lavenderpond/core/schedule"
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

// setPolicy updates the gauges of the operators' policy: 1 for each decision in force, and the
// number of exceptions.
func (p *processMetrics) setPolicy(in *policy.Policy) {
	for _, s := range policy.Switches() {
		value := int64(0)
		if s.Enabled(in) {
			value = 1
		}
		p.setGauge("policy_"+s.Name, value)
	}
	p.setGauge("policy_exceptions", int64(len(in.Exceptions)))
}

// setWaiting updates the gauges of the jobs that wait at this owner. Accounts and queues are only
// told apart in the dump, since there may be hundreds.
func (p *processMetrics) setWaiting(s *schedule.Status) {
	jobs, tasks, oldest := 0, 0, time.Duration(0)
	for i := range s.Waiting {
		g := &s.Waiting[i]
		jobs += g.Jobs
		tasks += g.Tasks
		oldest = max(oldest, s.AsOf.Sub(g.OldestArrival))
	}
	p.setGauge("silent_vms", int64(len(s.Silent)))
	p.setGauge("blocked_jobs", int64(s.Blocked))
	p.setGauge("waiting_jobs", int64(jobs))
	p.setGauge("waiting_tasks", int64(tasks))
	p.setGauge("waiting_oldest_ms", oldest.Milliseconds())
}

func (p *processMetrics) setGauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, p.registry).Update(value)
}

// observeGauge registers a gauge that is computed when the metrics are read.
func (p *processMetrics) observeGauge(name string, f func() int64) {
	p.registry.GetOrRegister(name, metrics.NewFunctionalGauge(f))
}

func (p *processMetrics) serve(w http.ResponseWriter, _ *http.Request) {
	metrics.WriteOnce(p.registry, w)
}
