package platform

import (
	"time"

	"lavenderpond/core"
)

// limiter implements limit.Limiter for Allotments.
type limiter struct{ a *Allotments }

// Acquire implements limit.Limiter.
func (l limiter) Acquire(now time.Time, key core.RequestKey, until time.Time) bool {
	l.a.mu.Lock()
	defer l.a.mu.Unlock()
	return l.a.Ledger.Acquire(now, key, until)
}

// Release implements limit.Limiter.
func (l limiter) Release(key core.RequestKey) {
	l.a.mu.Lock()
	defer l.a.mu.Unlock()
	l.a.Ledger.Release(key)
}

// Running implements limit.Limiter.
func (l limiter) Running(now time.Time, team core.TeamID) core.Slots {
	l.a.mu.Lock()
	defer l.a.mu.Unlock()
	return l.a.Ledger.Running(now, team)
}

// RecordDemand implements limit.Limiter.
func (l limiter) RecordDemand(now time.Time, team core.TeamID) {
	l.a.mu.Lock()
	defer l.a.mu.Unlock()
	l.a.Ledger.RecordDemand(now, team)
}
