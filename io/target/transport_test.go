package target

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lavenderpond/core"
	"lavenderpond/core/home"
	"lavenderpond/io/supervisor"
)

// wholeTarget serves h and counts the connections that were made.
func wholeTarget(t *testing.T, h http.Handler) (*httptest.Server, *atomic.Int64) {
	t.Helper()
	var made atomic.Int64
	srv := httptest.NewUnstartedServer(h)
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			made.Add(1)
		}
	}
	srv.Start()
	t.Cleanup(srv.Close)
	return srv, &made
}

func startAt(c *Client, srv *httptest.Server, body string) home.End {
	deadline := time.Now().Add(time.Minute)
	return c.Start(context.Background(), strings.TrimPrefix(srv.URL, "http://"), home.Dispatch{
		Request: core.Request{Key: key, Body: []byte(body)}, Number: 2, StartBy: deadline, LeaseUntil: deadline,
	})
}

// TestConnectionsAreUsedAgain: a target answers well many times. All answers come
// over one connection; after an answer that was cut there is a new one.
func TestConnectionsAreUsedAgain(t *testing.T) {
	answer := whole
	srv, made := wholeTarget(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { answer.ServeHTTP(w, r) }))
	c := NewClient(2, 1000)
	for range 10 {
		assert.DeepEqual(t, startAt(c, srv, "frames"), home.End(home.Answered{Body: []byte("plate")}))
	}
	assert.Equal(t, made.Load(), int64(1))
	answer.body, answer.cutAfterHeader = "pl", true
	assert.DeepEqual(t, startAt(c, srv, "frames"), home.End(home.Damaged{}))
	answer = whole
	assert.DeepEqual(t, startAt(c, srv, "frames"), home.End(home.Answered{Body: []byte("plate")}))
	assert.Equal(t, made.Load(), int64(2))
}

// TestTargetClosedIdleConnections: the target answers, then closes its connections,
// as at a restart. The next start would be written into a closed connection, its
// outcome be unknown, and it could not be sent again. The client looks first and
// makes a new one; with that look off the start is lost.
func TestTargetClosedIdleConnections(t *testing.T) {
	for _, off := range []bool{false, true} {
		srv, _ := wholeTarget(t, whole)
		c := NewClient(2, 1000)
		tr := c.HTTP.Transport.(*transport)
		tr.off.quiet = off
		assert.DeepEqual(t, startAt(c, srv, "frames"), home.End(home.Answered{Body: []byte("plate")}))
		idle := tr.hosts[strings.TrimPrefix(srv.URL, "http://")].idle
		assert.Equal(t, len(idle), 1)
		srv.CloseClientConnections()
		// The close has arrived once a read ends; the bytes that end it are none.
		_, err := idle[0].r.Peek(1)
		assert.ErrorIs(t, err, io.EOF)
		want := home.End(home.Answered{Body: []byte("plate")})
		if off {
			want = home.Lost{}
		}
		assert.DeepEqual(t, startAt(c, srv, "frames"), want)
	}
}

// TestNeverSentTwice: a target answers with a redirection to itself, or breaks the
// connection. The client must not follow or try again, with a body or without:
// the task might run twice.
func TestNeverSentTwice(t *testing.T) {
	for _, body := range []string{"", "frames"} {
		for _, status := range []int{http.StatusTemporaryRedirect, 0} {
			var got atomic.Int64
			srv, _ := wholeTarget(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				got.Add(1)
				if status == 0 {
					panic(http.ErrAbortHandler)
				}
				http.Redirect(w, r, r.URL.Path, status)
			}))
			_ = startAt(NewClient(2, 1000), srv, body)
			assert.Equal(t, got.Load(), int64(1), "body %q, status %d", body, status)
		}
	}
}

// TestEarlyRefusal: a target refuses a task of some megabytes without reading it and
// closes. The refusal arrives all the same: the task did not start.
func TestEarlyRefusal(t *testing.T) {
	srv, _ := wholeTarget(t, reply{status: 503, notStarted: ReasonFull})
	end := startAt(NewClient(2, 1000), srv, strings.Repeat("x", 8<<20))
	assert.DeepEqual(t, end, home.End(home.NotStarted{Reason: home.Full}))
}

// TestBoundOnConnections: more tasks are under way than connections may be open. The
// others wait for one, and one that is given up gives its place back.
func TestBoundOnConnections(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	srv, made := wholeTarget(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-release
		whole.ServeHTTP(w, r)
	}))
	tr := &transport{connections: 1}
	ctx, giveUp := context.WithCancel(t.Context())
	failed := make(chan error, 2)
	ask := func(ctx context.Context) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL, bytes.NewReader(nil))
		assert.Check(t, err)
		resp, err := tr.RoundTrip(req)
		if err == nil {
			err = resp.Body.Close()
		}
		failed <- err
	}
	var g supervisor.Group
	g.Go(func() { ask(ctx) })
	<-entered
	waits, stopWaiting := context.WithCancel(t.Context())
	stopWaiting()
	ask(waits)
	// Not the dialer's error: it gave up waiting for a place.
	assert.Equal(t, <-failed, context.Canceled)
	giveUp()
	assert.Assert(t, <-failed != nil)
	release <- struct{}{}
	g.Go(func() { ask(t.Context()) })
	<-entered
	release <- struct{}{}
	assert.NilError(t, <-failed)
	g.Wait()
	assert.Equal(t, made.Load(), int64(2))
	assert.Equal(t, tr.hosts[strings.TrimPrefix(srv.URL, "http://")].users, 0)
}

// TestUnusedConnectionsAreClosed: VMs are replaced. What is kept of one goes when its
// connections were unused for long enough, and not before.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	srv, _ := wholeTarget(t, whole)
	c := NewClient(2, 1000)
	tr := c.HTTP.Transport.(*transport)
	startAt(c, srv, "frames")
	tr.closeUnused()
	assert.Equal(t, len(tr.hosts), 1)
	for _, h := range tr.hosts {
		h.idle[0].idleUntil = time.Time{}
	}
	tr.closeUnused()
	assert.Equal(t, len(tr.hosts), 0)
}
