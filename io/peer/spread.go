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

// SpreadName is the net/rpc service name of SpreadReceiver.
const SpreadName = "Spread"

// Timing of Spread.
const (
	// DefaultSpreadInterval is the default time between two rounds.
	DefaultSpreadInterval = time.Second
	// spreadTimeout bounds one exchange.
	spreadTimeout = 2 * time.Second
	// avoidDuration is how long a peer that didn't answer is tried only after the other
	// entries of its zone.
	avoidDuration = 5 * time.Second
	// maxIdleRounds is the number of rounds from one exchange of a relay with other zones
	// to the next if there is nothing new. These rounds must take less time than the
	// maximum staleness of key lists.
	maxIdleRounds = 3
)

// Member is an entry with its zone and its peer address.
type Member struct {
	Entry   core.EntryID
	Zone    core.ZoneID
	Address string
}

// Replica is an entry's copy of the configuration and the key ring. Spread keeps it in
// agreement with the replicas of the other entries.
type Replica interface {
	Version() core.Version
	DeltaSince(since core.Version) config.Delta
	Summary() key.Summary
	// ApplyFromPeer applies data received from an entry of zone. If the data came in a reply,
	// sent is when this entry sent the request; otherwise sent is zero.
	ApplyFromPeer(d config.Delta, s key.Summary, zone core.ZoneID, sent time.Time) error
	Withdraw(withdrawals ...key.Withdrawal)
}

// SpreadArgs carries the state of the sender, an entry of Zone. The first message of an
// exchange contains no rows and no list of withdrawals.
type SpreadArgs struct {
	Zone core.ZoneID
	Told Told
}

// SpreadReply carries the receiver's state with the rows and withdrawals that the
// sender lacks.
type SpreadReply struct{ Told Told }

// WithdrawArgs asks the receiver to apply withdrawals immediately.
type WithdrawArgs struct{ Withdrawals []key.Withdrawal }

// WithdrawReply confirms that Entry has applied the withdrawals.
type WithdrawReply struct {
	Entry core.EntryID
	Zone  core.ZoneID
}

// Spread replicates the configuration and the withdrawals of keys among the entries.
// Each entry exchanges state with its zone's relay, which is the first entry of the zone
// that answers. Only the relay exchanges state with the relays of other zones. So the
// number of messages per round is the number of entries plus the square of the number
// of zones, and a change crosses the fleet in three rounds.
type Spread struct {
	Self    Member
	Replica Replica
	// Members returns the known entries of a zone. It may or may not include Self.
	Members func(zone core.ZoneID) []Member
	Zones   []core.ZoneID
	// Call calls a peer, as netrpc.Pool.Call does.
	Call func(ctx context.Context, address, method string, args, reply any) error
	Now  func() time.Time
	Log  zerolog.Logger
	// Interval is the time between two rounds. Zero means DefaultSpreadInterval.
	Interval time.Duration

	mu           sync.Mutex
	avoidedUntil map[core.EntryID]time.Time
	// idleRounds counts the rounds since the last exchange with other zones.
	// crossZoneVersion and crossZoneWithdrawals are the version and the digest of the
	// withdrawals that this entry had at that exchange.
	idleRounds           int
	crossZoneVersion     core.Version
	crossZoneWithdrawals setDigest

	// For tests only. noCrossZone disables the exchange with other zones. sequential
	// makes the exchanges with other zones run one after the other. skipWithdrawalCheck
	// accepts evidence of freshness without the withdrawals that it depends on.
	noCrossZone, sequential, skipWithdrawalCheck bool
}

// Receiver returns the net/rpc receiver to register under SpreadName.
func (s *Spread) Receiver() *SpreadReceiver { return &SpreadReceiver{spread: s} }

// Child returns the supervised child that runs the rounds.
func (s *Spread) Child() supervisor.Child {
	return supervisor.Child{Name: "spread", Run: func(ctx context.Context) error {
		interval := s.Interval
		if interval == 0 {
			interval = DefaultSpreadInterval
		}
		return supervisor.Every(ctx, interval, s.Round)
	}}
}

// Round exchanges state once with this zone's relay. If this entry is the relay, it
// exchanges state with one entry of each other zone instead.
func (s *Spread) Round(ctx context.Context) {
	if s.exchangeWithRelay(ctx) || !s.crossZoneDue() {
		return
	}
	var g supervisor.Group
	for _, z := range s.Zones {
		if z == s.Self.Zone || s.noCrossZone {
			continue
		}
		g.Go(func() { s.exchangeWithFirst(ctx, s.peersByID(z)) })
		if s.sequential {
			g.Wait()
		}
	}
	g.Wait()
}

// crossZoneDue reports whether the relay should exchange state with other zones in this
// round: immediately if there is a change, otherwise every maxIdleRounds. Exchanging
// every second in a fleet of seven zones would exceed the relay's limit of 10 KB/s for
// control traffic (docs/CAPACITY.md). Skipping idle rounds doesn't delay changes.
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

// exchangeWithRelay exchanges state with the relay of the own zone. It returns false if
// this entry is the relay, because no entry with a smaller id answers.
func (s *Spread) exchangeWithRelay(ctx context.Context) bool {
	var preceding []Member
	for _, m := range s.peersByID(s.Self.Zone) {
		if m.Entry < s.Self.Entry {
			preceding = append(preceding, m)
		}
	}
	return s.exchangeWithFirst(ctx, preceding)
}

// peersByID returns the entries of a zone without Self, sorted by id. The first one that
// answers is the relay. If entries disagree about which one that is, the zone has two
// relays for a while, which only costs additional messages.
func (s *Spread) peersByID(zone core.ZoneID) []Member {
	var peers []Member
	for _, m := range s.Members(zone) {
		if m.Entry != s.Self.Entry {
			peers = append(peers, m)
		}
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Entry < peers[j].Entry })
	return peers
}

// exchangeWithFirst exchanges state with the first of members that answers, and returns
// false if none does. Members that failed to answer recently are tried last.
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
		s.Log.Debug().Err(err).Str("peer", string(m.Entry)).Msg("failed to exchange configuration and withdrawals")
	}
	return false
}

// exchange requests from m what this entry lacks, and then sends m what m lacks.
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

// stateSince returns this entry's state, including the rows that a peer at version since
// lacks, and separately the list of withdrawals that the state contains only as a digest.
func (s *Spread) stateSince(since core.Version) (Told, []key.Withdrawal) {
	// The summary is taken before the rows: its evidence must not be newer than the rows.
	keys := s.Replica.Summary()
	return newTold(s.Replica.DeltaSince(since), keys), keys.Withdrawals
}

// merge applies the state received from an entry of zone. held is the digest of the
// withdrawals that this entry had before the exchange: a sender whose own digest is the
// same omits the list. sent is as for Replica.ApplyFromPeer.
func (s *Spread) merge(t Told, held setDigest, zone core.ZoneID, sent time.Time) error {
	if s.skipWithdrawalCheck {
		held = t.Unrecorded
	}
	return s.Replica.ApplyFromPeer(t.delta(), t.summary(held), zone, sent)
}

// Withdraw applies a withdrawal at m immediately, on behalf of an operator.
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

// SpreadReceiver is the net/rpc receiver of a Spread.
type SpreadReceiver struct{ spread *Spread }

// Exchange applies the sender's state and replies with what the sender lacks.
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

// Withdraw applies withdrawals at this entry.
func (r *SpreadReceiver) Withdraw(args WithdrawArgs, reply *WithdrawReply) error {
	r.spread.Replica.Withdraw(args.Withdrawals...)
	reply.Entry, reply.Zone = r.spread.Self.Entry, r.spread.Self.Zone
	return nil
}
