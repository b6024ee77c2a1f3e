package shard

import (
	"time"

	"lavenderpond/core"
)

func (lm *LeaseManager) handleRowsRead(now time.Time, e RowsRead) {
	lm.tableOK = true
	changed := make(map[core.ShardIndex]VersionedRow, len(e.Rows))
	for _, r := range e.Rows {
		changed[r.Shard] = r
	}
	for i := range lm.shards {
		s := &lm.shards[i]
		r, ok := changed[s.index]
		if !ok {
			r = VersionedRow{Version: s.lastReadVersion, Row: s.row}
		}
		lm.handleRow(now, s, r, e.SentAt)
	}
}

// handleRow takes in a row as it was at some moment after sentAt. A read that was
// overtaken by a swap of this entry says nothing new.
func (lm *LeaseManager) handleRow(now time.Time, s *shardState, r VersionedRow, sentAt time.Time) {
	s.lastReadVersion = max(s.lastReadVersion, r.Version)
	if s.rowKnown && r.Version < s.version {
		return
	}
	if !s.rowKnown && r.Version == 0 {
		s.emptySince = now
	}
	lm.applyRow(now, s, r.Version, r.Row, sentAt)
}

// applyRow makes a row the one that is known to stand in the table since sentAt.
func (lm *LeaseManager) applyRow(now time.Time, s *shardState, version core.Version, row Row, sentAt time.Time) {
	old, moved := s.row, !s.rowKnown || version != s.version
	s.rowKnown, s.row, s.version = true, row, version
	if s.pendingSwap != nil && version > s.pendingSwap.Version {
		s.pendingSwap = nil
	}
	switch {
	case row.Holder == lm.params.Self:
		lm.applyHeldRow(now, s, old, sentAt)
	case old.Holder == lm.params.Self:
		lm.endEpoch(now, s)
	}
	// A change that isn't this entry's announcement is a sign of the holder's life.
	// Without it, an announcement that was cleared would come again at once, and a
	// cut between the two would be met with a stream of writes.
	if moved && row.Announced != lm.params.Self {
		s.holderSeenAt = now
	}
	// The wait counts from when the announcement is known to stand, not from when
	// it was sent: a late write must not shorten the holder's time to see it.
	if row.Announced == lm.params.Self && moved {
		s.announcedAt = now
	}
}

func (lm *LeaseManager) applyHeldRow(now time.Time, s *shardState, old Row, sentAt time.Time) {
	began := old.Holder != lm.params.Self || old.Epoch != s.row.Epoch
	if began {
		lm.beginEpoch(now, s)
	}
	if s.row.Announced == "" && sentAt.After(s.rowConfirmedAt) {
		s.rowConfirmedAt = sentAt
	}
	if began || s.row.Successor != old.Successor {
		s.successorNamedAt = now
		s.stopCopying()
	}
	if !lm.mustMirror(now, s) {
		lm.allowWaiting(now, s)
	}
}

// beginEpoch begins an epoch of this entry as holder.
func (lm *LeaseManager) beginEpoch(now time.Time, s *shardState) {
	m := s.mirror
	// rowSeen is set anew by the caller: evidence of an earlier epoch is void.
	s.rowConfirmedAt, s.ackedAt = time.Time{}, nil
	s.drainUntil, s.moveTo, s.moveDeadline, s.mirror = time.Time{}, "", time.Time{}, mirror{}
	s.stopCopying()
	s.clearWaiting()
	complete := m.holder == s.row.Former && m.epoch+1 == s.row.Epoch
	s.needsHorizon = s.row.Mirrored && !complete && !lm.disabled.clearInSync && !lm.disabled.thirdEntryHorizon
	var starts []Start
	for _, start := range m.starts {
		if _, known := s.starts[start.Key]; !known && now.Before(start.Deadline.Add(lm.params.Skew)) {
			starts = append(starts, start)
		}
		s.addStart(start)
	}
	if len(starts) > 0 {
		sortStarts(starts)
		lm.emit(Inherited{Shard: s.index, Former: s.row.Former, Starts: starts})
	}
}

// endEpoch ends an epoch of this entry as holder.
func (lm *LeaseManager) endEpoch(now time.Time, s *shardState) {
	lm.denyWaiting(now, s)
	lm.emit(Lost{Shard: s.index, Holder: s.row.Holder})
	s.stopCopying()
	s.drainUntil, s.moveTo, s.moveDeadline = time.Time{}, "", time.Time{}
	s.needsHorizon, s.starts = false, nil
}

// swap asks for a change of the row. At most one is open per shard: a second one
// could take effect in place of the first, unseen.
func (lm *LeaseManager) swap(now time.Time, s *shardState, row Row) {
	if s.pendingSwap != nil || !lm.tableOK {
		return
	}
	s.pendingSwap = &pendingSwap{SwapRow: SwapRow{Shard: s.index, Version: s.version, Row: row}}
	if row.Holder == lm.params.Self && row.Successor != "" && row.Successor != s.row.Successor {
		// A new successor can't have announced anything before it was named.
		s.recordEvidence(row.Successor, now)
	}
	lm.sendSwap(now, s)
}

func (lm *LeaseManager) sendSwap(now time.Time, s *shardState) {
	s.pendingSwap.inFlight = true
	s.pendingSwap.retryAt = now.Add(lm.params.retryInterval())
	lm.emit(s.pendingSwap.SwapRow)
}

// retrySwap sends an open change again, unaltered, once its answer was lost.
func (lm *LeaseManager) retrySwap(now time.Time, s *shardState) {
	p := s.pendingSwap
	if p.inFlight || p.conflicted || !lm.tableOK || now.Before(p.retryAt) {
		return
	}
	lm.sendSwap(now, s)
}

func (lm *LeaseManager) handleSwapSettled(now time.Time, e SwapSettled) {
	s := lm.state(e.Shard)
	if s == nil || s.pendingSwap == nil || s.pendingSwap.Version != e.Version {
		return
	}
	p := s.pendingSwap
	p.inFlight = false
	switch e.Outcome {
	case SwapApplied:
		lm.applyRow(now, s, e.Version+1, p.Row, e.SentAt)
	case SwapConflict:
		p.conflicted = true
		if !p.answerLost {
			s.pendingSwap = nil
		}
		lm.requestRead(now)
	case SwapUnknown:
		p.answerLost = true
		lm.tableOK = false
		lm.requestRead(now)
	case SwapUnreachable:
		lm.tableOK = false
		if !p.answerLost {
			s.pendingSwap = nil
		}
	}
}
