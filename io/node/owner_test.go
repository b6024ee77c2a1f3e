package node

import (
	"cmp"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
	"lavenderpond/io/supervisor"
	"lavenderpond/platform"
	"lavenderpond/platform/standin"
)

// Guards against assigning tasks to a VM by an outdated directory row that was replaced by
// one that can't be decoded.
func TestUnreadableDirectoryRowDropsVM(t *testing.T) {
	o := &owner{log: zerolog.Nop(), scheduler: schedule.New(schedule.Settings{})}
	applyRow := func(value string) {
		row := platform.Row{RowKey: platform.RowKey{Key: "vm-1"}, Value: []byte(value)}
		o.applyVMRows(time.Now(), vmRowsChanged{rows: []platform.Row{row}})
	}
	good := `{"service":"p","address":"10.1.1.1:80","state":"ready","capacity":{"cpu":8000},"born":5}`
	applyRow(good)
	assert.DeepEqual(t, o.scheduler.VMs(), []job.VMID{"vm-1"})
	applyRow(`{"service":"p","address":"10.1.1.1:80","state":"ready","born":5}`)
	assert.Equal(t, len(o.scheduler.VMs()), 0)
	applyRow(good)
	assert.DeepEqual(t, o.scheduler.VMs(), []job.VMID{"vm-1"})
}

// Guards against treating a directory without changes as outdated while the next read
// waits. Nothing would start on VMs that don't refuse tasks beyond their capacity.
func TestUnchangedDirectoryStaysCurrentDuringFeedWait(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "feed") {
			time.Sleep(feedWait)
		}
		_, _ = w.Write([]byte(`{"ver":5,"rows":[]}`))
	}))
	defer s.Close()
	o := &owner{
		node:   &Node{table: platform.NewTable(strings.TrimPrefix(s.URL, "http://"))},
		events: make(chan event, eventQueueSize), scheduler: schedule.New(schedule.Settings{}),
	}
	ctx, cancel := context.WithCancel(t.Context())
	var g supervisor.Group
	defer g.Wait()
	g.Go(func() { _ = o.followVMs(ctx) })
	_, isRows := (<-o.events).(vmRowsChanged)
	assert.Assert(t, isRows)
	first, _ := (<-o.events).(directoryRead)
	second, _ := (<-o.events).(directoryRead)
	cancel()
	assert.Assert(t, second.asOf.Sub(first.asOf) >= feedWait)
}

// Guards against running a job again that ended long ago, and whose rows this owner deletes while it
// reads all rows after a gap in the table's history.
func TestJobDeletedDuringReadStaysEnded(t *testing.T) {
	const id = job.ID("j")
	rows := standin.NewTable()
	put := func(k platform.RowKey, v any) {
		value, err := encodeRow(v)
		assert.NilError(t, err)
		rows.Put(k, value)
	}
	put(jobKey(id), job.Job{ID: id, Body: job.Body{Steps: []job.Step{{Count: 1}}}})
	put(progressKey(id), progressRow{Progress: job.Progress{State: job.Completed}})
	var mu sync.Mutex
	first := ""
	table := serveTable(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		name := r.URL.Query().Get("table")
		first = cmp.Or(first, name)
		if name != first {
			// The first table has been read.
			rows.Put(jobKey(id), nil)
			rows.Put(progressKey(id), nil)
		}
		mu.Unlock()
		rows.ServeHTTP(w, r)
	}))
	o := &owner{node: &Node{table: table}, tenure: &tenure{}, committer: &committer{}, log: zerolog.Nop(), scheduler: schedule.New(schedule.Settings{})}
	jobs, progress, _, err := o.readJobs(t.Context())
	assert.NilError(t, err)
	o.handle(bootNow(), jobRowsChanged{rows: jobs, progress: progress})
	assert.Equal(t, len(o.scheduler.Backlog(bootNow())), 0)
}
