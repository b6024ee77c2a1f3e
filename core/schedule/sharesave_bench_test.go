package schedule

import (
	"fmt"
	"testing"
	"time"

	"lavenderpond/core/fairshare"
	"lavenderpond/core/job"
)

// BenchmarkShareSaves measures a second of saves and reports while 215 pools with 620 accounts
// each are full and their usage stays as it is.
func BenchmarkShareSaves(b *testing.B) {
	h := newFairHarness(b, 1)
	waiting := map[job.AccountName]job.Resources{}
	for i := range 620 {
		waiting[job.AccountName(fmt.Sprint(i))] = job.Resources{CPU: 1000}
	}
	f := &h.s.fairness
	for i := range 215 {
		p := job.PoolName(fmt.Sprint(i))
		for a := range waiting {
			f.ledger.Add(h.now, p, a, job.Resources{CPU: 1000, MemMB: 100})
		}
		f.recordDivision(h.now, p, f.ledger.Divide(h.now, fairshare.Demand{Pool: p, Waiting: waiting, Weight: func(job.AccountName) float64 { return 1 }}))
	}
	second := func() {
		for range 100 {
			h.now = h.now.Add(10 * time.Millisecond)
			h.s.planShareSave(h.now, h.now)
			f.dirty = nil
			h.s.FullPools(h.now)
		}
	}
	for range 12 {
		for _, x := range f.full {
			x.dividedAt = h.now
		}
		second()
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, x := range f.full {
			x.dividedAt = h.now
		}
		second()
	}
}
