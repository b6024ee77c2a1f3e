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

// spreadFleet is three zones of three entries with real watchers, spreads and
// configurations, over a table in memory and calls that don't leave the process.
type spreadFleet struct {
	now     time.Time
	rows    table.Memory
	entries []*spreadEntry
	zones   []core.ZoneID
	r       *rand.Rand
	calls   int
	// dateOnReceipt dates a peer's evidence when its message comes.
	dateOnReceipt bool
	// withdrawalLists counts the messages and replies with a list of withdrawals, lost is true
	// for those that are lost.
	withdrawalLists int
	drop            func(to *spreadEntry, t Told) bool
	// wires, if made, carry the calls to each address as net/rpc would, and count.
	clients map[string]*countingClient
}

type spreadEntry struct {
	fleet        *spreadFleet
	config       *platform.Configuration
	watcher      *platform.Watcher
	spread       *Spread
	reachesTable bool
	dead         bool
}

// Read and the other methods of platform.Table are the entry's way to the table.
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
		e.watcher = &platform.Watcher{Table: e, Config: e.config, Now: now}
		e.spread = &Spread{
			Self: self, Replica: e.config, Zones: zones, Call: f.call, Now: now,
			Members: f.members, noCrossZone: noCrossZone, sequential: true,
		}
		f.entries = append(f.entries, e)
	}
	return f
}

func (f *spreadFleet) members(zone core.ZoneID) []Member {
	var list []Member
	for _, e := range f.entries {
		if e.spread.Self.Zone == zone {
			list = append(list, e.spread.Self)
		}
	}
	return list
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

// redate dates evidence on receipt, if the test says so.
func (f *spreadFleet) redate(t *Told) {
	if f.dateOnReceipt && t.Complete != 0 {
		t.Complete = toUnixMilli(f.now)
	}
}

// advanceSecond lets one second pass: a round of each entry, and a poll every other second.
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

// secondsUntil counts the seconds until every live entry is as wanted, up to a minute.
func (f *spreadFleet) secondsUntil(wanted func(e *spreadEntry) bool) int {
	for seconds := range 60 {
		all := true
		for _, e := range f.entries {
			all = all && (e.dead || wanted(e))
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

// newFleetWithKeys makes a fleet with keys in force, in which one entry is dead.
func newFleetWithKeys(t *testing.T, r *rand.Rand, noCrossZone bool) *spreadFleet {
	f := newSpreadFleet(r, spreadZones, 3, noCrossZone)
	f.apply(t, "team", config.SetTeam{Author: "ana", Team: spreadTeam, Value: config.Team{Share: 1, Limit: 4}})
	f.apply(t, "good", config.GrantKey{Author: "ana", Team: spreadTeam, Digest: goodKey})
	version := f.apply(t, "leaked", config.GrantKey{Author: "ana", Team: spreadTeam, Digest: leakedKey})
	assert.Assert(t, f.secondsUntil(func(e *spreadEntry) bool { return e.config.Version() == version }) < 5)
	f.entries[r.IntN(len(f.entries))].dead = true
	return f
}

func (f *spreadFleet) restrictTable(only *spreadEntry) {
	for _, e := range f.entries {
		e.reachesTable = e == only
	}
}

func (f *spreadFleet) randomLiveEntry(r *rand.Rand) *spreadEntry {
	for {
		if e := f.entries[r.IntN(len(f.entries))]; !e.dead {
			return e
		}
	}
}

// Callers of most entries would see an old limit, or a withdrawn key that still works:
// the table goes down for all entries but one when the change was accepted, then for
// that one too, and one entry, perhaps a relay, is dead. The change crosses from entry
// to relay, relay to relay, and relay to entry. Without the relay it stays in a zone.
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
		t.Logf("relay off %t: %d seeds; change in force everywhere after %d s (median) to %d s; withdrawal told to one entry, table down: %d s to %d s",
			noCrossZone, seeds, changes[seeds/2], changes[seeds-1], withdrawals[seeds/2], withdrawals[seeds-1])
		assert.Check(t, noCrossZone || changes[seeds-1] <= 8 && withdrawals[seeds-1] <= 6)
		assert.Check(t, !noCrossZone || changes[0] > 60 && withdrawals[0] == 60)
	}
}

// With the table down, the keys stay trusted among three zones, also while a whole zone
// is dead, and a lone zone stops trusting its list after 10 s. When the table is back,
// a withdrawal that one entry was told is recorded there once.
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

// secondsUntilStale leaves the first zone alone, and returns after how many seconds its last
// entry stops trusting its keys: at most 60.
func (f *spreadFleet) secondsUntilStale() int {
	for i, e := range f.entries {
		e.dead = e.dead || i >= 3
	}
	return f.secondsUntil(func(e *spreadEntry) bool {
		_, ok := e.config.CheckKey(f.now, spreadTeam, goodKey)
		return !ok
	})
}

// A zone is cut off from the table and from the other zones, where a key is withdrawn.
// Its callers' keys stop being trusted within seconds, although its entries go on
// hearing from one another: what they tell is dated when it was learnt. Dated on
// receipt, they keep each other's lists trusted for ever, and the withdrawn key works.
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
		t.Logf("dated on receipt %t: %d seeds; a lone zone's last entry refuses after %d s to %d s", dateOnReceipt, seeds, stale[0], stale[seeds-1])
		assert.Check(t, dateOnReceipt || stale[0] > 0 && stale[seeds-1] <= 12)
		assert.Check(t, !dateOnReceipt || stale[0] == 60)
	}
}
