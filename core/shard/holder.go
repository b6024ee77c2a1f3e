package shard

import (
	"sort"
	"time"

	"lavenderpond/core"
)

func (lm *LeaseManager) tick(now time.Time) {
	if !now.Before(lm.nextRead) {
		lm.requestRead(now)
	}
	ping := !now.Before(lm.nextPing)
	if ping {
		lm.nextPing = now.Add(lm.params.pingInterval())
	}
	var held map[core.EntryID][]Held
	if ping {
		held = make(map[core.EntryID][]Held)
	}
	for i := range lm.shards {
		s := &lm.shards[i]
		switch {
		case s.isHeldBy(lm.params.Self):
			lm.tickHolder(now, s)
			if ping {
				for _, c := range lm.possibleSuccessors(s) {
					if c != "" {
						held[c] = append(held[c], Held{Shard: s.index, Epoch: s.row.Epoch})
					}
				}
			}
		case s.rowKnown && lm.handOverBy.IsZero():
			lm.tickNonHolder(now, s)
		}
	}
	lm.sendPings(now, held)
	lm.balance(now)
	lm.dropExpiredStarts(now)
}

func (lm *LeaseManager) sendPings(now time.Time, held map[core.EntryID][]Held) {
	to := make([]core.EntryID, 0, len(held))
	for id := range held {
		to = append(to, id)
	}
	sort.Slice(to, func(i, j int) bool { return to[i] < to[j] })
	for _, id := range to {
		if !lm.ended[id] {
			lm.emit(Send{To: id, Message: Ping{SentAt: now, Held: held[id]}})
		}
	}
}

func (lm *LeaseManager) tickHolder(now time.Time, s *shardState) {
	lm.extendByEndedSuccessor(now, s)
	lm.tickWaiting(now, s)
	if s.pendingSwap != nil {
		lm.retrySwap(now, s)
		return
	}
	if next, ok := lm.nextRow(now, s); ok {
		lm.swap(now, s, next)
		return
	}
	lm.tickCopy(now, s)
}

// extendByEndedSuccessor uses the confirmed end of a possible successor as
// evidence that nobody is left to take over. It only extends a lease that has not
// expired. Once the lease has expired, the successor may have taken over before it
// ended, and another entry may have taken over from it.
func (lm *LeaseManager) extendByEndedSuccessor(now time.Time, s *shardState) {
	unexpired := now.Before(lm.evidenceTime(now, s).Add(lm.params.Lease))
	if !unexpired && !lm.disabled.unexpiredLease {
		return
	}
	for _, c := range lm.possibleSuccessors(s) {
		if lm.ended[c] {
			s.recordEvidence(c, now)
		}
	}
}

// nextRow returns the next row change that the holder needs, if any.
func (lm *LeaseManager) nextRow(now time.Time, s *shardState) (Row, bool) {
	row := s.row
	row.Announced = ""
	switch {
	case s.needsHorizon:
		row.Horizon, row.Mirrored = lm.params.horizonAt(now), false
		return row, true
	case s.row.Announced != "":
		return row, true
	}
	if next := lm.wantedSuccessor(now, s); next != s.row.Successor {
		row.Successor = next
		// The new successor has no copy of the starts yet.
		row.InSync = s.row.InSync && lm.disabled.clearInSync
		return row, true
	}
	if s.row.InSync && lm.successorSilent(now, s) {
		row.InSync = false
		if lm.disabled.confirmUnmirrored {
			s.row.InSync = false
			lm.allowWaiting(now, s)
		}
		return row, true
	}
	if !s.row.InSync && s.copyAcked && s.copyTo == s.row.Successor && !lm.successorSilent(now, s) {
		row.InSync = true
		return row, true
	}
	return lm.nextHandover(now, s)
}

// wantedSuccessor returns the entry that should be the successor, or "" if none is
// left. It keeps a successor that is live and responds.
func (lm *LeaseManager) wantedSuccessor(now time.Time, s *shardState) core.EntryID {
	old := s.row.Successor
	if s.moveTo != "" && !lm.ended[s.moveTo] && now.Before(s.moveDeadline) {
		return s.moveTo
	}
	unresponsive := s.successorSilentFor(now) > 3*lm.params.Lease && now.Sub(s.rowConfirmedAt) < lm.params.Lease
	if old != "" && !lm.ended[old] && !unresponsive && lm.isLive(old) {
		return old
	}
	next := lm.chooseSuccessor(now, s, old)
	if next == "" && !lm.ended[old] {
		return old
	}
	return next
}

// successorSilent reports whether starts should not wait for the successor: it has
// ended, refuses connections, or has sent no ack for a while.
func (lm *LeaseManager) successorSilent(now time.Time, s *shardState) bool {
	id := s.row.Successor
	return lm.ended[id] || now.Before(lm.refusedUntil[id]) || s.successorSilentFor(now) > lm.params.silenceTimeout()
}

// successorSilentFor returns the time since the latest evidence from the successor,
// which is usually its last acked ping, or since it was named if that is more
// recent.
func (s *shardState) successorSilentFor(now time.Time) time.Duration {
	if ack := s.evidenceAt[s.row.Successor]; ack.After(s.successorNamedAt) {
		return now.Sub(ack)
	}
	return now.Sub(s.successorNamedAt)
}
