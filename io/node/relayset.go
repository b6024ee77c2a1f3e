package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"lavenderpond/core/job"
	"lavenderpond/core/relay"
	"lavenderpond/io/netrpc"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

const (
	// minVMsForRelays is the number of VMs from which the owner sends its orders by
	// relays. Each order is a separate call. Without relays, the owner of a thousand VMs
	// would spend most of its CPU time and all of its connections on sending them.
	minVMsForRelays = 150
	// relayCheckInterval is how often the choice of relays is checked.
	relayCheckInterval = 250 * time.Millisecond
	// relayPingTimeout bounds the ping that checks whether a member can become a relay.
	relayPingTimeout = 300 * time.Millisecond
	// relayProbeInterval is how often a relay with outstanding answers is probed. Four
	// probes in a row without an answer end its calls.
	relayProbeInterval = 100 * time.Millisecond
	// relayRetryDelay is how long a failed relay isn't tried again.
	relayRetryDelay = 3 * time.Second
	// zoneRetryDelay is how long a zone of which no member has answered isn't tried again.
	// Such a zone is cut off, and each of its members would be tried in turn.
	zoneRetryDelay = time.Second
)

// relaySet selects the relays: the entry VMs that forward the owner's orders. The zero
// value has no relays, so that the owner sends all orders itself.
type relaySet struct {
	// ownAddress is the address at which this process accepts orders as a relay.
	ownAddress string
	log        zerolog.Logger
	pool       netrpc.Pool
	// enabled is set while the fleet is large enough for relays.
	enabled atomic.Bool
	// membersChanged signals that the list of members has changed.
	membersChanged chan struct{}

	mu sync.Mutex
	// members holds the rows of entry VMs, by name.
	members map[string]memberRow
	// olderUntil is until when an entry VM that doesn't know refusals may serve callers.
	olderUntil time.Time
	// failedUntil holds the time until which a failed address isn't tried. relays holds the
	// relays in use, by zone.
	failedUntil map[string]time.Time
	relays      map[string][]relay.Candidate
	// vmCounts holds the number of VMs of each zone.
	vmCounts map[job.ZoneName]int
	// unreachableUntil holds the time until which a zone of which no member has answered
	// isn't tried.
	unreachableUntil map[string]time.Time
}

func newRelaySet(ownAddress string, log zerolog.Logger) *relaySet {
	return &relaySet{ownAddress: ownAddress, log: log, pool: netrpc.Pool{ProbeInterval: relayProbeInterval}, membersChanged: make(chan struct{}, 1)}
}

// follow keeps the list of members up to date until ctx ends.
func (s *relaySet) follow(ctx context.Context, table *platform.Table) error {
	f := feed{table: table, tableName: memberTable, partition: memberPartition, log: s.log}
	return f.run(ctx, s.applyRows, func(time.Time) {})
}

// applyRows applies rows of the member table and signals the change.
func (s *relaySet) applyRows(rows []platform.Row, complete bool) {
	s.mergeMembers(rows, complete)
	select {
	case s.membersChanged <- struct{}{}:
	default:
	}
}

// mergeMembers applies rows to the list of members.
func (s *relaySet) mergeMembers(rows []platform.Row, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasOlderMember() {
		s.olderUntil = bootNow().Add(olderMemberDrain)
	}
	if complete || s.members == nil {
		s.members = map[string]memberRow{}
	}
	for i := range rows {
		r := &rows[i]
		if r.Removed {
			delete(s.members, r.Key)
			continue
		}
		m, err := decodeRow[memberRow](r)
		if err != nil {
			s.log.Error().Err(err).Str("event", "row_ignored").Send()
			continue
		}
		s.members[r.Key] = m
	}
}

// run selects relays until ctx ends.
func (s *relaySet) run(ctx context.Context) error {
	defer s.pool.Close()
	for ctx.Err() == nil {
		s.chooseRelays(ctx)
		t := time.NewTimer(relayCheckInterval)
		select {
		case <-ctx.Done():
		case <-s.membersChanged:
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// chooseRelays selects the relays of each zone: the members with the highest capacity that
// answer.
func (s *relaySet) chooseRelays(ctx context.Context) {
	var g supervisor.Group
	for zone, candidates := range s.candidates(bootNow()) {
		g.Go(func() {
			relays := s.selectAlive(ctx, candidates, s.vmCount(zone))
			s.setRelays(zone, relays)
			if len(candidates) > 0 && len(relays) == 0 {
				s.markZoneUnreachable(zone)
			}
		})
	}
	g.Wait()
}

// markZoneUnreachable keeps the members of a zone from being tried for zoneRetryDelay.
func (s *relaySet) markZoneUnreachable(zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachableUntil == nil {
		s.unreachableUntil = map[string]time.Time{}
	}
	s.unreachableUntil[zone] = bootNow().Add(zoneRetryDelay)
	s.log.Info().Str("event", "zone_without_relays").Str("zone", zone).Send()
}

// setVMCounts sets the number of VMs in each availability zone.
func (s *relaySet) setVMCounts(counts map[job.ZoneName]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vmCounts = counts
}

// vmCount returns the number of VMs in a zone.
func (s *relaySet) vmCount(zone string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vmCounts[job.ZoneName(zone)]
}

// selectAlive returns the first candidates that answer, as many as a zone with the given number of
// VMs needs.
func (s *relaySet) selectAlive(ctx context.Context, candidates []relay.Candidate, vms int) []relay.Candidate {
	candidates = candidates[:min(len(candidates), 2*relay.CountNeeded(candidates, vms))]
	alive := make([]bool, len(candidates))
	var g supervisor.Group
	for i, m := range candidates {
		g.Go(func() { alive[i] = s.isAlive(ctx, m.Address) })
	}
	g.Wait()
	var out []relay.Candidate
	for i, m := range candidates {
		if alive[i] {
			out = append(out, m)
		}
	}
	return out[:relay.CountNeeded(out, vms)]
}

// candidates returns each zone's members that haven't failed recently, in descending order
// of capacity.
func (s *relaySet) candidates(now time.Time) map[string][]relay.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][]relay.Candidate{}
	for zone := range s.relays {
		// A zone that has lost all of its members gets an empty list of relays.
		out[zone] = nil
	}
	for _, name := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[name]
		if now.Before(s.unreachableUntil[m.Zone]) {
			continue
		}
		list := out[m.Zone]
		if m.Address != s.ownAddress && !now.Before(s.failedUntil[m.Address]) {
			list = append(list, relay.Candidate{Address: m.Address, Capacity: relay.Capacity(m.Cores, m.LinkMbps)})
		}
		out[m.Zone] = list
	}
	for _, list := range out {
		relay.SortByCapacity(list)
	}
	return out
}

// isAlive reports whether a member answers. A member that is already a relay isn't pinged.
func (s *relaySet) isAlive(ctx context.Context, address string) bool {
	s.mu.Lock()
	for _, list := range s.relays {
		if slices.ContainsFunc(list, func(m relay.Candidate) bool { return m.Address == address }) {
			s.mu.Unlock()
			return true
		}
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, relayPingTimeout)
	defer cancel()
	var reply int
	if err := s.pool.Call(ctx, address, netrpc.AliveName+".Ping", 1, &reply); err != nil {
		s.markFailed(address, err)
		return false
	}
	return true
}

// setRelays sets the relays of a zone.
func (s *relaySet) setRelays(zone string, relays []relay.Candidate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootNow()
	// A relay may have failed since it was checked.
	relays = slices.DeleteFunc(relays, func(m relay.Candidate) bool { return now.Before(s.failedUntil[m.Address]) })
	if s.relays == nil {
		s.relays = map[string][]relay.Candidate{}
	}
	if !slices.Equal(s.relays[zone], relays) {
		s.log.Info().Str("event", "relays_chosen").Str("zone", zone).Strs("relays", addresses(relays)).Send()
	}
	s.relays[zone] = relays
}

// addresses returns the addresses of the candidates in order.
func addresses(candidates []relay.Candidate) []string {
	var out []string
	for _, m := range candidates {
		out = append(out, m.Address)
	}
	return out
}

// memberCount returns the number of known entry VMs.
func (s *relaySet) memberCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.members)
}

// olderMemberDrain is how long a process may still serve callers after its row was removed or
// replaced; drainDuration and some more.
const olderMemberDrain = 10 * time.Second

// refusalsKnown reports whether all entry VMs tell refusals from cancellations.
func (s *relaySet) refusalsKnown(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members != nil && !s.hasOlderMember() && !now.Before(s.olderUntil)
}

// hasOlderMember reports whether an entry VM takes refusals for cancellations.
func (s *relaySet) hasOlderMember() bool {
	for _, m := range s.members {
		if !m.Refusals {
			return true
		}
	}
	return false
}

// addresses returns the addresses of each zone's relays.
func (s *relaySet) addresses() map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][]string{}
	for zone, list := range s.relays {
		out[zone] = addresses(list)
	}
	return out
}

// markFailed removes a relay from use for relayRetryDelay.
func (s *relaySet) markFailed(address string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for zone, list := range s.relays {
		s.relays[zone] = slices.DeleteFunc(slices.Clone(list), func(m relay.Candidate) bool { return m.Address == address })
	}
	now := bootNow()
	if now.Before(s.failedUntil[address]) {
		// Many calls fail when one relay fails. Only the first is logged.
		return
	}
	if s.failedUntil == nil {
		s.failedUntil = map[string]time.Time{}
	}
	s.failedUntil[address] = now.Add(relayRetryDelay)
	s.log.Warn().Err(err).Str("event", "relay_failed").Str("relay", address).Send()
}

// relayFor returns the address of the relay for a VM, or an empty string if there is none.
func (s *relaySet) relayFor(zone string, id job.VMID) string {
	if !s.enabled.Load() {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return relay.Select(s.relays[zone], id)
}
