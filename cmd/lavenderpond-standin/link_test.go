package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"lavenderpond/io/link"
	"lavenderpond/io/platform"
	"lavenderpond/io/supervisor"
)

// testTimeout limits how long a test waits for progress. A test that passes doesn't
// depend on it.
const testTimeout = 20 * time.Second

// testLink is a link named "a.b" to a listener whose accepted connections are in
// accepted.
type testLink struct {
	t        *testing.T
	links    linkSet
	address  string
	accepted chan net.Conn
}

func newTestLink(t *testing.T) *testLink {
	backend, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	// The link has an IP address of its own, because it listens on the same port again
	// after a cut. On 127.0.0.1, the port could meanwhile be assigned to an outgoing
	// connection of another test.
	free, err := net.Listen("tcp", "127.0.0.77:0")
	assert.NilError(t, err)
	l := &testLink{t: t, address: free.Addr().String(), accepted: make(chan net.Conn, 10)}
	assert.NilError(t, free.Close())
	l.links, err = parseLinks([]string{"a.b=" + l.address + "=" + backend.Addr().String()})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var g supervisor.Group
	g.Go(func() { _ = l.links["a.b"].Serve(ctx, l.links["a.b"].Forwards[0]) })
	g.Go(func() {
		for conn, err := backend.Accept(); err == nil; conn, err = backend.Accept() {
			l.accepted <- conn
		}
	})
	t.Cleanup(func() {
		cancel()
		_ = backend.Close()
		g.Wait()
	})
	return l
}

func (l *testLink) setState(state link.State) {
	l.t.Helper()
	assert.NilError(l.t, l.links.apply(linkRequest{Links: []string{"a.*"}, State: state}))
}

// connect returns both ends of a new connection.
func (l *testLink) connect() (client, server net.Conn) {
	l.t.Helper()
	for until := time.Now().Add(testTimeout); ; {
		conn, err := net.Dial("tcp", l.address)
		if err == nil {
			client = conn
			break
		}
		assert.Assert(l.t, time.Now().Before(until), "%v", err)
		time.Sleep(time.Millisecond)
	}
	server = <-l.accepted
	deadline := time.Now().Add(testTimeout)
	assert.NilError(l.t, client.SetDeadline(deadline))
	assert.NilError(l.t, server.SetDeadline(deadline))
	l.t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return client, server
}

// awaitReceived waits until the link has received n bytes more than before.
func (l *testLink) awaitReceived(before, n int64) {
	l.t.Helper()
	for until := time.Now().Add(testTimeout); l.links["a.b"].BytesReceived() < before+n; time.Sleep(time.Millisecond) {
		assert.Assert(l.t, time.Now().Before(until), "the link receives no bytes")
	}
}

// transfer sends a line and returns the line that arrives.
func transfer(t *testing.T, from, to net.Conn, line string) string {
	t.Helper()
	_, err := io.WriteString(from, line+"\n")
	assert.NilError(t, err)
	got, err := bufio.NewReader(to).ReadString('\n')
	assert.NilError(t, err)
	return strings.TrimSpace(got)
}

// TestLinkRefuses checks the state Refused: open connections break, and the operating
// system refuses new ones as if nothing listened. After the link is opened again, it
// accepts connections.
func TestLinkRefuses(t *testing.T) {
	l := newTestLink(t)
	client, server := l.connect()
	assert.Equal(t, transfer(t, client, server, "ping"), "ping")
	assert.Equal(t, transfer(t, server, client, "pong"), "pong")
	l.setState(link.Refused)
	_, err := io.ReadAll(server)
	assert.Assert(t, err == nil || errors.Is(err, syscall.ECONNRESET), "%v", err)
	_, err = net.Dial("tcp", l.address)
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
	l.setState(link.Open)
	client, server = l.connect()
	assert.Equal(t, transfer(t, client, server, "again"), "again")
}

// TestLinkDiscards checks the state Silent: bytes that are sent meanwhile never arrive,
// and neither end sees an error until the link is opened again. Then the connection must
// break, because its stream has a gap and the peer would otherwise read half a message.
func TestLinkDiscards(t *testing.T) {
	l := newTestLink(t)
	client, server := l.connect()
	assert.Equal(t, transfer(t, client, server, "before"), "before")
	l.setState(link.Silent)
	received := l.links["a.b"].BytesReceived()
	_, err := io.WriteString(client, "during\n")
	assert.NilError(t, err)
	l.awaitReceived(received, int64(len("during\n")))
	l.setState(link.Open)
	_, _ = io.WriteString(client, "after\n")
	got, _ := io.ReadAll(server)
	assert.Equal(t, string(got), "")
	client, server = l.connect()
	assert.Equal(t, transfer(t, client, server, "again"), "again")
}

// TestLinkHolds checks the state Held, which simulates late answers: bytes that are sent
// meanwhile arrive after the link is opened again, in order and on the same connection.
func TestLinkHolds(t *testing.T) {
	l := newTestLink(t)
	client, server := l.connect()
	l.setState(link.Held)
	_, err := io.WriteString(client, "late ")
	assert.NilError(t, err)
	l.awaitReceived(0, int64(len("late ")))
	l.setState(link.Open)
	assert.Equal(t, transfer(t, client, server, "words"), "late words")
}

// TestLinkStopsWithContext checks that an open link stops immediately when its context ends.
// Otherwise it would listen again and again until its address was in use.
func TestLinkStopsWithContext(t *testing.T) {
	links, err := parseLinks([]string{"a.b=127.0.0.1:0=127.0.0.1:1"})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, links["a.b"].Serve(ctx, links["a.b"].Forwards[0]))
}

// TestLinkRequests checks that a request that matches no link or names no known state is
// rejected, as are malformed links and addresses that aren't on loopback. If such a
// request were accepted, the fleet would seem to survive a fault that never happened.
func TestLinkRequests(t *testing.T) {
	links, err := parseLinks([]string{"a.b=127.0.0.1:1=127.0.0.1:2", "a.b=127.0.0.1:3=127.0.0.1:4", "b.a=127.0.0.1:5=127.0.0.1:6"})
	assert.NilError(t, err)
	assert.Equal(t, len(links), 2)
	assert.Equal(t, links["a.b"].Forwards[1].Target, netip.MustParseAddrPort("127.0.0.1:4"))
	for body, want := range map[string]int{
		`{"links":["*.b"],"state":"silent"}`: http.StatusOK,
		`{"links":["c.*"],"state":"silent"}`: http.StatusBadRequest,
		`{"links":["*"],"state":"quiet"}`:    http.StatusBadRequest,
		`{`:                                  http.StatusBadRequest,
	} {
		w := httptest.NewRecorder()
		links.handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/links", strings.NewReader(body)))
		assert.Equal(t, w.Code, want, body)
	}
	assert.Equal(t, links["a.b"].State(), link.Silent)
	assert.Equal(t, links["b.a"].State(), link.Open)
	for _, bad := range []string{"a=127.0.0.1:1", "a=10.0.0.1:1=127.0.0.1:2", "a=127.0.0.1:1=here"} {
		_, err := parseLinks([]string{bad})
		assert.Assert(t, err != nil, bad)
	}
}

// TestAddressView checks that a zone for which an address is replaced reads the address
// of its link to the entry, and that other zones read the address that the entry stated.
func TestAddressView(t *testing.T) {
	v, err := parseView([]string{"zone_a=127.0.0.1:7103=127.0.0.1:7213"})
	assert.NilError(t, err)
	h := v.handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"peer":"127.0.0.1:7103"},{"peer":"127.0.0.1:7104"}`)
	}))
	for zone, want := range map[string]string{
		"zone_a": `{"peer":"127.0.0.1:7213"},{"peer":"127.0.0.1:7104"}`,
		"zone_b": `{"peer":"127.0.0.1:7103"},{"peer":"127.0.0.1:7104"}`,
	} {
		r := httptest.NewRequest(http.MethodGet, platform.PathRows+"?prefix=entry/", http.NoBody)
		r.Header.Set(platform.ZoneHeader, zone)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		assert.Equal(t, w.Body.String(), want)
	}
	_, err = parseView([]string{"zone_a=127.0.0.1:7103"})
	assert.Assert(t, err != nil)
}
