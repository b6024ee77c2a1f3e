package peer

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/key"
	"lavenderpond/io/supervisor"
)

// SpreadName is the name under which a Spread's receiver is registered.
const SpreadName = "Spread"

// Timing of Spread.
const (
	// DefaultSpreadInterval is the time between two exchanges with the relay, or of
	// the relay with other zones.
	DefaultSpreadInterval = time.Second
	// spreadTimeout bounds one exchange.
	spreadTimeout = 2 * time.Second
	// avoidDuration is how long a peer that didn't answer is passed over, if another of its
	// zone is left.
	avoidDuration = 5 * time.Second
	// maxIdleRounds is how many rounds a relay without news lets pass between two
	// exchanges with other zones. Key lists are trusted for longer than that.
	maxIdleRounds = 3
)

// Member is an entry's place.
type Member struct {
	Entry   core.EntryID
	Zone    core.ZoneID
	Address string
}

// Replica is the configuration and key ring that are spread.
type Replica interface {
	Version() core.Version
	DeltaSince(since core.Version) config.Delta
	Summary() key.Summary
	// FromPeer takes in what an entry of zone told. Sent is when the message that it
	// answered left here, or zero for what came unasked.
	FromPeer(d config.Delta, s key.Summary, zone core.ZoneID, sent time.Time) error
	Withdraw(withdrawals ...key.Withdrawal)
}

// SpreadArgs tells a peer what the sender, an entry of Zone, holds. A first message
// has no rows and no list of withdrawals.
type SpreadArgs struct {
	Zone core.ZoneID
	Told Told
}

// SpreadReply tells the sender what it lacks.
type SpreadReply struct{ Told Told }

// WithdrawArgs puts withdrawals in force at the receiver at once.
type WithdrawArgs struct{ Withdrawals []key.Withdrawal }

// WithdrawReply confirms that the withdrawals are in force at Entry.
type WithdrawReply struct {
	Entry core.EntryID
	Zone  core.ZoneID
}

// Spread tells configuration and withdrawals among entries. Each entry exchanges
// with its zone's relay, the first of its zone that answers; the relay alone
// exchanges with the other zones' relays. So the messages of a round number the
// entries plus the square of the zones, and a change crosses in three rounds.
type Spread struct {
	Self    Member
	Replica Replica
	// Members returns the known entries of a zone, self included or not.
	Members func(zone core.ZoneID) []Member
	Zones   []core.ZoneID
	// Call sends to a peer; Pool.Call in the daemon.
	Call func(ctx context.Context, address, method string, args, reply any) error
	Now  func() time.Time
	Log  zerolog.Logger
	// Interval between rounds; 0 means DefaultSpreadInterval.
	Interval time.Duration

	mu           sync.Mutex
	avoidedUntil map[core.EntryID]time.Time
	// idleRounds counts the rounds since the last exchange with other zones; the others
	// are what was told then.
	idleRounds           int
	crossZoneVersion     core.Version
	crossZoneWithdrawals setDigest

	// Switched on in tests only: no relay to other zones; zones one after the other;
	// evidence is taken without the withdrawals that it vouches for.
	noCrossZone, sequential, skipWithdrawalCheck bool
}

// Receiver returns what is registered under SpreadName.
func (s *Spread) Receiver() *SpreadReceiver { return &SpreadReceiver{spread: s} }

// Child returns the rounds as a part of the daemon's tree.
func (s *Spread) Child() supervisor.Child {
	return supervisor.Child{Name: "spread", Run: func(ctx context.Context) error {
		interval := s.Interval
		if interval == 0 {
			interval = DefaultSpreadInterval
		}
		return supervisor.Every(ctx, interval, s.Round)
	}}
}

// Round exchanges once with this zone's relay, or, as the relay, with one entry of
// each other zone.
func (s *Spread) Round(ctx context.Context) {
	if s.exchangeWithRelay(ctx) || !s.crossZoneDue() {
		return
	}
	var g supervisor.Group
	for _, z := range s.Zones {
		if z == s.Self.Zone || s.noCrossZone {
			continue
		}
		g.Go(func() { s.exchangeWithFirst(ctx, s.peersByRank(z)) })
		if s.sequential {
			g.Wait()
		}
	}
	g.Wait()
}

// crossZoneDue says whether the relay should exchange with other zones in this
// round: at once if it has news, else every few rounds. An exchange each second with
// each of seven zones took a relay over the 10 KB/s that its control may cost
// (docs/CAPACITY.md); one that only brings news takes no longer to bring it.
func (s *Spread) crossZoneDue() bool {
	version, withdrawals := s.Replica.Version(), digestOf(s.Replica.Summary().Withdrawals)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idleRounds++
	if version == s.crossZoneVersion && withdrawals == s.crossZoneWithdrawals && s.idleRounds < maxIdleRounds {
		return false
	}
	s.idleRounds, s.crossZoneVersion, s.crossZoneWithdrawals = 0, version, withdrawals
	return true
}

// exchangeWithRelay exchanges with the relay of the own zone. It returns false if this
// entry is the relay: none before it in rank answers.
func (s *Spread) exchangeWithRelay(ctx context.Context) bool {
	var preceding []Member
	for _, m := range s.peersByRank(s.Self.Zone) {
		if m.Entry < s.Self.Entry {
			preceding = append(preceding, m)
		}
	}
	return s.exchangeWithFirst(ctx, preceding)
}

// peersByRank returns the members of a zone by id, without self. The relay is the first
// that answers; two at a time, while entries disagree about who answers, only cost
// messages.
func (s *Spread) peersByRank(zone core.ZoneID) []Member {
	var peers []Member
	for _, m := range s.Members(zone) {
		if m.Entry != s.Self.Entry {
			peers = append(peers, m)
		}
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Entry < peers[j].Entry })
	return peers
}

// exchangeWithFirst exchanges with the first of members that answers. One that didn't
// lately is tried last.
func (s *Spread) exchangeWithFirst(ctx context.Context, members []Member) bool {
	sort.SliceStable(members, func(i, j int) bool { return !s.isAvoided(members[i].Entry) && s.isAvoided(members[j].Entry) })
	for _, m := range members {
		if ctx.Err() != nil {
			return false
		}
		err := s.exchange(ctx, m)
		s.setAvoided(m.Entry, err != nil)
		if err == nil {
			return true
		}
		s.Log.Debug().Err(err).Str("peer", string(m.Entry)).Msg("exchange failed")
	}
	return false
}

// exchange asks m for what this entry lacks, and sends m what m lacks.
func (s *Spread) exchange(ctx context.Context, m Member) error {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	sent := s.Now()
	local, _ := s.stateSince(s.Replica.Version())
	var reply SpreadReply
	if err := s.Call(ctx, m.Address, SpreadName+".Exchange", SpreadArgs{Zone: s.Self.Zone, Told: local}, &reply); err != nil {
		return err
	}
	if err := s.merge(reply.Told, local.Unrecorded, m.Zone, sent); err != nil {
		return err
	}
	update, withdrawals := s.stateSince(reply.Told.Version)
	if update.Unrecorded != reply.Told.Unrecorded {
		update.Withdrawals = withdrawals
	}
	if len(update.Rows) == 0 && len(update.Withdrawals) == 0 && reply.Told.Version >= update.Version {
		return nil
	}
	return s.Call(ctx, m.Address, SpreadName+".Exchange", SpreadArgs{Zone: s.Self.Zone, Told: update}, &SpreadReply{})
}

// stateSince returns this entry's state, with the rows that a peer at version since lacks,
// and the withdrawals that its digest stands for.
func (s *Spread) stateSince(since core.Version) (Told, []key.Withdrawal) {
	// The summary is taken before the rows: its evidence must not be newer than they.
	keys := s.Replica.Summary()
	return newTold(s.Replica.DeltaSince(since), keys), keys.Withdrawals
}

// merge takes in what an entry of zone told. Held are the withdrawals that this entry
// held when the teller left them out.
func (s *Spread) merge(t Told, held setDigest, zone core.ZoneID, sent time.Time) error {
	if s.skipWithdrawalCheck {
		held = t.Unrecorded
	}
	return s.Replica.FromPeer(t.delta(), t.summary(held), zone, sent)
}

// Withdraw puts a withdrawal in force at m, for the operator's command.
func (s *Spread) Withdraw(ctx context.Context, m Member, w key.Withdrawal) error {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	return s.Call(ctx, m.Address, SpreadName+".Withdraw", WithdrawArgs{Withdrawals: []key.Withdrawal{w}}, &WithdrawReply{})
}

func (s *Spread) isAvoided(e core.EntryID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Now().Before(s.avoidedUntil[e])
}

func (s *Spread) setAvoided(e core.EntryID, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !failed {
		delete(s.avoidedUntil, e)
		return
	}
	if s.avoidedUntil == nil {
		s.avoidedUntil = make(map[core.EntryID]time.Time)
	}
	s.avoidedUntil[e] = s.Now().Add(avoidDuration)
}

// SpreadReceiver answers peers' Spread calls.
type SpreadReceiver struct{ spread *Spread }

// Exchange takes in what the sender told and answers with what it lacks.
func (r *SpreadReceiver) Exchange(args SpreadArgs, reply *SpreadReply) error {
	s := r.spread
	held := digestOf(s.Replica.Summary().Withdrawals)
	if err := s.merge(args.Told, held, args.Zone, time.Time{}); err != nil {
		return err
	}
	var withdrawals []key.Withdrawal
	reply.Told, withdrawals = s.stateSince(args.Told.Version)
	if reply.Told.Unrecorded != args.Told.Unrecorded {
		reply.Told.Withdrawals = withdrawals
	}
	return nil
}

// Withdraw puts withdrawals in force here.
func (r *SpreadReceiver) Withdraw(args WithdrawArgs, reply *WithdrawReply) error {
	r.spread.Replica.Withdraw(args.Withdrawals...)
	reply.Entry, reply.Zone = r.spread.Self.Entry, r.spread.Self.Zone
	return nil
}
