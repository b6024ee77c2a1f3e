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

// handleRow processes a row as it was at some moment after sentAt. A read that is
// older than a swap of this entry is ignored.
func (lm *LeaseManager) handleRow(now time.Time, s *shardState, r VersionedRow, sentAt time.Time) {
	s.lastReadVersion = max(s.lastReadVersion, r.Version)
	if s.rowKnown && r.Version < s.version {
		return
	}
	if !s.rowKnown && r.Version == 0 {
		s.vacantSince = now
	}
	lm.applyRow(now, s, r.Version, r.Row, sentAt)
}

// applyRow stores a row that is known to have been in the table at some moment
// after sentAt, and reacts to changes of the holder.
func (lm *LeaseManager) applyRow(now time.Time, s *shardState, version core.Version, row Row, sentAt time.Time) {
	old, changed := s.row, !s.rowKnown || version != s.version
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
	// A row change other than this entry's announcement counts as activity of the
	// holder. Otherwise an announcement that the holder cleared would be repeated
	// immediately, and a network partition between the two would cause a continuous
	// stream of writes.
	if changed && row.Announced != lm.params.Self {
		s.holderSeenAt = now
	}
	// The wait counts from when the announcement is known to be in the table, not
	// from when it was sent. A delayed write must not shorten the time that the
	// holder has to see it.
	if row.Announced == lm.params.Self && changed {
		s.announcedAt = now
	}
}

func (lm *LeaseManager) applyHeldRow(now time.Time, s *shardState, old Row, sentAt time.Time) {
	epochBegan := old.Holder != lm.params.Self || old.Epoch != s.row.Epoch
	if epochBegan {
		lm.beginEpoch(now, s)
	}
	if s.row.Announced == "" && sentAt.After(s.rowConfirmedAt) {
		s.rowConfirmedAt = sentAt
	}
	if epochBegan || s.row.Successor != old.Successor {
		s.successorNamedAt = now
		s.stopCopying()
	}
	if !lm.mustMirror(now, s) {
		lm.allowWaiting(now, s)
	}
}

// beginEpoch starts an epoch in which this entry is the holder.
func (lm *LeaseManager) beginEpoch(now time.Time, s *shardState) {
	m := s.mirror
	// The caller sets rowConfirmedAt. Evidence of an earlier epoch is invalid.
	s.rowConfirmedAt, s.evidenceAt = time.Time{}, nil
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

// endEpoch ends an epoch in which this entry was the holder.
func (lm *LeaseManager) endEpoch(now time.Time, s *shardState) {
	lm.denyWaiting(now, s)
	lm.emit(Lost{Shard: s.index, Holder: s.row.Holder})
	s.stopCopying()
	s.drainUntil, s.moveTo, s.moveDeadline = time.Time{}, "", time.Time{}
	s.needsHorizon, s.starts = false, nil
}

// swap requests a row change. Only one change may be pending per shard: a second
// change could take effect in place of the first without being noticed.
func (lm *LeaseManager) swap(now time.Time, s *shardState, row Row) {
	if s.pendingSwap != nil || !lm.tableOK {
		return
	}
	s.pendingSwap = &pendingSwap{SwapRow: SwapRow{Shard: s.index, Version: s.version, Row: row}}
	if row.Holder == lm.params.Self && row.Successor != "" && row.Successor != s.row.Successor {
		// A new successor can't have announced a takeover before it was named.
		s.recordEvidence(row.Successor, now)
	}
	lm.sendSwap(now, s)
}

func (lm *LeaseManager) sendSwap(now time.Time, s *shardState) {
	s.pendingSwap.inFlight = true
	s.pendingSwap.retryAt = now.Add(lm.params.retryInterval())
	lm.emit(s.pendingSwap.SwapRow)
}

// retrySwap resends a pending change unmodified after its answer was lost.
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
