package platform

import (
	"time"

	"lavenderpond/core"
)

// limiter implements limit.Limiter for Allotments.
type limiter struct{ allotments *Allotments }

// Acquire implements limit.Limiter.
func (l limiter) Acquire(now time.Time, key core.RequestKey, until time.Time) bool {
	l.allotments.mu.Lock()
	defer l.allotments.mu.Unlock()
	return l.allotments.Ledger.Acquire(now, key, until)
}

// Release implements limit.Limiter.
func (l limiter) Release(key core.RequestKey) {
	l.allotments.mu.Lock()
	defer l.allotments.mu.Unlock()
	l.allotments.Ledger.Release(key)
}

// Running implements limit.Limiter.
func (l limiter) Running(now time.Time, team core.TeamID) core.Slots {
	l.allotments.mu.Lock()
	defer l.allotments.mu.Unlock()
	return l.allotments.Ledger.Running(now, team)
}

// RecordDemand implements limit.Limiter.
func (l limiter) RecordDemand(now time.Time, team core.TeamID) {
	l.allotments.mu.Lock()
	defer l.allotments.mu.Unlock()
	l.allotments.Ledger.RecordDemand(now, team)
}
