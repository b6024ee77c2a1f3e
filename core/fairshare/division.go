package fairshare

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lavenderpond/core/job"
)

// Division is the division of a pool that is full. What accounts hold may change after it was
// made; their shares stay.
type Division struct {
	capacity vector
	accounts map[job.AccountName]*Standing
	names    []job.AccountName
}

// Standing is the standing of an account in a division.
type Standing struct {
	Account job.AccountName
	Weight  float64
	Share   Share
	Waiting job.Resources

	capacity vector
	holding  *holding
	// fleet is the weighted fraction of the fleet's capacity that the account uses.
	fleet float64
}

// Demand is what a pool and its accounts want and have.
type Demand struct {
	Pool job.PoolName
	// Free is the free capacity of the pool, and Fleet the capacity of the whole fleet.
	Free, Fleet job.Resources
	// Waiting is the room that each account waits for.
	Waiting map[job.AccountName]job.Resources
	// Weight returns the weight of an account, which must be positive.
	Weight func(job.AccountName) float64
}

// Divide returns the division of a pool, or nil if there is room for all that waits.
func (l *Ledger) Divide(now time.Time, d Demand) *Division {
	total := job.Resources{}
	for _, w := range d.Waiting {
		total = total.Add(w)
	}
	if total.FitsIn(d.Free) {
		return nil
	}
	pool := l.pool(d.Pool)
	for a := range d.Waiting {
		pool.holding(a)
	}
	capacity := d.Free.Add(pool.held)
	out := &Division{
		capacity: toVector(capacity), names: slices.Sorted(maps.Keys(pool.holdings)),
		accounts: make(map[job.AccountName]*Standing, len(pool.holdings)),
	}
	claims := make([]Claim, len(out.names))
	for i, a := range out.names {
		h := pool.holdings[a]
		h.advance(now)
		s := &Standing{Account: a, Weight: d.Weight(a), Waiting: d.Waiting[a], holding: h, capacity: out.capacity}
		if f := l.fleet[a]; f != nil {
			f.advance(now)
			s.fleet = f.dominant(toVector(d.Fleet)) / s.Weight
		}
		out.accounts[a] = s
		claims[i] = Claim{Weight: s.Weight, Wanted: h.held.Add(s.Waiting)}
	}
	for i, share := range Fill(capacity, claims) {
		out.accounts[out.names[i]].Share = share
	}
	return out
}

// Usage returns the largest fraction of the pool's capacity for any resource that the account
// holds, or held on average over Window if that is more.
func (s *Standing) Usage() float64 { return s.holding.dominant(s.capacity) }

// Held returns the room that the account holds in the pool.
func (s *Standing) Held() job.Resources { return s.holding.held }

// Above reports whether the account wants more than its share and uses at least that.
func (s *Standing) Above() bool { return s.reaches(1) }

// reaches reports whether the account wants more than its share and uses at least a multiple of
// it.
func (s *Standing) reaches(multiple float64) bool {
	return s.Share.Limited && s.Usage() >= multiple*s.Share.Fraction
}

// waitsBelow reports whether the account waits for room and is below its share.
func (s *Standing) waitsBelow() bool { return s.Waiting != job.Resources{} && !s.Above() }

// Above reports whether the account wants more than its share and uses at least that.
func (d *Division) Above(a job.AccountName) bool {
	return d.Reaches(a, 1)
}

// Reaches reports whether the account wants more than its share and uses at least a multiple of
// it.
func (d *Division) Reaches(a job.AccountName, multiple float64) bool {
	s := d.accounts[a]
	return s != nil && s.reaches(multiple)
}

// AnyWaitsBelow reports whether an account that waits for room is below its share.
func (d *Division) AnyWaitsBelow() bool {
	for _, s := range d.accounts {
		if s.waitsBelow() {
			return true
		}
	}
	return false
}

// Compare orders two accounts by their present usage per weight in the pool, then in the fleet,
// then by name. The account that should start next comes first.
func (d *Division) Compare(a, b job.AccountName) int {
	x, y := d.accounts[a], d.accounts[b]
	return cmp.Or(cmp.Compare(x.Usage()/x.Weight, y.Usage()/y.Weight), cmp.Compare(x.fleet, y.fleet), cmp.Compare(a, b))
}

// Standings returns the standing of each account that holds, held or wants room, by name.
func (d *Division) Standings() []*Standing {
	out := make([]*Standing, len(d.names))
	for i, a := range d.names {
		out[i] = d.accounts[a]
	}
	return out
}
