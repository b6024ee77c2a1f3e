package node

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
	"lavenderpond/platform"
	"lavenderpond/platform/standin"
)

// delayingTable executes the first transaction that contains text only once release is closed.
type delayingTable struct {
	*standin.Table
	text    string
	release chan struct{}
	once    sync.Once
}

func (d *delayingTable) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := readAndRestore(r)
	if r.Method == http.MethodPost && strings.Contains(string(body), d.text) {
		first := false
		d.once.Do(func() { first = true })
		if first {
			<-d.release
		}
	}
	d.Table.ServeHTTP(w, r)
}

// Guards against a completed wave that is shown as running again, by an earlier write that is executed late or by the next owner.
func TestCompletedWaveStaysCompleted(t *testing.T) {
	running := platform.WaveStatus(1, job.WaveRunning)
	encoded, err := encodeRow(running.Value)
	assert.NilError(t, err)
	server := &delayingTable{Table: standin.NewTable(), text: string(encoded), release: make(chan struct{})}
	table := serveTable(t, server)
	newOwner := func() *owner {
		return &owner{node: &Node{table: table}, log: zerolog.Nop()}
	}
	state := func() string {
		row, _, err := table.Get(t.Context(), running.RowKey)
		assert.NilError(t, err)
		if row == nil {
			return ""
		}
		return string(row.Value)
	}
	o := newOwner()
	o.execute(t.Context(), []schedule.Command{schedule.PublishWave{Wave: 1, State: job.WaveRunning}, schedule.PublishWave{Wave: 1, State: job.WaveCompleted}})
	time.AfterFunc(tableWriteTimeout+100*time.Millisecond, func() { close(server.release) })
	o.workers.Wait()
	completed := string(platform.WaveStatus(1, job.WaveCompleted).Value)
	assert.Equal(t, state(), completed)

	next := newOwner()
	next.execute(t.Context(), []schedule.Command{schedule.PublishWave{Wave: 1, State: job.WaveRunning}})
	next.workers.Wait()
	assert.Equal(t, state(), completed)
}

// Guards against a status that the table refuses for good and that is written again without a pause.
func TestRefusedWaveStatusIsGivenUp(t *testing.T) {
	f, table := newFakeTable(t, respondWith(http.StatusForbidden, ""))
	f.read = respondWith(http.StatusOK, `{"rows":[],"ver":1}`)
	o := &owner{node: &Node{table: table}, log: zerolog.Nop()}
	o.execute(t.Context(), []schedule.Command{schedule.PublishWave{Wave: 1, State: job.WaveRunning}})
	o.workers.Wait()
	assert.Equal(t, len(f.requests), 1)
}

// Guards against a completed wave that stays shown as running since its two states are passed on in the other order.
func TestEarlierWaveStateReplacesNoLaterOne(t *testing.T) {
	var w waveStatuses
	completed := schedule.PublishWave{Wave: 1, Revision: 2, State: job.WaveCompleted}
	assert.Assert(t, w.set(completed))
	assert.Assert(t, !w.set(schedule.PublishWave{Wave: 1, Revision: 2, State: job.WaveRunning}))
	assert.Assert(t, !w.set(schedule.PublishWave{Wave: 1, Revision: 1, State: job.WaveCompleted}))
	assert.Equal(t, w.get(1), completed)
}
