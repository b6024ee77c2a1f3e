package fair

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lavenderpond/core/queue"
)

// filledQueue returns a queue with n items of the given number of teams.
func filledQueue(teams, n int) (*Queue, []queue.Item) {
	f := &Queue{MaxQueued: fixedBound(1 << 30)}
	var items []queue.Item
	for k := range n {
		i := item(fmt.Sprint("team", k%teams), k, k%5 == 0, time.Hour+time.Duration(k*7919%100000)*time.Millisecond)
		items = append(items, i)
		f.Push(testStart, i, 1<<30)
	}
	return f, items
}

func runForSizes(b *testing.B, run func(b *testing.B, f *Queue, items []queue.Item)) {
	for _, teams := range []int{6, 62, 620} {
		for _, n := range []int{1e3, 1e4, 1e5} {
			f, items := filledQueue(teams, n)
			b.Run(fmt.Sprintf("teams=%d/items=%d", teams, n), func(b *testing.B) {
				b.ReportAllocs()
				run(b, f, items)
			})
		}
	}
}

// BenchmarkPopPush pops an item, observes its run and pushes it again.
func BenchmarkPopPush(b *testing.B) {
	runForSizes(b, func(b *testing.B, f *Queue, _ []queue.Item) {
		for b.Loop() {
			i, _ := f.Pop(testStart, q, acceptAll)
			f.Observe(testStart, q, i.Key.Team, time.Second)
			f.Push(testStart, i, 1<<30)
		}
	})
}

// BenchmarkRemovePush cancels an item and pushes it again.
func BenchmarkRemovePush(b *testing.B) {
	runForSizes(b, func(b *testing.B, f *Queue, items []queue.Item) {
		for k := 0; b.Loop(); k++ {
			i := items[k%len(items)]
			f.Remove(i.Key)
			f.Push(testStart, i, 1<<30)
		}
	})
}

// BenchmarkRemove cancels one item after the other.
func BenchmarkRemove(b *testing.B) {
	for _, n := range []int{1e3, 1e4, 1e5} {
		b.Run(fmt.Sprintf("items=%d", n), func(b *testing.B) {
			f, items := filledQueue(62, n)
			k := 0
			for b.Loop() {
				if k == n {
					b.StopTimer()
					f, items = filledQueue(62, n)
					k = 0
					b.StartTimer()
				}
				f.Remove(items[k].Key)
				k++
			}
		})
	}
}

// BenchmarkPopBlocked pops items while all teams but one are at their limit.
func BenchmarkPopBlocked(b *testing.B) {
	for _, teams := range []int{6, 62, 620} {
		f, _ := filledQueue(teams, 10000)
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			for b.Loop() {
				i, _ := f.Pop(testStart, q, func(i queue.Item) bool { return i.Key.Team == "team0" })
				f.Observe(testStart, q, i.Key.Team, time.Second)
				f.Push(testStart, i, 1<<30)
			}
		})
	}
}

// BenchmarkMemory measures the heap memory per waiting item, including keys.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1e3, 1e4, 1e5} {
		b.Run(fmt.Sprintf("items=%d", n), func(b *testing.B) {
			per := 0.0
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				f, _ := filledQueue(62, n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				per = float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
				runtime.KeepAlive(f)
			}
			b.ReportMetric(per, "B/item")
		})
	}
}
