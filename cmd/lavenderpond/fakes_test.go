package main

import (
	"context"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/timestamppb"
	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/key"
	"lavenderpond/core/table"
	"lavenderpond/io/connectrpc"
	pb "lavenderpond/io/gen/lavenderpond/v1"
	"lavenderpond/io/gen/lavenderpond/v1/lavenderpondv1connect"
	"lavenderpond/io/operator"
	"lavenderpond/io/platform"
)

// fakeTable is an in-memory table of the platform that can be made to fail.
type fakeTable struct {
	mu   sync.Mutex
	rows table.Memory
	down bool
	// loseAnswers is the number of further transactions that take effect but whose
	// answers are lost. After such a loss, the table is down if downAfterLoss is set.
	loseAnswers   int
	downAfterLoss bool
	// beforeTransact runs once, immediately before the next transaction.
	beforeTransact func()
}

func (t *fakeTable) Read(_ context.Context, key table.Key) (table.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return table.Row{}, table.ErrUnreachable
	}
	return t.rows.Read(key), nil
}

func (t *fakeTable) Scan(_ context.Context, prefix string) ([]table.Row, table.Revision, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, 0, table.ErrUnreachable
	}
	return t.rows.Scan(prefix), t.rows.Revision(), nil
}

func (t *fakeTable) Changes(ctx context.Context, prefix string, _ table.Revision) ([]table.Row, table.Revision, error) {
	return t.Scan(ctx, prefix)
}

func (t *fakeTable) Transact(_ context.Context, tx table.Transaction) error {
	if race := t.beforeTransact; race != nil {
		t.beforeTransact = nil
		race()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return table.ErrUnreachable
	}
	err := t.rows.Transact(tx)
	if err == nil && t.loseAnswers > 0 {
		t.loseAnswers--
		t.down = t.downAfterLoss
		return table.ErrOutcomeUnknown
	}
	return err
}

// Put implements platform.Objects. It stores nothing.
func (t *fakeTable) Put(context.Context, string, []byte) error { return nil }

// Get implements platform.Objects. No object exists.
func (t *fakeTable) Get(_ context.Context, name string) ([]byte, error) {
	return nil, errors.Wrap(platform.ErrObjectNotFound, name)
}

// dropAudit deletes the audit record of v from the table. The object store doesn't have
// it either.
func (f *fakeFleet) dropAudit(t *testing.T, v core.Version) {
	row := f.table.rows.Read(table.AuditKey(v))
	var tx table.Transaction
	tx.Delete(row.Key)
	assert.NilError(t, f.table.rows.Transact(tx))
}

// fakeEntry is an entry that serves the operators' and callers' services.
type fakeEntry struct {
	fleet   *fakeFleet
	address string
	status  operator.EntryStatus
	// fault is what happens to calls from the command: "refuse" refuses the connection,
	// "lose" handles the call and loses the answer, and an empty string answers.
	fault string
}

// fakeFleet is a fleet of three zones with one entry each. It is the HTTP transport
// between the command and the entries.
type fakeFleet struct {
	table   fakeTable
	entries []*fakeEntry
	now     time.Time
	answers map[string]*pb.Answer
	starts  map[string]int
	view    config.Delta
}

// requestLimit is the maximum size of a caller's request, in bytes, that the fake entries
// read.
const requestLimit = 2000

const operatorKey = "operator-key-of-the-tests"

func newFakeFleet() *fakeFleet {
	f := &fakeFleet{now: time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC), answers: map[string]*pb.Answer{}, starts: map[string]int{}}
	for _, e := range []struct{ zone, name, address string }{
		{"zone_a", "a1#1", "10.0.1.1:7001"}, {"zone_b", "b1#1", "10.0.2.1:7001"}, {"zone_c", "c1#1", "10.0.3.1:7001"},
	} {
		f.entries = append(f.entries, &fakeEntry{fleet: f, address: e.address, status: operator.EntryStatus{
			Entry: core.EntryID(e.name), Zone: core.ZoneID(e.zone), Reachable: true, Shards: 16,
			Teams: []operator.TeamLoad{{Team: "imaging", Running: 3, Queued: 1}},
		}})
		var tx table.Transaction
		key := table.EntryKey(core.ZoneID(e.zone), e.name)
		if err := tx.Set(key, e.address); err != nil {
			panic(err)
		}
		if err := f.table.rows.Transact(tx); err != nil {
			panic(err)
		}
	}
	return f
}

// pollTable brings all reachable entries up to date with the table, as their periodic
// polls do in a real fleet.
func (f *fakeFleet) pollTable() {
	if f.table.down {
		return
	}
	head := f.table.rows.Read(table.ConfigHead)
	var h config.Head
	_ = head.Decode(&h)
	f.view = config.Delta{Version: h.Version, Rows: append(f.table.rows.Scan(table.PrefixConfig), f.table.rows.Scan(table.PrefixKey)...)}
	for _, e := range f.entries {
		if e.status.Reachable {
			e.status.Version, e.status.KeysFreshAt = h.Version, f.now
		}
	}
}

// RoundTrip implements http.RoundTripper.
func (f *fakeFleet) RoundTrip(r *http.Request) (*http.Response, error) {
	for _, e := range f.entries {
		if e.address != r.URL.Host {
			continue
		}
		if e.fault == "refuse" {
			return nil, connectionRefused()
		}
		w := httptest.NewRecorder()
		e.handler().ServeHTTP(w, r)
		if e.fault == "lose" {
			return nil, io.ErrUnexpectedEOF
		}
		return w.Result(), nil
	}
	return nil, connectionRefused()
}

// connectionRefused returns the error of dialing a port on which nothing listens.
func connectionRefused() error { return &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED} }

func (e *fakeEntry) handler() http.Handler {
	mux := http.NewServeMux()
	s := &operator.Server{Table: &e.fleet.table, Backend: e, Entry: e.status.Entry, KeyDigest: core.Digest(operatorKey), Now: func() time.Time { return e.fleet.now }}
	mux.Handle(s.Handler())
	path, h := lavenderpondv1connect.NewCallerServiceHandler(e)
	mux.Handle(path, connectrpc.LimitBody(h, requestLimit))
	return mux
}

// Fleet implements operator.Backend.
func (e *fakeEntry) Fleet(context.Context) []operator.EntryStatus {
	list := []operator.EntryStatus{e.status}
	for _, other := range e.fleet.entries {
		if other == e {
			continue
		}
		if other.status.Reachable && e.status.Reachable {
			list = append(list, other.status)
			continue
		}
		list = append(list, operator.EntryStatus{Entry: other.status.Entry, Zone: other.status.Zone})
	}
	return list
}

// Withdraw implements operator.Backend.
func (e *fakeEntry) Withdraw(ctx context.Context, _ key.Withdrawal) []operator.Confirmation {
	var list []operator.Confirmation
	for _, s := range e.Fleet(ctx) {
		c := operator.Confirmation{Entry: s.Entry, Zone: s.Zone, Confirmed: s.Reachable}
		if !s.Reachable {
			c.Detail = "no answer; it trusts its key list until its cut-off bound"
		}
		list = append(list, c)
	}
	return list
}

// View implements operator.Backend.
func (e *fakeEntry) View() config.Delta { return e.fleet.view }

// Dump implements operator.Backend.
func (e *fakeEntry) Dump() any {
	return map[string]any{"entry": e.status.Entry, "shards": e.status.Shards}
}

// Submit implements CallerServiceHandler. A request runs once per id, whichever entry
// receives it.
func (e *fakeEntry) Submit(_ context.Context, r *connect.Request[pb.SubmitRequest]) (*connect.Response[pb.Answer], error) {
	m := r.Msg
	switch {
	case r.Header().Get("Authorization") != "Bearer team-key":
		return answer(&pb.Answer{Outcome: pb.Outcome_OUTCOME_NOT_RUN}, core.CodeBadKey), nil
	case m.Queue == "full":
		return answer(&pb.Answer{Outcome: pb.Outcome_OUTCOME_NOT_RUN, ComeBackAt: timestamppb.New(e.fleet.now.Add(5 * time.Second))}, core.CodeQueueFull), nil
	case m.NoWait:
		return answer(&pb.Answer{Id: m.Id, Attempt: m.Attempt, Outcome: pb.Outcome_OUTCOME_PENDING}, core.CodePending), nil
	}
	if e.fleet.answers[m.Id] == nil {
		e.fleet.starts[m.Id]++
		body := append([]byte("ran: "), m.Body...)
		e.fleet.answers[m.Id] = &pb.Answer{Id: m.Id, Outcome: pb.Outcome_OUTCOME_DONE, Body: body, BodyLength: uint64(len(body)), Vm: "vm1", CodeName: "done"}
	}
	e.fleet.answers[m.Id].Attempt = m.Attempt
	return connect.NewResponse(e.fleet.answers[m.Id]), nil
}

// Fetch implements CallerServiceHandler.
func (e *fakeEntry) Fetch(_ context.Context, r *connect.Request[pb.FetchRequest]) (*connect.Response[pb.Answer], error) {
	if m := e.fleet.answers[r.Msg.Id]; m != nil {
		return connect.NewResponse(m), nil
	}
	return answer(&pb.Answer{Id: r.Msg.Id, Outcome: pb.Outcome_OUTCOME_NOT_RUN}, core.CodeNotFound), nil
}

// Cancel implements CallerServiceHandler.
func (e *fakeEntry) Cancel(_ context.Context, r *connect.Request[pb.CancelRequest]) (*connect.Response[pb.Answer], error) {
	if e.fleet.answers[r.Msg.Id] != nil {
		return answer(&pb.Answer{Id: r.Msg.Id, Outcome: pb.Outcome_OUTCOME_UNKNOWN}, core.CodeCancelledRunning), nil
	}
	return answer(&pb.Answer{Id: r.Msg.Id, Outcome: pb.Outcome_OUTCOME_NOT_RUN}, core.CodeCancelled), nil
}

func answer(m *pb.Answer, c core.Code) *connect.Response[pb.Answer] {
	m.Code, m.CodeName, m.Detail = uint32(c), c.String(), "as the entry explains it"
	return connect.NewResponse(m)
}

// fakeToken returns the n-th token of a predictable sequence. It has the length of a
// real token.
func fakeToken(n int) string {
	b := make([]byte, tokenBytes)
	b[0] = byte(n)
	return base64.RawURLEncoding.EncodeToString(b)
}
