package fairshare

import (
	"math"
	"time"

	"lavenderpond/core/job"
)

// StoredUsage is the stored form of what the accounts of a pool held on average.
type StoredUsage struct {
	// StoredAt is the time of day of the reading.
	StoredAt time.Time                         `json:"stored_at"`
	Accounts map[job.AccountName]job.Resources `json:"accounts"`
}

// materialChange is the fraction of a pool's usage that must have changed, beyond its decay, to
// be stored again.
const materialChange = 0.1

// Changed reports whether the usage of a pool differs materially from what was last stored.
func (l *Ledger) Changed(now time.Time, p job.PoolName) bool {
	pool := l.pool(p)
	keep := decay(now.Sub(pool.savedAt))
	var sum, difference vector
	for a, h := range pool.holdings {
		h.advance(now)
		saved := pool.saved[a]
		for r := range sum {
			sum[r] += h.mean[r]
			difference[r] += math.Abs(h.mean[r] - saved[r]*keep)
		}
	}
	for r := range sum {
		if difference[r] > materialChange*sum[r] {
			return true
		}
	}
	return false
}

// Save returns the usage of a pool to be stored.
func (l *Ledger) Save(now, wall time.Time, p job.PoolName) StoredUsage {
	pool := l.pool(p)
	out := StoredUsage{StoredAt: wall, Accounts: map[job.AccountName]job.Resources{}}
	pool.saved, pool.savedAt = map[job.AccountName]vector{}, now
	for a, h := range pool.holdings {
		h.advance(now)
		r := job.Resources{CPU: round(h.mean[0]), MemMB: round(h.mean[1]), GPU: round(h.mean[2])}
		if r == (job.Resources{}) {
			continue
		}
		out.Accounts[a] = r
		pool.saved[a] = toVector(r)
	}
	return out
}

func round(x float64) int64 { return int64(math.Round(x)) }

// Restore adds stored usage of a pool, without that which has decayed. It returns the age of the
// usage by the time of day, which is 0 if the clock of the process that stored it was ahead.
func (l *Ledger) Restore(now, wall time.Time, p job.PoolName, u StoredUsage) (age time.Duration) {
	age = max(0, wall.Sub(u.StoredAt))
	keep := decay(age)
	for a, r := range u.Accounts {
		mean := toVector(r)
		for i := range mean {
			mean[i] *= keep
		}
		if max(mean[0], mean[1], mean[2]) < negligibleMean {
			continue
		}
		for _, h := range [...]*holding{l.pool(p).holding(a), l.fleetHolding(a)} {
			h.advance(now)
			for i := range mean {
				h.mean[i] += mean[i]
			}
		}
	}
	return age
}
