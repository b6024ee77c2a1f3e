package schedule

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRoundWithRepeatedJobs measures an owner that reads ten repeated jobs and plays a round. The time
// doesn't depend on how often they repeat.
func BenchmarkRoundWithRepeatedJobs(b *testing.B) {
	for _, occurrences := range []int{1, 60, 525_600} {
		b.Run(fmt.Sprintf("%d occurrences", occurrences), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				h := newHarness(b)
				for i := range 10 {
					h.s.AddJob(h.now, repeated(fmt.Sprintf("j-%d", i), h.now.Add(time.Hour), time.Minute, occurrences, smallStep), nil, true)
				}
				h.advance(time.Second)
			}
		})
	}
}
