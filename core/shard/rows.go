package shard

import (
	"time"

	"lavenderpond/core"
)

func (k *Keeper) rowsRead(now time.Time, e RowsRead) {
	k.tableOK = true
	changed := make(map[core.ShardIndex]VersionedRow, len(e.Rows))
	for _, r := range e.Rows {
		changed[r.Shard] = r
	}
	for i := range k.shards {
		s := &k.shards[i]
		r, ok := changed[s.index]
		if !ok {
			r = VersionedRow{Version: s.readVersion, Row: s.row}
		}
		k.rowRead(now, s, r, e.SentAt)
	}
}

// rowRead takes in a row as it was at some moment after sentAt. A read that was
// overtaken by a swap of this entry says nothing new.
func (k *Keeper) rowRead(now time.Time, s *state, r VersionedRow, sentAt time.Time) {
	s.readVersion = max(s.readVersion, r.Version)
	if s.read && r.Version < s.version {
		return
	}
	if !s.read && r.Version == 0 {
		s.emptySince = now
	}
	k.adopt(now, s, r.Version, r.Row, sentAt)
}

// adopt makes a row the one that is known to stand in the table since sentAt.
func (k *Keeper) adopt(now time.Time, s *state, version core.Version, row Row, sentAt time.Time) {
	old, moved := s.row, !s.read || version != s.version
	s.read, s.row, s.version = true, row, version
	if s.pending != nil && version > s.pending.Version {
		s.pending = nil
	}
	switch {
	case row.Holder == k.p.Self:
		k.adoptHeld(now, s, old, sentAt)
	case old.Holder == k.p.Self:
		k.lose(now, s)
	}
	// A change that isn't this entry's announcement is a sign of the holder's life.
	// Without it, an announcement that was cleared would come again at once, and a
	// cut between the two would be met with a stream of writes.
	if moved && row.Announced != k.p.Self {
		s.heard = now
	}
	// The wait counts from when the announcement is known to stand, not from when
	// it was sent: a late write must not shorten the holder's time to see it.
	if row.Announced == k.p.Self && moved {
		s.announced = now
	}
}

func (k *Keeper) adoptHeld(now time.Time, s *state, old Row, sentAt time.Time) {
	began := old.Holder != k.p.Self || old.Epoch != s.row.Epoch
	if began {
		k.inherit(now, s)
	}
	if s.row.Announced == "" && sentAt.After(s.rowSeen) {
		s.rowSeen = sentAt
	}
	if began || s.row.Successor != old.Successor {
		s.namedAt = now
		s.stopCopying()
	}
	if !k.mirroring(now, s) {
		k.allowWaiting(now, s)
	}
}

// inherit begins an epoch of this entry as holder.
func (k *Keeper) inherit(now time.Time, s *state) {
	m := s.mirror
	// rowSeen is set anew by the caller: evidence of an earlier epoch is void.
	s.rowSeen, s.acks = time.Time{}, nil
	s.closingBy, s.moveTo, s.moveBy, s.mirror = time.Time{}, "", time.Time{}, mirror{}
	s.stopCopying()
	s.clearWaiting()
	complete := m.holder == s.row.Former && m.epoch+1 == s.row.Epoch
	s.needsHorizon = s.row.Mirrored && !complete && !k.off.successorMark && !k.off.thirdEntry
	var starts []Start
	for _, start := range m.starts {
		if _, known := s.starts[start.Key]; !known && now.Before(start.Deadline.Add(k.p.Skew)) {
			starts = append(starts, start)
		}
		s.remember(start)
	}
	if len(starts) > 0 {
		sortStarts(starts)
		k.emit(Inherited{Shard: s.index, Former: s.row.Former, Starts: starts})
	}
}

// lose ends an epoch of this entry as holder.
func (k *Keeper) lose(now time.Time, s *state) {
	k.denyWaiting(now, s)
	k.emit(Lost{Shard: s.index, Holder: s.row.Holder})
	s.stopCopying()
	s.closingBy, s.moveTo, s.moveBy = time.Time{}, "", time.Time{}
	s.needsHorizon, s.starts = false, nil
}

// swap asks for a change of the row. At most one is open per shard: a second one
// could take effect in place of the first, unseen.
func (k *Keeper) swap(now time.Time, s *state, row Row) {
	if s.pending != nil || !k.tableOK {
		return
	}
	s.pending = &swap{SwapRow: SwapRow{Shard: s.index, Version: s.version, Row: row}}
	if row.Holder == k.p.Self && row.Successor != "" && row.Successor != s.row.Successor {
		// A new successor can't have announced anything before it was named.
		s.saw(row.Successor, now)
	}
	k.sendSwap(now, s)
}

func (k *Keeper) sendSwap(now time.Time, s *state) {
	s.pending.inFlight = true
	s.pending.retryAt = now.Add(k.p.retryAfter())
	k.emit(s.pending.SwapRow)
}

// retrySwap sends an open change again, unaltered, once its answer was lost.
func (k *Keeper) retrySwap(now time.Time, s *state) {
	p := s.pending
	if p.inFlight || p.conflicted || !k.tableOK || now.Before(p.retryAt) {
		return
	}
	k.sendSwap(now, s)
}

func (k *Keeper) swapSettled(now time.Time, e SwapSettled) {
	s := k.state(e.Shard)
	if s == nil || s.pending == nil || s.pending.Version != e.Version {
		return
	}
	p := s.pending
	p.inFlight = false
	switch e.Outcome {
	case SwapApplied:
		k.adopt(now, s, e.Version+1, p.Row, e.SentAt)
	case SwapConflict:
		p.conflicted = true
		if !p.lost {
			s.pending = nil
		}
		k.readSoon(now)
	case SwapUnknown:
		p.lost = true
		k.tableOK = false
		k.readSoon(now)
	case SwapDown:
		k.tableOK = false
		if !p.lost {
			s.pending = nil
		}
	}
}
