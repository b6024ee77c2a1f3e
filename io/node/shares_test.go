package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lavenderpond/core/fairshare"
	"lavenderpond/core/job"
	"lavenderpond/core/policy"
	"lavenderpond/core/schedule"
	"lavenderpond/platform"
)

// Guards against usage that a new owner can't read as the former one stored it, and against one
// unreadable row that keeps it from reading the others.
func TestStoredSharesAreReadAsTheyWereWritten(t *testing.T) {
	usage := fairshare.StoredUsage{StoredAt: time.UnixMilli(1_800_000_000_123).UTC(), Accounts: map[job.AccountName]job.Resources{"a": {CPU: 1500, MemMB: 20}}}
	changes := latestChanges([]schedule.Command{
		schedule.SaveShares{Sequence: 1, Pool: "frames"},
		schedule.SaveShares{Sequence: 2, Pool: "frames", Usage: usage},
	}, &tableClock{})
	assert.Equal(t, len(changes), 1)
	value, err := encodeRow(changes[0].value)
	assert.NilError(t, err)
	rows := []platform.Row{{RowKey: changes[0].key, Value: value}, {RowKey: shareKey("other"), Value: []byte("{")}}
	assert.DeepEqual(t, decodeRows[fairshare.StoredUsage](rows, zerolog.Nop()), map[string]fairshare.StoredUsage{"frames": usage})
}

// Guards against an owner that is lost because of usage that waits while the table is down: the
// transaction with the usage of all pools would be refused each time, so no ownership is renewed.
func TestUsageOfManyPoolsFitsInTransactions(t *testing.T) {
	usage := fairshare.StoredUsage{Accounts: map[job.AccountName]job.Resources{}}
	for i := range 500 {
		usage.Accounts[job.AccountName(fmt.Sprintf("account-%04d", i))] = job.Resources{CPU: 1_000_000, MemMB: 1_000_000, GPU: 13}
	}
	c := newCommitter(nil)
	for i := range int64(80) {
		c.add([]schedule.Command{
			schedule.SaveShares{Sequence: i, Pool: job.PoolName(fmt.Sprint(i)), Usage: usage},
			schedule.DropVM{Sequence: i, VM: job.VMID(fmt.Sprint(i % 10))},
		})
	}
	saves, last := c.nextBatch()
	assert.Equal(t, last, int64(79), "usage keeps no other save waiting")
	tx, err := c.transaction(c.encodeUpdates(saves))
	assert.NilError(t, err)
	body, err := json.Marshal(tx)
	assert.NilError(t, err)
	assert.Assert(t, len(body) <= platform.MaxTransactionBytes/2, "%d bytes", len(body))
	assert.Equal(t, len(tx.Removals), 10)
	latest := shareKey("79")
	assert.Assert(t, slices.ContainsFunc(tx.Writes, func(w platform.Write) bool { return w.RowKey == latest }))
}

// Guards against a takeover that fails again and again because usage, which only orders jobs, can't
// be read.
func TestTakeoverGoesOnWithoutStoredShares(t *testing.T) {
	var out bytes.Buffer
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("table") == shareTable {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = w.Write([]byte(`{"ver":5,"rows":[]}`))
	}))
	defer s.Close()
	n := &Node{table: platform.NewTable(strings.TrimPrefix(s.URL, "http://")), log: zerolog.Nop(), metrics: newProcessMetrics()}
	n.SetPolicy(policy.Policy{FairShares: true})
	state, err := (&owner{node: n, log: zerolog.New(&out)}).readStoredState(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, state.jobFeedVersion, platform.Version(5))
	assert.Assert(t, strings.Contains(out.String(), "table_not_loaded"), out.String())
}
