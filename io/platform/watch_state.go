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
func (c *Configuration) CheckKey(now time.Time, team core.TeamID, d core.KeyDigest) (core.Code, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.ring.Check(now, team, d)
}

// KeyTeam returns the team that a key belongs to, if its digest is known.
func (c *Configuration) KeyTeam(d core.KeyDigest) (core.TeamID, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.ring.Team(d)
}

// KeysFreshUntil returns until when the key list is trusted.
func (c *Configuration) KeysFreshUntil() time.Time {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.ring.FreshUntil()
}

// Withdraw puts withdrawals in force here.
func (c *Configuration) Withdraw(withdrawals ...key.Withdrawal) {
	ended := c.update(func() []core.KeyDigest { return c.ring.Withdraw(withdrawals...) })
	c.notify(ended, false)
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
func (c *Configuration) FromTable(d config.Delta, sent time.Time) error {
	var failed error
	changed := false
	ended := c.update(func() []core.KeyDigest {
		news, err := c.view.Apply(d, config.FromTable)
		failed, changed = err, len(news) > 0
		ended := c.ring.Apply(news)
		if err == nil && c.view.Version() >= d.Version {
			c.ring.Complete(sent)
		}
		return ended
	})
	c.notify(ended, changed)
	return failed
}

// FromPeer takes in what an entry of zone told in answer to, or with, a message
// that left its sender at sent. Zero sent counts as no contact.
func (c *Configuration) FromPeer(d config.Delta, s key.Summary, zone core.ZoneID, sent time.Time) error {
	var failed error
	changed := false
	ended := c.update(func() []core.KeyDigest {
		news, err := c.view.Apply(d, config.FromPeer)
		failed, changed = err, len(news) > 0
		ended := c.ring.Apply(news)
		caughtUp := err == nil && c.view.Version() >= d.Version
		ended = append(ended, c.ring.Merge(s, caughtUp, c.Skew)...)
		if caughtUp && s.Joined && !sent.IsZero() {
			c.ring.RecordZoneContact(zone, sent)
		}
		return ended
	})
	c.notify(ended, changed)
	return failed
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

func (c *Configuration) notify(ended []core.KeyDigest, changed bool) {
	if len(ended) > 0 && c.OnWithdrawn != nil {
		c.OnWithdrawn(ended)
	}
	if changed && c.OnChange != nil {
		c.OnChange()
	}
}
