package entry

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/home"
	"lavenderpond/core/shard"
	"lavenderpond/core/table"
	"lavenderpond/io/netrpc"
	"lavenderpond/io/peer"
	"lavenderpond/io/supervisor"
)

// noHolder is the LeaseDecider of a zone in which no entry is known to hold a lease.
type noHolder struct{}

func (noHolder) Decide(now time.Time, _ core.RequestKey, _, _ time.Time) shard.Verdict {
	return shard.Wait{ComeBackAt: now.Add(time.Second)}
}

// allowAll is an Authorizer that accepts every caller.
type allowAll struct{}

func (allowAll) Authorize(time.Time, core.TeamID, core.KeyDigest) (core.Code, bool) { return 0, true }

// listenerAddress returns an address that refuses connections, or one that accepts
// connections and closes them immediately.
func listenerAddress(t *testing.T, refuses bool) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().(*net.TCPAddr).AddrPort()
	if refuses {
		assert.NilError(t, l.Close())
		return address
	}
	var g supervisor.Group
	g.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		g.Wait()
	})
	return address
}

// TestUnreachableHomeZone submits requests to an entry that can't reach the id's home
// zone. If no message was sent, the answer to a first attempt is "not run", but a second
// attempt may follow one that ran, so its answer is "unknown". If a message was sent and
// no answer came back, the home entry may have received it, and the answer to every
// attempt is "unknown".
func TestUnreachableHomeZone(t *testing.T) {
	cases := []struct {
		name    string
		refuses bool
		home    string
		attempt core.Attempt
		want    core.Answer
	}{
		{"refused, first", true, "zone_b", 1, core.NotRun{Code: core.CodeZoneUnreachable}},
		{"refused, second", true, "zone_b", 2, core.OutcomeUnknown{Code: core.CodeZoneUnreachable}},
		{"broken off, first", false, "zone_b", 1, core.OutcomeUnknown{Code: core.CodeHomeUnreachable}},
		{"broken off, second", false, "zone_b", 2, core.OutcomeUnknown{Code: core.CodeHomeUnreachable}},
		{"no holder, first", true, "zone_a", 1, core.NotRun{Code: core.CodeNoHolder}},
		{"no holder, second", true, "zone_a", 2, core.OutcomeUnknown{Code: core.CodeNoHolder}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &Front{
				Zone: "zone_a", Zones: []core.ZoneID{"zone_a", "zone_b"}, Now: time.Now,
				Leases: noHolder{}, Authorizer: allowAll{}, Directory: &Directory{}, Peers: &netrpc.Pool{},
			}
			defer f.Peers.Close()
			f.Directory.entries = map[table.Key]Address{
				table.EntryKey("zone_b", "b1"): {Entry: "b1#1", Zone: "zone_b", Peer: listenerAddress(t, c.refuses)},
			}
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			submit := func(attempt core.Attempt) core.Answer {
				return stripTimes(f.Submit(ctx, core.Request{
					Key:     core.RequestKey{Team: "lyra", ID: core.RequestID(c.home + "~1")},
					Attempt: attempt, Deadline: time.Now().Add(testTimeout),
				}, false))
			}
			assert.DeepEqual(t, submit(c.attempt), c.want)
			if unknown, ok := c.want.(core.OutcomeUnknown); ok && c.refuses {
				// A request whose attempt number was lost counts as a first attempt.
				assert.DeepEqual(t, submit(0), core.Answer(core.NotRun(unknown)))
			}
		})
	}
}

// stripTimes removes the times and details, which differ from run to run.
func stripTimes(a core.Answer) core.Answer {
	switch a := a.(type) {
	case core.NotRun:
		return core.NotRun{Code: a.Code}
	case core.OutcomeUnknown:
		return core.OutcomeUnknown{Code: a.Code}
	default:
		return a
	}
}

// scriptedLeases is a LeaseDecider that returns one verdict after the other and then
// repeats the last one.
type scriptedLeases struct {
	mu       sync.Mutex
	verdicts []shard.Verdict
}

func (s *scriptedLeases) Decide(time.Time, core.RequestKey, time.Time, time.Time) shard.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.verdicts[0]
	if len(s.verdicts) > 1 {
		s.verdicts = s.verdicts[1:]
	}
	return v
}

// clockReadsPerSearch is how often a search reads a steppedClock before it times out. Each
// try reads the clock three times.
const clockReadsPerSearch = 30

// steppedClock is a clock that advances whenever it is read, so that a search ends after
// a fixed number of tries, independent of the machine's speed.
type steppedClock struct {
	start time.Time
	reads atomic.Int64
}

func (c *steppedClock) now() time.Time {
	return c.start.Add(time.Duration(c.reads.Add(1)) * holderSearchTimeout / clockReadsPerSearch)
}

// newTestFront returns the Front of an entry of zone_a and the address on which it serves
// calls from peers.
func newTestFront(t *testing.T, verdicts ...shard.Verdict) (*Front, netip.AddrPort) {
	t.Helper()
	clock := steppedClock{start: time.Now()}
	f := &Front{
		Zone: "zone_a", Zones: []core.ZoneID{"zone_a"}, Now: clock.now, Leases: &scriptedLeases{verdicts: verdicts},
		Authorizer: allowAll{}, Requests: NewRequests(&home.Home{}), Directory: &Directory{}, Peers: &netrpc.Pool{},
	}
	f.Requests.Now = time.Now
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := netrpc.NewServer()
	assert.NilError(t, s.Register(peer.ForwardName, &peer.Forward{Context: t.Context(), Handler: f.HandleForwarded}))
	ctx, cancel := context.WithCancel(t.Context())
	var g supervisor.Group
	g.Go(func() { _ = s.Serve(ctx, l) })
	t.Cleanup(func() {
		f.Peers.Close()
		cancel()
		g.Wait()
	})
	return f, l.Addr().(*net.TCPAddr).AddrPort()
}

// TestMovedLeaseIsFound moves a shard lease from a1 to a2. The caller's entry a3 still
// considers a1 the holder, and a2 learns of its lease two decisions after a1 has lost it.
// The call must reach a2. If each entry forwarded the call to its presumed holder, a1 and
// a2 would pass it back and forth until a1 refused it with no_holder.
func TestMovedLeaseIsFound(t *testing.T) {
	toA1, toA2 := shard.NotHolder{Holder: "a1#1"}, shard.NotHolder{Holder: "a2#1"}
	a1, addressOfA1 := newTestFront(t, toA2)
	a2, addressOfA2 := newTestFront(t, toA1, toA1, shard.Run{})
	a3, _ := newTestFront(t, toA1, toA1, toA2)
	addresses := map[table.Key]Address{
		table.EntryKey("zone_a", "a1"): {Entry: "a1#1", Zone: "zone_a", Peer: addressOfA1},
		table.EntryKey("zone_a", "a2"): {Entry: "a2#1", Zone: "zone_a", Peer: addressOfA2},
	}
	for _, f := range []*Front{a1, a2, a3} {
		f.Directory.entries = addresses
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	answer := a3.Fetch(ctx, core.RequestKey{Team: "lyra", ID: "moved"}, "")
	// This is the answer of a2's Home, which has no record of the id.
	assert.Equal(t, core.CodeOf(answer), core.CodeNotFound)
}

// TestSearchWaitsForHandover submits a request to an entry that is stopping and can't hand
// over its shards for a while, because the table is slow. The search for a holder
// continues as long as the handover does. Once the handover has ended, the search ends
// with a refusal.
func TestSearchWaitsForHandover(t *testing.T) {
	verdicts := make([]shard.Verdict, 3*clockReadsPerSearch)
	for i := range verdicts {
		verdicts[i] = shard.Wait{}
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	key := core.RequestKey{Team: "lyra", ID: "waits"}
	deadline := time.Now().Add(time.Hour)
	submit := func(f *Front) core.Answer {
		return f.Submit(ctx, core.Request{Key: key, Attempt: 1, Deadline: deadline}, false)
	}

	f, _ := newTestFront(t, append(verdicts, shard.Refuse{Code: core.CodeDeadlinePassed})...)
	f.Requests.WithLock(func(h *home.Home) { h.Leases = refusingLeases{} })
	f.SetHandingOver(true)
	assert.Equal(t, core.CodeOf(submit(f)), core.CodeDeadlinePassed)

	f, _ = newTestFront(t, verdicts...)
	assert.Equal(t, core.CodeOf(submit(f)), core.CodeNoHolder)
}

// refusingLeases are the ShardLeases of a Home that refuses every id.
type refusingLeases struct{}

func (refusingLeases) Decide(time.Time, core.RequestKey, time.Time, time.Time) shard.Verdict {
	return shard.Refuse{Code: core.CodeDeadlinePassed}
}

func (refusingLeases) LeaseExpiry(time.Time, core.RequestKey) time.Time { return time.Time{} }

func (refusingLeases) Start(time.Time, shard.Start) bool { return false }
