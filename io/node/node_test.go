package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lavenderpond/core/contact"
	"lavenderpond/core/job"
	"lavenderpond/core/schedule"
	"lavenderpond/platform"
)

// fakeTable answers requests with the given answers in turn, and repeats the last one.
type fakeTable struct {
	// read, if set, answers all reads. answers and requests are then those of transactions.
	read func(w http.ResponseWriter)

	mu       sync.Mutex
	answers  []func(w http.ResponseWriter)
	requests []platform.Transaction
}

func (f *fakeTable) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.read != nil && r.Method == http.MethodGet {
		f.read(w)
		return
	}
	var tx platform.Transaction
	_ = json.NewDecoder(r.Body).Decode(&tx)
	f.mu.Lock()
	f.requests = append(f.requests, tx)
	answer := f.answers[0]
	if len(f.answers) > 1 {
		f.answers = f.answers[1:]
	}
	f.mu.Unlock()
	answer(w)
}

func respondWith(code int, body string) func(w http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.WriteHeader(code)
		_, _ = io.WriteString(w, body)
	}
}

func dropAnswer(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func newFakeTable(t *testing.T, answers ...func(w http.ResponseWriter)) (*fakeTable, *platform.Table) {
	f := &fakeTable{answers: answers}
	return f, serveTable(t, f)
}

func newCommitter(table *platform.Table) *committer {
	return &committer{
		table: table, tenure: &tenure{runID: "me", fence: 10}, log: zerolog.Nop(), renewal: 10,
		backlog: func() map[job.QueueName]int { return nil }, recordLatency: func(time.Duration) {}, count: func(string) {}, health: &tableHealth{},
		onRefused: func(schedule.Command) {},
	}
}

// conflictAnswer is the table's answer to a failed condition, with the given version of
// the owner row and the given value of the renewal row.
func conflictAnswer(fence int, renewal string) string {
	value := func(s string) string { b, _ := json.Marshal([]byte(s)); return string(b) }
	return `{"rows":[{"table":"lavenderpond_owner","part":"main","key":"owner","value":"e30=","ver":` + jsonNumber(fence) + `},` +
		`{"table":"lavenderpond_owner","part":"main","key":"renewal","value":` + value(renewal) + `,"ver":21}]}`
}

func jsonNumber(n int) string { b, _ := json.Marshal(n); return string(b) }

// Guards against treating a lost answer as a failure. The transaction is applied, sent
// again, and then fails on its own effect. It must count as applied, because the row shows
// this batch.
func TestLostAnswerIsResolvedByConflict(t *testing.T) {
	_, table := newFakeTable(t, dropAnswer, respondWith(http.StatusPreconditionFailed, conflictAnswer(10, `{"life":"me","batch":1}`)))
	c := newCommitter(table)
	assert.NilError(t, c.store(t.Context(), nil))
	assert.Equal(t, c.renewal, platform.Version(21))
	assert.Assert(t, c.tenure.mayStartTasks(bootNow()))
}

// Guards against a former owner that continues. After another process has taken over, the
// former owner's writes fail regardless of its clock, and it must stop.
func TestFormerOwnerStops(t *testing.T) {
	for name, rows := range map[string]string{
		"other owner":   conflictAnswer(30, `{"life":"me","batch":1}`),
		"other renewal": conflictAnswer(10, `{"life":"other","batch":1}`),
		"other batch":   conflictAnswer(10, `{"life":"me","batch":7}`),
	} {
		_, table := newFakeTable(t, respondWith(http.StatusPreconditionFailed, rows))
		err := newCommitter(table).store(t.Context(), nil)
		assert.Assert(t, errors.Is(err, errOwnershipLost), "%s: %v", name, err)
	}
}

// Guards against a delayed transaction that undoes a later one. Each transaction requires
// the last renewal, so a transaction whose answer was lost and that reaches the table
// seconds later fails.
func TestEachTransactionExpectsTheLastRenewal(t *testing.T) {
	f, table := newFakeTable(t, respondWith(http.StatusOK, `{"ver":11}`), respondWith(http.StatusOK, `{"ver":12}`))
	c := newCommitter(table)
	save := func(n int64) []schedule.Command {
		return []schedule.Command{schedule.Save{Sequence: n, Job: "j", Progress: job.Progress{State: job.Running}}}
	}
	assert.NilError(t, c.store(t.Context(), save(1)))
	assert.NilError(t, c.store(t.Context(), save(2)))
	second := f.requests[1].Conditions
	assert.DeepEqual(t, second, []platform.Condition{
		{RowKey: ownerKey, Version: 10}, {RowKey: renewalKey, Version: 11},
	})
}

// Checks that of two saves of a job only the later one is written, because a transaction
// may name a row only once.
func TestLaterSaveReplacesEarlier(t *testing.T) {
	saves := []schedule.Command{
		schedule.Save{Sequence: 1, Job: "j", Progress: job.Progress{State: job.Running}},
		schedule.Save{Sequence: 2, Job: "j", Progress: job.Progress{State: job.Completed}},
	}
	kept := latestChanges(saves, &tableClock{})
	assert.Equal(t, len(kept), 1)
	assert.Equal(t, kept[0].value.(progressRow).State, job.Completed)
}

// newJobStore returns a store whose table has just answered.
func newJobStore(table *platform.Table) *jobStore {
	return &jobStore{table: table, recordLatency: func(time.Duration) {}, health: healthWithLastAnswer(0)}
}

// healthWithLastAnswer returns the health of a table that last answered d ago.
func healthWithLastAnswer(d time.Duration) *tableHealth {
	var health tableHealth
	health.breaker.RecordContact(bootNow().Add(-d))
	return &health
}

func testJob() job.Job { return job.Job{ID: "0123456789abcdef"} }

// Guards against telling a caller that a submission never runs when it may be stored
// later. The table doesn't answer the first attempt and refuses the later ones.
func TestUnansweredSubmissionHasUnknownOutcome(t *testing.T) {
	_, table := newFakeTable(t, dropAnswer, respondWith(http.StatusServiceUnavailable, ""))
	s := newJobStore(table)
	err := s.submit(t.Context(), bootNow().Add(700*time.Millisecond), testJob(), contact.Call)
	assert.Assert(t, errors.Is(err, errOutcomeUnknown), "%v", err)
}

// Guards against denying a submission late. A table that refuses from the beginning has
// stored nothing, so the caller may go elsewhere long before its timeout.
func TestSubmissionToRefusingTableIsDeniedSoon(t *testing.T) {
	_, table := newFakeTable(t, respondWith(http.StatusServiceUnavailable, ""))
	s := newJobStore(table)
	started := bootNow()
	err := s.submit(t.Context(), started.Add(3*time.Second), testJob(), contact.Call)
	assert.Assert(t, errors.Is(err, errNotStored), "%v", err)
	assert.Assert(t, bootNow().Sub(started) < time.Second)
}

// Checks that a submission that arrives again, at another entry VM, counts as the same
// job.
func TestSecondSubmissionIsAccepted(t *testing.T) {
	_, table := newFakeTable(t, respondWith(http.StatusPreconditionFailed, `{"rows":[]}`))
	s := newJobStore(table)
	assert.NilError(t, s.submit(t.Context(), bootNow().Add(time.Second), testJob(), contact.Call))
}

func newCallerHandler(health *tableHealth) *callerHandler {
	config := &job.Configuration{
		Version: 1,
		Queues:  []job.Queue{{Name: "q", Host: "h.example", Prefix: "/q/"}, {Name: "open", Host: "h.example", Prefix: "/open/", Public: true}},
	}
	config.Index()
	return &callerHandler{
		view: &operatorView{config: config}, health: health, log: zerolog.Nop(),
		count: func(string) {}, recordDuration: func(string, time.Duration) {},
	}
}

func sendCall(h *callerHandler, method, path string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(`{"spec":"x","steps":[{"count":1,"cpu":100}]}`))
	r.Host = "h.example"
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Guards against sending submissions to a table that has stopped answering. Their outcome
// would be unknown, whereas a caller that is denied immediately goes to another entry VM.
// Only occasional probes check whether the table is available again.
func TestNoSubmissionIsSentToSilentTable(t *testing.T) {
	f, table := newFakeTable(t, dropAnswer)
	handler := newCallerHandler(healthWithLastAnswer(time.Second))
	handler.jobs = newJobStore(table)
	handler.jobs.health = handler.health
	for range 5 {
		w := sendCall(handler, http.MethodPost, "/open/0123456789abcdef")
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		assert.Equal(t, w.Header().Get("Retry-After"), "1")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(t, len(f.requests), 1, "only one lookup is sent")
	assert.Equal(t, len(f.requests[0].Writes), 0)
}

// Checks that a job is stored while the partition with the owner's rows is unreachable and
// the partition with the job isn't.
func TestJobIsStoredWhileOwnerPartitionIsUnreachable(t *testing.T) {
	_, table := newFakeTable(t, respondWith(http.StatusOK, `{"ver":1}`))
	handler := newCallerHandler(healthWithLastAnswer(0))
	handler.jobs = newJobStore(table)
	handler.jobs.health = handler.health
	handler.health.recordFailure(mainPartition)
	w := sendCall(handler, http.MethodPost, "/open/0123456789abcdef")
	assert.Equal(t, w.Code, http.StatusOK)
	w = sendCall(handler, http.MethodGet, "/open/")
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
}

// Guards against a caller that keeps its connection to a process whose zone is cut off,
// and is denied at each retry. It is told to reconnect. Callers that are denied because of
// what they sent keep their connections.
func TestCallerDeniedWithoutTableReconnects(t *testing.T) {
	health := healthWithLastAnswer(time.Second)
	assert.Equal(t, health.decide(jobPartition("0123456789abcdef")), contact.Probe)
	handler := newCallerHandler(health)
	w := sendCall(handler, http.MethodPost, "/open/0123456789abcdef")
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get("Connection"), "close")
	assert.Equal(t, sendCall(handler, http.MethodGet, "/none/x").Header().Get("Connection"), "")
}

func TestUnknownRoutesAndKeys(t *testing.T) {
	handler := newCallerHandler(healthWithLastAnswer(0))
	assert.Equal(t, sendCall(handler, http.MethodGet, "/none/x").Code, http.StatusNotFound)
	assert.Equal(t, sendCall(handler, http.MethodGet, "/q/0123456789abcdef").Code, http.StatusUnauthorized)
	assert.Equal(t, sendCall(handler, http.MethodGet, "/open/short").Code, http.StatusBadRequest)
}

// Checks that lines beyond the limit are omitted and that the next line of the kind says
// how many.
func TestOmittedLogLinesAreCounted(t *testing.T) {
	l := &decisionLog{log: zerolog.Nop(), count: func(string) {}, recordDuration: func(string, time.Duration) {}}
	dropped := 0
	for range maxLinesPerSecond + 10 {
		if _, ok := l.admit(schedule.TaskStarted); !ok {
			dropped++
		}
	}
	assert.Assert(t, dropped > 0)
	l.second--
	omitted, ok := l.admit(schedule.TaskStarted)
	assert.Assert(t, ok && omitted == dropped, "%d of %d", omitted, dropped)
}

// Guards against showing an empty backlog while a new owner, which renews its ownership
// before it has read the jobs, hasn't counted yet.
func TestBacklogIsNotShownBeforeItIsCounted(t *testing.T) {
	for renewal, want := range map[string]int{
		`{"life":"new","batch":1}`:                                     http.StatusServiceUnavailable,
		`{"life":"new","batch":2,"counted":true,"backlog":{"open":6}}`: http.StatusOK,
	} {
		value, err := json.Marshal([]byte(renewal))
		assert.NilError(t, err)
		_, table := newFakeTable(t, respondWith(http.StatusOK,
			`{"rows":[{"table":"lavenderpond_owner","part":"main","key":"renewal","value":`+string(value)+`,"ver":9}],"ver":9}`))
		handler := newCallerHandler(healthWithLastAnswer(0))
		handler.jobs = newJobStore(table)
		w := sendCall(handler, http.MethodGet, "/open/")
		assert.Equal(t, w.Code, want, renewal)
		if want == http.StatusOK {
			assert.Equal(t, w.Body.String(), `{"backlog":6}`)
		}
	}
}

// Checks that the renewal row shows whether the owner has counted the backlog.
func TestRenewalShowsWhetherBacklogIsCounted(t *testing.T) {
	c := newCommitter(nil)
	tx, err := c.transaction(nil)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(tx.Writes[0].Value), "counted"))
	c.backlog = func() map[job.QueueName]int { return map[job.QueueName]int{} }
	tx, err = c.transaction(nil)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(tx.Writes[0].Value), `"counted":true`))
}

// Guards against reporting an unknown outcome, after which a caller can't retry, for a
// call that arrives shortly before the caller's timeout. Nothing was sent, so the caller
// is told that nothing was stored.
func TestCallWithExpiredDeadlineIsDenied(t *testing.T) {
	f, table := newFakeTable(t, respondWith(http.StatusOK, `{"ver":1}`))
	s := newJobStore(table)
	err := s.submit(t.Context(), bootNow().Add(-time.Millisecond), testJob(), contact.Call)
	assert.Assert(t, errors.Is(err, errNotStored), "%v", err)
	assert.Equal(t, len(f.requests), 0)
}

// Guards against abandoning calls to a slow table too early. The table takes 400 ms for an
// answer. A submission that is abandoned after 300 ms and sent again repeatedly fills its
// partition of the table and slows it down further. Once the table is known to be slow,
// one call waits long enough.
func TestCallWaitsForSlowTable(t *testing.T) {
	e := &latencyEstimator{}
	assert.Equal(t, e.timeout(minCallTimeout), minCallTimeout)
	e.observe(minCallTimeout, false)
	e.observe(400*time.Millisecond, true)
	assert.Assert(t, e.timeout(minCallTimeout) > 500*time.Millisecond, "%v", e.timeout(minCallTimeout))
	for range 50 {
		e.observe(4*time.Millisecond, true)
	}
	assert.Equal(t, e.timeout(minCallTimeout), minCallTimeout)
}

// Guards against writing into a network partition. A zone is cut off just before a caller
// submits a job there, and the entry VM hasn't noticed yet. It looks the job up before it
// writes, gets no answer and denies the call. Nothing of the job is in flight, and the
// caller may go elsewhere.
func TestSubmissionIntoNetworkPartitionIsDenied(t *testing.T) {
	f, table := newFakeTable(t, dropAnswer)
	s := newJobStore(table)
	s.health = healthWithLastAnswer(300 * time.Millisecond)
	err := s.submit(t.Context(), bootNow().Add(3*time.Second), testJob(), contact.Call)
	assert.Assert(t, errors.Is(err, errNotStored), "%v", err)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, tx := range f.requests {
		assert.Equal(t, len(tx.Writes), 0)
	}
}

// Checks that a job found by the lookup is accepted: it is the caller's second attempt.
func TestResubmittedJobIsFoundByLookup(t *testing.T) {
	f, table := newFakeTable(t, respondWith(http.StatusOK, `{"rows":[{"key":"0123456789abcdef/job","value":"e30=","ver":3}],"ver":9}`))
	s := newJobStore(table)
	s.health = healthWithLastAnswer(300 * time.Millisecond)
	assert.NilError(t, s.submit(t.Context(), bootNow().Add(3*time.Second), testJob(), contact.Call))
	assert.Equal(t, len(f.requests), 1)
}

// Guards against denying a job of 3,000 steps, which is within the limit of the body but
// four times as large as a row. It is stored compressed, and the owner reads it
// completely.
func TestLargeJobIsStoredWhole(t *testing.T) {
	f, table := newFakeTable(t, respondWith(http.StatusOK, `{"ver":1}`))
	f.read = respondWith(http.StatusOK, `{"ver":1}`)
	s := newJobStore(table)
	s.rowBytes = rowBytes
	j := testJob()
	for range 3000 {
		j.Body.Steps = append(j.Body.Steps, job.Step{Count: 4, Resources: job.Resources{CPU: 1500, MemMB: 512}, Estimate: time.Second})
	}
	assert.NilError(t, s.submit(t.Context(), bootNow().Add(time.Second), j, contact.Call))
	stored := f.requests[0].Writes[0].Value
	assert.Assert(t, len(stored) < rowBytes)
	back, err := decodeRow[job.Job](&platform.Row{Value: stored})
	assert.NilError(t, err)
	assert.DeepEqual(t, back, j)
}

// Guards against retrying a job that doesn't fit into a row, and then reporting an unknown
// outcome. It is denied immediately with the reason.
func TestTooLargeJobIsDenied(t *testing.T) {
	f, table := newFakeTable(t, respondWith(http.StatusOK, `{"ver":1}`))
	s := newJobStore(table)
	s.rowBytes = 10
	err := s.submit(t.Context(), bootNow().Add(time.Second), testJob(), contact.Call)
	assert.Assert(t, errors.Is(err, errTooLarge), "%v", err)
	assert.Equal(t, len(f.requests), 0)
}

// Guards against an unknown outcome for a submission that the table refuses for good, since it certainly isn't stored.
func TestSubmissionRefusedForGoodIsNotStored(t *testing.T) {
	f, table := newFakeTable(t, respondWith(http.StatusBadRequest, ""))
	err := newJobStore(table).submit(t.Context(), bootNow().Add(3*time.Second), testJob(), contact.Call)
	assert.Assert(t, errors.Is(err, errNotStored), "%v", err)
	assert.Equal(t, len(f.requests), 1)

	_, table = newFakeTable(t, dropAnswer, respondWith(http.StatusBadRequest, ""))
	err = newJobStore(table).submit(t.Context(), bootNow().Add(3*time.Second), testJob(), contact.Call)
	assert.Assert(t, errors.Is(err, errOutcomeUnknown), "an earlier attempt got no answer: %v", err)
}
