package key

import (
	"fmt"
	"runtime"
	"testing"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/table"
)

// BenchmarkKeyringMemory measures the memory of a keyring by number of keys, a tenth of
// which are withdrawn, and the time of a check.
func BenchmarkKeyringMemory(b *testing.B) {
	for _, keys := range []int{186, 1860, 18600} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			var rows []table.Row
			for i := range keys {
				d := core.Digest(fmt.Sprint(i))
				rows = append(rows, table.MustRow(table.KeyDigestKey(d), 1, config.Key{Team: testTeam, Withdrawn: i%10 == 0}))
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := &Keyring{}
			r.Apply(rows)
			runtime.GC()
			runtime.ReadMemStats(&after)
			r.RecordTableRead(testStart)
			d := core.Digest("1")
			for b.Loop() {
				_, _ = r.Check(testStart, testTeam, d)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(keys), "B/key")
			runtime.KeepAlive(rows)
		})
	}
}
