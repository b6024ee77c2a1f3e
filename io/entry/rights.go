package entry

import (
	"context"
	"encoding/gob"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/core/home"
	"lavenderpond/core/shard"
	"lavenderpond/core/table"
	"lavenderpond/io/platform"
	"lavenderpond/io/supervisor"
)

// rights drives a shard.Keeper: it reads and swaps rows, and carries messages to
// the zone's other entries. It is safe for concurrent use.
type rights struct {
	daemon *Daemon

	mu     sync.Mutex
	keeper *shard.Keeper
	outbox map[core.EntryID][]shard.Message

	since  table.Revision
	listed map[core.EntryID]bool
	once   sync.Once
	group  supervisor.Group
}

var (
	_ home.Rights = (*rights)(nil)
	_ Holders     = (*rights)(nil)
)

// Decide implements home.Rights and Holders.
func (r *rights) Decide(now time.Time, key core.RequestKey, firstSent, deadline time.Time) shard.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keeper.Decide(now, r.keeper.Shard(key), key, firstSent, deadline)
}

// RightUntil implements home.Rights.
func (r *rights) RightUntil(now time.Time, key core.RequestKey) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keeper.RightUntil(now, r.keeper.Shard(key))
}

// Start implements home.Rights. It is called while an event of home is handled,
// so what follows from it is carried out on another goroutine.
func (r *rights) Start(now time.Time, start shard.Start) bool {
	r.mu.Lock()
	allowed, commands := r.keeper.Start(now, r.keeper.Shard(start.Key), start)
	r.mu.Unlock()
	if len(commands) > 0 {
		r.group.Go(func() { r.carryOut(commands) })
	}
	return allowed
}

func (r *rights) handle(e shard.Event) {
	r.mu.Lock()
	commands := r.keeper.Handle(r.daemon.now(), e)
	r.mu.Unlock()
	r.carryOut(commands)
}

func (r *rights) carryOut(commands []shard.Command) {
	out := make(map[core.EntryID][]shard.Message)
	for _, c := range commands {
		switch c := c.(type) {
		case shard.Send:
			out[c.To] = append(out[c.To], c.Message)
		case shard.ReadRows:
			r.group.Go(r.read)
		case shard.SwapRow:
			r.group.Go(func() { r.swap(c) })
		case shard.StartAllowed:
			r.daemon.requests.Handle(home.StartAllowed{Key: c.Key})
		case shard.StartDenied:
			r.daemon.requests.Handle(home.StartDenied{Key: c.Key})
		case shard.Inherited:
			for _, s := range c.Starts {
				r.daemon.requests.Handle(home.Inherited{Start: s})
			}
		}
	}
	for to, messages := range out {
		r.group.Go(func() { r.send(to, messages) })
	}
}

// ShardArgs carries shard messages between two entries of a zone.
type ShardArgs struct {
	From     core.EntryID
	Messages []shard.Message
}

// ShardReceiver takes the shard messages of peers.
type ShardReceiver struct{ rights *rights }

// Deliver takes messages in.
func (s *ShardReceiver) Deliver(args ShardArgs, _ *struct{}) error {
	for _, m := range args.Messages {
		s.rights.handle(shard.Received{From: args.From, Message: m})
	}
	return nil
}

func (r *rights) send(to core.EntryID, messages []shard.Message) {
	a, ok := r.daemon.directory.Find(r.daemon.settings.Entry.Zone, to)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = r.daemon.peers.Call(ctx, a.Peer.String(), "Shard.Deliver", ShardArgs{From: r.daemon.id, Messages: messages}, &struct{}{})
}

func (r *rights) read() {
	r.mu.Lock()
	since := r.since
	r.mu.Unlock()
	sent := r.daemon.now()
	zone := r.daemon.settings.Entry.Zone
	rows, revision, err := r.daemon.platform.Changes(context.Background(), table.PrefixShard+string(zone)+"/", since)
	if err != nil {
		return
	}
	e := shard.RowsRead{SentAt: sent}
	for _, row := range rows {
		var v shard.VersionedRow
		if row.Decode(&v.Row) != nil {
			continue
		}
		v.Shard, v.Version = shardOf(row.Key), row.Version
		e.Rows = append(e.Rows, v)
	}
	r.mu.Lock()
	r.since = revision
	r.mu.Unlock()
	r.handle(e)
}

func (r *rights) swap(c shard.SwapRow) {
	tx, err := c.Transaction(r.daemon.settings.Entry.Zone)
	if err != nil {
		return
	}
	settled := shard.SwapSettled{Shard: c.Shard, Version: c.Version, SentAt: r.daemon.now()}
	err = r.daemon.platform.Transact(context.Background(), tx)
	switch {
	case err == nil:
		settled.Outcome = shard.SwapApplied
	case errors.Is(err, table.ErrConflict):
		settled.Outcome = shard.SwapConflict
	case errors.Is(err, table.ErrDown):
		settled.Outcome = shard.SwapDown
	default:
		settled.Outcome = shard.SwapUnknown
	}
	r.handle(settled)
}

func shardOf(key table.Key) core.ShardIndex {
	name := string(key)[strings.LastIndex(string(key), "/")+1:]
	n := core.ShardIndex(0)
	for _, c := range name {
		n = n*10 + core.ShardIndex(c-'0')
	}
	return n
}

// list tells the keeper which entries live.
func (r *rights) list(ctx context.Context) {
	live, err := r.daemon.platform.Live(ctx, r.daemon.settings.Entry.Zone)
	if err != nil {
		return
	}
	var e shard.Listed
	now := make(map[core.EntryID]bool)
	for _, l := range live {
		if l.Started.IsZero() {
			continue
		}
		id := NewEntryID(l.Name, l.Started)
		now[id] = true
		if !l.Leaving {
			e.Live = append(e.Live, id)
		}
	}
	for id := range r.listed {
		if !now[id] {
			e.Gone = append(e.Gone, id)
		}
	}
	if r.listed == nil {
		r.listed = make(map[core.EntryID]bool)
	}
	for id := range now {
		r.listed[id] = true
	}
	r.handle(e)
}

// Release hands every shard over and returns when none is held or ctx ends.
func (r *rights) Release(ctx context.Context) {
	by, ok := ctx.Deadline()
	if !ok {
		by = r.daemon.now().Add(time.Second)
	}
	r.handle(shard.Releasing{By: by})
	for r.held() > 0 && supervisor.Sleep(ctx, tickInterval) {
		r.handle(shard.Tick{})
	}
}

func (r *rights) held() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, s := range r.keeper.Dump(r.daemon.now()).Shards {
		if s.Row.Holder == r.daemon.id {
			n++
		}
	}
	return n
}

func (r *rights) loaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.keeper.Dump(r.daemon.now()).Shards) > 0
}

func (r *rights) dump() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keeper.Dump(r.daemon.now())
}

func (d *Daemon) buildRights(h *home.Home) {
	s := d.settings.Entry
	d.shards = &rights{daemon: d, keeper: shard.New(shard.Params{
		Zone: s.Zone, Self: d.id, Shards: s.Shards, Skew: s.SkewBound, MaxLifetime: s.MaxLifetime,
	})}
	d.limits = &platform.Allotments{
		Table: d.platform, Live: d.platform, Config: d.config.Configuration, Now: d.now, Log: d.log,
		OnChange: func() { d.requests.Handle(home.Changed{}) },
	}
	d.limits.Ledger.Self, d.limits.Ledger.Zone = d.id, s.Zone
	// A deadline may lie the skew bound further ahead than the greatest lifetime,
	// and the lease is counted one bound longer.
	d.limits.Ledger.MaxLifetime, d.limits.Ledger.Skew = s.MaxLifetime+4*s.SkewBound, s.SkewBound
	h.Rights, h.Limiter, h.Config = d.shards, d.limits.Limiter(), d.config
}

func init() {
	for _, m := range []shard.Message{shard.Ping{}, shard.PingAck{}, shard.MirrorStart{}, shard.StartAck{}, shard.MirrorCopy{}, shard.CopyAck{}} {
		gob.Register(m)
	}
}
