package sizing

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lavenderpond/core/job"
)

const (
	// spreadMinIdle is how long a machine must be idle before it goes to where it is likely to
	// be needed next.
	spreadMinIdle = time.Second
	// spreadThresholdHalves is a threshold in halves of a machine. A machine moves only if its
	// pool is above its share, and the receiving pool below its own, by at least this much.
	// This keeps machines from moving back and forth.
	spreadThresholdHalves = 3
	// burstMargin is how many times the CPU of its recent bursts a pool gets for the next one. The
	// rate of arrivals is averaged, so it lags behind a burst that grows.
	burstMargin = 4
)

// spread divides idle machines that no pool needs among the pools in proportion to their
// weights, so that the next burst finds them in its pool. A machine arrives 1.5 seconds after its
// order, so the first callers of a burst depend on what is already there. Without spreading,
// all idle machines stay in the pool that had the last burst, and the next pool has one to five
// VMs. No pool is given more than its bursts call for: on a fleet that is larger than its work, the
// moves would only keep machines from it.
func (p *plan) spread(now time.Time) {
	surplus := p.surplus()
	to := p.mostUnderShare(surplus)
	for _, m := range p.machines {
		if to == nil || surplus(to) >= 0 {
			return
		}
		from := p.pools[m.Pool]
		if from == nil || from.Standby || now.Sub(m.IdleSince) < spreadMinIdle || !p.canSpare(now, m) {
			continue
		}
		if surplus(from) >= spreadThresholdHalves*m.CPU/2 && surplus(to) <= -spreadThresholdHalves*m.CPU/2 {
			p.move(m, to)
			to = p.mostUnderShare(surplus)
		}
	}
}

// uneven reports whether a pool is below its share of the spare CPU.
func (p *plan) uneven() bool {
	surplus := p.surplus()
	to := p.mostUnderShare(surplus)
	return to != nil && surplus(to) < 0
}

// surplus returns a function that returns what a pool has beyond its need and its present share of
// the spare CPU.
func (p *plan) surplus() func(x *Pool) int64 {
	shares := p.spareShares()
	return func(x *Pool) int64 { return x.Have - x.Need - shares[x.Name] }
}

// burstRoom returns the CPU beyond its need that the pool is given for its next burst. Machines that
// can be moved at once delay no other moves, so they may come before a burst has shown the need.
func (x *Pool) burstRoom() int64 { return max(0, burstMargin*x.BurstCPU-x.Need, x.MovableCPU) }

// spareShares divides the CPU that no pool needs among the pools in proportion to their weights.
// What a pool's bursts don't call for goes to the others.
func (p *plan) spareShares() map[job.PoolName]int64 {
	var pools []*Pool
	for _, x := range p.pools {
		if !x.Standby && x.SpareWeight > 0 {
			pools = append(pools, x)
		}
	}
	// Pools whose bursts call for less than their weighted share come first.
	slices.SortFunc(pools, func(a, b *Pool) int {
		return cmp.Or(cmp.Compare(float64(a.burstRoom())/a.SpareWeight, float64(b.burstRoom())/b.SpareWeight), cmp.Compare(a.Name, b.Name))
	})
	spare, totalWeight := p.spareCapacity()
	shares := map[job.PoolName]int64{}
	for _, x := range pools {
		share := min(x.burstRoom(), int64(float64(spare)*x.SpareWeight/totalWeight))
		shares[x.Name] = share
		spare -= share
		totalWeight -= x.SpareWeight
	}
	return shares
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
