package peer

import (
	"context"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/core/shard"

	"lavenderpond/io/netrpc"
)

// outbox collects the messages for one peer. All messages that are added during an
// exchange go into the next batch, so that under load one batch carries many starts.
type outbox struct {
	batch   ShardBatch
	pending bool
	sending bool
}

// enqueue adds to the batch for a peer and starts a goroutine that sends it if none is
// running. The caller must hold mu.
func (sm *ShardManager) enqueue(to core.EntryID, add func(*ShardBatch)) {
	if sm.stopped {
		return
	}
	o := sm.outboxes[to]
	if o == nil {
		o = &outbox{}
		sm.outboxes[to] = o
	}
	add(&o.batch)
	o.pending = true
	if !o.sending {
		o.sending = true
		sm.exchanges.Go(func() { sm.drain(to, o) })
	}
}

// drain sends batches until none is pending. Then its goroutine ends.
func (sm *ShardManager) drain(to core.EntryID, o *outbox) {
	for {
		sm.mu.Lock()
		if !o.pending {
			o.sending = false
			delete(sm.outboxes, to)
			sm.mu.Unlock()
			return
		}
		batch := o.batch
		o.batch, o.pending = ShardBatch{}, false
		sm.mu.Unlock()
		batch.From, batch.To = sm.cfg.Params.Self, to
		sm.send(batch)
	}
}

// send makes one exchange. A batch that can't be delivered is dropped: the LeaseManager
// tolerates lost messages. A reply from another run at the address is ignored.
func (sm *ShardManager) send(batch ShardBatch) {
	address, ok := sm.cfg.Address(batch.To)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	var reply ShardBatch
	err := sm.cfg.Peers.Call(ctx, address, ShardName+".Exchange", batch, &reply)
	switch {
	case errors.Is(err, netrpc.ErrRefused):
		sm.handle(shard.Refused{Entry: batch.To})
	case err == nil && reply.From == batch.To:
		sm.receive(reply)
	}
}

func (sm *ShardManager) receive(b ShardBatch) {
	for _, m := range b.messages() {
		sm.handle(shard.Received{From: b.From, Message: m})
	}
}

// exchange processes a batch. Messages that the LeaseManager sends back to the peer
// immediately are included in the reply. All other commands are queued.
func (sm *ShardManager) exchange(args ShardBatch) ShardBatch {
	reply := ShardBatch{From: sm.cfg.Params.Self, To: args.From}
	if args.To != sm.cfg.Params.Self {
		return reply
	}
	sm.mu.Lock()
	defer sm.mu.Unlock()
	for _, m := range args.messages() {
		var others []shard.Command
		for _, c := range sm.leases.Handle(sm.now(), shard.Received{From: args.From, Message: m}) {
			if send, ok := c.(shard.Send); ok && send.To == args.From {
				reply.add(send.Message)
				continue
			}
			others = append(others, c)
		}
		sm.execute(others)
	}
	if args.Look {
		sm.execute([]shard.Command{shard.ReadRows{}})
	}
	return reply
}
