package least

import (
	"fmt"
	"testing"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/route"
)

// BenchmarkPick starts and ends a request at an entry with n targets in five pools. No
// slots are in use, so overflow may use all of them but the reserve.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		for _, overflow := range []bool{false, true} {
			b.Run(fmt.Sprintf("targets=%d/overflow=%t", n, overflow), func(b *testing.B) {
				r := &Router{Entries: 2}
				var list []route.Target
				var pools []route.Pool
				for i := range n {
					list = append(list, route.Target{VM: core.VMID(fmt.Sprint("vm", i)), Pool: core.PoolID(fmt.Sprint(i % 5)), Slots: 8})
				}
				for p := range 5 {
					pools = append(pools, route.Pool{ID: core.PoolID(fmt.Sprint(p)), LendsIdle: true, MaxEjected: 1})
				}
				r.Update(testStart, list, pools)
				criteria := route.Criteria{Pool: "0", Overflow: overflow}
				if overflow {
					criteria.Pool = "none"
				}
				b.ReportAllocs()
				for b.Loop() {
					vm, _ := r.Pick(testStart, criteria)
					r.Started(testStart, vm)
					r.Ended(testStart, vm, route.Succeeded, time.Second)
				}
			})
		}
	}
}

// BenchmarkIdle computes the number of idle slots, as each Push does.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			r := &Router{Entries: 2}
			r.Update(testStart, targets(n), nil)
			for b.Loop() {
				r.Idle(testStart, route.Criteria{Pool: pool})
			}
		})
	}
}
