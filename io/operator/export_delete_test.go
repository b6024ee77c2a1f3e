package operator

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/config"
	"lavenderpond/core/table"
	pb "lavenderpond/io/gen/lavenderpond/v1"
)

// exportSimulation is a history of changes with two exporters at work. It remembers the
// audit records of all changes that were accepted.
type exportSimulation struct {
	*history
	now       time.Time
	store     *fakeObjects
	exporters [2]*Exporter
	accepted  map[core.Version]acceptedChange
	violation string
}

// acceptedChange is an audit record and its row, as first read from the table.
type acceptedChange struct {
	row   table.Row
	audit config.AuditRecord
}

func newExportSimulation(seed uint64, template Exporter) *exportSimulation {
	r := &exportSimulation{history: newHistory(seed, &Server{}), now: startTime, accepted: map[core.Version]acceptedChange{}}
	clock := func() time.Time { return r.now }
	r.s.Now = clock
	r.store = &fakeObjects{table: r.t, objects: map[string]string{}, losesObjects: true}
	template.Table, template.Objects, template.Now = r.t, r.store, clock
	for i := range r.exporters {
		exporter := template
		r.exporters[i] = &exporter
	}
	r.t.interleave = func() {
		if r.t.rand.IntN(2) == 0 {
			r.randomChange()
		} else {
			r.exportRound()
		}
	}
	return r
}

func (r *exportSimulation) exportRound() {
	r.checkRecords()
	_ = r.exporters[r.t.rand.IntN(2)].Round(context.Background())
	r.checkRecords()
}

// checkRecords remembers new audit records of the table. It sets violation if a record is
// neither in the table nor in the object store, or if the record of a change id was
// deleted before its retention was over.
func (r *exportSimulation) checkRecords() {
	for v := core.Version(len(r.accepted) + 1); ; v++ {
		c := acceptedChange{row: r.t.rows.Read(table.AuditKey(v))}
		if c.row.Version == 0 {
			break
		}
		if err := c.row.Decode(&c.audit); err != nil {
			r.violation = err.Error()
		}
		r.accepted[v] = c
	}
	for v, c := range r.accepted {
		kept := r.t.rows.Read(c.row.Key).Version > 0
		if !kept && r.store.objects[AuditObject(v)] != string(c.row.Value) {
			r.violation = "an accepted change is neither in the table nor in the object store"
		}
		retained := r.now.Before(c.audit.At.Add(config.RecordRetention))
		if retained && r.t.rows.Read(table.ChangeKey(c.audit.Change)).Version == 0 {
			r.violation = "the record of a change id was deleted before its retention was over"
		}
	}
}

// run simulates some days with changes and faults, then a long time without either. It
// returns the violation that it found, or "".
func (r *exportSimulation) run() string {
	for range 30 {
		r.randomChange()
		r.exportRound()
		r.now = r.now.Add(time.Duration(r.t.rand.IntN(4)) * time.Hour)
	}
	r.t.faultless = true
	for range 20 {
		r.now = r.now.Add(config.RecordRetention)
		r.exportRound()
	}
	remaining := len(r.t.rows.Scan(table.PrefixAudit)) + len(r.t.rows.Scan(table.PrefixChange))
	if r.violation == "" && remaining > 0 {
		return "some rows are never deleted"
	}
	return r.violation
}

// TestExportDeletes guards against three failures: the monitor never sees a change,
// an operator's repeated change is applied twice, or the table grows without bound. For
// some days operators make changes while two exporters copy and delete, also in the
// middle of each other's rounds. The table and the object store are down at times and
// lose answers, and the store loses objects that it had confirmed. The test also shows
// that it fails if an exporter deletes without verifying the object, deletes before the
// retention is over, or saves its progress in a separate transaction.
func TestExportDeletes(t *testing.T) {
	const runs = 150
	for seed := range uint64(runs) {
		if violation := newExportSimulation(seed, Exporter{}).run(); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
	for name, broken := range map[string]Exporter{
		"deleteUnverified": {deleteUnverified: true}, "deleteEarly": {deleteEarly: true}, "deleteSeparately": {deleteSeparately: true},
	} {
		failing, example := 0, ""
		for seed := range uint64(runs) {
			if violation := newExportSimulation(seed, broken).run(); violation != "" {
				failing, example = failing+1, violation
			}
		}
		t.Logf("%s: %d of %d seeds fail: %s", name, failing, runs, example)
		assert.Assert(t, failing > 0, "%s: the test must fail without the safeguard", name)
	}
}

// TestExportStoreDown checks an outage of the object store for a month, with one change a
// day. Nothing is deleted meanwhile. When the store is back, each record is copied, and
// the old ones are deleted from the table.
func TestExportStoreDown(t *testing.T) {
	r := newExportSimulation(1, Exporter{})
	r.t.interleave, r.t.faultless = nil, true
	r.store.losesObjects = false
	unreachable := &unreachableObjects{}
	r.exporters[0].Objects, r.exporters[1].Objects = unreachable, unreachable
	for range 30 {
		r.randomChange()
		r.now = r.now.Add(config.RecordRetention)
		r.exportRound()
	}
	changes := len(r.accepted)
	assert.Equal(t, len(r.t.rows.Scan(table.PrefixAudit)), changes)
	assert.Equal(t, len(r.t.rows.Scan(table.PrefixChange)), changes)
	assert.Assert(t, unreachable.puts > 0)
	r.exporters[0].Objects, r.exporters[1].Objects = r.store, r.store
	for range 2 + changes/deleteBatch {
		r.exportRound()
	}
	assert.Equal(t, r.violation, "")
	assert.Equal(t, len(r.store.objects), changes)
	// The last change is one day old. Its retention is over, but not deleteMargin.
	assert.Equal(t, len(r.t.rows.Scan(table.PrefixAudit)), 1)
}

// unreachableObjects is an object store that is down. It counts the attempts to store.
type unreachableObjects struct{ puts int }

func (o *unreachableObjects) Put(context.Context, string, []byte) error {
	o.puts++
	return table.ErrUnreachable
}

func (*unreachableObjects) Get(context.Context, string) ([]byte, error) {
	return nil, table.ErrUnreachable
}

// tableWithObjects serves the table and the object store in one value, as
// platform.Client does. A function in afterRead runs once, after the read of its row.
type tableWithObjects struct {
	*faultyTable
	*fakeObjects
	afterRead map[table.Key]func()
}

func (p *tableWithObjects) Read(ctx context.Context, key table.Key) (table.Row, error) {
	row, err := p.faultyTable.Read(ctx, key)
	if f := p.afterRead[key]; f != nil {
		delete(p.afterRead, key)
		f()
	}
	return row, err
}

// TestRepeatedChangeDuringDeletion checks that a repeated change isn't applied twice while
// its records are deleted. An operator's answer is lost, another operator then raises the
// share and the limit, and the first repeats the command under the same id: just before
// the record's retention is over, and after it, while an exporter deletes the record right
// after it was read. If records were deleted early, the old limit would come back. If the
// record weren't pinned, the change would be applied anew to the row as it was the first
// time.
func TestRepeatedChangeDuringDeletion(t *testing.T) {
	repeat := func(template Exporter, after time.Duration, deleteDuringRepeat bool) (config.Team, *pb.ApplyChangeReply) {
		r := newExportSimulation(1, template)
		r.t.interleave, r.t.faultless = nil, true
		r.store.losesObjects = false
		p := &tableWithObjects{faultyTable: r.t, fakeObjects: r.store, afterRead: map[table.Key]func(){}}
		r.s.Table = p
		apply := func(id string, share, limit *int32) *pb.ApplyChangeReply {
			m := &pb.ApplyChangeRequest{ChangeId: id, Author: "ana", Change: &pb.ApplyChangeRequest_SetTeam{
				SetTeam: &pb.SetTeam{Team: "surveys", Share: share, Limit: limit}}}
			reply, err := r.s.ApplyChange(context.Background(), connect.NewRequest(m))
			assert.NilError(t, err)
			return reply.Msg
		}
		apply("lost", nil, ptr(40))
		apply("later", ptr(3), ptr(60))
		r.exportRound()
		r.now = r.now.Add(after)
		if deleteDuringRepeat {
			p.afterRead[table.ChangeKey("lost")] = r.exportRound
		} else {
			r.exportRound()
		}
		reply := apply("lost", nil, ptr(40))
		var team config.Team
		assert.NilError(t, r.t.rows.Read(table.TeamKey("surveys")).Decode(&team))
		return team, reply
	}
	latest := config.Team{Share: 3, Limit: 60}
	for _, deleteDuringRepeat := range []bool{false, true} {
		team, reply := repeat(Exporter{}, config.RecordRetention-time.Second, deleteDuringRepeat)
		assert.Assert(t, reply.Repeated)
		assert.Equal(t, team, latest)
	}
	team, reply := repeat(Exporter{}, config.RecordRetention+2*deleteMargin, true)
	assert.Assert(t, reply.Repeated)
	assert.Equal(t, team, latest)
	// Once the record is deleted, the id counts as that of a new change. It sets the
	// fields that it names and undoes nothing else.
	team, reply = repeat(Exporter{}, config.RecordRetention+2*deleteMargin, false)
	assert.Assert(t, !reply.Repeated)
	assert.Equal(t, team, config.Team{Share: 3, Limit: 40})
	team, reply = repeat(Exporter{deleteEarly: true}, config.RecordRetention-time.Second, false)
	assert.Assert(t, !reply.Repeated && team.Limit == 40, "the test must fail if records are deleted early")
}

// TestListAuditIncludesDeletedRecords checks that the list of changes shows records that
// were deleted from the table just as it did before.
func TestListAuditIncludesDeletedRecords(t *testing.T) {
	r := newExportSimulation(2, Exporter{})
	r.t.interleave, r.t.faultless = nil, true
	r.store.losesObjects = false
	r.s.Table = &tableWithObjects{faultyTable: r.t, fakeObjects: r.store}
	list := func() []*pb.AuditRecord {
		reply, err := r.s.ListAudit(context.Background(), connect.NewRequest(&pb.ListAuditRequest{Last: 5}))
		assert.NilError(t, err)
		return reply.Msg.Records
	}
	before := list()
	assert.Equal(t, len(before), 5)
	for range 4 {
		r.now = r.now.Add(config.RecordRetention)
		r.exportRound()
	}
	assert.Equal(t, len(r.t.rows.Scan(table.PrefixAudit)), 0)
	for i, record := range list() {
		assert.Equal(t, record.String(), before[i].String())
	}
	// The store loses one record: the list reports it as missing and continues.
	delete(r.store.objects, AuditObject(core.Version(before[2].Version)))
	before[2] = &pb.AuditRecord{Version: before[2].Version, Kind: KindRecordMissing}
	for i, record := range list() {
		assert.Equal(t, record.String(), before[i].String())
	}
	// During an outage of the store the record may still exist, so the list fails and the
	// operator can repeat it.
	r.s.Table = struct {
		*faultyTable
		*unreachableObjects
	}{r.t, &unreachableObjects{}}
	_, err := r.s.ListAudit(context.Background(), connect.NewRequest(&pb.ListAuditRequest{Last: 5}))
	assert.ErrorIs(t, err, table.ErrUnreachable)
}

// concurrentTable runs the pending exporters' rounds right before a transaction takes
// effect. All rounds then start from the same progress, and one transaction succeeds. It
// counts reads.
type concurrentTable struct {
	*faultyTable
	pendingRounds []*Exporter
	reads         int
}

func (s *concurrentTable) Read(ctx context.Context, key table.Key) (table.Row, error) {
	s.reads++
	return s.faultyTable.Read(ctx, key)
}

func (s *concurrentTable) Transact(ctx context.Context, t table.Transaction) error {
	s.runPending(ctx)
	return s.faultyTable.Transact(ctx, t)
}

func (s *concurrentTable) runPending(ctx context.Context) {
	for len(s.pendingRounds) > 0 {
		e := s.pendingRounds[0]
		s.pendingRounds = s.pendingRounds[1:]
		_ = e.Round(ctx)
	}
}

// TestExportSingleDeleter checks that entries don't all work on the same backlog. After a
// long outage of the object store, all entries find a backlog at the same moment. If each
// read the same records in every round, they would use up the table's read capacity.
// After the first round only one exporter continues. When it ends, another takes over.
func TestExportSingleDeleter(t *testing.T) {
	const entries, changes = 30, 8 * deleteBatch
	r := newExportSimulation(1, Exporter{})
	r.t.interleave, r.t.faultless = nil, true
	r.store.losesObjects = false
	for range changes {
		r.randomChange()
	}
	r.exportRound()
	r.now = r.now.Add(2 * config.RecordRetention)
	s := &concurrentTable{faultyTable: r.t}
	var all []*Exporter
	for range entries {
		all = append(all, &Exporter{Table: s, Objects: r.store, Now: r.exporters[0].Now})
	}
	round := func(exporters []*Exporter) int {
		s.pendingRounds, s.reads = exporters, 0
		s.runPending(context.Background())
		return s.reads
	}
	const readsToCheck, readsOfBatch = 2, 2 * deleteBatch
	assert.Equal(t, round(all), entries*(readsToCheck+readsOfBatch))
	for range 2 {
		assert.Equal(t, round(all), entries*readsToCheck+readsOfBatch)
	}
	// The transaction of the last exporter took effect first, so that one continues. When
	// it ends, the others first see its last progress, then that the progress stays.
	rest := all[:entries-1]
	assert.Equal(t, round(rest), len(rest)*readsToCheck)
	assert.Equal(t, round(rest), len(rest)*(readsToCheck+readsOfBatch))
	assert.Equal(t, round(rest), len(rest)*readsToCheck+readsOfBatch)
}
