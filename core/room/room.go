// Package room decides which pool a machine serves when there is too little room for all the
// work.
//
// Work is urgent while it can still complete in time. A pool's urgent work goes before all other
// work of any pool: machines that only run late work are emptied for it. If the urgent work of
// all pools exceeds the fleet, each pool gets what it needs up to a common level.
package room

import (
	"cmp"
	"slices"

	"lavenderpond/core/job"
)

// Pool is what the work of a pool needs and what the pool has. All amounts are CPU in
// thousandths of a core, including what is lost to packing.
type Pool struct {
	Name job.PoolName
	// Standby pools hold machines that are off. Their amounts aren't used.
	Standby bool
	// Urgent is the need of long-running tasks and of work that can still complete in time.
	Urgent int64
	// Total is the need of all work, and is at least Urgent.
	Total int64
	// Have is the CPU of the VMs that take tasks, and of machines on their way to the pool.
	Have int64
}

// amount is one of the needs of a pool.
type amount func(p *Pool) int64

func urgent(p *Pool) int64 { return p.Urgent }
func total(p *Pool) int64  { return p.Total }

// Scarce reports whether a pool lacks room for urgent work while another has room for work that
// isn't urgent. Without that, the rank of work makes no difference to where machines should be.
func Scarce(pools []Pool) bool {
	short := slices.ContainsFunc(pools, func(p Pool) bool { return !p.Standby && p.Urgent > p.Have })
	late := slices.ContainsFunc(pools, func(p Pool) bool { return !p.Standby && p.Total > p.Urgent && p.Have > p.Urgent })
	return short && late
}

// level returns the pools with their needs reduced to what the fleet can give: the urgent needs
// to a common level, and then what remains of the fleet to the total needs.
func level(pools []Pool, fleet int64) []Pool {
	out := slices.Clone(pools)
	left := fleet - fill(out, fleet, func(p *Pool) *int64 { return &p.Urgent }, func(*Pool) int64 { return 0 })
	fill(out, left, func(p *Pool) *int64 { return &p.Total }, urgent)
	return out
}

// fill reduces the amounts of the pools that exceed their bases to a common level above the
// bases, so that the sum above the bases is at most available. It returns that sum.
func fill(pools []Pool, available int64, amount func(*Pool) *int64, base amount) int64 {
	excess := func(p *Pool) int64 { return max(0, *amount(p)-base(p)) }
	var order []*Pool
	for i := range pools {
		if !pools[i].Standby {
			order = append(order, &pools[i])
		}
	}
	slices.SortStableFunc(order, func(a, b *Pool) int { return cmp.Compare(excess(a), excess(b)) })
	used := int64(0)
	for i, p := range order {
		share := max(0, available-used) / int64(len(order)-i)
		granted := min(excess(p), share)
		*amount(p) = base(p) + granted
		used += granted
	}
	return used
}
