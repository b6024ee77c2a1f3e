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

var start = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

// seeds is how many histories the property test replays.
const seeds = 600

// faultyTable is down at times, loses answers of writes that took effect, and lets
// other operators come in between.
type faultyTable struct {
	rows  table.Memory
	rand  *rand.Rand
	quiet bool
	// between runs before some reads and transactions.
	between func()
	depth   int
}

func (t *faultyTable) chance(percent int) bool { return !t.quiet && t.rand.IntN(100) < percent }

// letIn lets another operator in between, at times.
func (t *faultyTable) letIn(percent int) {
	if t.between != nil && t.depth < 3 && t.chance(percent) {
		t.depth++
		t.between()
		t.depth--
	}
}

func (t *faultyTable) Read(_ context.Context, key table.Key) (table.Row, error) {
	t.letIn(5)
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
	t.letIn(30)
	if t.chance(10) {
		return table.ErrUnreachable
	}
	err := t.rows.Transact(tx)
	if t.chance(20) {
		return table.ErrOutcomeUnknown
	}
	return err
}

// nobody is a Backend without other entries.
type nobody struct{ withdrawn int }

func (*nobody) Fleet(context.Context) []EntryStatus {
	return []EntryStatus{{Entry: "a1#1", Reachable: true}}
}
func (n *nobody) Withdraw(context.Context, key.Withdrawal) []Confirmation {
	n.withdrawn++
	return []Confirmation{{Entry: "a1#1", Zone: "zone_a", Confirmed: true}}
}
func (*nobody) View() config.Delta { return config.Delta{} }
func (*nobody) Dump() any          { return nil }

// history is one seeded run of operators who change teams, VMs and budgets.
type history struct {
	t       *faultyTable
	s       *Server
	n       int
	results map[string]error
	wanted  map[string]*pb.ApplyChangeRequest
}

func newHistory(seed uint64, s *Server) *history {
	h := &history{
		t: &faultyTable{rand: rand.New(rand.NewPCG(seed, 1)), quiet: true}, s: s,
		results: map[string]error{}, wanted: map[string]*pb.ApplyChangeRequest{},
	}
	s.Table, s.Backend, s.Now = h.t, &nobody{}, func() time.Time { return start }
	h.change(&pb.ApplyChangeRequest{Change: &pb.ApplyChangeRequest_SetPool{SetPool: &pb.SetPool{Pool: "frames", MaxUnavailable: ptr(1)}}})
	for i := range 4 {
		h.change(&pb.ApplyChangeRequest{Change: &pb.ApplyChangeRequest_AddVm{AddVm: newVM(i)}})
	}
	h.t.quiet, h.t.between = false, h.random
	return h
}

func newVM(i int) *pb.AddVM {
	return &pb.AddVM{Zone: "zone_a", Vm: fmt.Sprint("vm", i), Pool: "frames", Rack: "r1", Address: "10.1.0.1:9000", Slots: 8, Connections: 64}
}

// change sends a change as the command does: again under the same id, until the
// answer is certain or the command gives up.
func (h *history) change(m *pb.ApplyChangeRequest) {
	h.n++
	m.ChangeId, m.Author = fmt.Sprint("c", h.n), "ana"
	h.wanted[m.ChangeId] = m
	sent := false
	for range 5 {
		_, err := h.s.ApplyChange(context.Background(), connect.NewRequest(m))
		code := core.CodeDone
		if err != nil {
			code = asError(err).Code
		}
		if code != core.CodeChangeUnknown && (code != core.CodePlatformDown || !sent) {
			h.results[m.ChangeId] = err
			return
		}
		sent = true
	}
	h.results[m.ChangeId] = core.Errorf(core.CodeChangeUnknown, "given up")
}

func (h *history) random() {
	value := ptr(int32(h.t.rand.IntN(90) + 1))
	vm := fmt.Sprint("vm", h.t.rand.IntN(5))
	m := &pb.ApplyChangeRequest{}
	switch h.t.rand.IntN(6) {
	case 0:
		m.Change = &pb.ApplyChangeRequest_SetTeam{SetTeam: &pb.SetTeam{Team: "imaging", Share: value}}
	case 1:
		m.Change = &pb.ApplyChangeRequest_SetTeam{SetTeam: &pb.SetTeam{Team: "imaging", Limit: value}}
	case 2:
		m.Change = &pb.ApplyChangeRequest_CordonVm{CordonVm: &pb.CordonVM{Zone: "zone_a", Vm: vm, DrainBy: stamp(start.Add(time.Hour))}}
	case 3:
		m.Change = &pb.ApplyChangeRequest_ReturnVm{ReturnVm: &pb.ReturnVM{Zone: "zone_a", Vm: vm}}
	case 4:
		m.Change = &pb.ApplyChangeRequest_AddVm{AddVm: newVM(h.t.rand.IntN(8))}
	default:
		m.Change = &pb.ApplyChangeRequest_SetPool{SetPool: &pb.SetPool{Pool: "frames", MaxUnavailable: ptr(int32(h.t.rand.IntN(2) + 1))}}
	}
	h.change(m)
}

// check returns what is wrong with the history, empty if nothing.
func (h *history) check() string {
	records := map[string]int{}
	last := map[table.Key]string{}
	for _, r := range h.t.rows.Scan(table.PrefixAudit) {
		var a config.AuditRecord
		if err := r.Decode(&a); err != nil {
			return err.Error()
		}
		records[string(a.Change)]++
		if string(a.Before) != last[a.Key] {
			return fmt.Sprintf("%s: before is %s, was %s", a.Change, a.Before, last[a.Key])
		}
		last[a.Key] = string(a.After)
		if m := h.wanted[string(a.Change)].GetSetTeam(); m != nil && string(a.After) != teamAfter(m, a.Before) {
			return fmt.Sprintf("%s: another operator's field was undone: %s after %s", a.Change, a.After, a.Before)
		}
	}
	for id, err := range h.results {
		n := records[id]
		switch {
		case n > 1:
			return fmt.Sprintf("%s took effect %d times", id, n)
		case n == 1 && err != nil && asError(err).Code != core.CodeChangeUnknown:
			return fmt.Sprintf("%s took effect, its operator was told %v", id, err)
		}
	}
	return ""
}

func teamAfter(m *pb.SetTeam, before json.RawMessage) string {
	var t config.Team
	if before != nil {
		_ = json.Unmarshal(before, &t)
	}
	set(&t.Share, m.Share)
	set(&t.Limit, m.Limit)
	data, _ := json.Marshal(t)
	return string(data)
}

// TestChangesOnce: operators race each other on the same rows while the table is
// down at times and loses answers of writes that took effect. Each change takes
// effect at most once, a definite refusal is true, and nobody's field is undone by
// another's change of the same row. Red without the pinned rows (a merge with a
// row that has changed since) and without the record of the change id (a retry
// finds the VM changed by itself and is refused).
func TestChangesOnce(t *testing.T) {
	for seed := range uint64(seeds) {
		if fault := replay(seed, &Server{}); fault != "" {
			t.Fatalf("seed %d: %s", seed, fault)
		}
	}
	for name, broken := range map[string]Server{"noPin": {noPin: true}, "noRecord": {noRecord: true}} {
		red := 0
		for seed := range uint64(seeds) {
			s := broken
			if fault := replay(seed, &s); fault != "" {
				red++
				if red == 1 {
					t.Logf("%s: seed %d: %s", name, seed, fault)
				}
			}
		}
		t.Logf("%s: %d of %d seeds red", name, red, seeds)
		assert.Assert(t, red > 0, "%s is not needed", name)
	}
}

func replay(seed uint64, s *Server) string {
	h := newHistory(seed, s)
	for range 20 {
		h.random()
	}
	return h.check()
}

// TestWithdrawWhileTableIsDown: a key leaks while the table is down. The operator
// withdraws it; it is in force at the entry at once, and the report says that the
// table has yet to record it. With the table written first, the command fails and
// the leaked key works on.
func TestWithdrawWhileTableIsDown(t *testing.T) {
	m := &pb.WithdrawRequest{ChangeId: "c1", Author: "ana", Digest: string(core.Digest("leaked")), Team: "imaging"}
	withdraw := func(s *Server) (*nobody, *pb.WithdrawReply) {
		n := &nobody{}
		s.Table, s.Backend, s.Now = &downTable{}, n, func() time.Time { return start }
		reply, err := s.Withdraw(context.Background(), connect.NewRequest(m))
		if err != nil {
			return n, nil
		}
		return n, reply.Msg
	}
	n, reply := withdraw(&Server{})
	assert.Equal(t, n.withdrawn, 1)
	assert.Equal(t, core.Code(reply.TableCode), core.CodePlatformDown)
	assert.Assert(t, reply.Confirmations[0].Confirmed)
	n, _ = withdraw(&Server{tableFirst: true})
	assert.Equal(t, n.withdrawn, 0, "red: the safeguard is not needed")
}

type downTable struct{ faultyTable }

func (*downTable) Read(context.Context, table.Key) (table.Row, error) {
	return table.Row{}, table.ErrUnreachable
}
func (*downTable) Scan(context.Context, string) ([]table.Row, table.Revision, error) {
	return nil, 0, table.ErrUnreachable
}

func ptr(n int32) *int32 { return &n }
