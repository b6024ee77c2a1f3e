// Package link implements TCP proxies that simulate network faults in tests. A link
// forwards connections over loopback and, on command, delays, discards or withholds
// their data or resets them.
package link

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/io/supervisor"
)

// State determines what a link does with its connections and their data.
type State string

// The states of a link.
const (
	// Open forwards data after the link's delay.
	Open State = "open"
	// Refused closes connections and refuses new ones, like a firewall that rejects
	// packets.
	Refused State = "refused"
	// Silent discards data in both directions without notifying either end. When the
	// link leaves this state, it closes the connections, because their streams have a
	// gap.
	Silent State = "silent"
	// Deaf forwards data from the client and discards data from the server, like a
	// network partition in one direction. Leaving it closes the connections as well.
	Deaf State = "deaf"
	// Held withholds data until the link leaves the state, as TCP does when packets are
	// retransmitted after an interruption.
	Held State = "held"
)

// Limits of a link.
const (
	bufferBytes     = 32 << 10
	maxQueuedChunks = 64
	dialTimeout     = time.Second
)

// Forward is an address at which a link listens and the address to which it forwards.
type Forward struct{ Listen, Target netip.AddrPort }

// Link forwards TCP connections for several pairs of addresses, which share one state.
type Link struct {
	name          string
	Forwards      []Forward
	bytesReceived atomic.Int64

	mu    sync.Mutex
	state State
	delay time.Duration
	// changed is closed and replaced when the state changes.
	changed chan struct{}
	// closers contains all open listeners and connections.
	closers map[interface{ Close() error }]bool
}

// discards reports whether the state discards data, which leaves gaps in the streams.
func (s State) discards() bool { return s == Silent || s == Deaf }

// New returns an open link.
func New(name string) *Link {
	return &Link{name: name, state: Open, changed: make(chan struct{}), closers: make(map[interface{ Close() error }]bool)}
}

// SetState changes the state and the delay of the link. It closes all connections if the
// link enters Refused or leaves a state that discards data. Refused closes the listeners
// too.
func (l *Link) SetState(state State, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	closeConns := state == Refused || l.state.discards() && state != l.state
	l.state, l.delay = state, delay
	close(l.changed)
	l.changed = make(chan struct{})
	if !closeConns {
		return
	}
	for c := range l.closers {
		_, isListener := c.(net.Listener)
		if !isListener || state == Refused {
			_ = c.Close()
			delete(l.closers, c)
		}
	}
}

// State returns the current state of the link.
func (l *Link) State() State {
	s, _, _ := l.current()
	return s
}

// BytesReceived returns the number of bytes received from either end, including
// discarded ones.
func (l *Link) BytesReceived() int64 { return l.bytesReceived.Load() }

func (l *Link) current() (state State, delay time.Duration, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.delay, l.changed
}

// waitWhile waits until the state is none of the excluded ones and returns the new
// state. It returns false if ctx has ended.
func (l *Link) waitWhile(ctx context.Context, excluded ...State) (State, bool) {
	for {
		state, _, changed := l.current()
		if !contains(excluded, state) {
			return state, ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return state, false
		}
	}
}

func contains(states []State, s State) bool {
	for _, state := range states {
		if state == s {
			return true
		}
	}
	return false
}

// track registers c, so that SetState closes it when necessary. If the link refuses
// connections, it closes c immediately and returns false.
func (l *Link) track(c interface{ Close() error }) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == Refused {
		_ = c.Close()
		return false
	}
	l.closers[c] = true
	return true
}

// closeAndUntrack closes c and removes it from the tracked listeners and connections.
func (l *Link) closeAndUntrack(c interface{ Close() error }) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.closers, c)
	_ = c.Close()
}

// Serve accepts connections at one address until ctx ends.
func (l *Link) Serve(ctx context.Context, f Forward) error {
	var g supervisor.Group
	defer g.Wait()
	for {
		if _, ok := l.waitWhile(ctx, Refused); !ok {
			return nil
		}
		listener, err := net.Listen("tcp", f.Listen.String())
		if err != nil {
			return errors.Wrapf(err, "listen for link %s", l.name)
		}
		if l.track(listener) {
			l.accept(ctx, listener, f, &g)
		}
	}
}

// accept accepts connections until the listener is closed.
func (l *Link) accept(ctx context.Context, listener net.Listener, f Forward, g *supervisor.Group) {
	defer l.closeAndUntrack(listener)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		g.Go(func() { l.forward(ctx, conn, f.Target) })
	}
}

// forward forwards one connection until either end or the link closes it.
func (l *Link) forward(ctx context.Context, client net.Conn, target netip.AddrPort) {
	defer l.closeAndUntrack(client)
	if !l.track(client) {
		return
	}
	d := net.Dialer{Timeout: dialTimeout}
	server, err := d.DialContext(ctx, "tcp", target.String())
	if err != nil {
		return
	}
	defer l.closeAndUntrack(server)
	if !l.track(server) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		_ = client.Close()
		_ = server.Close()
	})
	defer stop()
	var g supervisor.Group
	g.Go(func() {
		defer cancel()
		l.copyOneWay(ctx, client, server, Silent)
	})
	g.Go(func() {
		defer cancel()
		l.copyOneWay(ctx, server, client, Silent, Deaf)
	})
	g.Wait()
}

// chunk is a piece of data in transit, and the time at which it is due at the other end.
type chunk struct {
	at   time.Time
	data []byte
}

// copyOneWay forwards data in one direction, except in the states that discard it.
// Reading and writing are separate goroutines, so that the delay applies to each chunk
// by itself instead of adding up.
func (l *Link) copyOneWay(ctx context.Context, from, to net.Conn, discarding ...State) {
	chunks := make(chan chunk, maxQueuedChunks)
	var g supervisor.Group
	defer g.Wait()
	g.Go(func() { l.write(ctx, to, chunks, discarding) })
	defer close(chunks)
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		state, delay, _ := l.current()
		l.bytesReceived.Add(int64(n))
		if n > 0 && !contains(discarding, state) {
			c := chunk{at: time.Now().Add(delay), data: append([]byte(nil), buffer[:n]...)}
			select {
			case chunks <- c:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			// A simulated network fault hides the end of the connection from the other
			// side as well.
			_, _ = l.waitWhile(ctx, append(discarding, Held)...)
			return
		}
	}
}

// write forwards chunks when they are due. Chunks that are in transit when the link
// starts to discard data are discarded as well.
func (l *Link) write(ctx context.Context, to net.Conn, chunks <-chan chunk, discarding []State) {
	for c := range chunks {
		if !supervisor.Sleep(ctx, time.Until(c.at)) {
			continue
		}
		state, _ := l.waitWhile(ctx, Held)
		if state == Refused || contains(discarding, state) {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			_ = to.Close()
		}
	}
}
