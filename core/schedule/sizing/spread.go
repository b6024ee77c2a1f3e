package sizing

import (
	"maps"
	"slices"
	"time"
)

const (
	// spreadMinIdle is how long a machine stands idle before it goes where it may be
	// needed next.
	spreadMinIdle = time.Second
	// spreadThresholdHalves is by how many halves of a machine a pool must be beyond its part, and
	// another short of its own, so that machines don't go back and forth.
	spreadThresholdHalves = 3
)

// spread sends idle machines that no pool needs where they may be needed next, in
// proportion to the pools' wishes. A machine arrives a second and a half after its order,
// so a burst's first callers find what is there already: after a burst that was all the
// idle machines of the pool that had it, and one to five VMs in the next one's.
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

// spareCapacity returns the CPU that no pool needs, and the sum of the pools' wishes.
func (p *plan) spareCapacity() (cpu int64, totalWeight float64) {
	for _, x := range p.pools {
		if !x.Standby {
			cpu += max(0, x.Have-x.Need)
			totalWeight += x.SpareWeight
		}
	}
	return cpu, totalWeight
}

// mostUnderShare returns the pool that is the least beyond its part.
func (p *plan) mostUnderShare(surplus func(x *Pool) int64) *Pool {
	var least *Pool
	for _, n := range slices.Sorted(maps.Keys(p.pools)) {
		if x := p.pools[n]; !x.Standby && (least == nil || surplus(x) < surplus(least)) {
			least = x
		}
	}
	return least
}
