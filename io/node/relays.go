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
	// relayFrom is the number of VMs from which the owner has its orders carried by
	// others. Each order is a call of its own: the owner of a thousand VMs would spend
	// most of its processor time, and all of its connections, on carrying them itself.
	relayFrom = 150
	// relayCheck is how often the choice of relays is looked at.
	relayCheck = 250 * time.Millisecond
	// relayPing bounds the first sign of life of a relay.
	relayPing = 300 * time.Millisecond
	// relayLook is how often a relay that owes answers is asked for a sign of life;
	// four looks without one end its calls.
	relayLook = 100 * time.Millisecond
	// relayPause is how long a relay that has failed is left alone.
	relayPause = 3 * time.Second
	// zonePause is the same for a zone of which no member has answered: it is cut off, and
	// each of its members would be tried in turn.
	zonePause = time.Second
)

// relays knows which entry VMs carry orders for the owner. Its zero value knows none,
// so that the owner carries all of them.
type relays struct {
	// self is the address at which this process would take orders itself.
	self string
	log  zerolog.Logger
	pool netrpc.Pool
	// wanted is set while the fleet is large enough for relays.
	wanted atomic.Bool
	// changed tells that the list of members has.
	changed chan struct{}

	mu sync.Mutex
	// members are the rows of entry VMs, by their names.
	members map[string]memberRow
	// failed is until when an address is left alone, ready the addresses of each zone that
	// carry orders now.
	failed map[string]time.Time
	ready  map[string][]relay.Candidate
	// unreachable are the zones of which no member has answered, and until when they are
	// left alone.
	unreachable map[string]time.Time
}

func newRelays(self string, log zerolog.Logger) *relays {
	return &relays{self: self, log: log, pool: netrpc.Pool{ProbeInterval: relayLook}, changed: make(chan struct{}, 1)}
}

// follow keeps the list of members up to date until ctx ends.
func (x *relays) follow(ctx context.Context, table *platform.Table) error {
	f := feed{table: table, name: memberTable, part: memberPart, log: x.log}
	return f.run(ctx, x.take, func(time.Time) {})
}

// take takes in rows of the member table.
func (x *relays) take(rows []platform.Row, whole bool) {
	x.merge(rows, whole)
	select {
	case x.changed <- struct{}{}:
	default:
	}
}

// merge applies rows to the members.
func (x *relays) merge(rows []platform.Row, whole bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if whole || x.members == nil {
		x.members = map[string]memberRow{}
	}
	for i := range rows {
		r := &rows[i]
		if r.Removed {
			delete(x.members, r.Key)
			continue
		}
		m, err := decodeRow[memberRow](r)
		if err != nil {
			x.log.Error().Err(err).Str("event", "row_ignored").Send()
			continue
		}
		x.members[r.Key] = m
	}
}

// run chooses relays until ctx ends.
func (x *relays) run(ctx context.Context) error {
	defer x.pool.Close()
	for ctx.Err() == nil {
		x.check(ctx)
		t := time.NewTimer(relayCheck)
		select {
		case <-ctx.Done():
		case <-x.changed:
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// check gives each zone its relays: the strongest members that answer.
func (x *relays) check(ctx context.Context) {
	var g supervisor.Group
	for zone, candidates := range x.candidates(bootNow()) {
		g.Go(func() {
			ready := x.answering(ctx, candidates)
			x.set(zone, ready)
			if len(candidates) > 0 && len(ready) == 0 {
				x.pauseZone(zone)
			}
		})
	}
	g.Wait()
}

// pauseZone leaves the members of a zone alone for a while.
func (x *relays) pauseZone(zone string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.unreachable == nil {
		x.unreachable = map[string]time.Time{}
	}
	x.unreachable[zone] = bootNow().Add(zonePause)
	x.log.Info().Str("event", "zone_without_relays").Str("zone", zone).Send()
}

// answering returns the first members that carry orders, as many as a zone needs.
func (x *relays) answering(ctx context.Context, candidates []relay.Candidate) []relay.Candidate {
	candidates = candidates[:min(len(candidates), 2*relay.CountNeeded(candidates))]
	alive := make([]bool, len(candidates))
	var g supervisor.Group
	for i, m := range candidates {
		g.Go(func() { alive[i] = x.alive(ctx, m.Address) })
	}
	g.Wait()
	var out []relay.Candidate
	for i, m := range candidates {
		if alive[i] {
			out = append(out, m)
		}
	}
	return out[:relay.CountNeeded(out)]
}

// candidates returns the addresses of each zone's members that have not failed of
// late, the strongest first.
func (x *relays) candidates(now time.Time) map[string][]relay.Candidate {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := map[string][]relay.Candidate{}
	for zone := range x.ready {
		// A zone that has lost all of its members has no relays any more.
		out[zone] = nil
	}
	for _, name := range slices.Sorted(maps.Keys(x.members)) {
		m := x.members[name]
		if now.Before(x.unreachable[m.Zone]) {
			continue
		}
		list := out[m.Zone]
		if m.Address != x.self && !now.Before(x.failed[m.Address]) {
			list = append(list, relay.Candidate{Address: m.Address, Capacity: relay.Capacity(m.Cores, m.LinkMbps)})
		}
		out[m.Zone] = list
	}
	for _, list := range out {
		relay.SortByCapacity(list)
	}
	return out
}

// alive tells whether a member carries orders; one that does already is not asked.
func (x *relays) alive(ctx context.Context, address string) bool {
	x.mu.Lock()
	for _, list := range x.ready {
		if slices.ContainsFunc(list, func(m relay.Candidate) bool { return m.Address == address }) {
			x.mu.Unlock()
			return true
		}
	}
	x.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, relayPing)
	defer cancel()
	var reply int
	if err := x.pool.Call(ctx, address, netrpc.AliveName+".Ping", 1, &reply); err != nil {
		x.fail(address, err)
		return false
	}
	return true
}

// set makes the list of ready relays of a zone what it is now.
func (x *relays) set(zone string, ready []relay.Candidate) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := bootNow()
	// One may have failed meanwhile.
	ready = slices.DeleteFunc(ready, func(m relay.Candidate) bool { return now.Before(x.failed[m.Address]) })
	if x.ready == nil {
		x.ready = map[string][]relay.Candidate{}
	}
	if !slices.Equal(x.ready[zone], ready) {
		x.log.Info().Str("event", "relays_chosen").Str("zone", zone).Strs("relays", addresses(ready)).Send()
	}
	x.ready[zone] = ready
}

func addresses(members []relay.Candidate) []string {
	var out []string
	for _, m := range members {
		out = append(out, m.Address)
	}
	return out
}

// memberCount returns the number of entry VMs that are known.
func (x *relays) memberCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.members)
}

// addresses returns the addresses of each zone's relays.
func (x *relays) addresses() map[string][]string {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := map[string][]string{}
	for zone, list := range x.ready {
		out[zone] = addresses(list)
	}
	return out
}

// fail gives up a relay for a while.
func (x *relays) fail(address string, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for zone, list := range x.ready {
		x.ready[zone] = slices.DeleteFunc(slices.Clone(list), func(m relay.Candidate) bool { return m.Address == address })
	}
	now := bootNow()
	if now.Before(x.failed[address]) {
		// Many calls fail with one relay.
		return
	}
	if x.failed == nil {
		x.failed = map[string]time.Time{}
	}
	x.failed[address] = now.Add(relayPause)
	x.log.Warn().Err(err).Str("event", "relay_failed").Str("relay", address).Send()
}

// of returns the relay for a VM, or none.
func (x *relays) of(zone string, id job.VMID) string {
	if !x.wanted.Load() {
		return ""
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return relay.Select(x.ready[zone], id)
}
