package shard

import (
	"time"

	"lavenderpond/core"
)

// Defaults of Params. docs/design/shards.md gives the reasons.
const (
	DefaultShards      core.ShardIndex = 32
	DefaultLease                       = 2 * time.Second
	DefaultSkew                        = 250 * time.Millisecond
	DefaultMaxLifetime                 = time.Hour
)

// Params are the settings of a LeaseManager. A zero value selects the default,
// except for Zone and Self, which are required. All entries of a zone must use the
// same settings.
type Params struct {
	Zone   core.ZoneID
	Self   core.EntryID
	Shards core.ShardIndex
	// Lease is how long evidence entitles a holder to decide, counted from when
	// the evidence was requested.
	Lease time.Duration
	// Skew is the maximum difference between the clocks of any two machines,
	// including callers and targets, and the maximum by which a clock is set back.
	Skew time.Duration
	// MaxLifetime is the longest time from a request's acceptance to its deadline.
	MaxLifetime time.Duration
}

func (p Params) withDefaults() Params {
	if p.Shards == 0 {
		p.Shards = DefaultShards
	}
	if p.Lease == 0 {
		p.Lease = DefaultLease
	}
	if p.Skew == 0 {
		p.Skew = DefaultSkew
	}
	if p.MaxLifetime == 0 {
		p.MaxLifetime = DefaultMaxLifetime
	}
	return p
}

// takeoverWait is how long a successor waits, first for a silent holder and again
// after its announcement. The lease may have been renewed just before the wait
// began. Of the two skew bounds, one covers the clock of a target that enforces
// the holder's start_by, and one covers a clock that is set back.
func (p Params) takeoverWait() time.Duration { return p.Lease + 2*p.Skew }

// horizonAt returns the horizon of a takeover at now. A former holder accepts a
// first_sent of up to its own clock plus the skew bound, and its clock may differ
// from this one by the skew bound again.
func (p Params) horizonAt(now time.Time) time.Time { return now.Add(2 * p.Skew) }

// Intervals of periodic work, as fractions of the lease. Three messages may be
// lost or late before a lease expires.
func (p Params) pingInterval() time.Duration   { return p.Lease / 4 }
func (p Params) readInterval() time.Duration   { return p.Lease / 2 }
func (p Params) silenceTimeout() time.Duration { return p.Lease / 2 }
func (p Params) retryInterval() time.Duration  { return p.Lease / 8 }
