package shard

import (
	"slices"
	"time"

	"lavenderpond/core"
)

// Limits on moving shards between entries. The durations are multiples of the
// lease.
const (
	// moveLeases is how long a move may take before it is abandoned.
	moveLeases = 8
	// balanceLeases is the interval at which an entry considers moving shards.
	balanceLeases = 1
	// refusedLeases is how long an entry that refused a connection is avoided as a
	// successor or as the destination of a move.
	refusedLeases = 4
	// maxSuccessors limits how many different entries this entry chooses as
	// successors. It bounds the number of messages regardless of the zone's size.
	maxSuccessors = 3
	// maxMoves limits the moves that an entry has in progress.
	maxMoves = 4
)

func (lm *LeaseManager) isLive(id core.EntryID) bool { return slices.Contains(lm.live, id) }

// chooseSuccessor considers the next maxSuccessors live entries after this one in
// list order and returns the one that is successor of the fewest of this entry's
// shards. It returns "" if no entry other than except is available.
func (lm *LeaseManager) chooseSuccessor(now time.Time, s *shardState, except core.EntryID) core.EntryID {
	load := make(map[core.EntryID]int)
	for i := range lm.shards {
		o := &lm.shards[i]
		switch {
		case o == s:
		case o.pendingSwap != nil && o.pendingSwap.Row.Holder == lm.params.Self:
			load[o.pendingSwap.Row.Successor]++
		case o.isHeldBy(lm.params.Self):
			load[o.row.Successor]++
		}
	}
	var best core.EntryID
	considered := 0
	self := slices.Index(lm.live, lm.params.Self)
	for i := range lm.live {
		id := lm.live[(self+1+i)%len(lm.live)]
		if id == lm.params.Self || id == except || lm.ended[id] || now.Before(lm.refusedUntil[id]) || considered == maxSuccessors {
			continue
		}
		considered++
		if best == "" || load[id] < load[best] {
			best = id
		}
	}
	return best
}

// countShardsBy returns the number of shards per entry, where role selects the
// entry from a shard's row.
func (lm *LeaseManager) countShardsBy(role func(Row) core.EntryID) map[core.EntryID]int {
	n := make(map[core.EntryID]int, len(lm.live))
	for i := range lm.shards {
		n[role(lm.shards[i].row)]++
	}
	return n
}

// balance moves a few shards at a time to the live entry that holds the fewest, if
// that entry holds at least two fewer than this one. The margin of two makes the
// moves converge; a new entry receives its share within a few seconds.
func (lm *LeaseManager) balance(now time.Time) {
	if now.Before(lm.nextBalance) || !lm.handOverBy.IsZero() || !lm.tableOK {
		return
	}
	lm.nextBalance = now.Add(balanceLeases * lm.params.Lease)
	held := lm.countShardsBy(func(r Row) core.EntryID { return r.Holder })
	if held[""] > 0 {
		return
	}
	least := lm.params.Self
	for _, id := range lm.live {
		if held[id] < held[least] && !lm.ended[id] && !now.Before(lm.refusedUntil[id]) && !lm.isStopping(id) {
			least = id
		}
	}
	for range maxMoves {
		if held[lm.params.Self]-lm.movesInProgress(now)-held[least] < 2 || !lm.startMove(now, least) {
			return
		}
	}
}

// isStopping reports whether entry id is handing its shards over in order to shut
// down. Released names it in the rows of the shards that it has handed over. Until
// such an entry has ended, it is still listed, still answers, and holds the fewest
// shards. Shards handed back to it would have no holder when it ends: their callers
// would wait for a takeover and get "unknown" for ids that never ran. A stopping
// entry never serves again, so a single row is sufficient evidence.
func (lm *LeaseManager) isStopping(id core.EntryID) bool {
	for i := range lm.shards {
		if lm.shards[i].row.Released == id {
			return true
		}
	}
	return false
}

// movesInProgress returns the number of moves in progress.
func (lm *LeaseManager) movesInProgress(now time.Time) int {
	n := 0
	for i := range lm.shards {
		if s := &lm.shards[i]; s.isHeldBy(lm.params.Self) && now.Before(s.moveDeadline) {
			n++
		}
	}
	return n
}

// startMove begins to hand a shard over to id. It prefers a shard that already has
// id as its successor.
func (lm *LeaseManager) startMove(now time.Time, id core.EntryID) bool {
	if lm.movesInProgress(now) >= maxMoves {
		return false
	}
	var best *shardState
	for i := range lm.shards {
		s := &lm.shards[i]
		if !s.isHeldBy(lm.params.Self) || now.Before(s.moveDeadline) {
			continue
		}
		if best == nil || best.row.Successor != id && s.row.Successor == id {
			best = s
		}
	}
	if best == nil {
		return false
	}
	best.moveTo, best.moveDeadline = id, now.Add(moveLeases*lm.params.Lease)
	return true
}

// nextHandover returns the row that makes the successor the holder, once the
// successor knows all starts and the waiting starts are settled or drainUntil has
// passed. Once the handover deadline of a shutdown has passed, it waits for neither.
func (lm *LeaseManager) nextHandover(now time.Time, s *shardState) (Row, bool) {
	to := lm.handoverRecipient(now, s)
	responsive := s.row.Successor == to && !lm.successorSilent(now, s)
	inSync := s.row.InSync && responsive
	// Two entries that stop at the same time must not hand a shard back and forth.
	forced := !lm.handOverBy.IsZero() && !now.Before(lm.handOverBy) && responsive && to != s.row.Former
	if to == "" || !inSync && !forced {
		s.drainUntil = time.Time{}
		return Row{}, false
	}
	if s.drainUntil.IsZero() {
		s.drainUntil = now.Add(lm.params.silenceTimeout())
	}
	if len(s.waiting) > 0 && now.Before(s.drainUntil) && !forced {
		return Row{}, false
	}
	return lm.handoverRow(now, s, to, inSync), true
}

func (lm *LeaseManager) handoverRow(now time.Time, s *shardState, to core.EntryID, inSync bool) Row {
	row := Row{
		Holder: to, Epoch: s.row.Epoch + 1, Successor: lm.params.Self,
		Former: lm.params.Self, Mirrored: inSync, Horizon: s.row.Horizon, Released: s.row.Released,
	}
	if !lm.handOverBy.IsZero() {
		row.Released = lm.params.Self
		row.Successor = lm.chooseSuccessor(now, s, to)
	}
	if !inSync {
		row.Horizon = lm.params.horizonAt(now)
	}
	return row
}

// handoverRecipient returns the entry that should receive the shard: the successor
// if this entry is stopping, else the entry that the shard is being moved to. It
// returns "" if there is none, and then abandons a move that has timed out or whose
// destination is stopping.
func (lm *LeaseManager) handoverRecipient(now time.Time, s *shardState) core.EntryID {
	if !lm.handOverBy.IsZero() {
		return s.row.Successor
	}
	if now.Before(s.moveDeadline) && !lm.isStopping(s.moveTo) {
		return s.moveTo
	}
	s.moveTo, s.moveDeadline = "", time.Time{}
	return ""
}

// handingOver reports whether a swap that makes another entry the holder is pending
// and may take effect at any moment. From the moment it sends that swap, this entry
// starts no requests of the shard.
func (lm *LeaseManager) handingOver(s *shardState) bool {
	return s.pendingSwap != nil && s.pendingSwap.Row.Holder != lm.params.Self
}

// HeldCount returns how many shards this entry holds according to the latest rows
// it knows. A stopping daemon waits until it is 0.
func (lm *LeaseManager) HeldCount() int {
	n := 0
	for i := range lm.shards {
		if lm.shards[i].isHeldBy(lm.params.Self) {
			n++
		}
	}
	return n
}

// NamedEntries returns, in no particular order, the holders and possible successors
// of all shards. The LeaseManager needs to learn which of them have ended.
func (lm *LeaseManager) NamedEntries() []core.EntryID {
	seen := map[core.EntryID]bool{"": true}
	var named []core.EntryID
	for i := range lm.shards {
		s := &lm.shards[i]
		c := lm.possibleSuccessors(s)
		for _, id := range [3]core.EntryID{s.row.Holder, c[0], c[1]} {
			if !seen[id] {
				seen[id] = true
				named = append(named, id)
			}
		}
	}
	return named
}
