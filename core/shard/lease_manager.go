package shard

import (
	"time"

	"lavenderpond/core"
)

// LeaseManager tracks the leases on all shards of a zone for one entry and decides
// which requests the entry may start. It does no I/O and reads no clock: callers
// pass in the time and events and execute the returned commands. It is not safe
// for concurrent use.
type LeaseManager struct {
	params Params
	shards []shardState
	live   []core.EntryID
	ended  map[core.EntryID]bool
	// refusedUntil maps each entry whose address refused a connection to the time
	// until which the entry is avoided: a few leases, or until it sends a message.
	refusedUntil map[core.EntryID]time.Time
	// selfListed reports whether the platform has listed this entry. Other entries
	// can only learn of this entry's end once it has been listed, so it claims no shards
	// before that.
	selfListed bool
	// tableOK reports whether the table has answered since it last failed. Row
	// changes wait for it, which avoids a retry storm during an outage.
	tableOK         bool
	nextPing        time.Time
	nextRead        time.Time
	nextBalance     time.Time
	nextStartExpiry time.Time
	// handOverBy is the handover deadline of a shutdown; zero if this entry is not
	// stopping.
	handOverBy time.Time
	commands   []Command
	disabled   disabledSafeguards
}

// disabledSafeguards disables individual safeguards. Only tests set it, to prove
// that each safeguard is needed.
type disabledSafeguards struct {
	horizon, dateBySend, announcement, oneSuccessor, unexpiredLease, unconfirmedSuccessor          bool
	mirror, clearInSync, thirdEntryHorizon, copyWaiting, copyMerge, confirmUnmirrored, decideAgain bool
}

// New returns a LeaseManager that holds no shards.
func New(p Params) *LeaseManager {
	p = p.withDefaults()
	lm := &LeaseManager{params: p, shards: make([]shardState, p.Shards), ended: map[core.EntryID]bool{}, refusedUntil: map[core.EntryID]time.Time{}}
	for i := range lm.shards {
		lm.shards[i].index = core.ShardIndex(i)
	}
	return lm
}

// Params returns the LeaseManager's settings with the defaults filled in.
func (lm *LeaseManager) Params() Params { return lm.params }

// Handle processes an event and returns the commands to execute.
func (lm *LeaseManager) Handle(now time.Time, e Event) []Command {
	switch e := e.(type) {
	case RowsRead:
		lm.handleRowsRead(now, e)
	case SwapSettled:
		lm.handleSwapSettled(now, e)
	case Received:
		delete(lm.refusedUntil, e.From)
		lm.handleMessage(now, e.From, e.Message)
	case EntriesListed:
		lm.live = e.Live
		for _, id := range e.Live {
			lm.selfListed = lm.selfListed || id == lm.params.Self
		}
		clear(lm.ended)
		for _, id := range e.Ended {
			lm.ended[id] = true
		}
	case Refused:
		lm.refusedUntil[e.Entry] = now.Add(refusedLeases * lm.params.Lease)
		lm.requestRead(now)
	case ShuttingDown:
		lm.handOverBy = e.HandOverBy
		lm.tick(now)
	case Tick:
		lm.tick(now)
	}
	return lm.takeCommands()
}

// Shard returns the shard of key.
func (lm *LeaseManager) Shard(key core.RequestKey) core.ShardIndex {
	return key.Shard(lm.params.Shards)
}

// Decide returns whether this entry may start the request now. firstSent is zero
// if the caller doesn't provide it. Decide need not be called for a request that its
// home has a record of.
func (lm *LeaseManager) Decide(now time.Time, shard core.ShardIndex, key core.RequestKey, firstSent, deadline time.Time) Verdict {
	s := lm.state(shard)
	if s == nil || !s.rowKnown {
		return Wait{ComeBackAt: now.Add(lm.params.retryInterval())}
	}
	if s.row.Holder != lm.params.Self {
		return lm.nonHolderVerdict(now, s)
	}
	if !s.drainUntil.IsZero() || !now.Before(lm.LeaseExpiry(now, shard)) {
		return Wait{ComeBackAt: now.Add(lm.params.pingInterval())}
	}
	if _, started := s.starts[key]; started {
		return Unknown{Code: core.CodeHomeReplaced}
	}
	if v := lm.checkTimes(now, s, firstSent, deadline); v != nil {
		return v
	}
	startBy := lm.LeaseExpiry(now, shard)
	if deadline.Before(startBy) {
		startBy = deadline
	}
	return Run{StartBy: startBy, Mirrored: lm.mustMirror(now, s)}
}

// LeaseExpiry returns when this entry's lease on the shard ends, as far as known
// at now; zero if it has no lease. It is the start_by time of a dispatch, checked
// right before the write to the target and enforced by the target.
func (lm *LeaseManager) LeaseExpiry(now time.Time, shard core.ShardIndex) time.Time {
	s := lm.state(shard)
	if s == nil || !s.isHeldBy(lm.params.Self) || s.needsHorizon || lm.handingOver(s) {
		return time.Time{}
	}
	return lm.evidenceTime(now, s).Add(lm.params.Lease)
}

// Start asks for permission to dispatch a non-idempotent request for which Decide
// returned Run. If allowed is false and the commands contain no StartDenied, a
// later StartAllowed or StartDenied follows.
//
// It repeats Decide's checks: while the request was queued, the shard may have
// been lost and regained, and another holder may have run a retry in between.
func (lm *LeaseManager) Start(now time.Time, shard core.ShardIndex, start Start) (allowed bool, commands []Command) {
	s := lm.state(shard)
	verdict := lm.Decide(now, shard, start.Key, start.FirstSent, start.Deadline)
	if lm.disabled.decideAgain && now.Before(lm.LeaseExpiry(now, shard)) {
		verdict = Run{Mirrored: lm.mustMirror(now, s)}
	}
	run, mayRun := verdict.(Run)
	switch {
	case !mayRun:
		return false, []Command{StartDenied{Shard: shard, Key: start.Key, Verdict: verdict}}
	case !run.Mirrored:
		s.addStart(start)
		return true, nil
	case s.waiting[start.Key] == nil:
		s.addWaiting(start)
		lm.sendMirrorStart(now, s, s.waiting[start.Key])
	}
	return false, lm.takeCommands()
}

// Forget drops a start before it expires by itself, which happens once its
// deadline plus the skew bound has passed. It may only be called for starts that
// were allowed but certainly never written to a target.
func (lm *LeaseManager) Forget(shard core.ShardIndex, key core.RequestKey) {
	s := lm.state(shard)
	if s == nil || s.row.InSync || s.copyTo != "" {
		// The successor would still consider the id started. Keeping the start keeps
		// the two entries consistent.
		return
	}
	delete(s.starts, key)
}

func (lm *LeaseManager) nonHolderVerdict(now time.Time, s *shardState) Verdict {
	if s.row.Holder == "" || lm.ended[s.row.Holder] {
		return Wait{ComeBackAt: now.Add(lm.params.pingInterval())}
	}
	return NotHolder{Holder: s.row.Holder}
}

// checkTimes checks the request's times against the horizon, the deadline and the
// clocks. It returns nil if they permit a start.
func (lm *LeaseManager) checkTimes(now time.Time, s *shardState, firstSent, deadline time.Time) Verdict {
	if now.After(deadline.Add(lm.params.Skew)) {
		// Starts with a deadline this old have been dropped.
		return Unknown{Code: core.CodeHomeReplaced}
	}
	if !lm.disabled.horizon && !s.row.Horizon.IsZero() && lm.beforeHorizon(s, firstSent, deadline) {
		return Unknown{Code: core.CodeHomeReplaced}
	}
	switch {
	case !now.Before(deadline):
		return Refuse{Code: core.CodeDeadlinePassed}
	case !firstSent.IsZero() && firstSent.After(now.Add(lm.params.Skew)):
		return Refuse{Code: core.CodeClockAhead}
	case deadline.After(now.Add(lm.params.MaxLifetime + lm.params.Skew)):
		return Refuse{Code: core.CodeDeadlineTooFar}
	}
	return nil
}

// beforeHorizon reports whether a request with these times may have been first sent
// at the horizon or earlier. Without firstSent, it assumes that the request was first
// sent MaxLifetime before its deadline.
func (lm *LeaseManager) beforeHorizon(s *shardState, firstSent, deadline time.Time) bool {
	if !firstSent.IsZero() {
		return !firstSent.After(s.row.Horizon)
	}
	return !deadline.After(s.row.Horizon.Add(lm.params.MaxLifetime))
}

func (lm *LeaseManager) state(shard core.ShardIndex) *shardState {
	if int(shard) >= len(lm.shards) {
		return nil
	}
	return &lm.shards[shard]
}

func (lm *LeaseManager) emit(c Command) { lm.commands = append(lm.commands, c) }

func (lm *LeaseManager) takeCommands() []Command {
	out := lm.commands
	lm.commands = nil
	return out
}

func (lm *LeaseManager) requestRead(now time.Time) {
	lm.nextRead = now.Add(lm.params.readInterval())
	lm.emit(ReadRows{})
}
