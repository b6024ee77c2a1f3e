package node

import (
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lavenderpond/core/admission"
	"lavenderpond/core/contact"
	"lavenderpond/core/policy"
	"lavenderpond/platform"
	"lavenderpond/platform/standin"
)

// lateTable is a table that can leave transactions unanswered and apply them later.
type lateTable struct {
	*standin.Table
	late atomic.Bool
	held heldTransactions
}

func (l *lateTable) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !l.late.Load() || r.Method != http.MethodPost {
		l.Table.ServeHTTP(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	l.held.add(body)
	panic(http.ErrAbortHandler)
}

func newLateTable(t *testing.T) (*lateTable, *jobStore) {
	l := &lateTable{Table: standin.NewTable()}
	s := httptest.NewServer(l)
	t.Cleanup(s.Close)
	return l, newJobStore(platform.NewTable(strings.TrimPrefix(s.URL, "http://")))
}

// stored reports whether the test job is stored, and the version of the table.
func stored(t *testing.T, s *jobStore) (bool, platform.Version) {
	snapshot, err := s.table.List(t.Context(), jobRowRange(testJob().ID))
	assert.NilError(t, err)
	for _, r := range snapshot.Rows {
		if r.Key == jobKey(testJob().ID).Key {
			return true, snapshot.Version
		}
	}
	return false, snapshot.Version
}

// at returns an arrival of a call whose job is admitted.
func at(v platform.Version) arrival { return arrival{v, func(tableTime) bool { return true }} }

// Guards against a refused job that runs: earlier calls of its caller, and replacements of earlier
// refusals, got no answer from the table and are applied after the refusal, in any order. Their
// caller may still submit the job later.
func TestRefusedJobIsNeverStored(t *testing.T) {
	for seed := range uint64(12) {
		r := rand.New(rand.NewPCG(seed, 1))
		table, s := newLateTable(t)
		for range 1 + r.IntN(3) {
			_, version := stored(t, s)
			if table.late.Store(r.IntN(3) > 0); table.late.Load() {
				_, err := s.submitArrived(t.Context(), bootNow().Add(20*time.Millisecond), testJob(), contact.Call, at(version))
				assert.Assert(t, errors.Is(err, errOutcomeUnknown), "seed %d: %v", seed, err)
				table.late.Store(false)
				continue
			}
			refused, err := s.refuse(t.Context(), bootNow().Add(time.Second), testJob().ID, 0)
			assert.Assert(t, err == nil && refused, "seed %d: %v", seed, err)
		}
		refused, err := s.refuse(t.Context(), bootNow().Add(time.Second), testJob().ID, 0)
		assert.Assert(t, err == nil && refused, "seed %d: %v", seed, err)
		table.held.apply(table.Table, r, table.held.count())
		isStored, version := stored(t, s)
		assert.Assert(t, !isStored, "seed %d", seed)
		got, err := s.submitArrived(t.Context(), bootNow().Add(time.Second), testJob(), contact.Call, at(version))
		assert.Assert(t, err == nil && got > 0, "seed %d: %v", seed, err)
		isStored, _ = stored(t, s)
		assert.Assert(t, isStored, "seed %d", seed)
	}
}

// Guards against denying a job that runs: it is stored already when its caller's second call would
// be refused.
func TestStoredJobIsNotRefused(t *testing.T) {
	_, s := newLateTable(t)
	assert.NilError(t, s.submit(t.Context(), bootNow().Add(time.Second), testJob(), contact.Call))
	refused, err := s.refuse(t.Context(), bootNow().Add(time.Second), testJob().ID, 0)
	assert.Assert(t, err == nil && !refused, "%v", err)
}

// Guards against running a job whose last call was refused: a call that has arrived before the
// refusal still waits to store the job.
func TestRefusalStopsEarlierCall(t *testing.T) {
	_, s := newLateTable(t)
	_, arrived := stored(t, s)
	_, err := s.refuse(t.Context(), bootNow().Add(time.Second), testJob().ID, 0)
	assert.NilError(t, err)
	_, err = s.submitArrived(t.Context(), bootNow().Add(time.Second), testJob(), contact.Call, at(arrived))
	assert.Assert(t, errors.Is(err, errRefusedMeanwhile), "%v", err)
}

// Guards against a job that runs though it was cancelled: the caller cancels it after a refusal, and
// a call from before arrives again.
func TestCancelledAfterRefusalIsNotStored(t *testing.T) {
	_, s := newLateTable(t)
	_, err := s.refuse(t.Context(), bootNow().Add(time.Second), testJob().ID, 0)
	assert.NilError(t, err)
	known, err := s.cancel(t.Context(), bootNow().Add(time.Second), testJob().ID)
	assert.Assert(t, err == nil && !known, "%v", err)
	assert.NilError(t, s.submit(t.Context(), bootNow().Add(time.Second), testJob(), contact.Call))
	isStored, _ := stored(t, s)
	assert.Assert(t, !isStored)
}

// newGatedHandler returns a handler for callers whose pool is full for a minute.
func newGatedHandler(t *testing.T) (*lateTable, *callerHandler) {
	table, s := newLateTable(t)
	h := newCallerHandler(s.health)
	h.jobs = s
	h.admission = newAdmissionGate(func() *policy.Policy { return &policy.Policy{Admission: true} }, zerolog.Nop(), func(string) {})
	s.onVersion = h.admission.sawVersion
	for n := range admission.Sequence(2) {
		h.admission.polled(bootNow(), ownerRows{owner: ownerRow{RunID: "o"}, forecast: admission.Forecast{
			RunID: "o", Sequence: n + 1, Entries: 34,
			Pools: []admission.Pool{{Cores: 1, Queues: []admission.Queue{{Name: "open", InTime: 60, Late: 60}}}},
		}})
	}
	return table, h
}

// Checks that a job that can't be of use is refused with a time to return, isn't stored, and shows
// in the dump, and that an exception admits it.
func TestJobThatCannotBeOfUseIsRefused(t *testing.T) {
	_, h := newGatedHandler(t)
	w := sendCall(h, http.MethodPost, "/open/0123456789abcdef")
	assert.Equal(t, w.Code, http.StatusTooManyRequests)
	assert.Assert(t, w.Header().Get("Retry-After") > "1", w.Header())
	isStored, _ := stored(t, h.jobs)
	assert.Assert(t, !isStored)
	d := h.admission.dump(bootNow())
	assert.Assert(t, d.InForce && len(d.Refusals) == 1 && d.Refusals[0].Count == 1, "%+v", d)
	_, version := stored(t, h.jobs)
	h.admission.sawVersion(version)
	exempt := &policy.Policy{Admission: true, Exceptions: []policy.Exception{{Decision: policy.Admission, Queue: "open"}}}
	h.admission.policy = func() *policy.Policy { return exempt }
	assert.Equal(t, sendCall(h, http.MethodPost, "/open/0123456789abcdef").Code, http.StatusOK)
}

// Guards against an untrue refusal: the table doesn't answer the write that would make it true. The
// job is submitted as without admission.
func TestRefusalThatCannotBeStoredIsNotGiven(t *testing.T) {
	table, h := newGatedHandler(t)
	h.view.config.Queues[1].Timeout = 700 * time.Millisecond
	table.late.Store(true)
	w := sendCall(h, http.MethodPost, "/open/0123456789abcdef")
	assert.Equal(t, w.Code, http.StatusGatewayTimeout)
}

// Guards against twice the load on a slow table: refusals that can't be stored in time are sent, and
// then the submissions.
func TestNoRefusalIsSentToSlowTable(t *testing.T) {
	_, s := newLateTable(t)
	_, before := stored(t, s)
	s.latency.observe(4*refusalStoreTimeout, false)
	refused, err := s.refuse(t.Context(), bootNow().Add(time.Second), testJob().ID, 0)
	assert.Assert(t, !refused && errors.Is(err, errNotStored), "%v", err)
	_, after := stored(t, s)
	assert.Equal(t, after, before)
}

// Guards against denying a job for no reason: a probe finds a partition available again and the job
// refused before. Its refusal isn't renewed by a probe, so the job is stored.
func TestProbeStoresJobThatWasRefused(t *testing.T) {
	_, h := newGatedHandler(t)
	assert.Equal(t, sendCall(h, http.MethodPost, "/open/0123456789abcdef").Code, http.StatusTooManyRequests)
	_, version := stored(t, h.jobs)
	h.admission.sawVersion(version)
	h.health = healthWithLastAnswer(time.Second)
	h.jobs.health = h.health
	assert.Equal(t, sendCall(h, http.MethodPost, "/open/0123456789abcdef").Code, http.StatusOK)
}

// Guards against denying callers that return as told while the owner's rows can't be polled: the
// entry VM doesn't know how new their refusals are. It learns it from the answer about the job.
func TestCallerReturnsWithoutPolls(t *testing.T) {
	_, h := newGatedHandler(t)
	_, err := newJobStore(h.jobs.table).refuse(t.Context(), bootNow().Add(time.Second), testJob().ID, 0)
	assert.NilError(t, err)
	h.admission.controller.Update(bootNow(), admission.Forecast{}, "")
	assert.Equal(t, sendCall(h, http.MethodPost, "/open/0123456789abcdef").Code, http.StatusTooManyRequests)
	assert.Equal(t, sendCall(h, http.MethodPost, "/open/0123456789abcdef").Code, http.StatusOK)
}

// Guards against refusals by a forecast from before the table became unreachable.
func TestNothingIsRefusedWhileTheTableIsDark(t *testing.T) {
	_, h := newGatedHandler(t)
	h.admission.controller.Update(bootNow(), admission.Forecast{}, "")
	assert.Equal(t, sendCall(h, http.MethodPost, "/open/0123456789abcdef").Code, http.StatusOK)
}

// Checks that a poll of the owner's rows reads the forecast.
func TestPollReadsForecast(t *testing.T) {
	table, s := newLateTable(t)
	want := admission.Forecast{RunID: "o", Sequence: 3, Pools: []admission.Pool{{Name: "p", Cores: 7}}}
	for key, v := range map[platform.RowKey]any{ownerKey: ownerRow{RunID: "o"}, forecastKey: want, renewalKey: renewalRow{}} {
		value, err := encodeRow(v)
		assert.NilError(t, err)
		table.Put(key, value)
	}
	var got ownerRows
	e := &election{table: s.table, health: s.health, log: zerolog.Nop(), onPoll: func(_ time.Time, r ownerRows) { got = r }}
	_, _, err := e.readOwnerRows(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, got.forecast, want)
	assert.Assert(t, got.tableVersion >= got.renewalVersion && got.renewalVersion > 0)
}
