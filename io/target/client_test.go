package target

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/home"
)

var (
	key      = core.RequestKey{Team: "lyra", ID: "frame-1"}
	baseTime = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
)

// fakeTarget is a target that answers each request in the way that its fields describe.
type fakeTarget struct {
	status                        int
	task, attempt                 string
	length                        string
	body                          string
	notStarted, state             string
	dropConnection, dropAfterBody bool
}

func (f fakeTarget) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if f.dropConnection {
		panic(http.ErrAbortHandler)
	}
	for name, value := range map[string]string{
		HeaderTask: f.task, HeaderAttempt: f.attempt, HeaderLength: f.length, HeaderNotStarted: f.notStarted, HeaderState: f.state,
	} {
		if value != "" {
			w.Header().Set(name, value)
		}
	}
	w.WriteHeader(f.status)
	_, _ = w.Write([]byte(f.body))
	if f.dropAfterBody {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func startTask(t *testing.T, c *Client, h http.Handler, now time.Time) home.End {
	t.Helper()
	srv := httptest.NewServer(h)
	defer srv.Close()
	c.Now = func() time.Time { return now }
	c.MaxAnswer = 1000
	c.HTTP = srv.Client()
	return c.Start(t.Context(), strings.TrimPrefix(srv.URL, "http://"), home.Dispatch{
		Request: core.Request{Key: key, Body: []byte("frames")}, DispatchNumber: 2,
		StartBy: baseTime.Add(time.Second), LeaseUntil: time.Now().Add(time.Minute),
	})
}

var completeReply = fakeTarget{status: 200, task: "lyra/frame-1", attempt: "2", length: "5", body: "plate"}

// TestStartResults checks the result of Start for each kind of response. Start accepts
// only a complete answer of this task and this dispatch. It returns NotStarted only if the
// target says so. After any other response it is open whether the task ran.
func TestStartResults(t *testing.T) {
	modified := func(f func(*fakeTarget)) fakeTarget {
		r := completeReply
		f(&r)
		return r
	}
	cases := []struct {
		name string
		h    fakeTarget
		want home.End
	}{
		{"complete", completeReply, home.Answered{Body: []byte("plate")}},
		{"other task", modified(func(r *fakeTarget) { r.task = "vega/frame-1" }), home.Damaged{}},
		{"other dispatch", modified(func(r *fakeTarget) { r.attempt = "1" }), home.Damaged{}},
		{"truncated", modified(func(r *fakeTarget) { r.body = "pla" }), home.Damaged{}},
		{"too long", modified(func(r *fakeTarget) { r.body = "plate plate" }), home.Damaged{}},
		{"no length", modified(func(r *fakeTarget) { r.length = "" }), home.Damaged{}},
		{"connection dropped", modified(func(r *fakeTarget) { r.body, r.dropAfterBody = "pl", true }), home.Damaged{}},
		{"no response", fakeTarget{dropConnection: true}, home.Lost{}},
		{"failed", fakeTarget{status: 500}, home.Failed{}},
		{"stopped", fakeTarget{status: 200, state: StateStopped}, home.Stopped{}},
		{"full", fakeTarget{status: 503, notStarted: ReasonFull}, home.NotStarted{Reason: home.Full}},
		{"leaving", fakeTarget{status: 503, notStarted: ReasonLeaving}, home.NotStarted{Reason: home.Leaving}},
		{"late", fakeTarget{status: 503, notStarted: ReasonLate}, home.NotStarted{Reason: home.Late}},
		{"unknown reason", fakeTarget{status: 503, notStarted: "tired"}, home.Lost{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.DeepEqual(t, startTask(t, &Client{}, c.h, baseTime), c.want) })
	}
}

// TestStartWithoutChecks shows that the checks of answers are needed. With a check
// disabled, Start accepts a misdirected or a truncated answer.
func TestStartWithoutChecks(t *testing.T) {
	misdirected, truncated := completeReply, completeReply
	misdirected.task, truncated.body = "vega/frame-1", "pla"
	c := &Client{}
	c.disabled.taskCheck = true
	assert.DeepEqual(t, startTask(t, c, misdirected, baseTime), home.End(home.Answered{Body: []byte("plate")}))
	c = &Client{}
	c.disabled.lengthCheck = true
	assert.DeepEqual(t, startTask(t, c, truncated, baseTime), home.End(home.Answered{Body: []byte("pla")}))
}

// TestStartAfterPauseSendsNothing checks a process that is paused after it decided to
// start a task and resumes when its shard lease has expired. Start reads the clock right
// before the write and sends nothing. With that check disabled, the target gets the
// request.
func TestStartAfterPauseSendsNothing(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		requests := 0
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests++
			completeReply.ServeHTTP(w, r)
		})
		c := &Client{}
		c.disabled.startByCheck = disabled
		end := startTask(t, c, h, baseTime.Add(3*time.Second))
		if disabled {
			assert.Equal(t, requests, 1)
			continue
		}
		assert.Equal(t, requests, 0)
		assert.DeepEqual(t, end, home.End(home.NotStarted{Reason: home.Late}))
	}
}

// TestConnectionRefused checks that Start returns NotStarted if it can't connect, since
// that proves that nothing started.
func TestConnectionRefused(t *testing.T) {
	srv := httptest.NewServer(completeReply)
	address := strings.TrimPrefix(srv.URL, "http://")
	srv.Close()
	c := NewClient(1, 1000)
	deadline := time.Now().Add(time.Minute)
	end := c.Start(t.Context(), address, home.Dispatch{Request: core.Request{Key: key}, DispatchNumber: 1, StartBy: deadline, LeaseUntil: deadline})
	assert.DeepEqual(t, end, home.End(home.NotStarted{Reason: home.Unreachable}))
	assert.DeepEqual(t, c.Ask(t.Context(), address, key), home.Finding(home.FoundNoAnswer{}))
}

// FuzzAnswer gives the client answers with arbitrary headers and bodies. It must accept
// an answer only if it is complete and belongs to this task and this dispatch.
func FuzzAnswer(f *testing.F) {
	f.Add("lyra/frame-1", "2", "5", "plate", "")
	f.Add("vega/frame-1", "2", "5", "plate", "")
	f.Add("lyra/frame-1", "2", "-1", "", "full")
	f.Add("lyra/frame-1", "02", "5e0", "plate", "late\x00")
	c := &Client{MaxAnswer: 1000}
	f.Fuzz(func(t *testing.T, task, attempt, length, body, notStarted string) {
		h := http.Header{}
		h.Set(HeaderTask, task)
		h.Set(HeaderAttempt, attempt)
		h.Set(HeaderLength, length)
		h.Set(HeaderNotStarted, notStarted)
		resp := &http.Response{StatusCode: 200, Header: h, Body: newBody(body)}
		end := c.readEnd(resp, home.Dispatch{Request: core.Request{Key: key}, DispatchNumber: 2})
		if a, ok := end.(home.Answered); ok {
			matches := task == key.String() && attempt == "2" && string(a.Body) == body && notStarted == ""
			assert.Assert(t, matches && fmt.Sprint(len(body)) == strings.TrimLeft(strings.TrimPrefix(length, "+"), "0") || body == "", "%q %q %q %q", task, attempt, length, body)
		}
	})
}

type stringBody struct{ *strings.Reader }

func (stringBody) Close() error { return nil }

func newBody(s string) stringBody { return stringBody{strings.NewReader(s)} }

// TestStartNeverResends checks that the client neither follows a redirect nor retries
// after a broken connection, with or without a body. Otherwise the task might run twice.
func TestStartNeverResends(t *testing.T) {
	for _, body := range []string{"", "frames"} {
		for _, status := range []int{http.StatusTemporaryRedirect, 0} {
			var requests atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				if status == 0 {
					panic(http.ErrAbortHandler)
				}
				http.Redirect(w, r, r.URL.Path, status)
			}))
			_ = startTaskAt(NewClient(2, 1000), srv, body)
			assert.Equal(t, requests.Load(), int64(1), "body %q, status %d", body, status)
			srv.Close()
		}
	}
}

// TestEarlyRefusal checks that the client gets the refusal of a target that closes the
// connection without reading a body of some megabytes. The task did not start.
func TestEarlyRefusal(t *testing.T) {
	srv := httptest.NewServer(fakeTarget{status: 503, notStarted: ReasonFull})
	defer srv.Close()
	end := startTaskAt(NewClient(2, 1000), srv, strings.Repeat("x", 8<<20))
	assert.DeepEqual(t, end, home.End(home.NotStarted{Reason: home.Full}))
}

func startTaskAt(c *Client, srv *httptest.Server, body string) home.End {
	deadline := time.Now().Add(time.Minute)
	return c.Start(context.Background(), strings.TrimPrefix(srv.URL, "http://"), home.Dispatch{
		Request: core.Request{Key: key, Body: []byte(body)}, DispatchNumber: 2, StartBy: deadline, LeaseUntil: deadline,
	})
}

// TestAnswerBufferIsExact checks that the buffer of a short answer is no longer than the
// answer, because answers are kept until the deadlines of their requests.
func TestAnswerBufferIsExact(t *testing.T) {
	srv := httptest.NewServer(completeReply)
	defer srv.Close()
	end := startTaskAt(NewClient(2, 1000), srv, "frames")
	a, ok := end.(home.Answered)
	assert.Assert(t, ok, "%v", end)
	assert.Equal(t, cap(a.Body), len(a.Body))
}
