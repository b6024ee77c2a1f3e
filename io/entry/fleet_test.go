package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/fleet"
	"lavenderpond/core/table"
	"lavenderpond/io/caller"
	pb "lavenderpond/io/gen/lavenderpond/v1"
	"lavenderpond/io/ini"
	"lavenderpond/io/platform"
	platformstandin "lavenderpond/io/platform/standin"
	"lavenderpond/io/supervisor"
	"lavenderpond/io/target/standin"
)

// testTimeout is how long a test waits for an expected state. It is much longer than
// needed, so a test that exceeds it has stopped making progress.
const testTimeout = 60 * time.Second

const (
	teamKey     = "lp_test_team"
	operatorKey = "lp_test_operator"
)

// testFleet is a small fleet in one process: a stand-in for the platform, target VMs that
// share one log of all starts, and entries.
type testFleet struct {
	t        testing.TB
	platform platformstandin.Server
	url      string
	client   *platform.Client
	starts   standin.StartLog
	vms      []*standin.VM
	// addresses are the addresses of vms, in the same order.
	addresses []string
	entries   []*testEntry
	ctx       context.Context
	group     supervisor.Group
	disabled  disabledSafeguards
}

// disabledSafeguards selects safeguards that a test disables. With a safeguard disabled, the
// fault that it prevents must occur, which shows that the test can detect it.
type disabledSafeguards struct {
	// shardLeases: every entry considers itself the holder of every shard.
	shardLeases bool
	// allotments: every start is allowed, regardless of the team's limit.
	allotments bool
	// answerChecks: every answer passes the checks of its task and length.
	answerChecks bool
	// keyChecks: every key is valid for every team.
	keyChecks bool
	// leavingRefusals: results of dispatches aren't reported, so the fleet watcher
	// doesn't learn that a target is leaving.
	leavingRefusals bool
}

// testEntry is one running daemon.
type testEntry struct {
	daemon *Daemon
	stop   context.CancelFunc
	ended  chan error
}

// newTestFleet starts a fleet with the given number of entries in each zone. It does not
// wait until they serve; see awaitServing. The fleet stops when the test ends.
func newTestFleet(t testing.TB, zones map[core.ZoneID]int, vmsPerZone int) *testFleet {
	t.Helper()
	return newFleetWithout(t, zones, vmsPerZone, disabledSafeguards{})
}

// newFleetWithout starts a fleet with the given safeguards disabled.
func newFleetWithout(t testing.TB, zones map[core.ZoneID]int, vmsPerZone int, disabled disabledSafeguards) *testFleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f := &testFleet{t: t, ctx: ctx, disabled: disabled}
	srv := httptest.NewServer(f.platform.Handler())
	f.url = srv.URL
	f.client = platform.NewClient(srv.URL)
	f.group.Go(func() { _ = f.platform.WatchEntries(ctx) })
	f.configure()
	var names []core.ZoneID
	for _, z := range []core.ZoneID{"zone_a", "zone_b", "zone_c"} {
		if zones[z] > 0 {
			names = append(names, z)
			f.addVMs(z, vmsPerZone)
		}
	}
	for _, z := range names {
		for i := range zones[z] {
			f.startEntry(fmt.Sprintf("%s_%d", z, i+1), z, names)
		}
	}
	t.Cleanup(func() {
		for _, e := range f.entries {
			e.daemon.Abort()
			e.stop()
		}
		for _, e := range f.entries {
			assert.NilError(t, <-e.ended)
		}
		cancel()
		f.group.Wait()
		srv.Close()
	})
	return f
}

// apply changes the configuration in the table.
func (f *testFleet) apply(c config.Change) {
	f.t.Helper()
	_, err := platform.Apply(f.ctx, f.client, c, core.ChangeID(core.Digest(fmt.Sprintf("%T-%v", c, c))), time.Now())
	assert.NilError(f.t, err)
}

// configure creates the team "lyra", its key, and a pool and a queue named "frames".
func (f *testFleet) configure() {
	f.apply(config.SetTeam{Author: "test", Team: "lyra", Value: config.Team{Share: 1, Limit: 100}})
	f.apply(config.SetPool{Author: "test", Pool: "frames", Value: config.Pool{MaxUnavailable: 2}})
	f.apply(config.SetQueue{Author: "test", Queue: "frames", Value: config.Queue{Pool: "frames", MaxQueued: 500}})
	f.apply(config.GrantKey{Author: "test", Team: "lyra", Digest: core.Digest(teamKey)})
}

// addVMs starts n target VMs and writes their rows to the table.
func (f *testFleet) addVMs(zone core.ZoneID, n int) {
	for i := range n {
		vm := &standin.VM{ID: core.VMID(fmt.Sprintf("vm_%s_%d", zone, i)), Slots: 8, Log: &f.starts}
		srv := httptest.NewServer(f.disabled.handler(vm))
		f.t.Cleanup(srv.Close)
		f.vms = append(f.vms, vm)
		f.addresses = append(f.addresses, strings.TrimPrefix(srv.URL, "http://"))
		var tx table.Transaction
		assert.NilError(f.t, tx.Set(table.VMKey(zone, vm.ID), fleet.VM{
			Pool: "frames", Rack: "rack_1", Slots: 8, Connections: 64, Address: strings.TrimPrefix(srv.URL, "http://"),
		}))
		assert.NilError(f.t, f.client.Transact(f.ctx, tx))
	}
}

// startEntry starts an entry with free ports on the loopback address.
func (f *testFleet) startEntry(name string, zone core.ZoneID, zones []core.ZoneID) *testEntry {
	f.t.Helper()
	s, err := ini.Parse("sample.ini", []byte(ini.Sample()))
	assert.NilError(f.t, err)
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	s.Entry.Name, s.Entry.Zone, s.Entry.Zones = name, zone, zones
	s.Entry.CallerListen, s.Entry.PeerListen, s.Entry.AdvertisePeer = anyPort, anyPort, anyPort
	s.Entry.StopGrace = 20 * time.Second
	s.Platform.URL = f.url
	s.Platform.PollInterval = 100 * time.Millisecond
	s.Keys.OperatorKeyDigest = core.Digest(operatorKey)
	d, err := New(s, zerolog.Nop())
	assert.NilError(f.t, err)
	f.disabled.apply(d)
	ctx, stop := context.WithCancel(f.ctx)
	e := &testEntry{daemon: d, stop: stop, ended: make(chan error, 1)}
	f.group.Go(func() { e.ended <- d.Run(ctx) })
	f.entries = append(f.entries, e)
	return e
}

// await waits until check returns true. The test fails after testTimeout.
func (f *testFleet) await(what string, check func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !check() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitServing waits until every entry is ready and answers a request.
func (f *testFleet) awaitServing() {
	f.t.Helper()
	f.await("shards in sync and initial allotments held", f.isSettled)
	for i, e := range f.entries {
		f.await("entry ready", e.daemon.ready)
		n := 0
		f.await("first answer", func() bool {
			n++
			a := f.submit(i, core.RequestID(fmt.Sprintf("warm-%d-%d", i, n)), 1, `{}`)
			return a.Outcome == pb.Outcome_OUTCOME_DONE
		})
	}
}

// isSettled reports whether every shard has a holder and, if the zone has a second entry,
// a successor in sync, and whether every entry has an allotment.
func (f *testFleet) isSettled() bool {
	for _, e := range f.entries {
		allotments := e.daemon.allotments.Dump()
		if len(allotments) == 0 || allotments[0].Part == 0 {
			return false
		}
		dump := e.daemon.shards.Dump()
		for _, s := range dump.Shards {
			if s.Row.Holder == "" || len(dump.Live) > 1 && !s.Row.InSync {
				return false
			}
		}
	}
	return true
}

// submit submits one attempt to entry i and waits for the answer. If the call fails, the
// answer has no outcome and Detail is the error.
func (f *testFleet) submit(i int, id core.RequestID, attempt core.Attempt, body string) *pb.Answer {
	now := time.Now()
	c := caller.NewClient(http.DefaultClient, "http://"+f.entries[i].daemon.callerListener.Addr().String(), "lyra", teamKey)
	a, err := c.Submit(f.ctx, core.Request{
		Key: core.RequestKey{ID: id}, Attempt: attempt, Queue: "frames",
		Deadline: now.Add(30 * time.Second).Truncate(time.Minute).Add(time.Minute), Body: []byte(body),
	}, false)
	if err != nil {
		return &pb.Answer{Detail: err.Error()}
	}
	return a
}

// startsOf returns how many times the targets have started the request id.
func (f *testFleet) startsOf(id core.RequestID) int {
	n := 0
	for _, s := range f.starts.Starts() {
		if s.Task == "lyra/"+string(id) {
			n++
		}
	}
	return n
}

// TestFleetServesAndDedups submits the same id to every entry of two zones at the same
// time. All callers get the same complete answer, and the targets' log shows one start.
// With shard leases disabled, both entries of a zone start the request.
func TestFleetServesAndDedups(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		f := newFleetWithout(t, map[core.ZoneID]int{"zone_a": 2, "zone_b": 2}, 2, disabledSafeguards{shardLeases: disabled})
		f.awaitServing()
		var g supervisor.Group
		var mu sync.Mutex
		answers := map[string]int{}
		for n := range 20 {
			for i := range f.entries {
				g.Go(func() {
					id := core.RequestID(fmt.Sprintf("frame-%d", n))
					a := f.submit(i, id, core.Attempt(i+1), `{"run_ms":20}`)
					mu.Lock()
					defer mu.Unlock()
					answers[a.Outcome.String()]++
					assert.Check(t, strings.HasPrefix(string(a.Body), "done lyra/"+string(id)+","), "%s: %s", id, a)
				})
			}
		}
		g.Wait()
		assert.DeepEqual(t, answers, map[string]int{"OUTCOME_DONE": 80})
		doubles := 0
		for n := range 20 {
			starts := f.startsOf(core.RequestID(fmt.Sprintf("frame-%d", n)))
			assert.Assert(t, starts >= 1)
			if starts > 1 {
				doubles++
			}
		}
		t.Logf("shard leases disabled: %t; %d of 20 ids started twice", disabled, doubles)
		assert.Equal(t, doubles > 0, disabled)
	}
}

// platformDown returns the faults of a platform that is down for the rest of the test.
func platformDown() platformstandin.Faults {
	return platformstandin.Faults{DownUntil: time.Now().Add(time.Hour)}
}
