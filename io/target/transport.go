package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Sizes and times of connections to targets.
const (
	dialTimeout = time.Second
	// bufferSize holds the headers both ways and a small body, in bytes.
	bufferSize = 4 << 10
	// idleFor is how long an unused connection is kept: a VM has few.
	idleFor = time.Minute
)

// transport is a http.RoundTripper that writes and reads on its caller's goroutine.
// http.Transport hands each exchange to two goroutines of the connection and back,
// which cost a fifth of what an entry spends on a dispatch. It never sends a request
// twice.
type transport struct {
	// connections bounds the connections to one address; 0 means no bound.
	connections int

	// off switches the look before a reuse off, in tests only.
	off struct{ quiet bool }

	mu    sync.Mutex
	hosts map[string]*host
	sweep *time.Timer
}

// host is what a transport keeps for one address.
type host struct {
	// places has an element for each connection that is in use.
	places chan struct{}
	idle   []*conn
	// users counts the exchanges that wait for a connection or have one.
	users int
}

// conn is one connection, used by one exchange at a time.
type conn struct {
	net.Conn
	r *bufio.Reader
	w *bufio.Writer
	// idleUntil is when an unused connection is closed.
	idleUntil time.Time
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	h, err := t.enter(req.Context(), req.URL.Host)
	if err != nil {
		return nil, err
	}
	c, err := t.connection(req.Context(), h, req.URL.Host)
	if err != nil {
		t.leave(h)
		return nil, err
	}
	x := &exchange{transport: t, host: h, conn: c}
	resp, err := x.do(req)
	if err != nil {
		x.end(false)
		return nil, err
	}
	return resp, nil
}

// enter waits until a connection to address may be used.
func (t *transport) enter(ctx context.Context, address string) (*host, error) {
	h := t.use(address)
	if h.places == nil {
		return h, nil
	}
	select {
	case h.places <- struct{}{}:
		return h, nil
	case <-ctx.Done():
		t.unuse(h)
		return nil, ctx.Err()
	}
}

func (t *transport) leave(h *host) {
	if h.places != nil {
		<-h.places
	}
	t.unuse(h)
}

func (t *transport) use(address string) *host {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hosts[address]
	if h == nil {
		h = t.newHost(address)
	}
	h.users++
	return h
}

func (t *transport) unuse(h *host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h.users--
}

func (t *transport) newHost(address string) *host {
	h := &host{}
	if t.connections > 0 {
		h.places = make(chan struct{}, t.connections)
	}
	if t.hosts == nil {
		t.hosts = make(map[string]*host)
	}
	t.hosts[address] = h
	if t.sweep == nil {
		t.sweep = time.AfterFunc(idleFor, t.closeUnused)
	}
	return h
}

// connection returns an idle connection that the target has not closed, or a new one.
func (t *transport) connection(ctx context.Context, h *host, address string) (*conn, error) {
	for c := t.takeIdle(h); c != nil; c = t.takeIdle(h) {
		if isQuiet(c) || t.off.quiet {
			return c, nil
		}
		_ = c.Close()
	}
	d := net.Dialer{Timeout: dialTimeout}
	n, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: n, r: bufio.NewReaderSize(n, bufferSize), w: bufio.NewWriterSize(n, bufferSize)}, nil
}

// takeIdle returns the connection that was used last, or nil.
func (t *transport) takeIdle(h *host) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(h.idle)
	if n == 0 {
		return nil
	}
	c := h.idle[n-1]
	h.idle[n-1] = nil
	h.idle = h.idle[:n-1]
	return c
}

func (t *transport) putIdle(h *host, c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.idleUntil = time.Now().Add(idleFor)
	h.idle = append(h.idle, c)
}

// closeUnused closes what was idle for too long and forgets hosts without any, since
// VMs are replaced all the time. It comes back while a host is left.
func (t *transport) closeUnused() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for address, h := range t.hosts {
		h.closeUnused(now)
		if h.users == 0 && len(h.idle) == 0 {
			delete(t.hosts, address)
		}
	}
	t.sweep = nil
	if len(t.hosts) > 0 {
		t.sweep = time.AfterFunc(idleFor, t.closeUnused)
	}
}

// closeUnused closes the connections that were idle for too long, the oldest first.
func (h *host) closeUnused(now time.Time) {
	n := 0
	for n < len(h.idle) && !now.Before(h.idle[n].idleUntil) {
		_ = h.idle[n].Close()
		n++
	}
	h.idle = append([]*conn(nil), h.idle[n:]...)
}

// exchange is a request and its response on one connection.
type exchange struct {
	transport *transport
	host      *host
	conn      *conn
	// unwatch ends the watch for the end of the request's context.
	unwatch func() bool
	ended   bool
}

func (x *exchange) do(req *http.Request) (*http.Response, error) {
	deadline, _ := req.Context().Deadline()
	if err := x.conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	x.unwatch = context.AfterFunc(req.Context(), func() { _ = x.conn.Close() })
	sendErr := x.send(req)
	// A target that refuses early may close before it has read the body.
	resp, err := x.receive(req)
	if err != nil && sendErr != nil {
		return nil, sendErr
	}
	if err != nil {
		return nil, err
	}
	resp.Body = &body{ReadCloser: resp.Body, exchange: x, reusable: sendErr == nil && !resp.Close}
	return resp, nil
}

func (x *exchange) send(req *http.Request) error {
	if err := req.Write(x.conn.w); err != nil {
		return err
	}
	return x.conn.w.Flush()
}

// receive reads the response's head, after informational ones.
func (x *exchange) receive(req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(x.conn.r, req)
		if err != nil || resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, err
		}
	}
}

// end keeps the connection if it can be used again, and lets the next one in.
func (x *exchange) end(reusable bool) {
	if x.ended {
		return
	}
	x.ended = true
	watched := x.unwatch == nil || x.unwatch()
	if reusable && watched && x.conn.r.Buffered() == 0 {
		x.transport.putIdle(x.host, x.conn)
	} else {
		_ = x.conn.Close()
	}
	x.transport.leave(x.host)
}

// body is a response's body; at its end the connection is free.
type body struct {
	io.ReadCloser
	exchange *exchange
	reusable bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.exchange.end(b.reusable && errors.Is(err, io.EOF))
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	_, err := b.Read(nil)
	b.exchange.end(b.reusable && errors.Is(err, io.EOF))
	return b.ReadCloser.Close()
}
