package shard

import (
	"slices"
	"time"

	"lavenderpond/core"
)

// Limits of hand-overs, as multiples of the lease.
const (
	// moveLeases is how long a move may take before it is given up.
	moveLeases = 8
	// balanceLeases is how often an entry considers a move.
	balanceLeases = 1
	// refusedLeases is how long a refused connection counts against an entry.
	refusedLeases = 4
	// maxPartners bounds the entries that this one chooses as successors, and so its
	// messages, however many entries the zone has.
	maxPartners = 3
	// maxMoves bounds the moves that an entry has under way.
	maxMoves = 4
)

func (k *Keeper) isLive(id core.EntryID) bool { return slices.Contains(k.live, id) }

// chooseSuccessor returns, of the next live entries in order after this one, the
// successor of the fewest of its shards; "" if none is left besides except.
func (k *Keeper) chooseSuccessor(now time.Time, s *state, except core.EntryID) core.EntryID {
	load := make(map[core.EntryID]int)
	for i := range k.shards {
		o := &k.shards[i]
		switch {
		case o == s:
		case o.pending != nil && o.pending.Row.Holder == k.p.Self:
			load[o.pending.Row.Successor]++
		case o.holds(k.p.Self):
			load[o.row.Successor]++
		}
	}
	var best core.EntryID
	partners := 0
	self := slices.Index(k.live, k.p.Self)
	for i := range k.live {
		id := k.live[(self+1+i)%len(k.live)]
		if id == k.p.Self || id == except || k.gone[id] || now.Before(k.refused[id]) || partners == maxPartners {
			continue
		}
		partners++
		if best == "" || load[id] < load[best] {
			best = id
		}
	}
	return best
}

// load counts the shards by the entry that role names.
func (k *Keeper) load(role func(Row) core.EntryID) map[core.EntryID]int {
	n := make(map[core.EntryID]int, len(k.live))
	for i := range k.shards {
		n[role(k.shards[i].row)]++
	}
	return n
}

// balance moves a few shards at a time to the live entry that holds the fewest, if it
// holds at least two less than this one: so moves end, and a new entry gets its
// part within some seconds.
func (k *Keeper) balance(now time.Time) {
	if now.Before(k.nextBalance) || !k.releaseBy.IsZero() || !k.tableOK {
		return
	}
	k.nextBalance = now.Add(balanceLeases * k.p.Lease)
	held := k.load(func(r Row) core.EntryID { return r.Holder })
	if held[""] > 0 {
		return
	}
	least := k.p.Self
	for _, id := range k.live {
		if held[id] < held[least] && !k.gone[id] && !now.Before(k.refused[id]) && !k.stops(id) {
			least = id
		}
	}
	for range maxMoves {
		if held[k.p.Self]-k.moves(now)-held[least] < 2 || !k.move(now, least) {
			return
		}
	}
}

// stops reports whether the run of id hands its shards over to end, as a row that it
// released says. Until it has ended it is listed, answers, and holds the fewest
// shards: handed some back, it would end with them, and their callers would wait for
// a take-over and be told "unknown" of ids that never ran. A run that stops never
// goes back to serving, so the word of one row is enough.
func (k *Keeper) stops(id core.EntryID) bool {
	for i := range k.shards {
		if k.shards[i].row.Released == id {
			return true
		}
	}
	return false
}

// moves counts the moves under way.
func (k *Keeper) moves(now time.Time) int {
	n := 0
	for i := range k.shards {
		if s := &k.shards[i]; s.holds(k.p.Self) && now.Before(s.moveBy) {
			n++
		}
	}
	return n
}

// move begins to hand a shard over to id, one that already has it as successor if
// there is one.
func (k *Keeper) move(now time.Time, id core.EntryID) bool {
	if k.moves(now) >= maxMoves {
		return false
	}
	var best *state
	for i := range k.shards {
		s := &k.shards[i]
		if !s.holds(k.p.Self) || now.Before(s.moveBy) {
			continue
		}
		if best == nil || best.row.Successor != id && s.row.Successor == id {
			best = s
		}
	}
	if best == nil {
		return false
	}
	best.moveTo, best.moveBy = id, now.Add(moveLeases*k.p.Lease)
	return true
}

// handOver returns the row that makes the successor the holder, once it knows all
// starts and no more are open.
func (k *Keeper) handOver(now time.Time, s *state) (Row, bool) {
	to := k.handOverTo(now, s)
	answers := s.row.Successor == to && !k.silent(now, s)
	inSync := s.row.InSync && answers
	// Two entries that stop together must not hand a shard back and forth.
	forced := !k.releaseBy.IsZero() && !now.Before(k.releaseBy) && answers && to != s.row.Former
	if to == "" || !inSync && !forced {
		s.closingBy = time.Time{}
		return Row{}, false
	}
	if s.closingBy.IsZero() {
		s.closingBy = now.Add(k.p.silentAfter())
	}
	if len(s.waiting) > 0 && now.Before(s.closingBy) && !forced {
		return Row{}, false
	}
	return k.handOverRow(now, s, to, inSync), true
}

func (k *Keeper) handOverRow(now time.Time, s *state, to core.EntryID, inSync bool) Row {
	row := Row{
		Holder: to, Epoch: s.row.Epoch + 1, Successor: k.p.Self,
		Former: k.p.Self, Mirrored: inSync, Horizon: s.row.Horizon, Released: s.row.Released,
	}
	if !k.releaseBy.IsZero() {
		row.Released = k.p.Self
		row.Successor = k.chooseSuccessor(now, s, to)
	}
	if !inSync {
		row.Horizon = k.p.horizonAt(now)
	}
	return row
}

func (k *Keeper) handOverTo(now time.Time, s *state) core.EntryID {
	if !k.releaseBy.IsZero() {
		return s.row.Successor
	}
	if now.Before(s.moveBy) && !k.stops(s.moveTo) {
		return s.moveTo
	}
	s.moveTo, s.moveBy = "", time.Time{}
	return ""
}

// handingOver reports whether a swap that takes the shard from this entry may take
// effect at any moment. From its send on, this entry starts nothing.
func (k *Keeper) handingOver(s *state) bool {
	return s.pending != nil && s.pending.Row.Holder != k.p.Self
}

// Holding returns how many shards this entry holds by its last word from the
// table. A stopping daemon waits until it is 0.
func (k *Keeper) Holding() int {
	n := 0
	for i := range k.shards {
		if k.shards[i].holds(k.p.Self) {
			n++
		}
	}
	return n
}

// Named returns the entries that the rows name, in no order: whether they have
// ended matters to this Keeper.
func (k *Keeper) Named() []core.EntryID {
	seen := map[core.EntryID]bool{"": true}
	var named []core.EntryID
	for i := range k.shards {
		s := &k.shards[i]
		c := k.candidates(s)
		for _, id := range [3]core.EntryID{s.row.Holder, c[0], c[1]} {
			if !seen[id] {
				seen[id] = true
				named = append(named, id)
			}
		}
	}
	return named
}
