package shard

import (
	"sort"
	"time"

	"lavenderpond/core"
)

func (k *Keeper) tick(now time.Time) {
	if !now.Before(k.nextRead) {
		k.readSoon(now)
	}
	ping := !now.Before(k.nextPing)
	if ping {
		k.nextPing = now.Add(k.p.pingEvery())
	}
	var held map[core.EntryID][]Held
	if ping {
		held = make(map[core.EntryID][]Held)
	}
	for i := range k.shards {
		s := &k.shards[i]
		switch {
		case s.holds(k.p.Self):
			k.tickHolder(now, s)
			if ping {
				for _, c := range k.candidates(s) {
					if c != "" {
						held[c] = append(held[c], Held{Shard: s.index, Epoch: s.row.Epoch})
					}
				}
			}
		case s.read && k.releaseBy.IsZero():
			k.tickOther(now, s)
		}
	}
	k.sendPings(now, held)
	k.balance(now)
	k.sweep(now)
}

func (k *Keeper) sendPings(now time.Time, held map[core.EntryID][]Held) {
	to := make([]core.EntryID, 0, len(held))
	for id := range held {
		to = append(to, id)
	}
	sort.Slice(to, func(i, j int) bool { return to[i] < to[j] })
	for _, id := range to {
		if !k.gone[id] {
			k.emit(Send{To: id, Message: Ping{SentAt: now, Held: held[id]}})
		}
	}
}

func (k *Keeper) tickHolder(now time.Time, s *state) {
	k.extendByDeath(now, s)
	k.tickWaiting(now, s)
	if s.pending != nil {
		k.retrySwap(now, s)
		return
	}
	if next, ok := k.nextRow(now, s); ok {
		k.swap(now, s, next)
		return
	}
	k.tickCopy(now, s)
}

// extendByDeath takes the certain end of a possible successor as evidence: nobody
// is left to take over. It only extends a right that is unbroken. Once the right
// has lapsed, the successor may have taken over before it died, and another entry
// after it.
func (k *Keeper) extendByDeath(now time.Time, s *state) {
	unbroken := now.Before(k.evidence(now, s).Add(k.p.Lease))
	if !unbroken && !k.off.unbrokenProof {
		return
	}
	for _, c := range k.candidates(s) {
		if k.gone[c] {
			s.saw(c, now)
		}
	}
}

// nextRow returns the change that the holder wants next, if any.
func (k *Keeper) nextRow(now time.Time, s *state) (Row, bool) {
	row := s.row
	row.Announced = ""
	switch {
	case s.needsHorizon:
		row.Horizon, row.Mirrored = k.p.horizonAt(now), false
		return row, true
	case s.row.Announced != "":
		return row, true
	}
	if next := k.wantedSuccessor(now, s); next != s.row.Successor {
		row.Successor = next
		// The new successor has no copy yet.
		row.InSync = s.row.InSync && k.off.successorMark
		return row, true
	}
	if s.row.InSync && k.silent(now, s) {
		row.InSync = false
		if k.off.readBack {
			s.row.InSync = false
			k.allowWaiting(now, s)
		}
		return row, true
	}
	if !s.row.InSync && s.copied && s.copyTo == s.row.Successor && !k.silent(now, s) {
		row.InSync = true
		return row, true
	}
	return k.handOver(now, s)
}

// wantedSuccessor returns the entry that should be the successor, "" if none is
// left. A successor that lives and answers is kept.
func (k *Keeper) wantedSuccessor(now time.Time, s *state) core.EntryID {
	old := s.row.Successor
	if s.moveTo != "" && !k.gone[s.moveTo] && now.Before(s.moveBy) {
		return s.moveTo
	}
	quiet := s.quietFor(now) > 3*k.p.Lease && now.Sub(s.rowSeen) < k.p.Lease
	if old != "" && !k.gone[old] && !quiet && k.isLive(old) {
		return old
	}
	next := k.chooseSuccessor(now, s, old)
	if next == "" && !k.gone[old] {
		return old
	}
	return next
}

// silent reports whether the successor has not acked for a while, so that starts
// had better not wait for it.
func (k *Keeper) silent(now time.Time, s *state) bool {
	id := s.row.Successor
	return k.gone[id] || now.Before(k.refused[id]) || s.quietFor(now) > k.p.silentAfter()
}

// quietFor returns how long the successor has not acked, at most since it was
// named.
func (s *state) quietFor(now time.Time) time.Duration {
	if ack := s.acks[s.row.Successor]; ack.After(s.namedAt) {
		return now.Sub(ack)
	}
	return now.Sub(s.namedAt)
}
