package inbound

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/core/intake"
)

const (
	// MaxHeaderBytes is the maximum length of a request's header. The deployments allow 16 KB.
	MaxHeaderBytes = 16 << 10
	// discardTimeout bounds how long the rest of a body that wasn't read is discarded. Without that the
	// connection would be reset, and the client might not see the answer.
	discardTimeout = time.Second
)

// ServerOptions bound how long a client may take, and what its bodies take.
type ServerOptions struct {
	// Header is for the header of a request, Body for its body, Idle between two requests.
	Header, Body, Idle time.Duration
	// BodyFactor is the memory that a body takes, as a multiple of its length; 0 means what it takes to
	// receive it.
	BodyFactor int64
}

// unavailable is the answer to a client for whose connection there is no place. Its request isn't read
// and so never acted upon.
const unavailable = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Server returns a server that handles requests within the guard's limits. It has to serve a
// listener that HTTPListener returned.
func (g *Guard) Server(h http.Handler, o ServerOptions) *http.Server {
	return &http.Server{
		Handler:           &handler{next: h, guard: g, bodyTimeout: o.Body, bodyFactor: max(o.BodyFactor, receiveFactor)},
		ReadHeaderTimeout: o.Header,
		IdleTimeout:       o.Idle,
		MaxHeaderBytes:    MaxHeaderBytes,
		ErrorLog:          log.New(serverErrorLog{g}, "", 0),
		ConnState:         g.stateChanged,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
}

// HTTPListener returns l with the guard's limits. A connection for which there is no place is answered as
// unavailable.
func (g *Guard) HTTPListener(l net.Listener) *Listener {
	return &Listener{Listener: l, guard: g, refusal: []byte(unavailable)}
}

// stateChanged follows the states of a server's connections.
func (g *Guard) stateChanged(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch s {
	case http.StateNew:
		c.inHeader.Store(true)
	case http.StateIdle:
		c.inHeader.Store(true)
		g.shrink(c, ConnectionBytes+c.lastRead.Load())
		g.setPhase(c, intake.Waiting)
	case http.StateActive, http.StateHijacked, http.StateClosed:
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connOf returns the connection of a request, or nil if it isn't counted.
func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Reserve lets a request hold more memory, in bytes, until it is answered. It returns ErrOverloaded if there isn't
// enough. ctx is the request's context.
func Reserve(ctx context.Context, bytes int64) error {
	c := connOf(ctx)
	if c == nil || c.guard.add(c, bytes) {
		return nil
	}
	return errors.Wrapf(ErrOverloaded, "%d bytes", bytes)
}

// handler counts what the bodies of requests take.
type handler struct {
	next        http.Handler
	guard       *Guard
	bodyTimeout time.Duration
	bodyFactor  int64
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r.Context())
	if c == nil {
		h.next.ServeHTTP(w, r)
		return
	}
	c.inHeader.Store(false)
	if r.ContentLength == 0 {
		h.guard.setPhase(c, intake.Serving)
		h.next.ServeHTTP(w, r)
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(h.bodyTimeout)) // An error means that the client has gone.
	b := &body{ReadCloser: r.Body, conn: c, factor: h.bodyFactor}
	r.Body = b
	h.next.ServeHTTP(w, r)
	if !b.whole {
		_ = c.SetReadDeadline(time.Now().Add(discardTimeout))
		h.guard.setPhase(c, intake.Receiving)
	}
}

// body is a request's body whose memory is counted.
type body struct {
	io.ReadCloser
	conn   *Conn
	factor int64
	// whole is set once the body has been read to its end.
	whole bool
}

// Read implements io.Reader. It returns ErrOverloaded if the request is given up.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.conn.guard.add(b.conn, b.factor*int64(n)) {
		return 0, ErrOverloaded
	}
	switch {
	case errors.Is(err, io.EOF):
		return n, b.end(err)
	case errors.Is(err, os.ErrDeadlineExceeded) && b.conn.givenUp.Load():
		return n, ErrOverloaded
	}
	return n, err
}

// receiveFactor is the memory that a body takes while it is received, as a multiple of its length: the
// buffer that it is read into may be twice as long, and is copied when it grows.
const receiveFactor = 3

// end records that the body has arrived whole. From then on the request isn't given up.
func (b *body) end(eof error) error {
	if !b.conn.guard.setPhase(b.conn, intake.Serving) {
		return ErrOverloaded
	}
	b.whole = true
	_ = b.conn.SetReadDeadline(time.Time{}) // An error means that the client has gone.
	return eof
}
