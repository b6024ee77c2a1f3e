package node

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
	"lavenderpond/platform"
	"lavenderpond/platform/standin"
)

// commitTimeout bounds the wait until a committer has stored what it is given.
const commitTimeout = 5 * time.Second

// newTableServer returns a table with the limits of the platform's, and a client of it.
func newTableServer(t *testing.T) (*standin.Table, *platform.Table) {
	table := standin.NewTable()
	s := httptest.NewServer(table)
	t.Cleanup(s.Close)
	return table, platform.NewTable(strings.TrimPrefix(s.URL, "http://"))
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
