package platform

import (
	"sync"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/key"
)

// Configuration holds an entry's view of the configuration and its key ring, and makes
// both safe for concurrent use. Set the exported fields before use.
type Configuration struct {
	Zone  core.ZoneID
	Zones []core.ZoneID
	// MaxKeyStaleness is the MaxStaleness of the key.Keyring.
	MaxKeyStaleness time.Duration
	// Started is when this run of the entry began.
	Started time.Time
	// Skew is the maximum difference between the clocks of two machines.
	Skew time.Duration
	// OnWithdrawn receives the keys that were withdrawn, so that queued requests that use
	// them are refused immediately. It is called without the lock.
	OnWithdrawn func([]core.KeyDigest)
	// OnChange is called without the lock after the view changed.
	OnChange func()

	mu                sync.RWMutex
	view              config.View
	keyRing           key.Keyring
	keyRingConfigured bool
}

// View calls f with the view. f must not retain it.
func (c *Configuration) View(f func(v *config.View)) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	f(&c.view)
}

// Version returns the configuration version up to which the view is complete.
func (c *Configuration) Version() core.Version {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.view.Version()
}

// DeltaSince returns what is missing from the view of a peer that is complete up to
// since.
func (c *Configuration) DeltaSince(since core.Version) config.Delta {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.view.DeltaSince(since)
}

// CheckKey calls Check of the key ring.
func (c *Configuration) CheckKey(now time.Time, team core.TeamID, digest core.KeyDigest) (core.Code, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.keyRing.Check(now, team, digest)
}

// KeyTeam returns the team that a key belongs to, if its digest is known.
func (c *Configuration) KeyTeam(digest core.KeyDigest) (core.TeamID, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.keyRing.Team(digest)
}

// KeysFreshUntil returns the time until which the key ring is fresh.
func (c *Configuration) KeysFreshUntil() time.Time {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.keyRing.FreshUntil()
}

// Withdraw puts withdrawals into force at this entry.
func (c *Configuration) Withdraw(withdrawals ...key.Withdrawal) {
	withdrawnKeys := c.update(func() []core.KeyDigest { return c.keyRing.Withdraw(withdrawals...) })
	c.notify(withdrawnKeys, false)
}

// Unrecorded returns the withdrawals that haven't been read from the table yet.
func (c *Configuration) Unrecorded() []key.Withdrawal {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.keyRing.Unrecorded()
}

// Summary returns the summary of the key ring that is sent to peers.
func (c *Configuration) Summary() key.Summary {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.keyRing.Summary()
}

// ApplyFromTable applies rows that were read from the table by a request sent at sentAt. If
// this completes the view up to the delta's version, the key ring is complete as of
// sentAt.
func (c *Configuration) ApplyFromTable(delta config.Delta, sentAt time.Time) error {
	var applyErr error
	changed := false
	withdrawnKeys := c.update(func() []core.KeyDigest {
		changedRows, err := c.view.Apply(delta, config.FromTable)
		applyErr, changed = err, len(changedRows) > 0
		withdrawnKeys := c.keyRing.Apply(changedRows)
		if err == nil && c.view.Version() >= delta.Version {
			c.keyRing.RecordTableRead(sentAt)
		}
		return withdrawnKeys
	})
	c.notify(withdrawnKeys, changed)
	return applyErr
}

// ApplyFromPeer applies data that an entry of zone sent in a message or in a reply. sentAt
// is when the message left its sender. If it is zero, the exchange doesn't count as a
// contact with the zone.
func (c *Configuration) ApplyFromPeer(delta config.Delta, summary key.Summary, zone core.ZoneID, sentAt time.Time) error {
	var applyErr error
	changed := false
	withdrawnKeys := c.update(func() []core.KeyDigest {
		changedRows, err := c.view.Apply(delta, config.FromPeer)
		applyErr, changed = err, len(changedRows) > 0
		withdrawnKeys := c.keyRing.Apply(changedRows)
		caughtUp := err == nil && c.view.Version() >= delta.Version
		withdrawnKeys = append(withdrawnKeys, c.keyRing.Merge(summary, caughtUp, c.Skew)...)
		if caughtUp && summary.Joined && !sentAt.IsZero() {
			c.keyRing.RecordZoneContact(zone, sentAt)
		}
		return withdrawnKeys
	})
	c.notify(withdrawnKeys, changed)
	return applyErr
}

// update calls f with the lock held, and before the first call copies the settings to the
// key ring.
func (c *Configuration) update(f func() []core.KeyDigest) []core.KeyDigest {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.keyRingConfigured {
		c.keyRing.Zone, c.keyRing.Zones, c.keyRing.MaxStaleness, c.keyRing.Started, c.keyRingConfigured = c.Zone, c.Zones, c.MaxKeyStaleness, c.Started, true
	}
	return f()
}

// notify calls OnWithdrawn and OnChange as needed. The caller must not hold the lock.
func (c *Configuration) notify(withdrawnKeys []core.KeyDigest, changed bool) {
	if len(withdrawnKeys) > 0 && c.OnWithdrawn != nil {
		c.OnWithdrawn(withdrawnKeys)
	}
	if changed && c.OnChange != nil {
		c.OnChange()
	}
}
