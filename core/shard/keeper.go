package shard

import (
	"time"

	"lavenderpond/core"
)

// Keeper decides for all shards of a zone what this entry may do. Its methods are
// pure: time and events come in, commands come out. It is not safe for concurrent
// use.
type Keeper struct {
	p      Params
	shards []state
	live   []core.EntryID
	gone   map[core.EntryID]bool
	// refused are entries whose address refused a connection, until when that
	// counts: some leases, or until they speak again.
	refused map[core.EntryID]time.Time
	// listed says that the platform lists this entry, so that others can learn of
	// its end. Only then does it claim shards.
	listed bool
	// tableOK says that the table has answered since it last failed. Changes wait
	// for it, so that an outage isn't met with a storm of retries.
	tableOK     bool
	nextPing    time.Time
	nextRead    time.Time
	nextBalance time.Time
	nextSweep   time.Time
	// releaseBy is when this entry stops; zero: it doesn't.
	releaseBy time.Time
	out       []Command
	off       safeguardsOff
}

// safeguardsOff switches single safeguards off. Only tests set it, to show that
// each is needed.
type safeguardsOff struct {
	horizon, sendDate, announcement, oneSuccessor, unbrokenProof, unconfirmed       bool
	mirror, successorMark, thirdEntry, copyWaiting, copyMerge, readBack, decideAnew bool
}

// New returns a Keeper that holds nothing.
func New(p Params) *Keeper {
	p = p.withDefaults()
	k := &Keeper{p: p, shards: make([]state, p.Shards), gone: map[core.EntryID]bool{}, refused: map[core.EntryID]time.Time{}}
	for i := range k.shards {
		k.shards[i].index = core.ShardIndex(i)
	}
	return k
}

// Params returns the Keeper's settings, with defaults filled in.
func (k *Keeper) Params() Params { return k.p }

// Handle takes in an event and returns what is to be done.
func (k *Keeper) Handle(now time.Time, e Event) []Command {
	switch e := e.(type) {
	case RowsRead:
		k.rowsRead(now, e)
	case SwapSettled:
		k.swapSettled(now, e)
	case Received:
		delete(k.refused, e.From)
		k.received(now, e.From, e.Message)
	case Listed:
		k.live = e.Live
		for _, id := range e.Live {
			k.listed = k.listed || id == k.p.Self
		}
		clear(k.gone)
		for _, id := range e.Gone {
			k.gone[id] = true
		}
	case Refused:
		k.refused[e.Entry] = now.Add(refusedLeases * k.p.Lease)
		k.readSoon(now)
	case Releasing:
		k.releaseBy = e.By
		k.tick(now)
	case Tick:
		k.tick(now)
	}
	return k.take()
}

// Shard returns the shard of id.
func (k *Keeper) Shard(id core.RequestKey) core.ShardIndex { return id.Shard(k.p.Shards) }

// Decide says whether this entry may start the request now. firstSent is zero if
// the caller doesn't say. Ids that home has a record of need no Decide.
func (k *Keeper) Decide(now time.Time, shard core.ShardIndex, id core.RequestKey, firstSent, deadline time.Time) Verdict {
	s := k.state(shard)
	if s == nil || !s.read {
		return Wait{ComeBackAt: now.Add(k.p.retryAfter())}
	}
	if s.row.Holder != k.p.Self {
		return k.elsewhere(now, s)
	}
	if !s.closingBy.IsZero() || !now.Before(k.RightUntil(now, shard)) {
		return Wait{ComeBackAt: now.Add(k.p.pingEvery())}
	}
	if _, started := s.starts[id]; started {
		return Unknown{Code: core.CodeHomeReplaced}
	}
	if v := k.checkTimes(now, s, firstSent, deadline); v != nil {
		return v
	}
	startBy := k.RightUntil(now, shard)
	if deadline.Before(startBy) {
		startBy = deadline
	}
	return Run{StartBy: startBy, Mirrored: k.mirroring(now, s)}
}

// RightUntil returns when this entry's right to decide about the shard's ids ends
// by what is known now: the start_by deadline of a dispatch, checked right before
// the write to the target and enforced there. Zero: it has no right.
func (k *Keeper) RightUntil(now time.Time, shard core.ShardIndex) time.Time {
	s := k.state(shard)
	if s == nil || !s.holds(k.p.Self) || s.needsHorizon || k.handingOver(s) {
		return time.Time{}
	}
	return k.evidence(now, s).Add(k.p.Lease)
}

// Start asks for the right to dispatch a non-idempotent request after Decide said
// Run. If allowed is false and no StartDenied is among the commands, a later
// StartAllowed or StartDenied settles it.
//
// It decides anew: while the request was queued, the shard may have been lost and
// won again, and another holder may have run a retry in between.
func (k *Keeper) Start(now time.Time, shard core.ShardIndex, start Start) (allowed bool, commands []Command) {
	s := k.state(shard)
	verdict := k.Decide(now, shard, start.Key, start.FirstSent, start.Deadline)
	if k.off.decideAnew && now.Before(k.RightUntil(now, shard)) {
		verdict = Run{Mirrored: k.mirroring(now, s)}
	}
	run, may := verdict.(Run)
	switch {
	case !may:
		return false, []Command{StartDenied{Shard: shard, Key: start.Key, Verdict: verdict}}
	case !run.Mirrored:
		s.remember(start)
		return true, nil
	case s.waiting[start.Key] == nil:
		s.wait(start)
		k.mirrorStart(now, s, s.waiting[start.Key])
	}
	return false, k.take()
}

// Forget drops what is known of an id before the Keeper does so by itself, once
// its deadline and the skew bound are past. Only for starts that were allowed but
// certainly never written to a target.
func (k *Keeper) Forget(shard core.ShardIndex, id core.RequestKey) {
	s := k.state(shard)
	if s == nil || s.row.InSync || s.copyTo != "" {
		// The successor would still take the id for started; keeping it here too
		// keeps the two in step.
		return
	}
	delete(s.starts, id)
}

func (k *Keeper) elsewhere(now time.Time, s *state) Verdict {
	if s.row.Holder == "" || k.gone[s.row.Holder] {
		return Wait{ComeBackAt: now.Add(k.p.pingEvery())}
	}
	return NotHolder{Holder: s.row.Holder}
}

// checkTimes holds an id against the horizon. It returns nil if nothing speaks
// against a start.
func (k *Keeper) checkTimes(now time.Time, s *state, firstSent, deadline time.Time) Verdict {
	if now.After(deadline.Add(k.p.Skew)) {
		// Starts this old are forgotten.
		return Unknown{Code: core.CodeHomeReplaced}
	}
	if !k.off.horizon && !s.row.Horizon.IsZero() && k.beforeHorizon(s, firstSent, deadline) {
		return Unknown{Code: core.CodeHomeReplaced}
	}
	switch {
	case !now.Before(deadline):
		return Refuse{Code: core.CodeDeadlinePassed}
	case !firstSent.IsZero() && firstSent.After(now.Add(k.p.Skew)):
		return Refuse{Code: core.CodeClockAhead}
	case deadline.After(now.Add(k.p.MaxLifetime + k.p.Skew)):
		return Refuse{Code: core.CodeDeadlineTooFar}
	}
	return nil
}

func (k *Keeper) beforeHorizon(s *state, firstSent, deadline time.Time) bool {
	if !firstSent.IsZero() {
		return !firstSent.After(s.row.Horizon)
	}
	return !deadline.After(s.row.Horizon.Add(k.p.MaxLifetime))
}

func (k *Keeper) state(shard core.ShardIndex) *state {
	if int(shard) >= len(k.shards) {
		return nil
	}
	return &k.shards[shard]
}

func (k *Keeper) emit(c Command) { k.out = append(k.out, c) }

func (k *Keeper) take() []Command {
	out := k.out
	k.out = nil
	return out
}

func (k *Keeper) readSoon(now time.Time) {
	k.nextRead = now.Add(k.p.readEvery())
	k.emit(ReadRows{})
}
