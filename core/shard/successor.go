package shard

import (
	"time"

	"lavenderpond/core"
)

// tickOther looks after a shard that another entry holds, or none.
func (k *Keeper) tickOther(now time.Time, s *state) {
	if s.pending != nil {
		k.retrySwap(now, s)
		return
	}
	switch {
	case s.row.Holder == "":
		k.claim(now, s)
	case k.gone[s.row.Holder]:
		if s.row.Successor == k.p.Self || k.thirdMayTakeOver(now, s) {
			k.takeOver(now, s)
		}
	default:
		s.emptySince = time.Time{}
		if s.row.Successor == k.p.Self || k.off.oneSuccessor {
			k.watchHolder(now, s)
		}
	}
}

// watchHolder takes over from a silent holder in two steps. The announcement
// stops a holder that still reads the table, and lets a live one object.
func (k *Keeper) watchHolder(now time.Time, s *state) {
	wait := k.p.takeOverWait()
	if now.Sub(s.heard) <= wait {
		return
	}
	if k.off.announcement {
		k.takeOver(now, s)
		return
	}
	if s.row.Announced != k.p.Self {
		row := s.row
		row.Announced = k.p.Self
		k.swap(now, s, row)
		return
	}
	if now.Sub(s.announced) > wait {
		k.takeOver(now, s)
	}
}

// thirdMayTakeOver reports whether holder and successor have both ended for
// certain. Entries go one after the other, so that they don't race.
func (k *Keeper) thirdMayTakeOver(now time.Time, s *state) bool {
	if s.row.Successor != "" && !k.gone[s.row.Successor] {
		return false
	}
	return k.myTurn(now, s)
}

func (k *Keeper) takeOver(now time.Time, s *state) {
	successor := s.row.Successor == k.p.Self
	known := s.row.InSync && successor && s.mirror.holder == s.row.Holder && s.mirror.epoch == s.row.Epoch
	// A third entry has no mirror: the mark speaks of the successor's.
	if k.off.thirdEntry && s.row.InSync && !successor {
		known = true
	}
	if k.off.successorMark && s.row.InSync && successor {
		known = true
	}
	row := Row{
		Holder: k.p.Self, Epoch: s.row.Epoch + 1, Successor: k.chooseSuccessor(now, s, s.row.Holder),
		Former: s.row.Holder, Mirrored: known, Horizon: s.row.Horizon,
	}
	if !known {
		row.Horizon = k.p.horizonAt(now)
	}
	k.swap(now, s, row)
}

// claim takes a shard that never had a holder.
func (k *Keeper) claim(now time.Time, s *state) {
	if k.listed && k.myTurn(now, s) {
		k.swap(now, s, Row{Holder: k.p.Self, Epoch: s.row.Epoch + 1, Successor: k.chooseSuccessor(now, s, "")})
	}
}

// myTurn spreads shards without a holder evenly over the live entries: entry i of
// n has the first go at every nth shard, the next one a lease later.
func (k *Keeper) myTurn(now time.Time, s *state) bool {
	if s.emptySince.IsZero() {
		s.emptySince = now
	}
	n := len(k.live)
	for i, id := range k.live {
		if id == k.p.Self {
			turn := (i - int(s.index)%n + n) % n
			return now.Sub(s.emptySince) >= time.Duration(turn)*k.p.Lease
		}
	}
	return false
}

// takingOver reports whether a swap that makes this entry the holder may take
// effect at any moment.
func (k *Keeper) takingOver(s *state) bool {
	return s.pending != nil && s.pending.Row.Holder == k.p.Self && s.row.Holder != k.p.Self
}

// heeds reports whether this entry, as a possible successor, may grant a lease to
// from. One that has taken over, or has sent the swap for it, grants none.
func (k *Keeper) heeds(s *state, from core.EntryID, epoch core.Epoch) bool {
	if s.read && s.row.Epoch > epoch || s.read && s.row.Epoch == epoch && s.row.Holder != from {
		return false
	}
	return !k.takingOver(s) || s.row.Epoch < epoch
}
