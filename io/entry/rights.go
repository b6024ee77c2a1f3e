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
	_ Holders          = (*peer.ShardManager)(nil)
)

// buildRights connects the rights to decide and to run with home.
func (d *Daemon) buildRights(h *home.Home) {
	s := d.settings.Entry
	d.shards = peer.NewShardManager(peer.ShardConfig{
		Params: shard.Params{
			Zone: s.Zone, Self: d.id, Shards: s.Shards, Skew: s.SkewBound, MaxLifetime: s.MaxLifetime,
		},
		Table: d.platform, Live: d.live, Peers: d.peers, Address: d.addressOf, Now: d.now, Log: d.log,
		OnAllowed:   func(c shard.StartAllowed) { d.requests.Handle(home.StartAllowed{Key: c.Key}) },
		OnDenied:    func(c shard.StartDenied) { d.requests.Handle(home.StartDenied{Key: c.Key, Verdict: c.Verdict}) },
		OnInherited: d.inherited,
		OnLost:      func(c shard.Lost) { d.requests.Handle(home.ShardLost{Shard: c.Shard, Shards: s.Shards}) },
	})
	d.limits = &platform.Allotments{
		Table: d.platform, Live: d.live, Config: d.config.Configuration, Now: d.now, Log: d.log,
		Entries:  d.zoneEntries,
		OnChange: func() { d.requests.Handle(home.Changed{}) },
	}
	d.limits.Ledger.Self, d.limits.Ledger.Zone = d.id, s.Zone
	// A deadline may lie the skew bound further ahead than the greatest lifetime,
	// and the lease is counted one bound longer.
	d.limits.Ledger.MaxLifetime, d.limits.Ledger.Skew = s.MaxLifetime+4*s.SkewBound, s.SkewBound
	h.Leases, h.Limiter, h.Config = d.shards, d.limits.Limiter(), d.config
}

func (d *Daemon) addressOf(id core.EntryID) (string, bool) {
	a, ok := d.directory.Find(d.settings.Entry.Zone, id)
	return a.Peer.String(), ok
}

func (d *Daemon) inherited(c shard.Inherited) {
	for _, s := range c.Starts {
		d.requests.Handle(home.Inherited{Start: s})
	}
}

// Bounds of the handing over of rights at a stop. A successor that has just started
// needs some seconds until it knows every start; handing over without would leave
// ids unanswered that ran nowhere. With no other entry left in the zone there is
// nobody to wait for.
const (
	releasePatience = 20 * time.Second
	alonePatience   = time.Second
)

// releaseRights hands every shard over to its successor.
func (d *Daemon) releaseRights(ctx context.Context) {
	patience := releasePatience
	if len(d.shards.Dump().Live) <= 1 {
		patience = alonePatience
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	if err := d.shards.Release(ctx); err != nil {
		d.log.Warn().Err(err).Msg("rights not handed over")
	}
}
