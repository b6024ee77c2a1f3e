package shard

import (
	"time"

	"lavenderpond/core"
)

func (k *Keeper) received(now time.Time, from core.EntryID, m Message) {
	switch m := m.(type) {
	case Ping:
		k.pinged(now, from, m)
	case PingAck:
		k.pingAcked(now, from, m)
	case MirrorStart:
		k.mirrorStarted(from, m)
	case StartAck:
		k.startAcked(now, from, m)
	case MirrorCopy:
		k.copyReceived(from, m)
	case CopyAck:
		k.copyAcked(now, from, m)
	}
}

func (k *Keeper) pinged(now time.Time, from core.EntryID, m Ping) {
	ack := PingAck{SentAt: m.SentAt}
	for _, h := range m.Held {
		s := k.state(h.Shard)
		if s == nil || !k.heeds(s, from, h.Epoch) {
			continue
		}
		s.heard = now
		ack.Held = append(ack.Held, h)
	}
	if len(ack.Held) > 0 {
		k.emit(Send{To: from, Message: ack})
	}
}

func (k *Keeper) pingAcked(now time.Time, from core.EntryID, m PingAck) {
	at := m.SentAt
	if k.off.sendDate {
		at = now
	}
	if at.After(now) {
		return
	}
	for _, h := range m.Held {
		s := k.state(h.Shard)
		if s != nil && s.holds(k.p.Self) && s.row.Epoch == h.Epoch {
			k.ackedBy(s, from, at)
		}
	}
}

// ackedBy dates the evidence at the send of the ping: the ack may have been given
// any time after it, and the successor counts its wait from there.
func (k *Keeper) ackedBy(s *state, from core.EntryID, at time.Time) {
	for _, c := range k.candidates(s) {
		if c == from && c != "" {
			s.saw(c, at)
		}
	}
}

func (k *Keeper) mirrorStarted(from core.EntryID, m MirrorStart) {
	s := k.state(m.Shard)
	if s == nil || s.mirror.holder != from || s.mirror.epoch != m.Epoch || !k.heeds(s, from, m.Epoch) {
		return
	}
	if s.mirror.round != m.Round && !k.off.copyMerge {
		return
	}
	s.mirror.starts[m.Start.Key] = m.Start
	k.emit(Send{To: from, Message: StartAck{Held: m.Held, Round: m.Round, Key: m.Start.Key}})
}

// copyReceived merges a copy into the mirror of the same epoch. Merging keeps the
// starts that were acked before a late copy arrives; too many known starts only
// cost an outcome_unknown.
func (k *Keeper) copyReceived(from core.EntryID, m MirrorCopy) {
	s := k.state(m.Shard)
	if s == nil || s.row.Holder != from || s.row.Epoch != m.Epoch || !k.heeds(s, from, m.Epoch) {
		return
	}
	if !k.releaseBy.IsZero() {
		// This entry stops: nobody should hand it a shard. It says so, since it still
		// acks pings: a holder that only misses the ack would keep its starts waiting
		// for it, and a stop that waits for those starts' callers would never end.
		k.emit(Send{To: from, Message: CopyAck{Held: m.Held, Round: m.Round, Refused: true}})
		return
	}
	if s.mirror.holder != from || s.mirror.epoch != m.Epoch || k.off.copyMerge {
		s.mirror = mirror{holder: from, epoch: m.Epoch}
	}
	if s.mirror.starts == nil {
		s.mirror.starts = make(map[core.RequestKey]Start, len(m.Starts))
	}
	s.mirror.round = max(s.mirror.round, m.Round)
	for _, start := range m.Starts {
		s.mirror.starts[start.Key] = start
	}
	k.emit(Send{To: from, Message: CopyAck{Held: m.Held, Round: m.Round}})
}

func (k *Keeper) copyAcked(now time.Time, from core.EntryID, m CopyAck) {
	s := k.state(m.Shard)
	if s == nil || !s.holds(k.p.Self) || s.row.Epoch != m.Epoch || s.copyTo != from || s.round != m.Round {
		return
	}
	s.copied = !m.Refused
	if m.Refused {
		s.stopCopying()
		s.nextCopy = now.Add(k.p.Lease)
		if !k.mirroring(now, s) {
			k.allowWaiting(now, s)
		}
	}
}
