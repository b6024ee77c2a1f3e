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

// nobody is Holders of a zone in which no one may decide.
type nobody struct{}

func (nobody) Decide(now time.Time, _ core.RequestKey, _, _ time.Time) shard.Verdict {
	return shard.Wait{ComeBackAt: now.Add(time.Second)}
}

// openGate admits everybody.
type openGate struct{}

func (openGate) Admit(time.Time, core.TeamID, core.KeyDigest) (core.Code, bool) { return 0, true }

// addressOfListener returns the address of a listener that breaks off every
// connection, or that is closed and refuses them.
func addressOfListener(t *testing.T, refuses bool) netip.AddrPort {
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

// TestCutOffHome: a caller's entry can't reach the id's home zone. If no message
// left, a first attempt did not run, and the caller is told so; a second one may
// follow an attempt that ran. If a message left and no answer came back, the home
// may have it: then nothing but "unknown" is true, whichever attempt it is.
func TestCutOffHome(t *testing.T) {
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
				Holders: nobody{}, Gate: openGate{}, Directory: &Directory{}, Peers: &netrpc.Pool{},
			}
			defer f.Peers.Close()
			f.Directory.entries = map[table.Key]Address{
				table.EntryKey("zone_b", "b1"): {Entry: "b1#1", Zone: "zone_b", Peer: addressOfListener(t, c.refuses)},
			}
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			submit := func(attempt core.Attempt) core.Answer {
				return withoutTimes(f.Submit(ctx, core.Request{
					Key:     core.RequestKey{Team: "lyra", ID: core.RequestID(c.home + "~1")},
					Attempt: attempt, Deadline: time.Now().Add(patience),
				}, false))
			}
			assert.DeepEqual(t, submit(c.attempt), c.want)
			if unknown, ok := c.want.(core.OutcomeUnknown); ok && c.refuses {
				// With the attempt's number lost on the way it is taken for a first one.
				assert.DeepEqual(t, submit(0), core.Answer(core.NotRun(unknown)))
			}
		})
	}
}

// withoutTimes leaves out what differs from run to run.
func withoutTimes(a core.Answer) core.Answer {
	switch a := a.(type) {
	case core.NotRun:
		return core.NotRun{Code: a.Code}
	case core.OutcomeUnknown:
		return core.OutcomeUnknown{Code: a.Code}
	default:
		return a
	}
}

// scripted are Holders that give one verdict after the other, and the last for good.
type scripted struct {
	mu       sync.Mutex
	verdicts []shard.Verdict
}

func (s *scripted) Decide(time.Time, core.RequestKey, time.Time, time.Time) shard.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.verdicts[0]
	if len(s.verdicts) > 1 {
		s.verdicts = s.verdicts[1:]
	}
	return v
}

// looksOfSearch is how often a search looks at a steppedClock, three times a try.
const looksOfSearch = 30

// steppedClock is a clock that moves on with each look, so that a search ends after
// a number of looks and not by the machine's pace.
type steppedClock struct {
	began time.Time
	looks atomic.Int64
}

func (c *steppedClock) now() time.Time {
	return c.began.Add(time.Duration(c.looks.Add(1)) * searchFor / looksOfSearch)
}

// newZoneFront returns the front of an entry of zone_a that listens for peers.
func newZoneFront(t *testing.T, verdicts ...shard.Verdict) (*Front, netip.AddrPort) {
	t.Helper()
	clock := steppedClock{began: time.Now()}
	f := &Front{
		Zone: "zone_a", Zones: []core.ZoneID{"zone_a"}, Now: clock.now, Holders: &scripted{verdicts: verdicts},
		Gate: openGate{}, Requests: NewRequests(&home.Home{}), Directory: &Directory{}, Peers: &netrpc.Pool{},
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

// TestMovedRightIsFound: an id's right moved from a1 to a2. The caller's entry a3
// still takes a1 for the holder, a2 knows of its right two looks later than a1 does,
// and a1 never decides again. The call has to reach a2; before, the entries passed it
// back and forth until it stayed at a1, which refused it with no_holder.
func TestMovedRightIsFound(t *testing.T) {
	toA1, toA2 := shard.NotHolder{Holder: "a1#1"}, shard.NotHolder{Holder: "a2#1"}
	a1, addressOfA1 := newZoneFront(t, toA2)
	a2, addressOfA2 := newZoneFront(t, toA1, toA1, shard.Run{})
	a3, _ := newZoneFront(t, toA1, toA1, toA2)
	addresses := map[table.Key]Address{
		table.EntryKey("zone_a", "a1"): {Entry: "a1#1", Zone: "zone_a", Peer: addressOfA1},
		table.EntryKey("zone_a", "a2"): {Entry: "a2#1", Zone: "zone_a", Peer: addressOfA2},
	}
	for _, f := range []*Front{a1, a2, a3} {
		f.Directory.entries = addresses
	}
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	answer := a3.Fetch(ctx, core.RequestKey{Team: "lyra", ID: "moved"}, "")
	// The word of a2's home: it has no record of the id.
	assert.Equal(t, core.CodeOf(answer), core.CodeNotFound)
}

// TestHandOverIsWaitedFor: an entry that stops can't write its rights over for a
// while, since the table is slow. A caller's search there lasts as long as the
// hand-over does, and ends with a refusal once the entry has given that up.
func TestHandOverIsWaitedFor(t *testing.T) {
	verdicts := make([]shard.Verdict, 3*looksOfSearch)
	for i := range verdicts {
		verdicts[i] = shard.Wait{}
	}
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	key := core.RequestKey{Team: "lyra", ID: "waits"}
	deadline := time.Now().Add(time.Hour)
	submit := func(f *Front) core.Answer {
		return f.Submit(ctx, core.Request{Key: key, Attempt: 1, Deadline: deadline}, false)
	}

	f, _ := newZoneFront(t, append(verdicts, shard.Refuse{Code: core.CodeDeadlinePassed})...)
	f.Requests.Locked(func(h *home.Home) { h.Leases = refusing{} })
	f.SetHandingOver(true)
	assert.Equal(t, core.CodeOf(submit(f)), core.CodeDeadlinePassed)

	f, _ = newZoneFront(t, verdicts...)
	assert.Equal(t, core.CodeOf(submit(f)), core.CodeNoHolder)
}

// refusing are the Rights of a home that refuses every id.
type refusing struct{}

func (refusing) Decide(time.Time, core.RequestKey, time.Time, time.Time) shard.Verdict {
	return shard.Refuse{Code: core.CodeDeadlinePassed}
}

func (refusing) LeaseExpiry(time.Time, core.RequestKey) time.Time { return time.Time{} }

func (refusing) Start(time.Time, shard.Start) bool { return false }
