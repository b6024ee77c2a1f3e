package home

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"lavenderpond/core"
	"lavenderpond/core/queue/fifo"
	"lavenderpond/core/retry"
	"lavenderpond/core/route"
	"lavenderpond/core/route/random"
	"lavenderpond/core/shard"
)

var epoch = time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)

// fakeLeases grants every request until a fixed time. With mirror set, starts have
// to wait for an ack.
type fakeLeases struct {
	until  time.Time
	mirror bool
	known  map[core.RequestKey]bool
}

func (f *fakeLeases) Decide(now time.Time, key core.RequestKey, _, _ time.Time) shard.Verdict {
	switch {
	case f.known[key]:
		return shard.Unknown{Code: core.CodeHomeReplaced}
	case !now.Before(f.until):
		return shard.Wait{ComeBackAt: now.Add(time.Second)}
	}
	return shard.Run{StartBy: f.until}
}

func (f *fakeLeases) LeaseExpiry(time.Time, core.RequestKey) time.Time { return f.until }

func (f *fakeLeases) Start(time.Time, shard.Start) bool { return !f.mirror }

// fakeConfig has one queue, "stack", served by the pool "p". Every key is valid
// unless it is withdrawn.
type fakeConfig struct{ withdrawn map[core.KeyDigest]bool }

func (f *fakeConfig) Pool(_ time.Time, q core.QueueID) (core.PoolID, bool, bool) {
	return "p", false, q == "stack"
}

func (f *fakeConfig) VerifyKey(_ time.Time, _ core.TeamID, d core.KeyDigest) (core.Code, bool) {
	if f.withdrawn[d] {
		return core.CodeKeyWithdrawn, false
	}
	return 0, true
}

// fakeLimiter limits the running requests of each team. Acquired slots expire.
type fakeLimiter struct {
	limit core.Slots
	held  map[core.RequestKey]time.Time
}

func (f *fakeLimiter) Acquire(now time.Time, key core.RequestKey, until time.Time) bool {
	if f.Running(now, key.Team) >= f.limit {
		return false
	}
	f.held[key] = until
	return true
}

func (f *fakeLimiter) Release(key core.RequestKey) { delete(f.held, key) }

func (f *fakeLimiter) Running(now time.Time, team core.TeamID) core.Slots {
	var n core.Slots
	for key, until := range f.held {
		if key.Team == team && now.Before(until) {
			n++
		}
	}
	return n
}

func (f *fakeLimiter) RecordDemand(time.Time, core.TeamID) {}

// testbed runs a Home with fakes around it and logs all events and commands.
type testbed struct {
	home       *Home
	leases     *fakeLeases
	config     *fakeConfig
	limits     *fakeLimiter
	now        time.Time
	lastWaiter Waiter
	out        strings.Builder
}

func newTestbed(limit core.Slots, vms ...core.VMID) *testbed {
	b := &testbed{
		leases: &fakeLeases{until: epoch.Add(time.Hour), known: map[core.RequestKey]bool{}},
		config: &fakeConfig{withdrawn: map[core.KeyDigest]bool{}},
		limits: &fakeLimiter{limit: limit, held: map[core.RequestKey]time.Time{}},
		now:    epoch,
	}
	router := &random.Router{Rand: rand.New(rand.NewPCG(1, 2))}
	var targets []route.Target
	for _, vm := range vms {
		targets = append(targets, route.Target{VM: vm, Pool: "p", Slots: 1, Connections: 8})
	}
	router.Update(epoch, targets, nil)
	b.home = &Home{
		Params: DefaultParams(), Leases: b.leases, Config: b.config, Queue: &fifo.Queue{},
		Router: router, Limiter: b.limits,
		Budget: &retry.TokenBucket{Rand: rand.New(rand.NewPCG(3, 4))},
	}
	return b
}

func (b *testbed) notef(format string, args ...any) { fmt.Fprintf(&b.out, "# "+format+"\n", args...) }

func (b *testbed) wait(d time.Duration) { b.now = b.now.Add(d) }

func (b *testbed) handle(e Event) []Command {
	commands := b.home.Handle(b.now, e)
	fmt.Fprintf(&b.out, "%s > %s\n", b.now.Sub(epoch), show(e))
	for _, c := range commands {
		fmt.Fprintf(&b.out, "    %s\n", show(c))
	}
	return commands
}

func (b *testbed) submit(id core.RequestID, attempt core.Attempt, change ...func(*core.Request)) []Command {
	b.lastWaiter++
	req := core.Request{
		Key: core.RequestKey{Team: "lyra", ID: id}, KeyDigest: "good", Attempt: attempt,
		Deadline: epoch.Add(10 * time.Second), FirstSent: epoch, Queue: "stack", Body: []byte("frames of " + id),
	}
	for _, f := range change {
		f(&req)
	}
	return b.handle(Submit{Request: req, Waiter: b.lastWaiter})
}

func key(id core.RequestID) core.RequestKey { return core.RequestKey{Team: "lyra", ID: id} }

// show formats an event or command as a short line.
func show(v any) string {
	switch v := v.(type) {
	case Submit:
		return fmt.Sprintf("submit %s attempt=%d waiter=%d", v.Request.Key, v.Request.Attempt, v.Waiter)
	case Dispatch:
		return fmt.Sprintf("dispatch %s to=%s number=%d start_by=%s lease_until=%s", v.Request.Key, v.VM, v.DispatchNumber,
			v.StartBy.Sub(epoch), v.LeaseUntil.Sub(epoch))
	case Reply:
		return fmt.Sprintf("reply waiter=%d %s %s", v.Waiter, v.Key, showAnswer(v.Answer))
	case Ended:
		return fmt.Sprintf("ended %s number=%d %T%+v", v.Key, v.DispatchNumber, v.End, v.End)
	default:
		return fmt.Sprintf("%T%+v", v, v)
	}
}

func showAnswer(a core.Answer) string {
	switch a := a.(type) {
	case core.Done:
		return fmt.Sprintf("done vm=%s body=%q", a.VM, a.Body)
	case core.NotRun:
		return "not_run " + a.Code.String()
	case core.OutcomeUnknown:
		return "outcome_unknown " + a.Code.String()
	default:
		return fmt.Sprintf("%T%+v", a, a)
	}
}

// allSafeguards leaves all safeguards enabled.
func allSafeguards(*Home) {}

func TestSessionOneRequest(t *testing.T) {
	golden.Assert(t, sessionOneRequest(allSafeguards), "session_one_request.golden")
}

func sessionOneRequest(change func(*Home)) string {
	b := newTestbed(4, "vm-1")
	change(b.home)
	b.notef("One slot: the second request waits; a further attempt of the first joins it.")
	b.submit("a", 1)
	b.submit("b", 1)
	b.submit("a", 2)
	b.wait(40 * time.Millisecond)
	b.handle(Ended{Key: key("a"), DispatchNumber: 1, End: Answered{Body: []byte("plate a")}})
	b.notef("The answer is kept: an attempt after it runs nothing.")
	b.submit("a", 3)
	b.notef("The same id with another body is another request, and is refused.")
	b.submit("a", 4, func(r *core.Request) { r.Body = []byte("else") })
	b.notef("A late end of an old dispatch changes nothing.")
	b.handle(Ended{Key: key("a"), DispatchNumber: 1, End: Lost{}})
	b.handle(Ended{Key: key("b"), DispatchNumber: 1, End: Answered{Body: []byte("plate b")}})
	return b.out.String()
}

// TestSessionLostAnswer loses the answer of a task that ran. The caller must not
// be told "not run", and no second target may get the request. The home asks the
// target. If the target can't be asked, the outcome is unknown, and the team's
// slot stays counted until the task's lease has ended.
func TestSessionLostAnswer(t *testing.T) {
	golden.Assert(t, sessionLostAnswer(allSafeguards), "session_lost_answer.golden")
}

func sessionLostAnswer(change func(*Home)) string {
	b := newTestbed(1, "vm-1", "vm-2")
	change(b.home)
	b.submit("a", 1)
	b.handle(Ended{Key: key("a"), DispatchNumber: 1, End: Lost{}})
	b.submit("a", 2)
	b.handle(Asked{Key: key("a"), Finding: FoundDone{Body: []byte("plate a")}})
	b.submit("b", 1)
	b.handle(Ended{Key: key("b"), DispatchNumber: 1, End: Damaged{}})
	b.wait(2100 * time.Millisecond)
	b.handle(Asked{Key: key("b"), Finding: FoundNoAnswer{}})
	b.notef("The team's only slot is still counted, although vm-2 is free.")
	b.submit("c", 1)
	b.wait(8200 * time.Millisecond)
	b.handle(Tick{})
	b.notef("The lease of b has ended by every clock: the slot is free.")
	b.submit("d", 1, func(r *core.Request) { r.Deadline = epoch.Add(30 * time.Second) })
	return b.out.String()
}

func TestSessionRefusals(t *testing.T) {
	golden.Assert(t, sessionRefusals(allSafeguards), "session_refusals.golden")
}

func sessionRefusals(change func(*Home)) string {
	b := newTestbed(4, "vm-1")
	change(b.home)
	b.submit("a", 1)
	b.notef("Cancelled while queued: not run, and it stays so.")
	b.submit("b", 1)
	b.handle(Cancel{Key: key("b"), Waiter: 90})
	b.submit("b", 2)
	b.notef("Cancelled while running: stopped, and the outcome is unknown.")
	b.handle(Cancel{Key: key("a"), Waiter: 91})
	b.handle(Ended{Key: key("a"), DispatchNumber: 1, End: Stopped{}})
	b.notef("A cancellation that overtakes its request.")
	b.handle(Cancel{Key: key("c"), Waiter: 92})
	b.submit("c", 1)
	b.notef("The job is called invalid three times, by the only target there is: given up.")
	b.submit("d", 1)
	b.handle(Ended{Key: key("d"), DispatchNumber: 1, End: NotStarted{Reason: Invalid}})
	b.handle(Ended{Key: key("d"), DispatchNumber: 2, End: NotStarted{Reason: Invalid}})
	b.handle(Ended{Key: key("d"), DispatchNumber: 3, End: NotStarted{Reason: Invalid}})
	b.notef("A withdrawn key: what waits is refused, what runs finishes.")
	b.submit("e", 1)
	b.submit("f", 1)
	b.config.withdrawn["good"] = true
	b.handle(KeyWithdrawn{Digest: "good"})
	b.submit("g", 1)
	b.handle(Ended{Key: key("e"), DispatchNumber: 1, End: Answered{Body: []byte("plate e")}})
	return b.out.String()
}

// TestSessionLeaseExpires freezes the holder while a start waits for its ack, until
// after the shard lease has expired. Nothing may be dispatched, and "not run" must
// not be answered: the successor may have started a retry in the meantime.
func TestSessionLeaseExpires(t *testing.T) {
	golden.Assert(t, sessionLeaseExpires(allSafeguards), "session_right_lapses.golden")
}

func sessionLeaseExpires(change func(*Home)) string {
	b := newTestbed(4, "vm-1")
	change(b.home)
	b.leases.mirror = true
	b.leases.until = epoch.Add(2 * time.Second)
	b.submit("a", 1)
	b.submit("b", 1)
	b.wait(3 * time.Second)
	b.handle(StartAllowed{Key: key("a")})
	b.handle(Tick{})
	b.submit("c", 1)
	b.submit("c", 2)
	b.wait(8 * time.Second)
	b.handle(Tick{})
	b.notef("Inherited from a former holder: asked about, never dispatched.")
	b.leases.until = epoch.Add(time.Hour)
	b.handle(Inherited{Start: shard.Start{Key: key("z"), Deadline: epoch.Add(20 * time.Second), VM: "vm-9"}})
	b.submit("z", 2)
	b.handle(Asked{Key: key("z"), Finding: FoundDone{Body: []byte("plate z")}})
	return b.out.String()
}

// TestSessionSafeguardsAreNeeded disables one safeguard at a time and expects a
// session to deviate from its golden file: an attempt runs in spite of an existing
// record, "not run" is answered after the lease expired or to a later attempt, a
// withdrawn key still starts work, a job that can never run is retried forever, or
// a slot is released too early.
func TestSessionSafeguardsAreNeeded(t *testing.T) {
	for _, c := range []struct {
		name, file string
		session    func(change func(*Home)) string
		off        func(*Home)
	}{
		{"join attempts", "one_request", sessionOneRequest, func(h *Home) { h.disabled.joinAttempts = true }},
		{"lease check", "right_lapses", sessionLeaseExpires, func(h *Home) { h.disabled.leaseCheck = true }},
		{"unknown to later attempts", "right_lapses", sessionLeaseExpires, func(h *Home) { h.disabled.laterAttemptUnknown = true }},
		{"key withdrawal", "refusals", sessionRefusals, func(h *Home) { h.disabled.keyWithdrawal = true }},
		{"max targets", "refusals", sessionRefusals, func(h *Home) { h.Params.MaxTargets = 100 }},
		{"keep team slot", "lost_answer", sessionLostAnswer, func(h *Home) { h.disabled.keepTeamSlot = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			want := string(golden.Get(t, "session_"+c.file+".golden"))
			line := firstDifference(want, c.session(c.off))
			t.Logf("first differing line without the safeguard: %s", line)
			assert.Assert(t, line != "", "the session is the same without the safeguard")
		})
	}
}

// firstDifference returns the first line of got that differs from the same line of
// want, or "" if there is none.
func firstDifference(want, got string) string {
	lines := strings.Split(want, "\n")
	for i, line := range strings.Split(got, "\n") {
		if i >= len(lines) || line != lines[i] {
			return line
		}
	}
	return ""
}

// sortedKeys returns a map's keys in order, which makes failures reproducible.
func sortedKeys[V any](m map[core.RequestKey]V) []core.RequestKey {
	var keys []core.RequestKey
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].String() < keys[j].String() })
	return keys
}
