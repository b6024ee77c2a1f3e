package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"
	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/config"
	pb "lavenderpond/io/gen/lavenderpond/v1"
	"lavenderpond/io/gen/lavenderpond/v1/lavenderpondv1connect"
	"lavenderpond/io/supervisor"
	"lavenderpond/io/target/standin"
)

func (f *testFleet) callerClient(i int) lavenderpondv1connect.CallerServiceClient {
	return lavenderpondv1connect.NewCallerServiceClient(http.DefaultClient, "http://"+f.entries[i].daemon.callerListener.Addr().String())
}

// send sends a message with a key and returns the answer.
func (f *testFleet) send(i int, m *pb.SubmitRequest, key string) *pb.Answer {
	f.t.Helper()
	r := connect.NewRequest(m)
	r.Header().Set("Authorization", "Bearer "+key)
	resp, err := f.callerClient(i).Submit(f.ctx, r)
	assert.NilError(f.t, err)
	return resp.Msg
}

// TestRefusalsAreTrue: each kind of bad input gets its own numbered code at once,
// says "not run", and the targets' record shows that it did not run. A second
// attempt that is refused by an entry without its record says "unknown".
func TestRefusedRequestsDoNotRun(t *testing.T) {
	f := newTestFleet(t, map[core.ZoneID]int{"zone_a": 2}, 2)
	f.awaitServing()
	length := func(n uint64) *uint64 { return &n }
	in := func(d time.Duration) *timestamppb.Timestamp { return timestamppb.New(time.Now().Add(d)) }
	cases := []struct {
		code   core.Code
		key    string
		change func(m *pb.SubmitRequest)
	}{
		{core.CodeMalformed, teamKey, func(m *pb.SubmitRequest) { m.Id = "with/slash" }},
		{core.CodeMalformed, teamKey, func(m *pb.SubmitRequest) { m.Id = strings.Repeat("x", 201) }},
		{core.CodeMalformed, teamKey, func(m *pb.SubmitRequest) { m.Deadline = nil }},
		{core.CodeMalformed, teamKey, func(m *pb.SubmitRequest) { m.Deadline = &timestamppb.Timestamp{Nanos: -1} }},
		{core.CodeTooLarge, teamKey, func(m *pb.SubmitRequest) { m.Body = bytes.Repeat([]byte{1}, 1<<20+1) }},
		{core.CodeTruncated, teamKey, func(m *pb.SubmitRequest) { m.BodyLength = length(99) }},
		{core.CodeUnknownTeam, teamKey, func(m *pb.SubmitRequest) { m.Team = "nobody" }},
		{core.CodeBadKey, "wrong", func(*pb.SubmitRequest) {}},
		{core.CodeBadKey, "", func(*pb.SubmitRequest) {}},
		{core.CodeDeadlinePassed, teamKey, func(m *pb.SubmitRequest) { m.Deadline = in(-time.Second) }},
		{core.CodeDeadlineTooFar, teamKey, func(m *pb.SubmitRequest) { m.Deadline = in(25 * time.Hour) }},
		{core.CodeClockAhead, teamKey, func(m *pb.SubmitRequest) { m.FirstSent = in(time.Minute) }},
		{core.CodeUnknownQueue, teamKey, func(m *pb.SubmitRequest) { m.Queue = "nowhere" }},
	}
	for n, c := range cases {
		id := fmt.Sprintf("bad-%d", n)
		m := &pb.SubmitRequest{Team: "lyra", Id: id, Attempt: 1, Queue: "frames", Deadline: in(20 * time.Second), Body: []byte("{}")}
		c.change(m)
		a := f.send(n%2, m, c.key)
		assert.Equal(t, a.CodeName, c.code.String(), "case %d", n)
		assert.Equal(t, a.Outcome, pb.Outcome_OUTCOME_NOT_RUN, "case %d", n)
		assert.Assert(t, a.Detail != "", "case %d", n)
		assert.Equal(t, f.startsOf(core.RequestID(id)), 0)
	}
	again := &pb.SubmitRequest{Team: "lyra", Id: "again", Attempt: 2, Queue: "frames", Deadline: in(-time.Second)}
	assert.Equal(t, f.send(0, again, teamKey).Outcome, pb.Outcome_OUTCOME_UNKNOWN)
}

// TestKeysDecide: a caller with a wrong key, or none, runs nothing. An entry without
// the checks of the front and the home would run both.
func TestInvalidKeysAreRefused(t *testing.T) {
	for _, off := range []bool{false, true} {
		f := newUnsafeFleet(t, map[core.ZoneID]int{"zone_a": 1}, 1, safeguardsOff{keyChecks: off})
		f.awaitServing()
		for n, key := range []string{"wrong", ""} {
			id := fmt.Sprintf("key-%d", n)
			a := f.send(0, &pb.SubmitRequest{
				Team: "lyra", Id: id, Attempt: 1, Queue: "frames", Deadline: timestamppb.New(time.Now().Add(testTimeout)), Body: []byte("{}"),
			}, key)
			assert.Equal(t, a.CodeName == core.CodeBadKey.String(), !off, "%s", a)
			assert.Equal(t, f.startsOf(core.RequestID(id)) == 0, !off)
		}
	}
}

// TestAnswersWholeOrUnknown: targets run every request, then lose, cut or cross
// its answer. The caller gets its own whole answer, which the entry asks the same
// target for, and never another's or a part. Nothing is started twice. Unchecked,
// other tasks' answers and halves are handed on as whole.
func TestAnswersCompleteOrUnknown(t *testing.T) {
	for _, off := range []bool{false, true} {
		f := newUnsafeFleet(t, map[core.ZoneID]int{"zone_a": 2}, 3, safeguardsOff{answerChecks: off})
		f.awaitServing()
		faults := []standin.Faults{{LoseAnswers: 8}, {CutAnswers: 8}, {CrossAnswers: 8}}
		for i, vm := range f.vms {
			vm.SetFaults(faults[i])
		}
		var g supervisor.Group
		var crossed, cut atomic.Int64
		for n := range 40 {
			g.Go(func() {
				id := core.RequestID(fmt.Sprintf("lied-%d", n))
				a := f.submit(n%2, id, 1, `{"run_ms":5,"answer_bytes":300}`)
				if a.Outcome != pb.Outcome_OUTCOME_DONE {
					assert.Check(t, a.Outcome == pb.Outcome_OUTCOME_UNKNOWN, "%s", a)
					return
				}
				if !strings.HasPrefix(string(a.Body), "done lyra/"+string(id)+",") {
					crossed.Add(1)
				}
				if len(a.Body) != 300 || a.BodyLength != 300 {
					cut.Add(1)
				}
			})
		}
		g.Wait()
		t.Logf("answers checked %t: of 40 done, %d are another's and %d are cut", !off, crossed.Load(), cut.Load())
		assert.Equal(t, crossed.Load() > 0, off)
		assert.Equal(t, cut.Load() > 0, off)
		for n := range 40 {
			assert.Equal(t, f.startsOf(core.RequestID(fmt.Sprintf("lied-%d", n))), 1)
		}
	}
}

// TestPlannedStopCutsNothingOff: an entry is told to stop while requests run and
// wait at it, its own callers' and forwarded ones. All of them get their whole
// answer: what runs is finished, what waits goes on to the next holder.
func TestGracefulStopFinishesRequests(t *testing.T) {
	f := newTestFleet(t, map[core.ZoneID]int{"zone_a": 2, "zone_b": 1}, 1)
	f.awaitServing()
	var g supervisor.Group
	var mu sync.Mutex
	outcomes := map[string]int{}
	const requests = 40
	for n := range requests {
		g.Go(func() {
			// Ids of zone_a, by all three entries; its one VM has 8 slots, so most wait.
			id := core.RequestID(fmt.Sprintf("zone_a~stop-%d", n))
			a := f.submit(n%3, id, 1, `{"run_ms":150}`)
			mu.Lock()
			defer mu.Unlock()
			outcomes[a.Outcome.String()+" "+a.CodeName+a.Detail]++
		})
	}
	f.await("the first starts", func() bool { return len(f.starts.Starts()) > 5 })
	stopping := f.entries[0]
	stopping.stop()
	g.Wait()
	assert.DeepEqual(t, outcomes, map[string]int{"OUTCOME_DONE done": requests})
	assert.NilError(t, <-stopping.ended)
	stopping.ended <- nil // for the fleet's own end
	for n := range requests {
		assert.Equal(t, f.startsOf(core.RequestID(fmt.Sprintf("zone_a~stop-%d", n))), 1)
	}
}

// TestPlannedStopKeepsUnwaited: callers submit without waiting, more than the zone's
// one target has slots for, and the entry that took them is told to stop. What it
// had queued goes on to the next holder; each caller fetches its answer there.
func TestGracefulStopKeepsNoWaitRequests(t *testing.T) {
	f := newTestFleet(t, map[core.ZoneID]int{"zone_a": 2}, 1)
	f.awaitServing()
	const requests = 60
	deadline := timestamppb.New(time.Now().Add(time.Minute))
	for n := range requests {
		a := f.send(0, &pb.SubmitRequest{
			Team: "lyra", Id: fmt.Sprintf("later-%d", n), Attempt: 1, Queue: "frames", Deadline: deadline, NoWait: true,
			Body: []byte(`{"run_ms":100}`),
		}, teamKey)
		assert.Equal(t, a.Outcome, pb.Outcome_OUTCOME_PENDING)
	}
	stopping := f.entries[0]
	stopping.stop()
	for n := range requests {
		id := fmt.Sprintf("later-%d", n)
		f.await(id, func() bool {
			r := connect.NewRequest(&pb.FetchRequest{Team: "lyra", Id: id})
			r.Header().Set("Authorization", "Bearer "+teamKey)
			resp, err := f.callerClient(1).Fetch(f.ctx, r)
			return err == nil && resp.Msg.Outcome == pb.Outcome_OUTCOME_DONE
		})
		assert.Equal(t, f.startsOf(core.RequestID(id)), 1)
	}
	assert.NilError(t, <-stopping.ended)
	stopping.ended <- nil // for the fleet's own end
}

// TestLeavingTargetGetsNothingNew: a target begins to leave while it runs a task.
// It refuses the next one, which goes to another target; from then on it is sent
// nothing, although its row and the live list know nothing yet. The task finishes.
// Where the refusal isn't passed on, the target stays one that work is sent to.
func TestLeavingTargetReceivesNoNewTasks(t *testing.T) {
	for _, off := range []bool{false, true} {
		f := newUnsafeFleet(t, map[core.ZoneID]int{"zone_a": 1}, 2, safeguardsOff{leavingRefusals: off})
		f.awaitServing()
		var g supervisor.Group
		for n := range 16 {
			g.Go(func() {
				a := f.submit(0, core.RequestID(fmt.Sprintf("long-%d", n)), 1, `{"run_ms":3000}`)
				assert.Check(t, a.Outcome == pb.Outcome_OUTCOME_DONE, "%s", a)
			})
		}
		f.await("both targets busy", func() bool { return f.vms[0].Running() == 8 && f.vms[1].Running() == 8 })
		f.vms[0].SetFaults(standin.Faults{Leaving: true})
		before := f.startsAt(f.vms[0].ID)
		g.Wait()
		for n := range 20 {
			// More at once than the other target has slots.
			g.Go(func() {
				a := f.submit(0, core.RequestID(fmt.Sprintf("new-%d", n)), 1, `{"run_ms":100}`)
				assert.Check(t, a.Outcome == pb.Outcome_OUTCOME_DONE, "%s", a)
			})
		}
		g.Wait()
		assert.Equal(t, f.startsAt(f.vms[0].ID), before)
		if off {
			assert.Equal(t, len(f.entries[0].daemon.fleet.Targets()), 2, "the test can't fail")
			continue
		}
		assert.Equal(t, len(f.entries[0].daemon.fleet.Targets()), 1)
		f.vms[0].SetFaults(standin.Faults{})
		f.await("the target to be found working again", func() bool { return len(f.entries[0].daemon.fleet.Targets()) == 2 })
	}
}

func (f *testFleet) startsAt(vm core.VMID) int {
	n := 0
	for _, s := range f.starts.Starts() {
		if s.VM == vm {
			n++
		}
	}
	return n
}

// TestUpperLimitAcrossEntries: eight times the limit is submitted through three
// entries of two zones, with a cut of the limit in between. The targets' record
// never shows more than the limit at once, but for entries that ignore allotments.
func TestTeamLimitAcrossEntries(t *testing.T) {
	for _, off := range []bool{false, true} {
		f := newUnsafeFleet(t, map[core.ZoneID]int{"zone_a": 2, "zone_b": 1}, 2, safeguardsOff{allotments: off})
		f.awaitServing()
		f.apply(config.SetTeam{Author: "test", Team: "lyra", Value: config.Team{Share: 1, Limit: 5}})
		version := f.version()
		f.await("the limit in force", func() bool { return f.allHaveVersion(version) && f.totalAllotment() <= 5 })
		mark := len(f.starts.Starts())
		body := `{"run_ms":40}`
		if off {
			body = `{"run_ms":1000}` // long enough to overlap on a busy machine
		}
		var g supervisor.Group
		for n := range 40 {
			g.Go(func() {
				a := f.submit(n%3, core.RequestID(fmt.Sprintf("limit-%d", n)), 1, body)
				assert.Check(t, a.Outcome == pb.Outcome_OUTCOME_DONE, "%s", a)
			})
		}
		g.Wait()
		most := maxConcurrent(f.starts.Starts()[mark:])
		t.Logf("allotments off %t: %d at once, limit 5", off, most)
		assert.Equal(t, most > 5, off)
	}
}

// version returns the configuration's version in the table.
func (f *testFleet) version() core.Version {
	var head config.Head
	row, err := f.client.Read(f.ctx, "config/head")
	assert.NilError(f.t, err)
	assert.NilError(f.t, row.Decode(&head))
	return head.Version
}

func (f *testFleet) allHaveVersion(version core.Version) bool {
	for _, e := range f.entries {
		if e.daemon.config.Version() < version {
			return false
		}
	}
	return true
}

// totalAllotment returns the sum of the entries' allotments.
func (f *testFleet) totalAllotment() core.Slots {
	var sum core.Slots
	for _, e := range f.entries {
		for _, d := range e.daemon.allotments.Dump() {
			sum += d.Part
		}
	}
	return sum
}

// maxConcurrent returns the most starts that ran at one moment.
func maxConcurrent(starts []standin.Start) int {
	most := 0
	for _, s := range starts {
		n := 0
		for _, o := range starts {
			if !o.At.After(s.At) && s.At.Before(o.End) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestServesWithoutTable: the table goes down for good while requests come. The
// entries go on serving with what they hold, and a new id through each of them is
// answered. Nothing is refused for lack of the table.
func TestServesWithoutTable(t *testing.T) {
	f := newTestFleet(t, map[core.ZoneID]int{"zone_a": 2}, 2)
	f.awaitServing()
	f.platform.SetFaults(platformDown())
	for n := range 30 {
		a := f.submit(n%2, core.RequestID(fmt.Sprintf("down-%d", n)), 1, `{"run_ms":1}`)
		assert.Equal(t, a.Outcome, pb.Outcome_OUTCOME_DONE, "%s", a)
	}
	_, err := f.client.Read(context.Background(), "config/head")
	assert.Assert(t, err != nil)
}

// TestDumpHoldsNoSecrets: an operator dumps an entry that holds a waiting request.
// The dump shows the request, and neither its body nor any key.
func TestDumpHoldsNoSecrets(t *testing.T) {
	f := newTestFleet(t, map[core.ZoneID]int{"zone_a": 1}, 1)
	f.awaitServing()
	f.group.Go(func() { f.submit(0, "seen", 1, `{"run_ms":500,"secret":"body-text"}`) })
	var dump string
	f.await("the request in the dump", func() bool {
		data, err := json.Marshal(backend{f.entries[0].daemon}.Dump())
		assert.NilError(t, err)
		dump = string(data)
		return strings.Contains(dump, "lyra/seen")
	})
	for _, secret := range []string{teamKey, operatorKey, string(core.Digest(operatorKey)), "body-text"} {
		assert.Assert(t, !strings.Contains(dump, secret), "the dump shows %q", secret)
	}
}
