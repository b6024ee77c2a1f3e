package shard

import (
	"time"

	"lavenderpond/core"
)

// shardState is what this entry knows about one shard, whether it is the holder,
// the successor or neither.
type shardState struct {
	index core.ShardIndex
	// rowKnown reports whether row is known from a read or an applied swap.
	rowKnown bool
	row      Row
	version  core.Version
	// lastReadVersion is the version at the last read, which may be older than
	// version.
	lastReadVersion core.Version
	// vacantSince is when this entry first found that the shard needs a new holder,
	// because it never had one or because its holder and successor have ended. It is
	// reset while another live entry is the holder.
	vacantSince time.Time
	pendingSwap *pendingSwap

	// As holder: the evidence for the lease. rowConfirmedAt is when the latest read
	// or swap was sent that found this entry to be the holder, without an
	// announcement in the row. evidenceAt is, for each entry, the latest time at which
	// it certainly had not taken over: when the last ping that it acked was sent, when
	// it was chosen as successor, or when its end was seen during a valid lease.
	rowConfirmedAt time.Time
	evidenceAt     map[core.EntryID]time.Time
	// successorNamedAt is when the row was found to name its successor.
	successorNamedAt time.Time
	// drainUntil limits how long a handover is delayed for waiting starts. While it
	// is set, no new starts are accepted. It is zero if there is no handover.
	drainUntil time.Time
	// moveTo is the entry that the shard is being moved to, until moveDeadline.
	moveTo       core.EntryID
	moveDeadline time.Time
	// needsHorizon reports that the row has Mirrored set, but that this entry doesn't
	// have the former holder's mirror. The row needs a horizon before any start.
	needsHorizon bool
	// starts are all known starts whose deadlines have not passed.
	starts map[core.RequestKey]Start
	// waiting are the starts that wait for the successor's ack; waitingOrder lists
	// them in order of arrival.
	waiting      map[core.RequestKey]*waitingStart
	waitingOrder []core.RequestKey
	// nextCopyAt is when a copy is sent again to a successor that refused one.
	nextCopyAt time.Time
	// copyTo is the successor that is being synchronized by copies of the starts;
	// copyRound numbers the copies, and copyAcked reports whether the last one was
	// acked.
	copyTo     core.EntryID
	copyRound  uint64
	copyAcked  bool
	copySentAt time.Time

	// As successor: when the holder was last active, and since when this entry's
	// announcement is known to be in the row.
	holderSeenAt time.Time
	announcedAt  time.Time
	mirror       mirror
}

// pendingSwap is a row change that is not settled yet. It may take effect at any
// moment until a higher version of the row is read.
type pendingSwap struct {
	SwapRow
	inFlight bool
	// answerLost reports that the answer to an earlier attempt was lost.
	answerLost bool
	// conflicted reports that only a read can settle the swap.
	conflicted bool
	retryAt    time.Time
}

type waitingStart struct {
	Start
	resendAt time.Time
}

// mirror is what a successor knows about the starts of one holder in one epoch.
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

// stopCopying aborts the synchronization of the successor.
func (s *shardState) stopCopying() { s.copyTo, s.copyAcked = "", false }

// possibleSuccessors returns the entries that may be the row's successor: the one
// in the known row, and the one in a pending change that may still take effect. An
// element is "" if there is none. If the answer to the change is lost after the
// write took effect, considering only the old successor would let the holder renew
// its lease with the old one while the new one takes over.
func (lm *LeaseManager) possibleSuccessors(s *shardState) [2]core.EntryID {
	c := [2]core.EntryID{s.row.Successor}
	p := s.pendingSwap
	if p == nil || lm.disabled.unconfirmedSuccessor || p.Row.Holder != lm.params.Self || p.Row.Successor == c[0] {
		return c
	}
	c[1] = p.Row.Successor
	return c
}

// evidenceTime returns the latest time at which certainly no other entry had taken
// over. If there is no possible successor, nobody can take over until this entry
// ends, and it returns now.
func (lm *LeaseManager) evidenceTime(now time.Time, s *shardState) time.Time {
	oldest, found := now, false
	for _, c := range lm.possibleSuccessors(s) {
		if c == "" {
			continue
		}
		e := s.rowConfirmedAt
		if s.evidenceAt[c].After(e) {
			e = s.evidenceAt[c]
		}
		if !found || e.Before(oldest) {
			oldest, found = e, true
		}
	}
	return oldest
}

func (s *shardState) recordEvidence(entry core.EntryID, at time.Time) {
	if s.evidenceAt == nil {
		s.evidenceAt = make(map[core.EntryID]time.Time)
	}
	if at.After(s.evidenceAt[entry]) {
		s.evidenceAt[entry] = at
	}
}
