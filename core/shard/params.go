package shard

import (
	"time"

	"lavenderpond/core"
)

// Defaults of Params. docs/design/shards.md argues for each.
const (
	DefaultShards      core.ShardIndex = 32
	DefaultLease                       = 2 * time.Second
	DefaultSkew                        = 250 * time.Millisecond
	DefaultMaxLifetime                 = time.Hour
)

// Params are a Keeper's settings. Zero values of all but Zone and Self stand for
// the defaults. All entries of a zone must be given the same.
type Params struct {
	Zone   core.ZoneID
	Self   core.EntryID
	Shards core.ShardIndex
	// Lease is how long a piece of evidence lets a holder decide, from its send.
	Lease time.Duration
	// Skew is the most by which the clocks of any two machines differ, callers and
	// targets included, and the most that a clock is set back.
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

// takeOverWait is how long a successor waits, once for a silent holder and again
// after its announcement. The lease may have been renewed at the last moment
// before, and a target that enforces the holder's start_by has a clock of its
// own: one skew bound for the target, one for a clock that is set back.
func (p Params) takeOverWait() time.Duration { return p.Lease + 2*p.Skew }

// horizonAt returns the horizon of a take-over at now: an old holder accepted a
// first_sent of at most its own clock plus the skew bound, and its clock differs
// from this one by the skew bound again.
func (p Params) horizonAt(now time.Time) time.Time { return now.Add(2 * p.Skew) }

// Intervals of the periodic work, as parts of the lease: three messages may be
// lost or late before a right lapses.
func (p Params) pingInterval() time.Duration   { return p.Lease / 4 }
func (p Params) readInterval() time.Duration   { return p.Lease / 2 }
func (p Params) silenceTimeout() time.Duration { return p.Lease / 2 }
func (p Params) retryInterval() time.Duration  { return p.Lease / 8 }
