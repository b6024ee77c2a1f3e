package config

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/table"
)

// Change is an operator's change: SetTeam, SetPool, SetQueue, SetDefaults,
// AddException, RetireException, GrantKey, WithdrawKey or AttestZone.
type Change interface {
	// Key returns the key of the row that the change writes.
	Key() table.Key
	// ChangedBy returns the author of the change.
	ChangedBy() string
	isChange()
}

// SetTeam creates a team or replaces its row.
type SetTeam struct {
	Author string
	Team   core.TeamID
	Value  Team
}

// SetPool creates a pool or replaces its settings.
type SetPool struct {
	Author string
	Pool   core.PoolID
	Value  Pool
}

// SetQueue creates a queue or replaces its settings.
type SetQueue struct {
	Author string
	Queue  core.QueueID
	Value  Queue
}

// SetDefaults replaces the fleet-wide defaults.
type SetDefaults struct {
	Author string
	Value  Defaults
}

// AddException adds an exception, or replaces the one with the same id.
type AddException struct {
	Author string
	ID     string
	Scope  table.Key
	Reason string
	End    time.Time
	Value  map[string]int
}

// RetireException ends an exception immediately. Its row stays, with End set to the current
// time. A deletion would have no version, so a stale view could restore the exception.
type RetireException struct {
	Author string
	ID     string
	Reason string
}

// GrantKey lets a key authenticate a team. A withdrawn key can't be granted again.
type GrantKey struct {
	Author string
	Team   core.TeamID
	Digest core.KeyDigest
}

// WithdrawKey revokes a key permanently. It takes effect whether it is applied before or
// after GrantKey.
type WithdrawKey struct {
	Author string
	Team   core.TeamID
	Digest core.KeyDigest
	Reason string
}

// AttestZone states that a zone and all its VMs are down, so that its allotments may be
// reclaimed, or that the zone is back.
type AttestZone struct {
	Author string
	Zone   core.ZoneID
	Down   bool
	Reason string
}

// Key implements Change.
func (c SetTeam) Key() table.Key { return table.TeamKey(c.Team) }

// Key implements Change.
func (c SetPool) Key() table.Key { return table.PoolConfigKey(c.Pool) }

// Key implements Change.
func (c SetQueue) Key() table.Key { return table.QueueKey(c.Queue) }

// Key implements Change.
func (c SetDefaults) Key() table.Key { return table.ConfigDefaults }

// Key implements Change.
func (c AddException) Key() table.Key { return table.ExceptionKey(c.ID) }

// Key implements Change.
func (c RetireException) Key() table.Key { return table.ExceptionKey(c.ID) }

// Key implements Change.
func (c GrantKey) Key() table.Key { return table.KeyDigestKey(c.Digest) }

// Key implements Change.
func (c WithdrawKey) Key() table.Key { return table.KeyDigestKey(c.Digest) }

// Key implements Change.
func (c AttestZone) Key() table.Key { return ZoneDownKey(c.Zone) }

// ChangedBy implements Change.
func (c SetTeam) ChangedBy() string { return c.Author }

// ChangedBy implements Change.
func (c SetPool) ChangedBy() string { return c.Author }

// ChangedBy implements Change.
func (c SetQueue) ChangedBy() string { return c.Author }

// ChangedBy implements Change.
func (c SetDefaults) ChangedBy() string { return c.Author }

// ChangedBy implements Change.
func (c AddException) ChangedBy() string { return c.Author }

// ChangedBy implements Change.
func (c RetireException) ChangedBy() string { return c.Author }

// ChangedBy implements Change.
func (c GrantKey) ChangedBy() string { return c.Author }

// ChangedBy implements Change.
func (c WithdrawKey) ChangedBy() string { return c.Author }

// ChangedBy implements Change.
func (c AttestZone) ChangedBy() string { return c.Author }

func (SetTeam) isChange()         {}
func (SetPool) isChange()         {}
func (SetQueue) isChange()        {}
func (SetDefaults) isChange()     {}
func (AddException) isChange()    {}
func (RetireException) isChange() {}
func (GrantKey) isChange()        {}
func (WithdrawKey) isChange()     {}
func (AttestZone) isChange()      {}
