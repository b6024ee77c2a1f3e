package shard

import (
	"time"

	"lavenderpond/core"
)

// state is what this entry knows of one shard, as holder, successor or neither.
type state struct {
	index core.ShardIndex
	// read says that row is the row as of some read or applied swap.
	read    bool
	row     Row
	version core.Version
	// readVersion is the version at the last read, which may be older.
	readVersion core.Version
	// emptySince is when the row was first read as not existing.
	emptySince time.Time
	pending    *swap

	// As holder: the evidence for the right, by the time it was asked for.
	rowSeen time.Time
	acks    map[core.EntryID]time.Time
	// namedAt is when the row was found to name its successor.
	namedAt time.Time
	// closingBy ends the wait for open starts before a hand-over; no new ones are
	// taken meanwhile. Zero: no hand-over.
	closingBy time.Time
	// moveTo is the entry that gets the shard, until moveBy.
	moveTo core.EntryID
	moveBy time.Time
	// needsHorizon says that the row promises a mirror that isn't there.
	needsHorizon bool
	// starts are all known starts whose deadline matters yet.
	starts map[core.RequestKey]Start
	// waiting are starts that await the successor's ack; order is by arrival.
	waiting map[core.RequestKey]*waitingStart
	order   []core.RequestKey
	// nextCopy is when a successor that refused a copy is asked again.
	nextCopy time.Time
	// copyTo is the successor that is being brought in sync.
	copyTo core.EntryID
	round  uint64
	copied bool
	sentAt time.Time

	// As successor: when the holder last showed life, and since when this entry's
	// announcement is known to stand in the row.
	heard     time.Time
	announced time.Time
	mirror    mirror
}

// swap is a change of the row that is not settled yet. It may take effect at any
// moment until a higher version of the row is read.
type swap struct {
	SwapRow
	inFlight bool
	// lost says that an earlier send's answer was lost.
	lost bool
	// conflicted says that only a read can settle the swap.
	conflicted bool
	retryAt    time.Time
}

type waitingStart struct {
	Start
	resendAt time.Time
}

// mirror is what a successor knows of the starts of one holder in one epoch.
type mirror struct {
	holder core.EntryID
	epoch  core.Epoch
	round  uint64
	starts map[core.RequestKey]Start
}

func (s *state) holds(self core.EntryID) bool { return s.read && s.row.Holder == self }

func (s *state) remember(start Start) {
	if s.starts == nil {
		s.starts = make(map[core.RequestKey]Start)
	}
	s.starts[start.Key] = start
}

func (s *state) wait(start Start) {
	if s.waiting == nil {
		s.waiting = make(map[core.RequestKey]*waitingStart)
	}
	s.waiting[start.Key] = &waitingStart{Start: start}
	s.order = append(s.order, start.Key)
}

func (s *state) clearWaiting() {
	s.waiting, s.order = nil, nil
}

// stopCopying ends the attempt to bring the successor in sync.
func (s *state) stopCopying() { s.copyTo, s.copied = "", false }

// candidates are the entries that may be the row's successor: the one read, and
// the one of a change that may yet take effect; "" for none. If the answer to a
// naming is lost after the write took effect, the holder would otherwise renew its
// right with the old successor while the new one takes over.
func (k *Keeper) candidates(s *state) [2]core.EntryID {
	c := [2]core.EntryID{s.row.Successor}
	p := s.pending
	if p == nil || k.off.unconfirmed || p.Row.Holder != k.p.Self || p.Row.Successor == c[0] {
		return c
	}
	c[1] = p.Row.Successor
	return c
}

// evidence returns the time at which it was still certain that no other entry had
// taken over. Without any possible successor nobody can, until this entry ends.
func (k *Keeper) evidence(now time.Time, s *state) time.Time {
	oldest, found := now, false
	for _, c := range k.candidates(s) {
		if c == "" {
			continue
		}
		e := s.rowSeen
		if s.acks[c].After(e) {
			e = s.acks[c]
		}
		if !found || e.Before(oldest) {
			oldest, found = e, true
		}
	}
	return oldest
}

func (s *state) saw(entry core.EntryID, at time.Time) {
	if s.acks == nil {
		s.acks = make(map[core.EntryID]time.Time)
	}
	if at.After(s.acks[entry]) {
		s.acks[entry] = at
	}
}
