package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lavenderpond/core/admission"
	"lavenderpond/core/fairshare"
	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
	"lavenderpond/platform"
	"lavenderpond/platform/standin"
)

// commitTimeout ends a test whose committer stores nothing more. It says nothing about speed.
const commitTimeout = time.Minute

// newTableServer returns a table with the limits of the platform's, and a client of it.
func newTableServer(t *testing.T) (*standin.Table, *platform.Table) {
	table := standin.NewTable()
	return table, serveTable(t, table)
}

// serveTable returns a client of the table that a handler serves.
func serveTable(t *testing.T, handler http.Handler) *platform.Table {
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	table := platform.NewTable(strings.TrimPrefix(s.URL, "http://"))
	t.Cleanup(table.Close)
	return table
}

// newOwningCommitter returns a committer of the process that owns the table's rows.
func newOwningCommitter(t *testing.T, table *platform.Table) *committer {
	version, err := table.Apply(t.Context(), platform.Transaction{Writes: []platform.Write{{RowKey: ownerKey, Value: []byte("{}")}, {RowKey: renewalKey, Value: []byte("{}")}}})
	assert.NilError(t, err)
	c := newCommitter(table)
	c.tenure.fence, c.renewal, c.wake = version, version, make(chan struct{}, 1)
	return c
}

// runUntilStored runs the committer until everything up to a sequence is stored.
func runUntilStored(t *testing.T, c *committer, sequence int64) {
	ctx, cancel := context.WithTimeout(t.Context(), commitTimeout)
	defer cancel()
	stored := false
	c.onStored = func(s int64) {
		if s == sequence {
			stored = true
			cancel()
		}
	}
	err := c.run(ctx)
	assert.Assert(t, stored, "sequence %d wasn't stored: %v", sequence, err)
}

// assertRenewed fails the test unless the owner is the table's, with the renewal that the committer has
// stored last.
func assertRenewed(t *testing.T, c *committer) {
	t.Helper()
	row, _, err := c.table.Get(t.Context(), renewalKey)
	assert.NilError(t, err)
	assert.Equal(t, row.Version, c.renewal)
	r, err := decodeRow[renewalRow](row)
	assert.NilError(t, err)
	assert.Equal(t, r.RunID, c.tenure.runID)
}

// startedTasks returns the progress of a job with n tasks whose starts are recorded.
func startedTasks(n int) job.Progress {
	p := job.Progress{State: job.Running}
	for i := range n {
		p.Started = append(p.Started, job.TaskStart{Task: i, Attempt: 20001, VM: "worker-00.granite-obs.brisbane-a.qld-south.example", Born: 1796386285515, StableAt: job.VMClock(1796386285515 + i)})
	}
	return p
}

// Guards against an owner that stops for good because a batch of saves exceeds what one transaction may hold.
func TestBatchBeyondTransactionBytesIsStored(t *testing.T) {
	const jobs, tasks = 60, 180
	_, table := newTableServer(t)
	c := newOwningCommitter(t, table)
	for i := range jobs {
		c.add([]schedule.Command{schedule.Save{Sequence: 1, Job: job.ID(fmt.Sprintf("%016x", i)), Progress: startedTasks(tasks)}})
	}
	runUntilStored(t, c, 1)
	rows, _, err := table.ListAll(t.Context(), progressTable, mainPartition)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), jobs)
	for i := range rows {
		r, err := decodeRow[progressRow](&rows[i])
		assert.NilError(t, err)
		assert.Equal(t, len(r.Started), tasks)
	}
}

// refusingTable refuses each transaction that contains a row of refused, as a table does whose
// limits aren't known.
type refusingTable struct {
	*standin.Table
	refused map[platform.RowKey]bool
	status  int

	mu sync.Mutex
	// refusals counts the refused transactions.
	refusals int
}

func (r *refusingTable) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body := readAndRestore(req)
	var tx platform.Transaction
	if req.Method == http.MethodPost && json.Unmarshal(body, &tx) == nil && r.refuses(&tx) {
		r.mu.Lock()
		r.refusals++
		r.mu.Unlock()
		w.WriteHeader(r.status)
		return
	}
	r.Table.ServeHTTP(w, req)
}

// readAndRestore returns the body of a request, which can be read again.
func readAndRestore(r *http.Request) []byte {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		body = nil
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return body
}

func (r *refusingTable) refuses(tx *platform.Transaction) bool {
	return slices.ContainsFunc(tx.Writes, func(w platform.Write) bool { return r.refused[w.RowKey] })
}

// jobSaves returns a save of each of n jobs.
func jobSaves(n int, sequence int64) []schedule.Command {
	var out []schedule.Command
	for i := range n {
		out = append(out, schedule.Save{Sequence: sequence, Job: job.ID(fmt.Sprintf("%016x", i)), Progress: job.Progress{State: job.Running}})
	}
	return out
}

// Guards against an owner that repeats a refused transaction for good, so that nothing else is stored and its ownership ends.
func TestRefusedRowStopsNothingElse(t *testing.T) {
	const jobs, refusedJob = 40, 17
	for _, status := range []int{http.StatusBadRequest, http.StatusForbidden, http.StatusRequestEntityTooLarge} {
		saves := jobSaves(jobs, 1)
		refused := saves[refusedJob].(schedule.Save)
		server := &refusingTable{Table: standin.NewTable(), refused: map[platform.RowKey]bool{progressKey(refused.Job): true}, status: status}
		table := serveTable(t, server)
		c := newOwningCommitter(t, table)
		var setAside []schedule.Command
		c.onRefused = func(x schedule.Command) { setAside = append(setAside, x) }
		c.add(saves)
		runUntilStored(t, c, 1)
		assert.DeepEqual(t, setAside, []schedule.Command{refused})
		rows, _, err := table.ListAll(t.Context(), progressTable, mainPartition)
		assert.NilError(t, err)
		assert.Equal(t, len(rows), jobs-1, "status %d", status)
		assertRenewed(t, c)

		before := server.refusals
		c.add(jobSaves(jobs, 2))
		runUntilStored(t, c, 2)
		assert.Equal(t, server.refusals, before+1, "a row that was refused is stored apart from the others")
	}
}

// Guards against a row that can't be encoded, which would end each tenure.
func TestRowThatCannotBeEncodedStopsNothingElse(t *testing.T) {
	_, table := newTableServer(t)
	c := newOwningCommitter(t, table)
	var setAside []schedule.Command
	c.onRefused = func(x schedule.Command) { setAside = append(setAside, x) }
	broken := schedule.SaveShares{Sequence: 1, Pool: "p", Usage: fairshare.StoredUsage{StoredAt: time.Date(10_000, 1, 1, 0, 0, 0, 0, time.UTC)}}
	c.add([]schedule.Command{broken, schedule.Save{Sequence: 1, Job: "j"}})
	runUntilStored(t, c, 1)
	assert.Equal(t, len(setAside), 1)
	row, _, err := table.Get(t.Context(), progressKey("j"))
	assert.NilError(t, err)
	assert.Assert(t, row != nil)
}

// Guards against a forecast that is too large for its row and is taken for a fault of the rows that are stored with it.
func TestForecastBeyondRowBytesIsLeftOut(t *testing.T) {
	_, table := newTableServer(t)
	c := newOwningCommitter(t, table)
	c.rowBytes = rowBytes
	c.onRefused = func(x schedule.Command) { t.Errorf("refused: %T", x) }
	c.forecast = func() (admission.Forecast, bool) {
		var f admission.Forecast
		for _, name := range incompressibleProgress(3 * rowBytes).VMs {
			f.Pools = append(f.Pools, admission.Pool{Name: job.PoolName(name)})
		}
		return f, true
	}
	c.add(jobSaves(1, 1))
	runUntilStored(t, c, 1)
}

// Guards against a row of an entry VM that is written again and again although the table refuses it for good.
func TestRefusedMemberRowIsNotRepeated(t *testing.T) {
	f, table := newFakeTable(t, respondWith(http.StatusBadRequest, ""))
	m := membership{table: table, node: "n", log: zerolog.Nop()}
	ctx, cancel := context.WithTimeout(t.Context(), 3*memberRetryDelay)
	defer cancel()
	assert.NilError(t, m.run(ctx))
	assert.Equal(t, len(f.requests), 1)
}
