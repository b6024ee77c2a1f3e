package sizing

import (
	"maps"
	"slices"
	"time"
)

const (
	// spreadMinIdle is how long a machine must be idle before it goes to where it is likely to
	// be needed next.
	spreadMinIdle = time.Second
	// spreadThresholdHalves is a threshold in halves of a machine. A machine moves only if its
	// pool is above its share, and the receiving pool below its own, by at least this much.
	// This keeps machines from moving back and forth.
	spreadThresholdHalves = 3
)

// spread divides idle machines that no pool needs among the pools in proportion to their
// weights, so that the next burst finds them in its pool. A machine arrives 1.5 seconds after its
// order, so the first callers of a burst depend on what is already there. Without spreading,
// all idle machines stay in the pool that had the last burst, and the next pool has one to five
// VMs.
func (p *plan) spread(now time.Time) {
	spare, totalWeight := p.spareCapacity()
	if totalWeight <= 0 {
		return
	}
	surplus := func(x *Pool) int64 { return x.Have - x.Need - int64(float64(spare)*x.SpareWeight/totalWeight) }
	for _, m := range p.machines {
		from := p.pools[m.Pool]
		if from == nil || from.Standby || now.Sub(m.IdleSince) < spreadMinIdle || !p.canSpare(now, m) {
			continue
		}
		to := p.mostUnderShare(surplus)
		if to != nil && surplus(from) >= spreadThresholdHalves*m.CPU/2 && surplus(to) <= -spreadThresholdHalves*m.CPU/2 {
			p.move(m, to)
		}
	}
}

// spareCapacity returns the CPU that no pool needs, and the sum of the pools' weights.
func (p *plan) spareCapacity() (cpu int64, totalWeight float64) {
	for _, x := range p.pools {
		if !x.Standby {
			cpu += max(0, x.Have-x.Need)
			totalWeight += x.SpareWeight
		}
	}
	return cpu, totalWeight
}

// mostUnderShare returns the pool with the smallest surplus over its share.
func (p *plan) mostUnderShare(surplus func(x *Pool) int64) *Pool {
	var least *Pool
	for _, n := range slices.Sorted(maps.Keys(p.pools)) {
		if x := p.pools[n]; !x.Standby && (least == nil || surplus(x) < surplus(least)) {
			least = x
		}
	}
	return least
}
