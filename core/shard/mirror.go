package shard

import (
	"sort"
	"time"

	"lavenderpond/core"
)

// mirroring reports whether starts must be acked by the successor first. They
// must while the row says in sync, or may say so once an open swap takes effect:
// else a take-over would trust a mirror that lacks a start. A successor that has
// ended for certain can't take over, and a third entry doesn't trust the mark.
func (k *Keeper) mirroring(now time.Time, s *state) bool {
	if k.off.mirror {
		return false
	}
	if k.gone[s.row.Successor] && now.Before(k.evidence(now, s).Add(k.p.Lease)) {
		return false
	}
	marked := s.row.InSync || s.pending != nil && s.pending.Row.InSync && s.pending.Row.Holder == k.p.Self
	return marked || s.copyTo != ""
}

// mirrorStart sends a start to the successor, unless the copy is yet to be acked:
// then the start is sent again after it.
func (k *Keeper) mirrorStart(now time.Time, s *state, w *waitingStart) {
	w.resendAt = now.Add(k.p.retryAfter())
	m := MirrorStart{Held: Held{Shard: s.index, Epoch: s.row.Epoch}, Round: s.round, Start: w.Start}
	k.emit(Send{To: s.row.Successor, Message: m})
}

func (k *Keeper) tickWaiting(now time.Time, s *state) {
	if len(s.waiting) == 0 {
		return
	}
	switch {
	case !now.Before(k.RightUntil(now, s.index)):
		k.denyWaiting(now, s)
	case !k.mirroring(now, s):
		k.allowWaiting(now, s)
	default:
		k.resendWaiting(now, s)
	}
}

func (k *Keeper) resendWaiting(now time.Time, s *state) {
	for _, key := range s.order {
		if w := s.waiting[key]; w != nil && !now.Before(w.resendAt) {
			k.mirrorStart(now, s, w)
		}
	}
}

// startAcked allows a start that the successor knows of, if the right still holds.
func (k *Keeper) startAcked(now time.Time, from core.EntryID, m StartAck) {
	s := k.state(m.Shard)
	if s == nil || !s.holds(k.p.Self) || s.row.Epoch != m.Epoch || s.row.Successor != from {
		return
	}
	if w := s.waiting[m.Key]; w != nil && (s.round == m.Round || k.off.copyMerge) {
		k.allow(now, s, w)
	}
}

func (k *Keeper) allowWaiting(now time.Time, s *state) {
	for _, key := range s.order {
		if w := s.waiting[key]; w != nil {
			k.allow(now, s, w)
		}
	}
	s.clearWaiting()
}

func (k *Keeper) allow(now time.Time, s *state, w *waitingStart) {
	delete(s.waiting, w.Key)
	if len(s.waiting) == 0 {
		s.clearWaiting()
	}
	startBy := k.RightUntil(now, s.index)
	if w.Deadline.Before(startBy) {
		startBy = w.Deadline
	}
	if !now.Before(startBy) {
		k.deny(now, s, w)
		return
	}
	s.remember(w.Start)
	k.emit(StartAllowed{Shard: s.index, Key: w.Key, StartBy: startBy})
}

func (k *Keeper) denyWaiting(now time.Time, s *state) {
	for _, key := range s.order {
		if w := s.waiting[key]; w != nil {
			k.deny(now, s, w)
		}
	}
	s.clearWaiting()
}

func (k *Keeper) deny(now time.Time, s *state, w *waitingStart) {
	verdict := k.Decide(now, s.index, w.Key, w.FirstSent, w.Deadline)
	if _, may := verdict.(Run); may {
		verdict = Wait{ComeBackAt: now}
	}
	k.emit(StartDenied{Shard: s.index, Key: w.Key, Verdict: verdict})
}

// tickCopy brings the successor in sync: a copy of all known starts, those that
// await an ack included, since they are allowed as soon as the ack comes.
func (k *Keeper) tickCopy(now time.Time, s *state) {
	if s.row.InSync || s.row.Successor == "" {
		return
	}
	if k.silent(now, s) {
		s.stopCopying()
		if !k.mirroring(now, s) {
			k.allowWaiting(now, s)
		}
		return
	}
	if now.Before(s.nextCopy) {
		return
	}
	if s.copied || s.copyTo != "" && now.Before(s.sentAt.Add(k.p.silentAfter())) {
		return
	}
	s.copyTo, s.sentAt = s.row.Successor, now
	s.round++
	m := MirrorCopy{Held: Held{Shard: s.index, Epoch: s.row.Epoch}, Round: s.round, Starts: k.copyOf(s)}
	k.emit(Send{To: s.copyTo, Message: m})
}

func (k *Keeper) copyOf(s *state) []Start {
	starts := make([]Start, 0, len(s.starts)+len(s.waiting))
	for _, start := range s.starts {
		starts = append(starts, start)
	}
	for _, w := range s.waiting {
		if !k.off.copyWaiting {
			starts = append(starts, w.Start)
		}
	}
	sortStarts(starts)
	return starts
}

// sweep forgets starts that nobody can start again: their deadline is past by
// every clock.
func (k *Keeper) sweep(now time.Time) {
	if now.Before(k.nextSweep) {
		return
	}
	k.nextSweep = now.Add(4 * k.p.Lease)
	for i := range k.shards {
		forgetBefore(k.shards[i].starts, now.Add(-k.p.Skew))
		forgetBefore(k.shards[i].mirror.starts, now.Add(-k.p.Skew))
	}
}

func sortStarts(starts []Start) {
	sort.Slice(starts, func(i, j int) bool { return starts[i].Key.String() < starts[j].Key.String() })
}

func forgetBefore(starts map[core.RequestKey]Start, t time.Time) {
	for key, start := range starts {
		if start.Deadline.Before(t) {
			delete(starts, key)
		}
	}
}
