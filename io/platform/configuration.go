package platform

import (
	"sync"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/key"
)

// Configuration holds an entry's view of the configuration and its key ring, for
// all its goroutines. Set the fields before use.
type Configuration struct {
	Zone  core.ZoneID
	Zones []core.ZoneID
	// MaxKeyStaleness is key.Ring's Trust.
	MaxKeyStaleness time.Duration
	// Started is when this run of the entry began.
	Started time.Time
	// Skew is the most by which the clocks of two machines differ.
	Skew time.Duration
	// OnWithdrawn is told of keys that ended, so that what is queued with them is
	// refused at once. It is called without the lock.
	OnWithdrawn func([]core.KeyDigest)
	// OnChange is called without the lock when the view changed.
	OnChange func()

	mu             sync.RWMutex
	view           config.View
	ring           key.Ring
	ringConfigured bool
}

// View calls f with the view; f must not keep it.
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

// DeltaSince returns what a peer lacks whose view is complete up to since.
func (c *Configuration) DeltaSince(since core.Version) config.Delta {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.view.DeltaSince(since)
}

// CheckKey is key.Ring's Check.
func (c *Configuration) CheckKey(now time.Time, team core.TeamID, digest core.KeyDigest) (core.Code, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.ring.Check(now, team, digest)
}

// KeyTeam returns the team that a key belongs to, if its digest is known.
func (c *Configuration) KeyTeam(digest core.KeyDigest) (core.TeamID, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.ring.Team(digest)
}

// KeysFreshUntil returns until when the key list is trusted.
func (c *Configuration) KeysFreshUntil() time.Time {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.ring.FreshUntil()
}

// Withdraw puts withdrawals in force here.
func (c *Configuration) Withdraw(withdrawals ...key.Withdrawal) {
	withdrawnKeys := c.update(func() []core.KeyDigest { return c.ring.Withdraw(withdrawals...) })
	c.notify(withdrawnKeys, false)
}

// Unrecorded returns the withdrawals that weren't read from the table yet.
func (c *Configuration) Unrecorded() []key.Withdrawal {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.ring.Unrecorded()
}

// Summary returns what to tell peers of the key ring.
func (c *Configuration) Summary() key.Summary {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.ring.Summary()
}

// FromTable takes in rows read from the table. Complete tells that the view then
// holds all that the table held at sent.
func (c *Configuration) FromTable(delta config.Delta, sentAt time.Time) error {
	var applyErr error
	changed := false
	withdrawnKeys := c.update(func() []core.KeyDigest {
		changedRows, err := c.view.Apply(delta, config.FromTable)
		applyErr, changed = err, len(changedRows) > 0
		withdrawnKeys := c.ring.Apply(changedRows)
		if err == nil && c.view.Version() >= delta.Version {
			c.ring.Complete(sentAt)
		}
		return withdrawnKeys
	})
	c.notify(withdrawnKeys, changed)
	return applyErr
}

// FromPeer takes in what an entry of zone told in answer to, or with, a message
// that left its sender at sent. Zero sent counts as no contact.
func (c *Configuration) FromPeer(delta config.Delta, summary key.Summary, zone core.ZoneID, sentAt time.Time) error {
	var applyErr error
	changed := false
	withdrawnKeys := c.update(func() []core.KeyDigest {
		changedRows, err := c.view.Apply(delta, config.FromPeer)
		applyErr, changed = err, len(changedRows) > 0
		withdrawnKeys := c.ring.Apply(changedRows)
		caughtUp := err == nil && c.view.Version() >= delta.Version
		withdrawnKeys = append(withdrawnKeys, c.ring.Merge(summary, caughtUp, c.Skew)...)
		if caughtUp && summary.Joined && !sentAt.IsZero() {
			c.ring.RecordZoneContact(zone, sentAt)
		}
		return withdrawnKeys
	})
	c.notify(withdrawnKeys, changed)
	return applyErr
}

// update runs f under the lock, with the ring's settings in place.
func (c *Configuration) update(f func() []core.KeyDigest) []core.KeyDigest {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ringConfigured {
		c.ring.Zone, c.ring.Zones, c.ring.MaxStaleness, c.ring.Started, c.ringConfigured = c.Zone, c.Zones, c.MaxKeyStaleness, c.Started, true
	}
	return f()
}

func (c *Configuration) notify(withdrawnKeys []core.KeyDigest, changed bool) {
	if len(withdrawnKeys) > 0 && c.OnWithdrawn != nil {
		c.OnWithdrawn(withdrawnKeys)
	}
	if changed && c.OnChange != nil {
		c.OnChange()
	}
}
