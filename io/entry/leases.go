package entry

import (
	"context"
	"time"

	"lavenderpond/core"
	"lavenderpond/core/home"
	"lavenderpond/core/shard"
	"lavenderpond/io/peer"
	"lavenderpond/io/platform"
)

var (
	_ home.ShardLeases = (*peer.ShardManager)(nil)
	_ LeaseDecider     = (*peer.ShardManager)(nil)
)

// buildLeases creates the shard leases and the allotments and connects both to h. The
// leases permit this entry to decide about requests, the allotments to run them.
func (d *Daemon) buildLeases(h *home.Home) {
	s := d.settings.Entry
	d.shards = peer.NewShardManager(peer.ShardConfig{
		Params: shard.Params{
			Zone: s.Zone, Self: d.id, Shards: s.Shards, Skew: s.SkewBound, MaxLifetime: s.MaxLifetime,
		},
		Table: d.platform, Live: d.liveList, Peers: d.peers, Address: d.entryAddress, Now: d.now, Log: d.log,
		OnAllowed:   func(c shard.StartAllowed) { d.requests.Handle(home.StartAllowed{Key: c.Key}) },
		OnDenied:    func(c shard.StartDenied) { d.requests.Handle(home.StartDenied{Key: c.Key, Verdict: c.Verdict}) },
		OnInherited: d.handleInherited,
		OnLost:      func(c shard.Lost) { d.requests.Handle(home.ShardLost{Shard: c.Shard, Shards: s.Shards}) },
	})
	d.allotments = &platform.Allotments{
		Table: d.platform, Live: d.liveList, Config: d.config.Configuration, Now: d.now, Log: d.log,
		Entries:  d.zoneEntries,
		OnChange: func() { d.requests.Handle(home.Changed{}) },
	}
	d.allotments.Ledger.Self, d.allotments.Ledger.Zone = d.id, s.Zone
	// A deadline may exceed MaxLifetime by the skew bound, and the lease is counted one
	// skew bound longer. The ledger is given two more skew bounds than that.
	d.allotments.Ledger.MaxLifetime, d.allotments.Ledger.Skew = s.MaxLifetime+4*s.SkewBound, s.SkewBound
	h.Leases, h.Limiter, h.Config = d.shards, d.allotments.Limiter(), d.config
}

// entryAddress returns the peer address of another entry of this zone.
func (d *Daemon) entryAddress(id core.EntryID) (string, bool) {
	a, ok := d.directory.Find(d.settings.Entry.Zone, id)
	return a.Peer.String(), ok
}

// handleInherited passes the known starts of a shard's former holder to the Home.
func (d *Daemon) handleInherited(c shard.Inherited) {
	for _, s := range c.Starts {
		d.requests.Handle(home.Inherited{Start: s})
	}
}

// Time limits of the handover of shards at a graceful stop. A successor that has just
// started needs some seconds until it knows every start. If the shards were handed over
// before that, ids that never ran anywhere would stay unanswered. If this is the only
// live entry of the zone, there is no successor to wait for.
const (
	releaseTimeout          = 20 * time.Second
	soleEntryReleaseTimeout = time.Second
)

// releaseLeases hands over every shard to its successor, as far as the time limit
// permits.
func (d *Daemon) releaseLeases(ctx context.Context) {
	timeout := releaseTimeout
	if len(d.shards.Dump().Live) <= 1 {
		timeout = soleEntryReleaseTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := d.shards.Release(ctx); err != nil {
		d.log.Warn().Err(err).Msg("failed to hand over all shards")
	}
}
