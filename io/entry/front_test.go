package entry

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/shard"
	"lavenderpond/core/table"
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
				Holders: nobody{}, Gate: openGate{}, Directory: &Directory{}, Peers: &peer.Pool{},
			}
			defer f.Peers.Close()
			f.Directory.entries = map[table.Key]Address{
				table.EntryKey("zone_b", "b1"): {Entry: "b1#1", Zone: "zone_b", Peer: addressOfListener(t, c.refuses)},
			}
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			answer := f.Submit(ctx, core.Request{
				Key:     core.RequestKey{Team: "lyra", ID: core.RequestID(c.home + "~1")},
				Attempt: c.attempt, Deadline: time.Now().Add(patience),
			}, false)
			assert.DeepEqual(t, withoutTimes(answer), c.want)
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
