package peer

import (
	"lavenderpond/core"
	"lavenderpond/core/shard"
)

// ShardName is the name under which a ShardReceiver is registered.
const ShardName = "Shard"

// ShardBatch carries all shard messages that wait between two entries of a zone.
type ShardBatch struct {
	From core.EntryID
	// To is the run of the daemon that the messages are for. Another run at the
	// same address must not answer them.
	To        core.EntryID
	Pings     []shard.Ping
	PingAcks  []shard.PingAck
	Starts    []shard.MirrorStart
	StartAcks []shard.StartAck
	Copies    []shard.MirrorCopy
	CopyAcks  []shard.CopyAck
	// Look says that a row was handed over to To, which would otherwise learn of it
	// only at its next read, while requests wait.
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

// messages returns the batch's messages, copies before the starts on top of them.
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

// ShardReceiver is the net/rpc receiver of a ShardKeeper.
type ShardReceiver struct{ manager *ShardManager }

// Exchange takes a batch in and replies with the acks it calls for.
func (r *ShardReceiver) Exchange(args ShardBatch, reply *ShardBatch) error {
	*reply = r.manager.exchange(args)
	return nil
}
