// Package fairshare divides the room of a pool that is full among client accounts. A Ledger
// records the room that each account holds and has held recently. A Division is the weighted
// max-min fair division of a pool among the accounts that want room there now. The package uses
// no clock, network or goroutines.
package fairshare

import (
	"math"
	"time"

	"lavenderpond/core/job"
)

// Window is the time constant over which the room that an account has held is averaged. Callers
// send jobs in bursts of some seconds.
const Window = 4 * time.Second

// resourceCount is the number of kinds of resources: CPU, memory and accelerators.
const resourceCount = 3

// vector is an amount of each kind of resource.
type vector [resourceCount]float64

func toVector(r job.Resources) vector {
	return vector{float64(r.CPU), float64(r.MemMB), float64(r.GPU)}
}

// holding is the room that an account holds in a pool, or in the whole fleet.
type holding struct {
	held job.Resources
	// mean is the average of held over Window, as of updatedAt.
	mean      vector
	updatedAt time.Time
}

// advance brings the mean up to now.
func (h *holding) advance(now time.Time) {
	elapsed := now.Sub(h.updatedAt)
	if h.updatedAt.IsZero() || elapsed > 0 {
		keep := decay(elapsed)
		for i, held := range toVector(h.held) {
			h.mean[i] = held + (h.mean[i]-held)*keep
		}
		h.updatedAt = now
	}
}

// decay returns the factor by which a mean decays within d.
func decay(d time.Duration) float64 { return math.Exp(-max(0, d.Seconds()) / Window.Seconds()) }

// dominant returns the largest fraction that the account holds, or held on average, of any
// resource.
func (h *holding) dominant(capacity vector) float64 {
	out := 0.0
	for i, held := range toVector(h.held) {
		if capacity[i] > 0 {
			out = max(out, max(held, h.mean[i])/capacity[i])
		}
	}
	return out
}

// negligibleMean is the mean, in thousandths of a core, mebibytes or accelerators, below which
// an account that holds nothing is forgotten.
const negligibleMean = 0.01

func (h *holding) negligible() bool {
	return h.held == job.Resources{} && max(h.mean[0], h.mean[1], h.mean[2]) < negligibleMean
}

// poolLedger holds the accounts of a pool.
type poolLedger struct {
	holdings map[job.AccountName]*holding
	// held is the sum over all accounts.
	held job.Resources
	// saved is what was last stored of the means, as of savedAt.
	saved   map[job.AccountName]vector
	savedAt time.Time
}

// Ledger records the room that each account holds and has held, per pool and in the whole
// fleet. Its zero value is empty.
type Ledger struct {
	pools map[job.PoolName]*poolLedger
	fleet map[job.AccountName]*holding
}

// Add records that the account holds this much more room in the pool.
func (l *Ledger) Add(now time.Time, p job.PoolName, a job.AccountName, r job.Resources) {
	l.change(now, p, a, r)
}

// Remove records that the account has returned room in the pool.
func (l *Ledger) Remove(now time.Time, p job.PoolName, a job.AccountName, r job.Resources) {
	l.change(now, p, a, job.Resources{}.Sub(r))
}

func (l *Ledger) change(now time.Time, p job.PoolName, a job.AccountName, r job.Resources) {
	pool := l.pool(p)
	pool.held = pool.held.Add(r)
	for _, h := range [...]*holding{pool.holding(a), l.fleetHolding(a)} {
		h.advance(now)
		h.held = h.held.Add(r)
	}
}

func (l *Ledger) pool(p job.PoolName) *poolLedger {
	out := l.pools[p]
	if out == nil {
		if l.pools == nil {
			l.pools = map[job.PoolName]*poolLedger{}
		}
		out = &poolLedger{holdings: map[job.AccountName]*holding{}}
		l.pools[p] = out
	}
	return out
}

func (p *poolLedger) holding(a job.AccountName) *holding {
	out := p.holdings[a]
	if out == nil {
		out = &holding{}
		p.holdings[a] = out
	}
	return out
}

func (l *Ledger) fleetHolding(a job.AccountName) *holding {
	out := l.fleet[a]
	if out == nil {
		if l.fleet == nil {
			l.fleet = map[job.AccountName]*holding{}
		}
		out = &holding{}
		l.fleet[a] = out
	}
	return out
}

// Held returns what all accounts together hold in a pool.
func (l *Ledger) Held(p job.PoolName) job.Resources {
	if pool := l.pools[p]; pool != nil {
		return pool.held
	}
	return job.Resources{}
}

// Empty reports whether the ledger holds no account.
func (l *Ledger) Empty() bool { return len(l.pools)+len(l.fleet) == 0 }

// Prune forgets accounts that hold nothing and whose mean has decayed, and pools without any,
// except pools whose divisions are in use.
func (l *Ledger) Prune(now time.Time, inUse func(job.PoolName) bool) {
	for name, p := range l.pools {
		if inUse(name) {
			continue
		}
		if prune(now, p.holdings); len(p.holdings) == 0 {
			delete(l.pools, name)
		}
	}
	prune(now, l.fleet)
}

func prune(now time.Time, holdings map[job.AccountName]*holding) {
	for a, h := range holdings {
		h.advance(now)
		if h.negligible() {
			delete(holdings, a)
		}
	}
}
