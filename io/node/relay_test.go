package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
	"lavenderpond/core/relay"
	"lavenderpond/core/schedule"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
)

// vmServer answers orders to a VM as told and counts them.
func vmServer(t *testing.T, answer http.HandlerFunc) (address string, orders *atomic.Int64) {
	orders = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		orders.Add(1)
		answer(w, r)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), orders
}

func answered(code int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(code)
		_, _ = io.WriteString(w, body)
	}
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close() //nolint:errcheck // Nothing was written.
	return l.Addr().String()
}

// startRelay runs a relay until the test ends and returns its address.
func startRelay(t *testing.T) string {
	address := freeAddress(t)
	ctx, cancel := context.WithCancel(context.Background())
	var g supervisor.Group
	g.Go(func() { _ = (&Relay{}).run(ctx, address) })
	t.Cleanup(func() { cancel(); g.Wait() })
	for range 100 {
		if c, err := net.Dial("tcp4", address); err == nil {
			assert.NilError(t, c.Close())
			return address
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the relay doesn't listen")
	return ""
}

// knowing returns relays that know the members at these addresses, the strongest
// first, and have looked which of them answer.
func knowing(t *testing.T, addresses ...string) *relays {
	x := newRelays("127.0.0.1:1", zerolog.Nop())
	t.Cleanup(x.pool.Close)
	x.members = map[string]memberRow{}
	for i, a := range addresses {
		x.members[fmt.Sprintf("entry-%d", i)] = memberRow{Zone: "a", Address: a, Cores: float64(len(addresses) - i)}
	}
	x.wanted.Store(true)
	x.check(t.Context())
	return x
}

func (x *relays) ordersFor(address string) relayedOrders {
	return relayedOrders{
		relays: x, relay: x.of("a", "vm-1"), vm: "vm-1", address: address,
		direct: directOrders{platform.NewVM("vm-1", address)},
	}
}

var someStart = job.StartOrder{Task: job.TaskID{Job: "5c0e7a21d94b36f8"}, Attempt: 10001, Spec: "x", Fence: 7, Deadline: 600}

// Guards against a relay that makes something else of a VM's answer than the owner
// would: a refusal that passes for a start, or an unknown outcome for a refusal.
func TestRelayedOutcomeIsTheVMs(t *testing.T) {
	x := knowing(t, startRelay(t))
	for name, answer := range map[string]http.HandlerFunc{
		"started":        answered(200, `{"clock_ms":12,"born":7}`),
		"late":           answered(409, `{"clock_ms":12,"reason":"late"}`),
		"no room":        answered(409, `{"clock_ms":12,"reason":"room"}`),
		"another life":   answered(421, ``),
		"unhealthy":      answered(503, ``),
		"unreadable":     answered(200, `{`),
		"connection cut": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		address, orders := vmServer(t, answer)
		r, out := x.ordersFor(address).Start(t.Context(), someStart)
		wantReport, want := directOrders{platform.NewVM("vm-1", address)}.Start(t.Context(), someStart)
		assert.Equal(t, out, want, name)
		assert.DeepEqual(t, r, wantReport)
		assert.Equal(t, orders.Load(), int64(2), "%s: one order each", name)
	}
	assert.Equal(t, len(x.ready["a"]), 1)
}

// Guards against lists that lose their rows on the way: what they lack counts as ended.
func TestRelayedHoldBringsTheLists(t *testing.T) {
	address, _ := vmServer(t, answered(200, `{"clock_ms":12,"born":7,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41,12]],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]}`))
	x := knowing(t, startRelay(t))
	r, out := x.ordersFor(address).Hold(t.Context(), job.HoldOrder{Fence: 7, Noted: 57})
	want, _ := directOrders{platform.NewVM("vm-1", address)}.Hold(t.Context(), job.HoldOrder{Fence: 7, Noted: 57})
	assert.Equal(t, out, schedule.Answered)
	assert.Assert(t, r.Lists)
	assert.DeepEqual(t, r, want)
}

// Guards against orders that are lost with an entry VM that has ended: its row is still
// there, nothing listens.
func TestEndedRelayIsPassedOver(t *testing.T) {
	address, orders := vmServer(t, answered(200, `{"clock_ms":12,"born":7}`))
	gone := freeAddress(t)
	x := knowing(t, gone)
	assert.Equal(t, x.of("a", "vm-1"), "", "a member that doesn't answer carries nothing")
	x.ready = map[string][]relay.Candidate{"a": {{Address: gone}}}
	_, out := x.ordersFor(address).Start(t.Context(), someStart)
	assert.Equal(t, out, schedule.Answered, "the owner carries it itself")
	assert.Equal(t, orders.Load(), int64(1))
	assert.Equal(t, x.of("a", "vm-1"), "", "the next order doesn't try it")
}

// Guards against an owner that waits for a frozen relay until its orders' deadlines, and
// against a start that is ordered twice: the frozen one may still carry it out.
func TestFrozenRelayIsGivenUp(t *testing.T) {
	address, orders := vmServer(t, answered(200, `{"clock_ms":12,"born":7}`))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close() //nolint:errcheck // It takes connections and says nothing.
	sound := startRelay(t)
	x := knowing(t, sound)
	x.ready = map[string][]relay.Candidate{"a": {{Address: l.Addr().String()}}}
	x.members["frozen"] = memberRow{Zone: "a", Address: l.Addr().String(), Cores: 8}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, out := x.ordersFor(address).Hold(ctx, job.HoldOrder{Wait: time.Minute})
	assert.Equal(t, out, schedule.Unanswered, "it may be carried out later")
	assert.NilError(t, ctx.Err(), "it is given up long before the order's own time is over")
	assert.Equal(t, orders.Load(), int64(0))
	x.check(t.Context())
	assert.Equal(t, x.of("a", "vm-1"), sound)
}

// Guards against relays that take orders from an owner whose knowledge is old.
func TestOwnerWithoutFreshRightCarriesItself(t *testing.T) {
	x := knowing(t, startRelay(t))
	o := &owner{tenure: &tenure{}, relays: x, scheduler: schedule.New(schedule.Settings{})}
	o.orders = &orders{owner: o, clients: map[job.VMID]*vmClient{}}
	now := bootNow()
	o.scheduler.VMListed(now, job.VMRecord{ID: "vm-1", Pool: "p", Address: "127.0.0.1:2", Zone: "a", Capacity: job.Resources{CPU: 1000}})
	_, direct := o.orders.route(now, "vm-1").(directOrders)
	assert.Assert(t, direct)
	o.tenure.prove(now, now)
	_, relayed := o.orders.route(now, "vm-1").(relayedOrders)
	assert.Assert(t, relayed)
	_, direct = o.orders.holdRoute(now, schedule.Hold{VM: "vm-1", Probe: true}).(directOrders)
	assert.Assert(t, direct)
	x.wanted.Store(false)
	_, direct = o.orders.route(now, "vm-1").(directOrders)
	assert.Assert(t, direct, "a small fleet needs no relays")
}

// Guards against a relay that is still used after its row is gone, and against rows that
// can't be read and hide the others.
func TestMembersAreFollowed(t *testing.T) {
	first, second := startRelay(t), startRelay(t)
	x := newRelays("127.0.0.1:1", zerolog.Nop())
	defer x.pool.Close()
	x.wanted.Store(true)
	row := func(node, address string) platform.Row {
		value, err := encode(memberRow{Zone: "a", Address: address, Cores: 1})
		assert.NilError(t, err)
		return platform.Row{RowKey: memberKey(node), Value: value}
	}
	x.take([]platform.Row{{RowKey: memberKey("bad"), Value: []byte("{")}, row("one", first), row("self", "127.0.0.1:1")}, true)
	x.check(t.Context())
	assert.DeepEqual(t, addresses(x.ready["a"]), []string{first})
	x.take([]platform.Row{row("two", second)}, false)
	x.check(t.Context())
	assert.DeepEqual(t, addresses(x.ready["a"]), []string{first, second})
	x.take([]platform.Row{{RowKey: memberKey("one"), Removed: true}, {RowKey: memberKey("two"), Removed: true}}, false)
	x.check(t.Context())
	assert.Equal(t, len(x.ready["a"]), 0)
	assert.Equal(t, x.of("a", "vm-1"), "")
}

// Guards against an owner that tries each member of a zone that is cut off, one after the
// other and for as long as the cut lasts.
func TestUnreachableZoneIsLeftAlone(t *testing.T) {
	x := newRelays("127.0.0.1:1", zerolog.Nop())
	defer x.pool.Close()
	x.members = map[string]memberRow{}
	for i := range 12 {
		x.members[fmt.Sprintf("entry-%02d", i)] = memberRow{Zone: "a", Address: freeAddress(t), Cores: 1}
	}
	tried := 2 * relay.CountNeeded(x.candidates(bootNow())["a"])
	x.check(t.Context())
	x.check(t.Context())
	assert.Equal(t, len(x.failed), tried)
	assert.Equal(t, len(x.candidates(bootNow())["a"]), 0)
	later := bootNow().Add(zonePause)
	assert.Equal(t, len(x.candidates(later)["a"]), 12-tried)
}

// Guards against a process that is killed at the end of its grace time, since a hold that
// it carries waits at a VM.
func TestRelayEndsWhileAHoldWaits(t *testing.T) {
	entered := make(chan struct{})
	address, _ := vmServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(entered)
		<-r.Context().Done()
	})
	ctx, cancel := context.WithCancel(context.Background())
	carrier := &Relay{}
	at := freeAddress(t)
	var g supervisor.Group
	g.Go(func() { _ = carrier.run(ctx, at) })
	x := newRelays("127.0.0.1:1", zerolog.Nop())
	defer x.pool.Close()
	for c, err := net.Dial("tcp4", at); ; c, err = net.Dial("tcp4", at) {
		if err == nil {
			assert.NilError(t, c.Close())
			break
		}
		time.Sleep(time.Millisecond)
	}
	var caller supervisor.Group
	caller.Go(func() {
		o := relayedOrders{relays: x, relay: at, vm: "vm-1", address: address, direct: directOrders{platform.NewVM("vm-1", address)}}
		o.Hold(ctx, job.HoldOrder{Wait: time.Minute})
	})
	<-entered
	cancel()
	g.Wait()
	caller.Wait()
}

// Guards against orders of an owner whose tenure has ended that a relay still carries out.
func TestEndedOwnerSendsNothingByRelay(t *testing.T) {
	address, orders := vmServer(t, answered(200, `{"clock_ms":12,"born":7}`))
	x := knowing(t, startRelay(t))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, out := x.ordersFor(address).Start(ctx, someStart)
	assert.Assert(t, out != schedule.Answered)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, orders.Load(), int64(0))
}

// Guards against looks that use up the table's reads: the owner's renewal tells all entry
// VMs how many they are, and a take-over in between doesn't lose that.
func TestRenewalTellsHowManyLook(t *testing.T) {
	c := newCommitter(nil)
	c.entries = func() int { return 300 }
	tx, err := c.transaction(nil)
	assert.NilError(t, err)
	row := platform.Row{RowKey: renewalKey, Value: tx.Writes[0].Value}
	w := &candidacy{log: zerolog.Nop(), readsPerSecond: 2000}
	assert.Equal(t, w.every(), watchEvery)
	w.learnEntries(&row)
	assert.Equal(t, w.every(), 750*time.Millisecond)
	w.learnEntries(&platform.Row{RowKey: renewalKey, Value: []byte("{")})
	assert.Equal(t, w.every(), 750*time.Millisecond, "a damaged row tells nothing")
}
