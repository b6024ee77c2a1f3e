package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/key"
	"lavenderpond/core/table"
	pb "lavenderpond/io/gen/lavenderpond/v1"
)

var startTime = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

// seedCount is the number of histories that a property test runs.
const seedCount = 600

// faultyTable is a table that is down at times, loses the answers of writes that took
// effect, and lets other operators make changes between its calls.
type faultyTable struct {
	rows      table.Memory
	rand      *rand.Rand
	faultless bool
	// interleave, if set, runs before some reads and transactions.
	interleave func()
	depth      int
}

func (t *faultyTable) chance(percent int) bool { return !t.faultless && t.rand.IntN(100) < percent }

// maybeInterleave calls interleave with the given probability, unless calls are nested
// too deep.
func (t *faultyTable) maybeInterleave(percent int) {
	if t.interleave != nil && t.depth < 3 && t.chance(percent) {
		t.depth++
		t.interleave()
		t.depth--
	}
}

func (t *faultyTable) Read(_ context.Context, key table.Key) (table.Row, error) {
	t.maybeInterleave(5)
	if t.chance(5) {
		return table.Row{}, table.ErrUnreachable
	}
	return t.rows.Read(key), nil
}

func (t *faultyTable) Scan(_ context.Context, prefix string) ([]table.Row, table.Revision, error) {
	return t.rows.Scan(prefix), t.rows.Revision(), nil
}

func (t *faultyTable) Changes(ctx context.Context, prefix string, _ table.Revision) ([]table.Row, table.Revision, error) {
	return t.Scan(ctx, prefix)
}

func (t *faultyTable) Transact(_ context.Context, tx table.Transaction) error {
	t.maybeInterleave(30)
	if t.chance(10) {
		return table.ErrUnreachable
	}
	err := t.rows.Transact(tx)
	if t.chance(20) {
		return table.ErrOutcomeUnknown
	}
	return err
}

// singleEntryBackend is a Backend that knows no other entries.
type singleEntryBackend struct{ withdrawals int }

func (*singleEntryBackend) Fleet(context.Context) []EntryStatus {
	return []EntryStatus{{Entry: "a1#1", Reachable: true}}
}
func (b *singleEntryBackend) Withdraw(context.Context, key.Withdrawal) []Confirmation {
	b.withdrawals++
	return []Confirmation{{Entry: "a1#1", Zone: "zone_a", Confirmed: true}}
}
func (*singleEntryBackend) View() config.Delta { return config.Delta{} }
func (*singleEntryBackend) Dump() any          { return nil }

// history is a seeded run in which operators change teams, VMs and budgets. It remembers
// each request and the result that its operator got.
type history struct {
	t        *faultyTable
	s        *Server
	count    int
	results  map[string]error
	requests map[string]*pb.ApplyChangeRequest
}

func newHistory(seed uint64, s *Server) *history {
	h := &history{
		t: &faultyTable{rand: rand.New(rand.NewPCG(seed, 1)), faultless: true}, s: s,
		results: map[string]error{}, requests: map[string]*pb.ApplyChangeRequest{},
	}
	s.Table, s.Backend, s.Now = h.t, &singleEntryBackend{}, func() time.Time { return startTime }
	h.change(&pb.ApplyChangeRequest{Change: &pb.ApplyChangeRequest_SetPool{SetPool: &pb.SetPool{Pool: "frames", MaxUnavailable: ptr(1)}}})
	for i := range 4 {
		h.change(&pb.ApplyChangeRequest{Change: &pb.ApplyChangeRequest_AddVm{AddVm: newVM(i)}})
	}
	h.t.faultless, h.t.interleave = false, h.randomChange
	return h
}

func newVM(i int) *pb.AddVM {
	return &pb.AddVM{Zone: "zone_a", Vm: fmt.Sprint("vm", i), Pool: "frames", Rack: "r1", Address: "10.1.0.1:9000", Slots: 8, Connections: 64}
}

// change sends a change as the operator's command does. It repeats the change under the
// same id until the result is certain, and gives up after five attempts.
func (h *history) change(m *pb.ApplyChangeRequest) {
	h.count++
	m.ChangeId, m.Author = fmt.Sprint("c", h.count), "ana"
	h.requests[m.ChangeId] = m
	mayHaveApplied := false
	for range 5 {
		_, err := h.s.ApplyChange(context.Background(), connect.NewRequest(m))
		code := core.CodeDone
		if err != nil {
			code = toCoreError(err).Code
		}
		if code != core.CodeChangeUnknown && (code != core.CodePlatformDown || !mayHaveApplied) {
			h.results[m.ChangeId] = err
			return
		}
		mayHaveApplied = true
	}
	h.results[m.ChangeId] = core.Errorf(core.CodeChangeUnknown, "gave up")
}

func (h *history) randomChange() {
	value := ptr(int32(h.t.rand.IntN(90) + 1))
	vm := fmt.Sprint("vm", h.t.rand.IntN(5))
	m := &pb.ApplyChangeRequest{}
	switch h.t.rand.IntN(6) {
	case 0:
		m.Change = &pb.ApplyChangeRequest_SetTeam{SetTeam: &pb.SetTeam{Team: "imaging", Share: value}}
	case 1:
		m.Change = &pb.ApplyChangeRequest_SetTeam{SetTeam: &pb.SetTeam{Team: "imaging", Limit: value}}
	case 2:
		m.Change = &pb.ApplyChangeRequest_CordonVm{CordonVm: &pb.CordonVM{Zone: "zone_a", Vm: vm, DrainBy: toTimestamp(startTime.Add(time.Hour))}}
	case 3:
		m.Change = &pb.ApplyChangeRequest_ReturnVm{ReturnVm: &pb.ReturnVM{Zone: "zone_a", Vm: vm}}
	case 4:
		m.Change = &pb.ApplyChangeRequest_AddVm{AddVm: newVM(h.t.rand.IntN(8))}
	default:
		m.Change = &pb.ApplyChangeRequest_SetPool{SetPool: &pb.SetPool{Pool: "frames", MaxUnavailable: ptr(int32(h.t.rand.IntN(2) + 1))}}
	}
	h.change(m)
}

// check returns the violation that it found in the history, or "".
func (h *history) check() string {
	records := map[string]int{}
	lastValue := map[table.Key]string{}
	for _, r := range h.t.rows.Scan(table.PrefixAudit) {
		var a config.AuditRecord
		if err := r.Decode(&a); err != nil {
			return err.Error()
		}
		records[string(a.Change)]++
		if string(a.Before) != lastValue[a.Key] {
			return fmt.Sprintf("%s: the audit record has %s as Before, but the row was %s", a.Change, a.Before, lastValue[a.Key])
		}
		lastValue[a.Key] = string(a.After)
		if m := h.requests[string(a.Change)].GetSetTeam(); m != nil && string(a.After) != teamAfter(m, a.Before) {
			return fmt.Sprintf("%s: another operator's field was undone: %s after %s", a.Change, a.After, a.Before)
		}
	}
	for id, err := range h.results {
		applied := records[id]
		switch {
		case applied > 1:
			return fmt.Sprintf("%s took effect %d times", id, applied)
		case applied == 1 && err != nil && toCoreError(err).Code != core.CodeChangeUnknown:
			return fmt.Sprintf("%s took effect, but its operator was told %v", id, err)
		}
	}
	return ""
}

// teamAfter returns the row that m must leave behind if the row was before.
func teamAfter(m *pb.SetTeam, before json.RawMessage) string {
	var t config.Team
	if before != nil {
		_ = json.Unmarshal(before, &t)
	}
	setInt(&t.Share, m.Share)
	setInt(&t.Limit, m.Limit)
	data, _ := json.Marshal(t)
	return string(data)
}

// TestChangesTakeEffectOnce checks changes by operators who race each other on the same rows, while
// the table is down at times and loses answers of writes that took effect. Each change
// takes effect at most once. A change that was definitely refused had no effect. No change
// undoes a field that another operator set in the same row. Without pinned rows, a change
// is merged with a row that has changed since. Without the record of the change id, a
// retry finds the VM already changed by its first attempt and is refused.
func TestChangesTakeEffectOnce(t *testing.T) {
	for seed := range uint64(seedCount) {
		if violation := runHistory(seed, &Server{}); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
	for name, broken := range map[string]Server{"noPinnedRows": {noPinnedRows: true}, "noChangeRecord": {noChangeRecord: true}} {
		failing := 0
		for seed := range uint64(seedCount) {
			s := broken
			if violation := runHistory(seed, &s); violation != "" {
				failing++
				if failing == 1 {
					t.Logf("%s: seed %d: %s", name, seed, violation)
				}
			}
		}
		t.Logf("%s: %d of %d seeds fail", name, failing, seedCount)
		assert.Assert(t, failing > 0, "%s: the test must fail without the safeguard", name)
	}
}

func runHistory(seed uint64, s *Server) string {
	h := newHistory(seed, s)
	for range 20 {
		h.randomChange()
	}
	return h.check()
}

// TestWithdrawWhileTableDown checks the withdrawal of a leaked key while the table is
// down. The withdrawal is in force at the entry immediately, and the report says that
// the table hasn't recorded it. If the table were written first, the command would fail and
// the leaked key would keep working.
func TestWithdrawWhileTableDown(t *testing.T) {
	m := &pb.WithdrawRequest{ChangeId: "c1", Author: "ana", Digest: string(core.Digest("leaked")), Team: "imaging"}
	withdraw := func(s *Server) (*singleEntryBackend, *pb.WithdrawReply) {
		backend := &singleEntryBackend{}
		s.Table, s.Backend, s.Now = &downTable{}, backend, func() time.Time { return startTime }
		reply, err := s.Withdraw(context.Background(), connect.NewRequest(m))
		if err != nil {
			return backend, nil
		}
		return backend, reply.Msg
	}
	backend, reply := withdraw(&Server{})
	assert.Equal(t, backend.withdrawals, 1)
	assert.Equal(t, core.Code(reply.TableCode), core.CodePlatformDown)
	assert.Assert(t, reply.Confirmations[0].Confirmed)
	backend, _ = withdraw(&Server{withdrawTableFirst: true})
	assert.Equal(t, backend.withdrawals, 0, "the test must fail if the table is written first")
}

type downTable struct{ faultyTable }

func (*downTable) Read(context.Context, table.Key) (table.Row, error) {
	return table.Row{}, table.ErrUnreachable
}
func (*downTable) Scan(context.Context, string) ([]table.Row, table.Revision, error) {
	return nil, 0, table.ErrUnreachable
}

func ptr(n int32) *int32 { return &n }
