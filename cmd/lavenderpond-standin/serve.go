package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/io/supervisor"
)

// headerTimeout limits how long reading the headers of a request may take.
const headerTimeout = 5 * time.Second

// serve serves h at address until ctx ends, with at most limit concurrent connections if
// limit is positive. Only loopback addresses are allowed, because a stand-in must never
// be reachable from a real network.
func serve(ctx context.Context, address netip.AddrPort, h http.Handler, limit int) error {
	if !address.Addr().IsLoopback() {
		return errors.Errorf("%s is not a loopback address", address)
	}
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if limit > 0 {
		l = &limitListener{Listener: l, slots: make(chan struct{}, limit)}
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	var g supervisor.Group
	g.Go(func() {
		<-ctx.Done()
		_ = srv.Close()
	})
	err = srv.Serve(l)
	g.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// limitListener limits the number of open connections to the capacity of slots.
type limitListener struct {
	net.Listener
	slots chan struct{}
}

// Accept implements net.Listener. It closes connections beyond the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &limitedConn{Conn: conn, slots: l.slots}, nil
		default:
			_ = conn.Close()
		}
	}
}

type limitedConn struct {
	net.Conn
	slots  chan struct{}
	closed bool
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	if !c.closed {
		c.closed = true
		<-c.slots
	}
	return c.Conn.Close()
}
