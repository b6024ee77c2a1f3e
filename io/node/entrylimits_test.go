package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lavenderpond/core/intake"
	"lavenderpond/core/policy"
)

// limitedEntry is a server of callers that takes in one call at a time.
type limitedEntry struct {
	t       *testing.T
	limits  *entryLimits
	address string
	policy  policy.Policy
	// closed receives a value when a connection is over, and its call with it.
	closed chan struct{}
}

func newLimitedEntry(t *testing.T) *limitedEntry {
	e := &limitedEntry{t: t, policy: policy.Policy{EntryLimits: true}, closed: make(chan struct{}, 10)}
	e.limits = &entryLimits{
		policy: func() *policy.Policy { return &e.policy }, log: zerolog.Nop(), count: func(string) {},
		limiter: intake.Limiter{Limits: intake.Amount{intake.Calls: 1}}, refused: map[intake.Resource]int64{},
	}
	h := newCallerHandler(healthWithLastAnswer(0))
	h.limits = e.limits
	_, table := newFakeTable(t, respondWith(200, `{"ver":5,"rows":[]}`))
	h.jobs = newJobStore(table)
	h.jobs.health = h.health
	s := httptest.NewUnstartedServer(h)
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			e.closed <- struct{}{}
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	e.address = s.Listener.Addr().String()
	return e
}

// send opens a connection and sends the head of a submission, and the beginning of its body.
func (e *limitedEntry) send(patienceMS int, body string) net.Conn {
	e.t.Helper()
	c, err := net.Dial("tcp4", e.address)
	assert.NilError(e.t, err)
	_, err = fmt.Fprintf(c, "POST /open/0123456789abcdef HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: %d\r\nContent-Length: 5000\r\n\r\n%s", patienceMS, body)
	assert.NilError(e.t, err)
	return c
}

// answer is what a caller sees of a response.
type answer struct {
	status     int
	retryAfter string
	closes     bool
}

func (e *limitedEntry) answer(c net.Conn) answer {
	e.t.Helper()
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(e.t, err)
	_, err = io.Copy(io.Discard, r.Body)
	assert.NilError(e.t, err)
	assert.NilError(e.t, r.Body.Close())
	return answer{r.StatusCode, r.Header.Get("Retry-After"), r.Close}
}

// Guards against refusals that cost what they are to save: the caller is refused before it has
// sent any of its body, and told to come back over a new connection.
func TestCallBeyondLimitIsRefusedBeforeItsBody(t *testing.T) {
	e := newLimitedEntry(t)
	release, refusal := e.limits.admit("other", httptest.NewRequest("GET", "/", nil), 0)
	assert.Assert(t, refusal == nil)
	c := e.send(3000, "")
	assert.Equal(t, e.answer(c), answer{http.StatusServiceUnavailable, "1", true})
	assert.NilError(t, c.Close())
	release()
	assert.Equal(t, e.limits.inUse(), intake.Amount{})
	assert.DeepEqual(t, e.limits.dump().Resources[0], resourceDump{Resource: "calls", Limit: 1, Refused: 1})
}

// Guards against a caller that sends its body slowly and keeps others out: its call ends, truly
// not run, when its time is over.
func TestSlowBodyFreesItsPlace(t *testing.T) {
	e := newLimitedEntry(t)
	c := e.send(300, `{"spec":`)
	assert.Equal(t, e.answer(c).status, http.StatusServiceUnavailable)
	assert.Equal(t, e.limits.inUse(), intake.Amount{})
	assert.NilError(t, c.Close())
}

// Guards against a caller that disconnects amid its body and keeps others out.
func TestDisconnectFreesItsPlace(t *testing.T) {
	e := newLimitedEntry(t)
	assert.NilError(t, e.send(60_000, `{"spec":`).Close())
	<-e.closed
	assert.Equal(t, e.limits.inUse(), intake.Amount{})
}

// Guards against limits that apply though the policy doesn't call for them, and against calls
// that are never released if it changes meanwhile.
func TestLimitsFollowPolicy(t *testing.T) {
	e := newLimitedEntry(t)
	call := func() (func(), *intake.Refuse) { return e.limits.admit("a", httptest.NewRequest("GET", "/", nil), 0) }
	release, _ := call()
	_, refusal := call()
	assert.Assert(t, refusal != nil && refusal.Cause == intake.Full)
	e.policy.EntryLimits = false
	_, refusal = call()
	assert.Assert(t, refusal == nil)
	release()
	assert.Equal(t, e.limits.inUse(), intake.Amount{})
}
