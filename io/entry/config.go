package entry

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/home"
	"lavenderpond/core/queue/fair"
	"lavenderpond/core/route"
	"lavenderpond/io/peer"
	"lavenderpond/io/platform"
)

// configuration provides the entry's view of the configuration to Home and Front.
type configuration struct {
	*platform.Configuration
	watcher *platform.ConfigWatcher
	spread  *peer.Spread
}

var (
	_ home.Configuration = (*configuration)(nil)
	_ Authorizer         = (*configuration)(nil)
)

// Pool implements home.Configuration.
func (c *configuration) Pool(now time.Time, q core.QueueID) (pool core.PoolID, overflow, ok bool) {
	c.View(func(v *config.View) {
		var queue config.Queue
		queue, ok = v.Queue(now, q)
		pool, overflow = queue.Pool, queue.Overflow
	})
	return pool, overflow, ok
}

// VerifyKey implements home.Configuration.
func (c *configuration) VerifyKey(now time.Time, team core.TeamID, digest core.KeyDigest) (core.Code, bool) {
	return c.CheckKey(now, team, digest)
}

// Authorize implements Authorizer.
func (c *configuration) Authorize(now time.Time, team core.TeamID, digest core.KeyDigest) (core.Code, bool) {
	known := false
	c.View(func(v *config.View) { _, known = v.Team(now, team) })
	if !known {
		return core.CodeUnknownTeam, false
	}
	return c.CheckKey(now, team, digest)
}

// share returns the scheduling share of a team. An unknown team has a share of 1.
func (c *configuration) share(now time.Time, team core.TeamID) int {
	share := 1
	c.View(func(v *config.View) {
		if t, ok := v.Team(now, team); ok {
			share = t.Share
		}
	})
	return share
}

// maxQueued returns the maximum length of a queue. It is 0 for an unknown queue.
func (c *configuration) maxQueued(now time.Time, q core.QueueID) int {
	bound := 0
	c.View(func(v *config.View) {
		if queue, ok := v.Queue(now, q); ok {
			bound = queue.MaxQueued
		}
	})
	return bound
}

// isLoaded reports whether the configuration has been read at least once, from the table
// or from a peer.
func (c *configuration) isLoaded() bool { return !c.KeysFreshUntil().IsZero() }

// buildConfig creates the configuration with its watcher and its Spread, and connects it
// to the queue and to the waiting requests.
func (d *Daemon) buildConfig(queue *fair.Queue) {
	s := d.settings
	c := &configuration{Configuration: &platform.Configuration{
		Zone: s.Entry.Zone, Zones: s.Entry.Zones, MaxKeyStaleness: s.Keys.CutOffBound, Skew: s.Entry.SkewBound, Started: d.started,
		OnWithdrawn: func(digests []core.KeyDigest) {
			for _, digest := range digests {
				d.requests.Handle(home.KeyWithdrawn{Digest: digest})
			}
		},
		OnChange: func() { d.requests.Handle(home.Changed{}) },
	}}
	c.watcher = &platform.ConfigWatcher{
		Table: d.platform, Config: c.Configuration, Now: d.now, Log: d.log, Interval: s.Platform.PollInterval,
	}
	c.spread = &peer.Spread{
		Self: d.member(), Replica: c.Configuration, Members: d.members, Zones: s.Entry.Zones,
		Call: d.peers.Call, Now: d.now, Log: d.log,
	}
	d.config = c
	queue.Share = func(t core.TeamID) int { return c.share(d.now(), t) }
	queue.MaxQueued = func(q core.QueueID) int { return c.maxQueued(d.now(), q) }
}

// member returns this entry as a peer of others.
func (d *Daemon) member() peer.Member {
	return peer.Member{Entry: d.id, Zone: d.settings.Entry.Zone, Address: d.settings.Entry.AdvertisePeer.String()}
}

// members returns the entries of a zone that are in the directory.
func (d *Daemon) members(zone core.ZoneID) []peer.Member {
	var members []peer.Member
	for _, a := range d.directory.AddressesInZone(zone) {
		members = append(members, peer.Member{Entry: a.Entry, Zone: a.Zone, Address: a.Peer.String()})
	}
	return members
}

// routePools returns the pools' settings for the router: whether they lend idle targets,
// and how many targets may be ejected, which is the remaining disruption budget.
func (d *Daemon) routePools() []route.Pool {
	var pools []route.Pool
	d.config.View(func(v *config.View) {
		for _, id := range v.Pools() {
			settings, _ := v.Pool(d.now(), id)
			pool := route.Pool{ID: id, LendsIdle: settings.LendsIdle}
			if state, ok := d.fleet.Pool(id); ok {
				pool.MaxEjected = max(0, state.Headroom())
			}
			pools = append(pools, pool)
		}
	})
	return pools
}
