package peer

import (
	"lavenderpond/core"
	"lavenderpond/core/shard"
)

// ShardName is the net/rpc service name of ShardReceiver.
const ShardName = "Shard"

// ShardBatch carries all shard messages that are pending from one entry to another
// entry of its zone.
type ShardBatch struct {
	From core.EntryID
	// To identifies the run of the receiving entry. Another run at the same address
	// must not answer the messages.
	To        core.EntryID
	Pings     []shard.Ping
	PingAcks  []shard.PingAck
	Starts    []shard.MirrorStart
	StartAcks []shard.StartAck
	Copies    []shard.MirrorCopy
	CopyAcks  []shard.CopyAck
	// Look tells To to read the shard rows immediately, because a shard was handed over
	// to it. Otherwise requests would have to wait until its next regular read.
	Look bool
}

func (b *ShardBatch) add(m shard.Message) {
	switch m := m.(type) {
	case shard.Ping:
		b.Pings = append(b.Pings, m)
	case shard.PingAck:
		b.PingAcks = append(b.PingAcks, m)
	case shard.MirrorStart:
		b.Starts = append(b.Starts, m)
	case shard.StartAck:
		b.StartAcks = append(b.StartAcks, m)
	case shard.MirrorCopy:
		b.Copies = append(b.Copies, m)
	case shard.CopyAck:
		b.CopyAcks = append(b.CopyAcks, m)
	}
}

// messages returns the batch's messages in the order in which they must be processed:
// copies come before the starts that are added to them.
func (b *ShardBatch) messages() []shard.Message {
	var list []shard.Message
	list = appendMessages(list, b.Copies)
	list = appendMessages(list, b.Starts)
	list = appendMessages(list, b.Pings)
	list = appendMessages(list, b.CopyAcks)
	list = appendMessages(list, b.StartAcks)
	return appendMessages(list, b.PingAcks)
}

func appendMessages[M shard.Message](list []shard.Message, from []M) []shard.Message {
	for _, m := range from {
		list = append(list, m)
	}
	return list
}

// ShardReceiver is the net/rpc receiver of a ShardManager.
type ShardReceiver struct{ manager *ShardManager }

// Exchange processes a batch and replies with the acknowledgments.
func (r *ShardReceiver) Exchange(args ShardBatch, reply *ShardBatch) error {
	*reply = r.manager.exchange(args)
	return nil
}
