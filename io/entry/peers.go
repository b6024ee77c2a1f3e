package entry

import (
	"context"

	"lavenderpond/core/fleet"
	"lavenderpond/io/netrpc"
	"lavenderpond/io/peer"
	"lavenderpond/io/supervisor"
)

// peerChildren returns the children that serve other entries and that exchange the
// configuration and the shard leases with them.
func (d *Daemon) peerChildren() []supervisor.Child {
	return []supervisor.Child{
		{Name: "server", Run: d.servePeers},
		d.config.spread.Child(),
		d.shards.Child(),
	}
}

func (d *Daemon) servePeers(ctx context.Context) error {
	limits := limitsFor(&d.settings)
	s := netrpc.NewServer()
	s.MaxMessage = limits.peerMessage
	receivers := map[string]any{
		peer.ForwardName: &peer.Forward{Context: ctx, Handler: d.front.HandleForwarded},
		peer.SpreadName:  d.config.spread.Receiver(),
		StatusName:       &StatusReceiver{daemon: d},
		peer.ShardName:   d.shards.Receiver(),
	}
	for name, receiver := range receivers {
		if err := s.Register(name, receiver); err != nil {
			return err
		}
	}
	return s.Serve(ctx, d.newGuard("peers", limits.peers).Listener(d.peerListener))
}

// probe asks a VM that refused tasks whether it accepts tasks again.
func (d *Daemon) probe(ctx context.Context, vm fleet.VMRow) bool {
	return d.requests.Targets.Accepts(ctx, vm.VM.Address)
}
