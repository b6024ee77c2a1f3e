package shard

import (
	"sort"
	"time"

	"lavenderpond/core"
)

// mustMirror reports whether the successor has to ack starts before they are
// dispatched. This is required while the row is marked in sync, or may be once a
// pending swap takes effect. Otherwise a takeover would trust a mirror that lacks a
// start. A successor that has certainly ended can't take over, and an entry that is
// neither holder nor successor ignores the in-sync mark.
func (lm *LeaseManager) mustMirror(now time.Time, s *shardState) bool {
	if lm.disabled.mirror {
		return false
	}
	if lm.ended[s.row.Successor] && now.Before(lm.evidenceTime(now, s).Add(lm.params.Lease)) {
		return false
	}
	marked := s.row.InSync || s.pendingSwap != nil && s.pendingSwap.Row.InSync && s.pendingSwap.Row.Holder == lm.params.Self
	return marked || s.copyTo != ""
}

// sendMirrorStart sends a start to the successor. If the successor has not yet
// recorded the copy of that round, it ignores the start, and the start is resent
// later.
func (lm *LeaseManager) sendMirrorStart(now time.Time, s *shardState, w *waitingStart) {
	w.resendAt = now.Add(lm.params.retryInterval())
	m := MirrorStart{Held: Held{Shard: s.index, Epoch: s.row.Epoch}, Round: s.copyRound, Start: w.Start}
	lm.emit(Send{To: s.row.Successor, Message: m})
}

func (lm *LeaseManager) tickWaiting(now time.Time, s *shardState) {
	if len(s.waiting) == 0 {
		return
	}
	switch {
	case !now.Before(lm.LeaseExpiry(now, s.index)):
		lm.denyWaiting(now, s)
	case !lm.mustMirror(now, s):
		lm.allowWaiting(now, s)
	default:
		lm.resendWaiting(now, s)
	}
}

func (lm *LeaseManager) resendWaiting(now time.Time, s *shardState) {
	for _, key := range s.waitingOrder {
		if w := s.waiting[key]; w != nil && !now.Before(w.resendAt) {
			lm.sendMirrorStart(now, s, w)
		}
	}
}

// handleStartAck allows a start that the successor has recorded, if the lease is
// still valid.
func (lm *LeaseManager) handleStartAck(now time.Time, from core.EntryID, m StartAck) {
	s := lm.state(m.Shard)
	if s == nil || !s.isHeldBy(lm.params.Self) || s.row.Epoch != m.Epoch || s.row.Successor != from {
		return
	}
	if w := s.waiting[m.Key]; w != nil && (s.copyRound == m.Round || lm.disabled.copyMerge) {
		lm.allowStart(now, s, w)
	}
}

func (lm *LeaseManager) allowWaiting(now time.Time, s *shardState) {
	for _, key := range s.waitingOrder {
		if w := s.waiting[key]; w != nil {
			lm.allowStart(now, s, w)
		}
	}
	s.clearWaiting()
}

func (lm *LeaseManager) allowStart(now time.Time, s *shardState, w *waitingStart) {
	delete(s.waiting, w.Key)
	if len(s.waiting) == 0 {
		s.clearWaiting()
	}
	startBy := lm.LeaseExpiry(now, s.index)
	if w.Deadline.Before(startBy) {
		startBy = w.Deadline
	}
	if !now.Before(startBy) {
		lm.denyStart(now, s, w)
		return
	}
	s.addStart(w.Start)
	lm.emit(StartAllowed{Shard: s.index, Key: w.Key, StartBy: startBy})
}

func (lm *LeaseManager) denyWaiting(now time.Time, s *shardState) {
	for _, key := range s.waitingOrder {
		if w := s.waiting[key]; w != nil {
			lm.denyStart(now, s, w)
		}
	}
	s.clearWaiting()
}

func (lm *LeaseManager) denyStart(now time.Time, s *shardState, w *waitingStart) {
	verdict := lm.Decide(now, s.index, w.Key, w.FirstSent, w.Deadline)
	if _, mayRun := verdict.(Run); mayRun {
		verdict = Wait{ComeBackAt: now}
	}
	lm.emit(StartDenied{Shard: s.index, Key: w.Key, Verdict: verdict})
}

// tickCopy synchronizes the successor by sending it a copy of all known starts.
// The copy includes the starts that wait for an ack, because they are allowed as
// soon as the ack arrives.
func (lm *LeaseManager) tickCopy(now time.Time, s *shardState) {
	if s.row.InSync || s.row.Successor == "" {
		return
	}
	if lm.successorSilent(now, s) {
		s.stopCopying()
		if !lm.mustMirror(now, s) {
			lm.allowWaiting(now, s)
		}
		return
	}
	if now.Before(s.nextCopyAt) {
		return
	}
	if s.copyAcked || s.copyTo != "" && now.Before(s.copySentAt.Add(lm.params.silenceTimeout())) {
		return
	}
	s.copyTo, s.copySentAt = s.row.Successor, now
	s.copyRound++
	m := MirrorCopy{Held: Held{Shard: s.index, Epoch: s.row.Epoch}, Round: s.copyRound, Starts: lm.knownStarts(s)}
	lm.emit(Send{To: s.copyTo, Message: m})
}

func (lm *LeaseManager) knownStarts(s *shardState) []Start {
	starts := make([]Start, 0, len(s.starts)+len(s.waiting))
	for _, start := range s.starts {
		starts = append(starts, start)
	}
	for _, w := range s.waiting {
		if !lm.disabled.copyWaiting {
			starts = append(starts, w.Start)
		}
	}
	sortStarts(starts)
	return starts
}

// dropExpiredStarts drops the starts whose deadlines have passed by every clock. No
// entry can start such a request again.
func (lm *LeaseManager) dropExpiredStarts(now time.Time) {
	if now.Before(lm.nextStartExpiry) {
		return
	}
	lm.nextStartExpiry = now.Add(4 * lm.params.Lease)
	for i := range lm.shards {
		deleteExpiredBefore(lm.shards[i].starts, now.Add(-lm.params.Skew))
		deleteExpiredBefore(lm.shards[i].mirror.starts, now.Add(-lm.params.Skew))
	}
}

func sortStarts(starts []Start) {
	sort.Slice(starts, func(i, j int) bool { return starts[i].Key.String() < starts[j].Key.String() })
}

func deleteExpiredBefore(starts map[core.RequestKey]Start, t time.Time) {
	for key, start := range starts {
		if start.Deadline.Before(t) {
			delete(starts, key)
		}
	}
}
