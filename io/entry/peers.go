package entry

import (
	"context"
	"time"

	"lavenderpond/core/fleet"
	"lavenderpond/core/shard"
	"lavenderpond/io/peer"
	"lavenderpond/io/supervisor"
)

const (
	shardTick = 100 * time.Millisecond
	listEvery = time.Second
)

// peerChildren serves peers and keeps what is agreed among them.
func (d *Daemon) peerChildren() []supervisor.Child {
	return []supervisor.Child{
		{Name: "server", Run: d.servePeers},
		d.config.spread.Child(),
		{Name: "shards", Run: func(ctx context.Context) error {
			return supervisor.Every(ctx, shardTick, func(context.Context) { d.shards.handle(shard.Tick{}) })
		}},
		{Name: "entries", Run: func(ctx context.Context) error {
			return supervisor.Every(ctx, listEvery, d.shards.list)
		}},
	}
}

func (d *Daemon) servePeers(ctx context.Context) error {
	s := peer.NewServer()
	receivers := map[string]any{
		peer.ForwardName: &peer.Forward{Context: ctx, Handler: d.front.Handle},
		peer.SpreadName:  d.config.spread.Receiver(),
		StatusName:       &StatusReceiver{daemon: d},
		"Shard":          &ShardReceiver{rights: d.shards},
	}
	for name, receiver := range receivers {
		if err := s.Register(name, receiver); err != nil {
			return err
		}
	}
	return s.Serve(ctx, d.peerings)
}

// probe asks a VM that refused work whether it takes work again.
func (d *Daemon) probe(ctx context.Context, vm fleet.VMRow) bool {
	return d.requests.Targets.Accepts(ctx, vm.VM.Address)
}
