package node

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/platform"
)

// answerLate answers after all timeouts have expired.
func answerLate(http.ResponseWriter) { time.Sleep(time.Second) }

// renewalAnswer is the table's answer to a read of the renewal row.
func renewalAnswer(t *testing.T, renewal string, version int) func(w http.ResponseWriter) {
	value, err := json.Marshal([]byte(renewal))
	assert.NilError(t, err)
	return respondWith(http.StatusOK, `{"rows":[{"table":"lavenderpond_owner","part":"main","key":"renewal","value":`+
		string(value)+`,"ver":`+jsonNumber(version)+`}],"ver":30}`)
}

// Guards against waiting for a lost answer while all task starts wait. The table applies
// the transaction, a read shows the batch, and the owner continues right away.
func TestLostAnswerIsDetectedSoon(t *testing.T) {
	f, table := newFakeTable(t, answerLate, renewalAnswer(t, `{"life":"me","batch":1}`, 21))
	c := newCommitter(table)
	started := bootNow()
	assert.NilError(t, c.store(t.Context(), nil))
	assert.Equal(t, c.renewal, platform.Version(21))
	assert.Assert(t, c.tenure.mayOrderMachines(bootNow()))
	assert.Assert(t, bootNow().Sub(started) < minCommitTimeout, "the committer waited for the answer")
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(t, len(f.requests), 2, "the transaction is not sent again")
}

// Guards against waiting for a transaction that is in flight for seconds while the table
// answers reads immediately. It is sent again after the first read; whichever arrives first is
// applied.
func TestLateTransactionIsSentAgainSoon(t *testing.T) {
	f, table := newFakeTable(t, answerLate, respondWith(http.StatusOK, `{"ver":22}`))
	f.read = renewalAnswer(t, `{"life":"me","batch":0}`, 10)
	c := newCommitter(table)
	started := bootNow()
	assert.NilError(t, c.store(t.Context(), nil))
	assert.Equal(t, c.renewal, platform.Version(22))
	assert.Assert(t, bootNow().Sub(started) < minCommitTimeout, "the committer waited for the answer")
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.DeepEqual(t, f.requests[1].Conditions, f.requests[0].Conditions)
}

// Guards against sending a transaction again to a slow table. What a slow read doesn't
// show may be in flight like the read. Sending the transaction again would only occupy the
// partition of the table once more.
func TestSlowTableGetsNoDuplicateTransaction(t *testing.T) {
	slow := func(f func(w http.ResponseWriter)) func(w http.ResponseWriter) {
		return func(w http.ResponseWriter) {
			time.Sleep(150 * time.Millisecond)
			f(w)
		}
	}
	f, table := newFakeTable(t,
		slow(respondWith(http.StatusOK, `{"ver":22}`)), slow(renewalAnswer(t, `{"life":"me","batch":0}`, 10)))
	c := newCommitter(table)
	assert.NilError(t, c.store(t.Context(), nil))
	assert.Equal(t, c.renewal, platform.Version(22))
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Assert(t, len(f.requests) <= 2, "%d calls", len(f.requests))
}
