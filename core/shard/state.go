package shard

import (
	"time"

	"lavenderpond/core"
)

// shardState is what this entry knows of one shard, as holder, successor or neither.
type shardState struct {
	index core.ShardIndex
	// rowKnown says that row is the row as of some read or applied swap.
	rowKnown bool
	row      Row
	version  core.Version
	// lastReadVersion is the version at the last read, which may be older.
	lastReadVersion core.Version
	// emptySince is when the row was first read as not existing.
	emptySince  time.Time
	pendingSwap *pendingSwap

	// As holder: the evidence for the right, by the time it was asked for.
	rowConfirmedAt time.Time
	ackedAt        map[core.EntryID]time.Time
	// successorNamedAt is when the row was found to name its successor.
	successorNamedAt time.Time
	// drainUntil ends the wait for open starts before a hand-over; no new ones are
	// taken meanwhile. Zero: no hand-over.
	drainUntil time.Time
	// moveTo is the entry that gets the shard, until moveBy.
	moveTo       core.EntryID
	moveDeadline time.Time
	// needsHorizon says that the row promises a mirror that isn't there.
	needsHorizon bool
	// starts are all known starts whose deadline matters yet.
	starts map[core.RequestKey]Start
	// waiting are starts that await the successor's ack; order is by arrival.
	waiting      map[core.RequestKey]*waitingStart
	waitingOrder []core.RequestKey
	// nextCopyAt is when a successor that refused a copy is asked again.
	nextCopyAt time.Time
	// copyTo is the successor that is being brought in sync.
	copyTo     core.EntryID
	copyRound  uint64
	copyAcked  bool
	copySentAt time.Time

	// As successor: when the holder last showed life, and since when this entry's
	// announcement is known to stand in the row.
	holderSeenAt time.Time
	announcedAt  time.Time
	mirror       mirror
}

// pendingSwap is a change of the row that is not settled yet. It may take effect at any
// moment until a higher version of the row is read.
type pendingSwap struct {
	SwapRow
	inFlight bool
	// answerLost says that an earlier send's answer was lost.
	answerLost bool
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

func (s *shardState) isHeldBy(self core.EntryID) bool { return s.rowKnown && s.row.Holder == self }

func (s *shardState) addStart(start Start) {
	if s.starts == nil {
		s.starts = make(map[core.RequestKey]Start)
	}
	s.starts[start.Key] = start
}

func (s *shardState) addWaiting(start Start) {
	if s.waiting == nil {
		s.waiting = make(map[core.RequestKey]*waitingStart)
	}
	s.waiting[start.Key] = &waitingStart{Start: start}
	s.waitingOrder = append(s.waitingOrder, start.Key)
}

func (s *shardState) clearWaiting() {
	s.waiting, s.waitingOrder = nil, nil
}

// stopCopying ends the attempt to bring the successor in sync.
func (s *shardState) stopCopying() { s.copyTo, s.copyAcked = "", false }

// possibleSuccessors are the entries that may be the row's successor: the one read, and
// the one of a change that may yet take effect; "" for none. If the answer to a
// naming is lost after the write took effect, the holder would otherwise renew its
// right with the old successor while the new one takes over.
func (lm *LeaseManager) possibleSuccessors(s *shardState) [2]core.EntryID {
	c := [2]core.EntryID{s.row.Successor}
	p := s.pendingSwap
	if p == nil || lm.disabled.unconfirmedSuccessor || p.Row.Holder != lm.params.Self || p.Row.Successor == c[0] {
		return c
	}
	c[1] = p.Row.Successor
	return c
}

// evidenceTime returns the time at which it was still certain that no other entry had
// taken over. Without any possible successor nobody can, until this entry ends.
func (lm *LeaseManager) evidenceTime(now time.Time, s *shardState) time.Time {
	oldest, found := now, false
	for _, c := range lm.possibleSuccessors(s) {
		if c == "" {
			continue
		}
		e := s.rowConfirmedAt
		if s.ackedAt[c].After(e) {
			e = s.ackedAt[c]
		}
		if !found || e.Before(oldest) {
			oldest, found = e, true
		}
	}
	return oldest
}

func (s *shardState) recordEvidence(entry core.EntryID, at time.Time) {
	if s.ackedAt == nil {
		s.ackedAt = make(map[core.EntryID]time.Time)
	}
	if at.After(s.ackedAt[entry]) {
		s.ackedAt[entry] = at
	}
}
