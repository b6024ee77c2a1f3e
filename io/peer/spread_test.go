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
	// onReceipt dates a peer's evidence when its message comes.
	onReceipt bool
	// lists counts the messages and replies with a list of withdrawals, lost is true
	// for those that are lost.
	lists int
	lost  func(to *spreadEntry, t Told) bool
	// wires, if made, carry the calls to each address as net/rpc would, and count.
	wires map[string]*wire
}

type spreadEntry struct {
	fleet   *spreadFleet
	config  *platform.Configuration
	watcher *platform.ConfigWatcher
	spread  *Spread
	reaches bool
	dead    bool
}

// Read and the other methods of platform.Table are the entry's way to the table.
func (e *spreadEntry) Read(_ context.Context, key table.Key) (table.Row, error) {
	if !e.reaches {
		return table.Row{}, table.ErrUnreachable
	}
	return e.fleet.rows.Read(key), nil
}

func (e *spreadEntry) Scan(_ context.Context, prefix string) ([]table.Row, table.Revision, error) {
	return e.fleet.rows.Scan(prefix), e.fleet.rows.Revision(), nil
}

func (e *spreadEntry) Changes(_ context.Context, prefix string, since table.Revision) ([]table.Row, table.Revision, error) {
	if !e.reaches {
		return nil, 0, table.ErrUnreachable
	}
	return e.fleet.rows.Changes(prefix, since), e.fleet.rows.Revision(), nil
}

func (e *spreadEntry) Transact(_ context.Context, t table.Transaction) error {
	if !e.reaches {
		return table.ErrUnreachable
	}
	return e.fleet.rows.Transact(t)
}

func newSpreadFleet(r *rand.Rand, zones []core.ZoneID, perZone int, noRelay bool) *spreadFleet {
	f := &spreadFleet{now: spreadStart, zones: zones, r: r}
	now := func() time.Time { return f.now }
	for i := range perZone * len(zones) {
		zone := zones[i/perZone]
		self := Member{Entry: core.EntryID(fmt.Sprintf("%s%d", zone, i%perZone)), Zone: zone, Address: fmt.Sprint(i)}
		e := &spreadEntry{fleet: f, reaches: true}
		e.config = &platform.Configuration{Zone: zone, Zones: zones, Started: f.now, Skew: 250 * time.Millisecond}
		e.watcher = &platform.ConfigWatcher{Table: e, Config: e.config, Now: now}
		e.spread = &Spread{
			Self: self, Replica: e.config, Zones: zones, Call: f.call, Now: now,
			Members: f.members, noRelay: noRelay, inOrder: true,
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
	if f.wires != nil {
		return f.wires[address].Call(method, args, reply)
	}
	r := f.entries[i].spread.Receiver()
	if method == SpreadName+".Withdraw" {
		return r.Withdraw(args.(WithdrawArgs), reply.(*WithdrawReply))
	}
	told, answer := args.(SpreadArgs), reply.(*SpreadReply)
	if f.lost != nil && f.lost(f.entries[i], told.Told) {
		return netrpc.ErrNotSent
	}
	f.redate(&told.Told)
	err := r.Exchange(told, answer)
	f.redate(&answer.Told)
	for _, list := range [][]key.Withdrawal{told.Told.Withdrawals, answer.Told.Withdrawals} {
		f.lists += min(1, len(list))
	}
	return err
}

// redate dates evidence on receipt, if the test says so.
func (f *spreadFleet) redate(t *Told) {
	if f.onReceipt && t.Complete != 0 {
		t.Complete = toUnixMilli(f.now)
	}
}

// second lets one second pass: a round of each entry, and a poll every other second.
func (f *spreadFleet) second() {
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

// until counts the seconds until every live entry is as wanted, up to a minute.
func (f *spreadFleet) until(wanted func(e *spreadEntry) bool) int {
	for seconds := range 60 {
		all := true
		for _, e := range f.entries {
			all = all && (e.dead || wanted(e))
		}
		if all {
			return seconds
		}
		f.second()
	}
	return 60
}

func (f *spreadFleet) apply(t *testing.T, id core.ChangeID, c config.Change) core.Version {
	t.Helper()
	operator := &spreadEntry{fleet: f, reaches: true}
	applied, err := platform.Apply(context.Background(), operator, c, id, f.now)
	assert.NilError(t, err)
	return applied.Version
}

// spreadRun makes a fleet with keys in force, in which one entry is dead.
func spreadRun(t *testing.T, r *rand.Rand, noRelay bool) *spreadFleet {
	f := newSpreadFleet(r, spreadZones, 3, noRelay)
	f.apply(t, "team", config.SetTeam{Author: "ana", Team: spreadTeam, Value: config.Team{Share: 1, Limit: 4}})
	f.apply(t, "good", config.GrantKey{Author: "ana", Team: spreadTeam, Digest: goodKey})
	version := f.apply(t, "leaked", config.GrantKey{Author: "ana", Team: spreadTeam, Digest: leakedKey})
	assert.Assert(t, f.until(func(e *spreadEntry) bool { return e.config.Version() == version }) < 5)
	f.entries[r.IntN(len(f.entries))].dead = true
	return f
}

func (f *spreadFleet) reachTable(only *spreadEntry) {
	for _, e := range f.entries {
		e.reaches = e == only
	}
}

func (f *spreadFleet) anyAlive(r *rand.Rand) *spreadEntry {
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
func TestSpreadInForceWithinSeconds(t *testing.T) {
	const seeds = 100
	for _, noRelay := range []bool{false, true} {
		var changes, withdrawals []int
		for seed := range uint64(seeds) {
			r := rand.New(rand.NewPCG(seed, 5))
			f := spreadRun(t, r, noRelay)
			f.reachTable(f.anyAlive(r))
			version := f.apply(t, "lower", config.SetTeam{Author: "ana", Team: spreadTeam, Value: config.Team{Share: 1, Limit: 2}})
			f.second()
			f.second()
			f.reachTable(nil)
			changes = append(changes, 2+f.until(func(e *spreadEntry) bool { return e.config.Version() == version }))

			f = spreadRun(t, r, noRelay)
			f.reachTable(nil)
			f.anyAlive(r).config.Withdraw(key.Withdrawal{Digest: leakedKey, Team: spreadTeam, Author: "ana"})
			withdrawals = append(withdrawals, f.until(func(e *spreadEntry) bool {
				code, _ := e.config.CheckKey(f.now, spreadTeam, leakedKey)
				return code == core.CodeKeyWithdrawn
			}))
		}
		sort.Ints(changes)
		sort.Ints(withdrawals)
		t.Logf("relay off %t: %d seeds; change in force everywhere after %d s (median) to %d s; withdrawal told to one entry, table down: %d s to %d s",
			noRelay, seeds, changes[seeds/2], changes[seeds-1], withdrawals[seeds/2], withdrawals[seeds-1])
		assert.Check(t, noRelay || changes[seeds-1] <= 8 && withdrawals[seeds-1] <= 6)
		assert.Check(t, !noRelay || changes[0] > 60 && withdrawals[0] == 60)
	}
}

// With the table down, the keys stay trusted among three zones, also while a whole zone
// is dead, and a lone zone stops trusting its list after 10 s. When the table is back,
// a withdrawal that one entry was told is recorded there once.
func TestSpreadKeepsKeysTrusted(t *testing.T) {
	f := spreadRun(t, rand.New(rand.NewPCG(1, 6)), false)
	good := func(e *spreadEntry) bool {
		_, ok := e.config.CheckKey(f.now, spreadTeam, goodKey)
		return ok
	}
	f.reachTable(nil)
	f.entries[0].config.Withdraw(key.Withdrawal{Digest: leakedKey, Team: spreadTeam, Author: "ana"})
	for i, e := range f.entries {
		e.dead = i >= 6
	}
	for range 120 {
		f.second()
		assert.Equal(t, f.until(good), 0, "at %s", f.now)
	}
	stale := f.staleAlone()
	assert.Assert(t, stale > 0 && stale <= 16)
	for _, e := range f.entries {
		e.reaches, e.dead = true, false
	}
	assert.Assert(t, f.until(good) < 5)
	f.second()
	f.second()
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

// staleAlone leaves the first zone alone, and returns after how many seconds its last
// entry stops trusting its keys: at most 60.
func (f *spreadFleet) staleAlone() int {
	for i, e := range f.entries {
		e.dead = e.dead || i >= 3
	}
	return f.until(func(e *spreadEntry) bool {
		_, ok := e.config.CheckKey(f.now, spreadTeam, goodKey)
		return !ok
	})
}

// A zone is cut off from the table and from the other zones, where a key is withdrawn.
// Its callers' keys stop being trusted within seconds, although its entries go on
// hearing from one another: what they tell is dated when it was learnt. Dated on
// receipt, they keep each other's lists trusted for ever, and the withdrawn key works.
func TestLoneZoneGoesStale(t *testing.T) {
	const seeds = 100
	for _, onReceipt := range []bool{false, true} {
		var stale []int
		for seed := range uint64(seeds) {
			f := spreadRun(t, rand.New(rand.NewPCG(seed, 8)), false)
			f.onReceipt = onReceipt
			f.second()
			f.reachTable(nil)
			stale = append(stale, f.staleAlone())
		}
		sort.Ints(stale)
		t.Logf("dated on receipt %t: %d seeds; a lone zone's last entry refuses after %d s to %d s", onReceipt, seeds, stale[0], stale[seeds-1])
		assert.Check(t, onReceipt || stale[0] > 0 && stale[seeds-1] <= 12)
		assert.Check(t, !onReceipt || stale[0] == 60)
	}
}
