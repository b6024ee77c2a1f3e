package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/key"
	"lavenderpond/core/table"
	"lavenderpond/io/netrpc"
	"lavenderpond/io/platform"
)

const spreadTeam = core.TeamID("frames")

var (
	spreadStart = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	spreadZones = []core.ZoneID{"za", "zb", "zc"}
	goodKey     = core.Digest("good")
	leakedKey   = core.Digest("leaked")
)

// spreadFleet runs real watchers, Spreads and configurations for the entries of several
// zones, with an in-memory table and in-process calls.
type spreadFleet struct {
	now     time.Time
	rows    table.Memory
	entries []*spreadEntry
	zones   []core.ZoneID
	r       *rand.Rand
	calls   int
	// dateOnReceipt replaces the time of a peer's table evidence by the time of receipt.
	dateOnReceipt bool
	// withdrawalLists counts the messages and replies that contain a list of
	// withdrawals. drop returns true for the messages to lose.
	withdrawalLists int
	drop            func(to *spreadEntry, t Told) bool
	// clients, if set, carries the calls to each address over net/rpc and counts bytes.
	clients map[string]*countingClient
}

type spreadEntry struct {
	fleet        *spreadFleet
	config       *platform.Configuration
	watcher      *platform.ConfigWatcher
	spread       *Spread
	reachesTable bool
	dead         bool
}

// Read and the following methods implement platform.Table for the entry.
func (e *spreadEntry) Read(_ context.Context, key table.Key) (table.Row, error) {
	if !e.reachesTable {
		return table.Row{}, table.ErrUnreachable
	}
	return e.fleet.rows.Read(key), nil
}

func (e *spreadEntry) Scan(_ context.Context, prefix string) ([]table.Row, table.Revision, error) {
	return e.fleet.rows.Scan(prefix), e.fleet.rows.Revision(), nil
}

func (e *spreadEntry) Changes(_ context.Context, prefix string, since table.Revision) ([]table.Row, table.Revision, error) {
	if !e.reachesTable {
		return nil, 0, table.ErrUnreachable
	}
	return e.fleet.rows.Changes(prefix, since), e.fleet.rows.Revision(), nil
}

func (e *spreadEntry) Transact(_ context.Context, t table.Transaction) error {
	if !e.reachesTable {
		return table.ErrUnreachable
	}
	return e.fleet.rows.Transact(t)
}

func newSpreadFleet(r *rand.Rand, zones []core.ZoneID, perZone int, noCrossZone bool) *spreadFleet {
	f := &spreadFleet{now: spreadStart, zones: zones, r: r}
	now := func() time.Time { return f.now }
	for i := range perZone * len(zones) {
		zone := zones[i/perZone]
		self := Member{Entry: core.EntryID(fmt.Sprintf("%s%d", zone, i%perZone)), Zone: zone, Address: fmt.Sprint(i)}
		e := &spreadEntry{fleet: f, reachesTable: true}
		e.config = &platform.Configuration{Zone: zone, Zones: zones, Started: f.now, Skew: 250 * time.Millisecond}
		e.watcher = &platform.ConfigWatcher{Table: e, Config: e.config, Now: now}
		e.spread = &Spread{
			Self: self, Replica: e.config, Zones: zones, Call: f.call, Now: now,
			Members: f.members, noCrossZone: noCrossZone, sequential: true,
		}
		f.entries = append(f.entries, e)
	}
	return f
}

func (f *spreadFleet) members(zone core.ZoneID) []Member {
	var members []Member
	for _, e := range f.entries {
		if e.spread.Self.Zone == zone {
			members = append(members, e.spread.Self)
		}
	}
	return members
}

func (f *spreadFleet) call(_ context.Context, address, method string, args, reply any) error {
	f.calls++
	var i int
	if _, err := fmt.Sscan(address, &i); err != nil {
		return err
	}
	if f.entries[i].dead {
		return netrpc.ErrNotSent
	}
	if f.clients != nil {
		return f.clients[address].Call(method, args, reply)
	}
	r := f.entries[i].spread.Receiver()
	if method == SpreadName+".Withdraw" {
		return r.Withdraw(args.(WithdrawArgs), reply.(*WithdrawReply))
	}
	request, answer := args.(SpreadArgs), reply.(*SpreadReply)
	if f.drop != nil && f.drop(f.entries[i], request.Told) {
		return netrpc.ErrNotSent
	}
	f.redate(&request.Told)
	err := r.Exchange(request, answer)
	f.redate(&answer.Told)
	for _, list := range [][]key.Withdrawal{request.Told.Withdrawals, answer.Told.Withdrawals} {
		f.withdrawalLists += min(1, len(list))
	}
	return err
}

// redate sets the time of table evidence to now if dateOnReceipt is set.
func (f *spreadFleet) redate(t *Told) {
	if f.dateOnReceipt && t.Complete != 0 {
		t.Complete = toUnixMilli(f.now)
	}
}

// advanceSecond advances the clock by one second and runs a round of each live entry, in
// random order. Each entry polls the table every other second.
func (f *spreadFleet) advanceSecond() {
	f.now = f.now.Add(time.Second)
	for _, i := range f.r.Perm(len(f.entries)) {
		e := f.entries[i]
		if e.dead {
			continue
		}
		if (f.now.Unix()+int64(i))%2 == 0 {
			_ = e.watcher.Poll(context.Background())
		}
		e.spread.Round(context.Background())
	}
}

// secondsUntil returns the number of seconds until wanted is true for every live entry,
// at most 60.
func (f *spreadFleet) secondsUntil(condition func(e *spreadEntry) bool) int {
	for seconds := range 60 {
		all := true
		for _, e := range f.entries {
			all = all && (e.dead || condition(e))
		}
		if all {
			return seconds
		}
		f.advanceSecond()
	}
	return 60
}

func (f *spreadFleet) apply(t *testing.T, id core.ChangeID, c config.Change) core.Version {
	t.Helper()
	operator := &spreadEntry{fleet: f, reachesTable: true}
	applied, err := platform.Apply(context.Background(), operator, c, id, f.now)
	assert.NilError(t, err)
	return applied.Version
}

// newFleetWithKeys returns a fleet in which all entries know two keys and a random entry
// is dead.
func newFleetWithKeys(t *testing.T, r *rand.Rand, noCrossZone bool) *spreadFleet {
	f := newSpreadFleet(r, spreadZones, 3, noCrossZone)
	f.apply(t, "team", config.SetTeam{Author: "ana", Team: spreadTeam, Value: config.Team{Share: 1, Limit: 4}})
	f.apply(t, "good", config.GrantKey{Author: "ana", Team: spreadTeam, Digest: goodKey})
	version := f.apply(t, "leaked", config.GrantKey{Author: "ana", Team: spreadTeam, Digest: leakedKey})
	assert.Assert(t, f.secondsUntil(func(e *spreadEntry) bool { return e.config.Version() == version }) < 5)
	f.entries[r.IntN(len(f.entries))].dead = true
	return f
}

// restrictTable makes the table reachable for one entry only, or for none if only is nil.
func (f *spreadFleet) restrictTable(reachable *spreadEntry) {
	for _, e := range f.entries {
		e.reachesTable = e == reachable
	}
}

func (f *spreadFleet) randomLiveEntry(r *rand.Rand) *spreadEntry {
	for {
		if e := f.entries[r.IntN(len(f.entries))]; !e.dead {
			return e
		}
	}
}

// TestChangesReachAllEntriesWithinSeconds checks that a change reaches all entries
// although the table is down for all entries but one when the change is accepted, and
// soon for that one too, and although one entry, possibly a relay, is dead. Otherwise
// the callers of most entries would see an old limit, or a withdrawn key that is still
// accepted. The change goes from entry to relay, from relay to relay, and from relay to
// entry. Without the exchange between zones it stays in one zone.
func TestChangesReachAllEntriesWithinSeconds(t *testing.T) {
	const seeds = 100
	for _, noCrossZone := range []bool{false, true} {
		var changes, withdrawals []int
		for seed := range uint64(seeds) {
			r := rand.New(rand.NewPCG(seed, 5))
			f := newFleetWithKeys(t, r, noCrossZone)
			f.restrictTable(f.randomLiveEntry(r))
			version := f.apply(t, "lower", config.SetTeam{Author: "ana", Team: spreadTeam, Value: config.Team{Share: 1, Limit: 2}})
			f.advanceSecond()
			f.advanceSecond()
			f.restrictTable(nil)
			changes = append(changes, 2+f.secondsUntil(func(e *spreadEntry) bool { return e.config.Version() == version }))

			f = newFleetWithKeys(t, r, noCrossZone)
			f.restrictTable(nil)
			f.randomLiveEntry(r).config.Withdraw(key.Withdrawal{Digest: leakedKey, Team: spreadTeam, Author: "ana"})
			withdrawals = append(withdrawals, f.secondsUntil(func(e *spreadEntry) bool {
				code, _ := e.config.CheckKey(f.now, spreadTeam, leakedKey)
				return code == core.CodeKeyWithdrawn
			}))
		}
		sort.Ints(changes)
		sort.Ints(withdrawals)
		t.Logf("cross-zone exchange disabled %t: %d seeds; change applied everywhere after %d s (median) to %d s; withdrawal sent to one entry, table down: %d s to %d s",
			noCrossZone, seeds, changes[seeds/2], changes[seeds-1], withdrawals[seeds/2], withdrawals[seeds-1])
		assert.Check(t, noCrossZone || changes[seeds-1] <= 8 && withdrawals[seeds-1] <= 6)
		assert.Check(t, !noCrossZone || changes[0] > 60 && withdrawals[0] == 60)
	}
}

// TestKeysStayFreshDuringTableOutage checks that the key lists of three zones stay fresh
// while the table is down, even if a whole zone is dead, and that the list of an
// isolated zone becomes stale after 10 s. When the table is back, a withdrawal that was
// sent to one entry is recorded in the table exactly once.
func TestKeysStayFreshDuringTableOutage(t *testing.T) {
	f := newFleetWithKeys(t, rand.New(rand.NewPCG(1, 6)), false)
	good := func(e *spreadEntry) bool {
		_, ok := e.config.CheckKey(f.now, spreadTeam, goodKey)
		return ok
	}
	f.restrictTable(nil)
	f.entries[0].config.Withdraw(key.Withdrawal{Digest: leakedKey, Team: spreadTeam, Author: "ana"})
	for i, e := range f.entries {
		e.dead = i >= 6
	}
	for range 120 {
		f.advanceSecond()
		assert.Equal(t, f.secondsUntil(good), 0, "at %s", f.now)
	}
	stale := f.secondsUntilStale()
	assert.Assert(t, stale > 0 && stale <= 16)
	for _, e := range f.entries {
		e.reachesTable, e.dead = true, false
	}
	assert.Assert(t, f.secondsUntil(good) < 5)
	f.advanceSecond()
	f.advanceSecond()
	recorded := 0
	for _, row := range f.rows.Scan(table.PrefixAudit) {
		var audit config.AuditRecord
		assert.NilError(t, row.Decode(&audit))
		if audit.Kind == "withdraw_key" {
			recorded++
		}
	}
	assert.Equal(t, recorded, 1)
}

// secondsUntilStale isolates the first zone by ending all other entries. It returns the
// number of seconds until the key lists of all its entries are stale, at most 60.
func (f *spreadFleet) secondsUntilStale() int {
	for i, e := range f.entries {
		e.dead = e.dead || i >= 3
	}
	return f.secondsUntil(func(e *spreadEntry) bool {
		_, ok := e.config.CheckKey(f.now, spreadTeam, goodKey)
		return !ok
	})
}

// TestIsolatedZoneGoesStale checks that the key lists of a zone that is isolated from the
// table and from the other zones become stale within seconds, although its entries still
// exchange state with each other. A key that is withdrawn in the other zones must not be
// accepted for longer. Evidence therefore carries the time at which it was obtained. If
// it were dated on receipt, the entries would keep each other's lists fresh forever.
func TestIsolatedZoneGoesStale(t *testing.T) {
	const seeds = 100
	for _, dateOnReceipt := range []bool{false, true} {
		var stale []int
		for seed := range uint64(seeds) {
			f := newFleetWithKeys(t, rand.New(rand.NewPCG(seed, 8)), false)
			f.dateOnReceipt = dateOnReceipt
			f.advanceSecond()
			f.restrictTable(nil)
			stale = append(stale, f.secondsUntilStale())
		}
		sort.Ints(stale)
		t.Logf("dated on receipt %t: %d seeds; the last entry of an isolated zone refuses keys after %d s to %d s", dateOnReceipt, seeds, stale[0], stale[seeds-1])
		assert.Check(t, dateOnReceipt || stale[0] > 0 && stale[seeds-1] <= 12)
		assert.Check(t, !dateOnReceipt || stale[0] == 60)
	}
}
