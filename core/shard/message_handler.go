package shard

import (
	"time"

	"lavenderpond/core"
)

func (lm *LeaseManager) handleMessage(now time.Time, from core.EntryID, m Message) {
	switch m := m.(type) {
	case Ping:
		lm.handlePing(now, from, m)
	case PingAck:
		lm.handlePingAck(now, from, m)
	case MirrorStart:
		lm.handleMirrorStart(from, m)
	case StartAck:
		lm.handleStartAck(now, from, m)
	case MirrorCopy:
		lm.handleMirrorCopy(from, m)
	case CopyAck:
		lm.handleCopyAck(now, from, m)
	}
}

func (lm *LeaseManager) handlePing(now time.Time, from core.EntryID, m Ping) {
	ack := PingAck{SentAt: m.SentAt}
	for _, h := range m.Held {
		s := lm.state(h.Shard)
		if s == nil || !lm.mayGrantLease(s, from, h.Epoch) {
			continue
		}
		s.holderSeenAt = now
		ack.Held = append(ack.Held, h)
	}
	if len(ack.Held) > 0 {
		lm.emit(Send{To: from, Message: ack})
	}
}

func (lm *LeaseManager) handlePingAck(now time.Time, from core.EntryID, m PingAck) {
	at := m.SentAt
	if lm.disabled.dateBySend {
		at = now
	}
	if at.After(now) {
		return
	}
	for _, h := range m.Held {
		s := lm.state(h.Shard)
		if s != nil && s.isHeldBy(lm.params.Self) && s.row.Epoch == h.Epoch {
			lm.recordAck(s, from, at)
		}
	}
}

// recordAck records the time at which the acked ping was sent as evidence, not the
// time of receipt. The ack may have been given at any time after the send, and the
// successor counts its wait from when it gave the ack.
func (lm *LeaseManager) recordAck(s *shardState, from core.EntryID, at time.Time) {
	for _, c := range lm.possibleSuccessors(s) {
		if c == from && c != "" {
			s.recordEvidence(c, at)
		}
	}
}

func (lm *LeaseManager) handleMirrorStart(from core.EntryID, m MirrorStart) {
	s := lm.state(m.Shard)
	if s == nil || s.mirror.holder != from || s.mirror.epoch != m.Epoch || !lm.mayGrantLease(s, from, m.Epoch) {
		return
	}
	if s.mirror.round != m.Round && !lm.disabled.copyMerge {
		return
	}
	s.mirror.starts[m.Start.Key] = m.Start
	lm.emit(Send{To: from, Message: StartAck{Held: m.Held, Round: m.Round, Key: m.Start.Key}})
}

// handleMirrorCopy merges a copy into the mirror of the same epoch. Merging keeps
// the starts that were acked before a delayed copy arrives. A mirror with too many
// starts only costs an outcome_unknown.
func (lm *LeaseManager) handleMirrorCopy(from core.EntryID, m MirrorCopy) {
	s := lm.state(m.Shard)
	if s == nil || s.row.Holder != from || s.row.Epoch != m.Epoch || !lm.mayGrantLease(s, from, m.Epoch) {
		return
	}
	if !lm.handOverBy.IsZero() {
		// This entry is stopping and must not be handed any shards. It refuses
		// explicitly because it still acks pings: a holder that only missed the copy's
		// ack would keep its starts waiting, and a shutdown that waits for the callers
		// of those starts would never finish.
		lm.emit(Send{To: from, Message: CopyAck{Held: m.Held, Round: m.Round, Refused: true}})
		return
	}
	if s.mirror.holder != from || s.mirror.epoch != m.Epoch || lm.disabled.copyMerge {
		s.mirror = mirror{holder: from, epoch: m.Epoch}
	}
	if s.mirror.starts == nil {
		s.mirror.starts = make(map[core.RequestKey]Start, len(m.Starts))
	}
	s.mirror.round = max(s.mirror.round, m.Round)
	for _, start := range m.Starts {
		s.mirror.starts[start.Key] = start
	}
	lm.emit(Send{To: from, Message: CopyAck{Held: m.Held, Round: m.Round}})
}

func (lm *LeaseManager) handleCopyAck(now time.Time, from core.EntryID, m CopyAck) {
	s := lm.state(m.Shard)
	if s == nil || !s.isHeldBy(lm.params.Self) || s.row.Epoch != m.Epoch || s.copyTo != from || s.copyRound != m.Round {
		return
	}
	s.copyAcked = !m.Refused
	if m.Refused {
		s.stopCopying()
		s.nextCopyAt = now.Add(lm.params.Lease)
		if !lm.mustMirror(now, s) {
			lm.allowWaiting(now, s)
		}
	}
}
