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

// callerClient returns a client of the caller service of entry i.
func (f *testFleet) callerClient(i int) lavenderpondv1connect.CallerServiceClient {
	return lavenderpondv1connect.NewCallerServiceClient(http.DefaultClient, "http://"+f.entries[i].daemon.callerListener.Addr().String())
}

// send submits a message to entry i with the given key and returns the answer.
func (f *testFleet) send(i int, m *pb.SubmitRequest, key string) *pb.Answer {
	f.t.Helper()
	r := connect.NewRequest(m)
	r.Header().Set("Authorization", "Bearer "+key)
	resp, err := f.callerClient(i).Submit(f.ctx, r)
	assert.NilError(f.t, err)
	return resp.Msg
}

// TestRefusedRequestsDoNotRun submits each kind of invalid request. Each is refused
// immediately with its own code and the outcome "not run", and no target starts it. If an
// entry without a record of the id refuses a second attempt, the outcome is "unknown".
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

// TestInvalidKeysAreRefused submits requests with a wrong key and without a key. Neither
// runs. With the key checks of Front and Home disabled, both run.
func TestInvalidKeysAreRefused(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		f := newFleetWithout(t, map[core.ZoneID]int{"zone_a": 1}, 1, disabledSafeguards{keyChecks: disabled})
		f.awaitServing()
		for n, key := range []string{"wrong", ""} {
			id := fmt.Sprintf("key-%d", n)
			a := f.send(0, &pb.SubmitRequest{
				Team: "lyra", Id: id, Attempt: 1, Queue: "frames", Deadline: timestamppb.New(time.Now().Add(testTimeout)), Body: []byte("{}"),
			}, key)
			assert.Equal(t, a.CodeName == core.CodeBadKey.String(), !disabled, "%s", a)
			assert.Equal(t, f.startsOf(core.RequestID(id)) == 0, !disabled)
		}
	}
}

// TestAnswersCompleteOrUnknown has targets that run every request but lose its answer,
// truncate it or swap it with another one. The entry asks the same target again, and the
// caller gets its own complete answer or "unknown". No request is started twice. With the
// checks of answers disabled, callers get truncated answers and answers to other requests.
func TestAnswersCompleteOrUnknown(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		f := newFleetWithout(t, map[core.ZoneID]int{"zone_a": 2}, 3, disabledSafeguards{answerChecks: disabled})
		f.awaitServing()
		faults := []standin.Faults{{LoseAnswers: 8}, {TruncateAnswers: 8}, {MisdirectAnswers: 8}}
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
		t.Logf("answer checks enabled: %t; of 40 requests, %d got the answer to another request and %d a truncated one", !disabled, crossed.Load(), cut.Load())
		assert.Equal(t, crossed.Load() > 0, disabled)
		assert.Equal(t, cut.Load() > 0, disabled)
		for n := range 40 {
			assert.Equal(t, f.startsOf(core.RequestID(fmt.Sprintf("lied-%d", n))), 1)
		}
	}
}

// TestGracefulStopFinishesRequests stops an entry while requests are running and waiting at
// it, from its own callers and forwarded by other entries. All callers get their complete
// answer: running requests finish, and waiting ones go to the next holder.
func TestGracefulStopFinishesRequests(t *testing.T) {
	f := newTestFleet(t, map[core.ZoneID]int{"zone_a": 2, "zone_b": 1}, 1)
	f.awaitServing()
	var g supervisor.Group
	var mu sync.Mutex
	outcomes := map[string]int{}
	const requests = 40
	for n := range requests {
		g.Go(func() {
			// All ids belong to zone_a, whose only VM has 8 slots, so most requests wait.
			// They are submitted through all three entries.
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
	stopping.ended <- nil // received again when the fleet is stopped
	for n := range requests {
		assert.Equal(t, f.startsOf(core.RequestID(fmt.Sprintf("zone_a~stop-%d", n))), 1)
	}
}

// TestGracefulStopKeepsNoWaitRequests submits more requests than the zone's only target has
// slots for, without waiting for their answers, and then stops the entry that accepted
// them. Its queued requests go to the next holder, and callers can fetch every answer there.
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
	stopping.ended <- nil // received again when the fleet is stopped
}

// TestLeavingTargetReceivesNoNewTasks has a target that starts to leave while it runs
// tasks. It refuses the next task, which runs on another target. From then on it is sent
// no tasks, although its row and the live list don't show yet that it is leaving. Its
// running tasks finish. If refusals aren't reported to the fleet watcher, the target
// remains in use.
func TestLeavingTargetReceivesNoNewTasks(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		f := newFleetWithout(t, map[core.ZoneID]int{"zone_a": 1}, 2, disabledSafeguards{leavingRefusals: disabled})
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
			// The new requests outnumber the slots of the other target.
			g.Go(func() {
				a := f.submit(0, core.RequestID(fmt.Sprintf("new-%d", n)), 1, `{"run_ms":100}`)
				assert.Check(t, a.Outcome == pb.Outcome_OUTCOME_DONE, "%s", a)
			})
		}
		g.Wait()
		assert.Equal(t, f.startsAt(f.vms[0].ID), before)
		if disabled {
			assert.Equal(t, len(f.entries[0].daemon.fleet.Targets()), 2, "the target isn't in use although nothing reported its refusals")
			continue
		}
		assert.Equal(t, len(f.entries[0].daemon.fleet.Targets()), 1)
		f.vms[0].SetFaults(standin.Faults{})
		f.await("the target to be in use again", func() bool { return len(f.entries[0].daemon.fleet.Targets()) == 2 })
	}
}

// startsAt returns how many tasks the target vm has started.
func (f *testFleet) startsAt(vm core.VMID) int {
	n := 0
	for _, s := range f.starts.Starts() {
		if s.VM == vm {
			n++
		}
	}
	return n
}

// TestTeamLimitAcrossEntries lowers a team's limit and then submits eight times as many
// requests through three entries of two zones. The targets never run more than the limit
// at the same time, unless the entries ignore their allotments.
func TestTeamLimitAcrossEntries(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		f := newFleetWithout(t, map[core.ZoneID]int{"zone_a": 2, "zone_b": 1}, 2, disabledSafeguards{allotments: disabled})
		f.awaitServing()
		f.apply(config.SetTeam{Author: "test", Team: "lyra", Value: config.Team{Share: 1, Limit: 5}})
		version := f.version()
		f.await("the limit in force", func() bool { return f.allHaveVersion(version) && f.totalAllotment() <= 5 })
		mark := len(f.starts.Starts())
		body := `{"run_ms":40}`
		if disabled {
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
		t.Logf("allotments disabled: %t; at most %d at the same time, limit 5", disabled, most)
		assert.Equal(t, most > 5, disabled)
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

// allHaveVersion reports whether all entries have at least the given version of the
// configuration.
func (f *testFleet) allHaveVersion(version core.Version) bool {
	for _, e := range f.entries {
		if e.daemon.config.Version() < version {
			return false
		}
	}
	return true
}

// totalAllotment returns the sum of all entries' allotments.
func (f *testFleet) totalAllotment() core.Slots {
	var sum core.Slots
	for _, e := range f.entries {
		for _, d := range e.daemon.allotments.Dump() {
			sum += d.Part
		}
	}
	return sum
}

// maxConcurrent returns the maximum number of tasks that ran at the same time.
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

// TestServesWithoutTable takes the table down for the rest of the test. The entries
// continue to serve new ids with the leases, allotments and configuration that they have,
// and refuse nothing.
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

// TestDumpHoldsNoSecrets dumps an entry that has an unfinished request. The dump shows the
// request, but neither its body nor any key.
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
