package peer

import (
	"context"

	"github.com/pkg/errors"

	"lavenderpond/core"
	"lavenderpond/core/shard"

	"lavenderpond/io/netrpc"
)

// outbox gathers what waits for one peer. While one exchange is under way all
// further messages gather, so that under load one batch carries many starts.
type outbox struct {
	batch   ShardBatch
	waiting bool
	sending bool
}

// post adds to the batch for a peer and sees that it is sent. The lock is held.
func (k *ShardKeeper) post(to core.EntryID, add func(*ShardBatch)) {
	if k.stopped {
		return
	}
	o := k.outboxes[to]
	if o == nil {
		o = &outbox{}
		k.outboxes[to] = o
	}
	add(&o.batch)
	o.waiting = true
	if !o.sending {
		o.sending = true
		k.group.Go(func() { k.drain(to, o) })
	}
}

// drain sends batches until none waits. Its goroutine lives only so long.
func (k *ShardKeeper) drain(to core.EntryID, o *outbox) {
	for {
		k.mu.Lock()
		if !o.waiting {
			o.sending = false
			delete(k.outboxes, to)
			k.mu.Unlock()
			return
		}
		batch := o.batch
		o.batch, o.waiting = ShardBatch{}, false
		k.mu.Unlock()
		batch.From, batch.To = k.cfg.Params.Self, to
		k.send(batch)
	}
}

func (k *ShardKeeper) send(batch ShardBatch) {
	address, ok := k.cfg.Address(batch.To)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	var reply ShardBatch
	err := k.cfg.Peers.Call(ctx, address, ShardName+".Exchange", batch, &reply)
	switch {
	case errors.Is(err, netrpc.ErrRefused):
		k.handle(shard.Refused{Entry: batch.To})
	case err == nil && reply.From == batch.To:
		k.receive(reply)
	}
}

func (k *ShardKeeper) receive(b ShardBatch) {
	for _, m := range b.messages() {
		k.handle(shard.Received{From: b.From, Message: m})
	}
}

// exchange takes in a batch. What the keeper sends back at once rides in the
// reply; the rest goes the usual way.
func (k *ShardKeeper) exchange(args ShardBatch) ShardBatch {
	reply := ShardBatch{From: k.cfg.Params.Self, To: args.From}
	if args.To != k.cfg.Params.Self {
		return reply
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, m := range args.messages() {
		var rest []shard.Command
		for _, c := range k.keeper.Handle(k.now(), shard.Received{From: args.From, Message: m}) {
			if send, ok := c.(shard.Send); ok && send.To == args.From {
				reply.add(send.Message)
				continue
			}
			rest = append(rest, c)
		}
		k.carryOut(rest)
	}
	if args.Look {
		k.carryOut([]shard.Command{shard.ReadRows{}})
	}
	return reply
}
