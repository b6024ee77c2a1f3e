package fairshare

import (
	"cmp"
	"math"
	"slices"

	"lavenderpond/core/job"
)

// Claim is what one account wants of a pool: the room that it holds and the room that it waits
// for. Weight is positive.
type Claim struct {
	Weight float64
	Wanted job.Resources
}

// Share is what an account may hold, as a fraction of the capacity for the resource of which it
// wants the largest fraction.
type Share struct {
	Fraction float64
	// Limited is set if the account wants more than its share.
	Limited bool
}

// Fill divides the capacity by progressive filling: the shares of all accounts grow in
// proportion to their weights. An account stops growing when it has all that it wants, or when a
// resource that it wants is exhausted.
func Fill(capacity job.Resources, claims []Claim) []Share {
	f := filling{shares: make([]Share, len(claims)), unused: vector{1, 1, 1}}
	total := toVector(capacity)
	for i, c := range claims {
		if d := newClaimant(i, c, total); d.wanted > 0 {
			f.claimants = append(f.claimants, d)
		}
	}
	slices.SortStableFunc(f.claimants, func(a, b claimant) int { return cmp.Compare(a.enough, b.enough) })
	f.sumGrowth()
	for i := range f.claimants {
		for !f.claimants[i].done {
			f.raiseLevel(&f.claimants[i])
		}
	}
	return f.shares
}

// claimant is an account that wants room. It is done once its share is known.
type claimant struct {
	index  int
	weight float64
	// wanted is the fraction of the capacity that it wants of its dominant resource, and
	// enough the level at which it has that.
	wanted, enough float64
	// growth is what it takes of each resource while the level grows by 1.
	growth vector
	done   bool
}

// newClaimant returns the claimant for a claim. A resource that the pool lacks counts as if
// there were one unit of it.
func newClaimant(i int, c Claim, total vector) claimant {
	d := claimant{index: i, weight: c.Weight}
	for r, wanted := range toVector(c.Wanted) {
		d.growth[r] = max(0, wanted) / max(1, total[r])
		d.wanted = max(d.wanted, d.growth[r])
	}
	for r := range d.growth {
		if d.wanted > 0 {
			d.growth[r] *= c.Weight / d.wanted
		}
	}
	d.enough = d.wanted / c.Weight
	return d
}

// filling is the state of a division. The level is the share per unit of weight.
type filling struct {
	shares    []Share
	claimants []claimant
	level     float64
	unused    vector
	// growth is the sum over the claimants that are not done.
	growth vector
}

func (f *filling) sumGrowth() {
	f.growth = vector{}
	for i := range f.claimants {
		if d := &f.claimants[i]; !d.done {
			for r := range d.growth {
				f.growth[r] += d.growth[r]
			}
		}
	}
}

// raiseLevel raises the level until the claimant with the least need has enough, or a resource
// is exhausted.
func (f *filling) raiseLevel(least *claimant) {
	resource, exhausted := f.firstExhausted()
	level := min(exhausted, least.enough)
	for r := range f.unused {
		f.unused[r] = max(0, f.unused[r]-f.growth[r]*(level-f.level))
	}
	f.level = level
	if least.enough > exhausted {
		f.limitUsers(resource)
		return
	}
	f.shares[least.index] = Share{Fraction: least.wanted}
	least.done = true
	for r := range f.growth {
		f.growth[r] = max(0, f.growth[r]-least.growth[r])
	}
}

// firstExhausted returns the resource that is exhausted first, and the level at which it is.
func (f *filling) firstExhausted() (resource int, level float64) {
	level = math.Inf(1)
	for r := range f.growth {
		if f.growth[r] <= 0 {
			continue
		}
		if at := f.level + f.unused[r]/f.growth[r]; at < level {
			resource, level = r, at
		}
	}
	return resource, level
}

// limitUsers ends the growth of all claimants that want the resource.
func (f *filling) limitUsers(resource int) {
	for i := range f.claimants {
		if d := &f.claimants[i]; !d.done && d.growth[resource] > 0 {
			f.shares[d.index] = Share{Fraction: f.level * d.weight, Limited: true}
			d.done = true
		}
	}
	f.sumGrowth()
}
