package node

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/platform"
)

// answerLate answers long after all patience.
func answerLate(http.ResponseWriter) { time.Sleep(time.Second) }

// renewalAnswer is the answer to a reading of the renewal.
func renewalAnswer(t *testing.T, renewal string, version int) func(w http.ResponseWriter) {
	value, err := json.Marshal([]byte(renewal))
	assert.NilError(t, err)
	return respondWith(http.StatusOK, `{"rows":[{"table":"lavenderpond_owner","part":"main","key":"renewal","value":`+
		string(value)+`,"ver":`+jsonNumber(version)+`}],"ver":30}`)
}

// The table carries a transaction out and its answer is lost. All starts wait for it. A
// reading shows the batch, and the owner goes on at once.
func TestLostAnswerIsDetectedSoon(t *testing.T) {
	f, table := newFakeTable(t, answerLate, renewalAnswer(t, `{"life":"me","batch":1}`, 21))
	c := newCommitter(table)
	started := bootNow()
	assert.NilError(t, c.store(t.Context(), nil))
	assert.Equal(t, c.renewal, platform.Version(21))
	assert.Assert(t, c.tenure.mayOrderMachines(bootNow()))
	assert.Assert(t, bootNow().Sub(started) < minCommitTimeout, "it waited for the answer")
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(t, len(f.requests), 2, "it is not sent again")
}

// A transaction is on its way for seconds, while the table answers readings at once. It
// is sent again after the first of them; whichever arrives first is carried out.
func TestLateTransactionIsSentAgainSoon(t *testing.T) {
	f, table := newFakeTable(t,
		answerLate, renewalAnswer(t, `{"life":"me","batch":0}`, 10), respondWith(http.StatusOK, `{"ver":22}`))
	c := newCommitter(table)
	from := bootNow()
	assert.NilError(t, c.store(t.Context(), nil))
	assert.Equal(t, c.renewal, platform.Version(22))
	assert.Assert(t, bootNow().Sub(from) < minCommitTimeout, "it waited for the answer")
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.DeepEqual(t, f.requests[2].Conditions, f.requests[0].Conditions)
}

// The table has turned slow. What a slow reading doesn't show may be on its way like the
// reading: sending it again would only take the part's time once more.
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
