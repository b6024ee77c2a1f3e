package shard

import (
	"time"

	"lavenderpond/core"
)

// tickNonHolder checks a shard that another entry or no entry holds.
func (lm *LeaseManager) tickNonHolder(now time.Time, s *shardState) {
	if s.pendingSwap != nil {
		lm.retrySwap(now, s)
		return
	}
	switch {
	case s.row.Holder == "":
		lm.claim(now, s)
	case lm.ended[s.row.Holder]:
		if s.row.Successor == lm.params.Self || lm.thirdEntryMayTakeOver(now, s) {
			lm.takeOver(now, s)
		}
	default:
		s.vacantSince = time.Time{}
		if s.row.Successor == lm.params.Self || lm.disabled.oneSuccessor {
			lm.watchHolder(now, s)
		}
	}
}

// watchHolder takes over from a silent holder in two steps: it announces the
// takeover in the row, waits, and takes over. The announcement stops a holder that
// still reads the table, and a live holder can clear it.
func (lm *LeaseManager) watchHolder(now time.Time, s *shardState) {
	wait := lm.params.takeoverWait()
	if now.Sub(s.holderSeenAt) <= wait {
		return
	}
	if lm.disabled.announcement {
		lm.takeOver(now, s)
		return
	}
	if s.row.Announced != lm.params.Self {
		row := s.row
		row.Announced = lm.params.Self
		lm.swap(now, s, row)
		return
	}
	if now.Sub(s.announcedAt) > wait {
		lm.takeOver(now, s)
	}
}

// thirdEntryMayTakeOver reports whether this entry may take over as a third entry,
// which is neither holder nor successor. This requires that holder and successor
// have both certainly ended. Third entries take turns to avoid races.
func (lm *LeaseManager) thirdEntryMayTakeOver(now time.Time, s *shardState) bool {
	if s.row.Successor != "" && !lm.ended[s.row.Successor] {
		return false
	}
	return lm.myTurn(now, s)
}

// takeOver requests the row that makes this entry the holder. The row gets a new
// horizon unless this entry has a complete mirror of the holder's starts.
func (lm *LeaseManager) takeOver(now time.Time, s *shardState) {
	successor := s.row.Successor == lm.params.Self
	mirrored := s.row.InSync && successor && s.mirror.holder == s.row.Holder && s.mirror.epoch == s.row.Epoch
	// A third entry has no mirror: InSync refers to the successor's mirror.
	if lm.disabled.thirdEntryHorizon && s.row.InSync && !successor {
		mirrored = true
	}
	if lm.disabled.clearInSync && s.row.InSync && successor {
		mirrored = true
	}
	row := Row{
		Holder: lm.params.Self, Epoch: s.row.Epoch + 1, Successor: lm.chooseSuccessor(now, s, s.row.Holder),
		Former: s.row.Holder, Mirrored: mirrored, Horizon: s.row.Horizon,
	}
	if !mirrored {
		row.Horizon = lm.params.horizonAt(now)
	}
	lm.swap(now, s, row)
}

// claim takes a shard that has never had a holder.
func (lm *LeaseManager) claim(now time.Time, s *shardState) {
	if lm.selfListed && lm.myTurn(now, s) {
		lm.swap(now, s, Row{Holder: lm.params.Self, Epoch: s.row.Epoch + 1, Successor: lm.chooseSuccessor(now, s, "")})
	}
}

// myTurn reports whether it is this entry's turn to take a vacant shard. The turns
// spread vacant shards evenly over the live entries: entry i of n has the first
// turn at every nth shard, and each following entry's turn begins one lease later.
func (lm *LeaseManager) myTurn(now time.Time, s *shardState) bool {
	if s.vacantSince.IsZero() {
		s.vacantSince = now
	}
	n := len(lm.live)
	for i, id := range lm.live {
		if id == lm.params.Self {
			turn := (i - int(s.index)%n + n) % n
			return now.Sub(s.vacantSince) >= time.Duration(turn)*lm.params.Lease
		}
	}
	return false
}

// takingOver reports whether a swap that makes this entry the holder is pending
// and may take effect at any moment.
func (lm *LeaseManager) takingOver(s *shardState) bool {
	return s.pendingSwap != nil && s.pendingSwap.Row.Holder == lm.params.Self && s.row.Holder != lm.params.Self
}

// mayGrantLease reports whether this entry, as a possible successor, may grant a
// lease to from. An entry that has taken over, or has sent the swap to do so,
// grants none.
func (lm *LeaseManager) mayGrantLease(s *shardState, from core.EntryID, epoch core.Epoch) bool {
	if s.rowKnown && s.row.Epoch > epoch || s.rowKnown && s.row.Epoch == epoch && s.row.Holder != from {
		return false
	}
	return !lm.takingOver(s) || s.row.Epoch < epoch
}
