// Package link forwards TCP connections over loopback and harms them when told to:
// it delays, breaks off, holds back or swallows what they carry.
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

// State says what a link does with the bytes of its connections.
type State string

// The states of a link.
const (
	// Open passes bytes on, after the link's delay.
	Open State = "open"
	// Refused breaks connections off and refuses new ones, as a firewall that
	// rejects.
	Refused State = "refused"
	// Silent swallows bytes and tells neither end; connections of that time are
	// broken off when it is left, since their streams have a gap.
	Silent State = "silent"
	// Deaf passes requests on and swallows their answers, as a cut in one direction.
	Deaf State = "deaf"
	// Held keeps bytes back and passes them on late, as TCP does after a cut.
	Held State = "held"
)

// Sizes and times of a link.
const (
	bufferBytes     = 32 << 10
	maxQueuedChunks = 64
	dialTimeout     = time.Second
)

// Forward is one address of a link and the one behind it.
type Forward struct{ Listen, Target netip.AddrPort }

// Link forwards TCP connections from several addresses, until it is told otherwise.
type Link struct {
	name          string
	Forwards      []Forward
	bytesReceived atomic.Int64

	mu    sync.Mutex
	state State
	delay time.Duration
	// changed is closed at the next change of state.
	changed chan struct{}
	// closers are the listeners and connections to close when the link breaks off.
	closers map[interface{ Close() error }]bool
}

// discards tells whether connections have gaps after the state.
func (s State) discards() bool { return s == Silent || s == Deaf }

// New returns an open link.
func New(name string) *Link {
	return &Link{name: name, state: Open, changed: make(chan struct{}), closers: make(map[interface{ Close() error }]bool)}
}

// Set changes what the link does from now on.
func (l *Link) Set(state State, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	closeAll := state == Refused || l.state.discards() && state != l.state
	l.state, l.delay = state, delay
	close(l.changed)
	l.changed = make(chan struct{})
	if !closeAll {
		return
	}
	for c := range l.closers {
		_, listens := c.(net.Listener)
		if !listens || state == Refused {
			_ = c.Close()
			delete(l.closers, c)
		}
	}
}

// State returns what the link does now.
func (l *Link) State() State {
	s, _, _ := l.current()
	return s
}

// BytesReceived counts the bytes that came from either end, swallowed ones too.
func (l *Link) BytesReceived() int64 { return l.bytesReceived.Load() }

func (l *Link) current() (state State, delay time.Duration, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.delay, l.changed
}

// waitWhile returns the state once it is none of those given. It returns false if ctx
// has ended.
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

// track has c closed when the link breaks off. It returns false if it has already.
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

func (l *Link) release(c interface{ Close() error }) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.closers, c)
	_ = c.Close()
}

// Serve takes connections at one address until ctx ends.
func (l *Link) Serve(ctx context.Context, f Forward) error {
	var g supervisor.Group
	defer g.Wait()
	for {
		if _, ok := l.waitWhile(ctx, Refused); !ok {
			return nil
		}
		listener, err := net.Listen("tcp", f.Listen.String())
		if err != nil {
			return errors.Wrapf(err, "link %s", l.name)
		}
		if l.track(listener) {
			l.accept(ctx, listener, f, &g)
		}
	}
}

// accept returns when the listener is closed.
func (l *Link) accept(ctx context.Context, listener net.Listener, f Forward, g *supervisor.Group) {
	defer l.release(listener)
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

// forward forwards one connection until either end closes it or the link breaks off.
func (l *Link) forward(ctx context.Context, client net.Conn, target netip.AddrPort) {
	defer l.release(client)
	if !l.track(client) {
		return
	}
	d := net.Dialer{Timeout: dialTimeout}
	server, err := d.DialContext(ctx, "tcp", target.String())
	if err != nil {
		return
	}
	defer l.release(server)
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

// chunk is bytes on their way, and when they may arrive.
type chunk struct {
	at   time.Time
	data []byte
}

// copyOneWay passes bytes on in one direction, but for those of swallowed states. A reader and a writer let a delay hold
// up each chunk and not the next ones.
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
			// A cut hides an end's closing from the other one as well.
			_, _ = l.waitWhile(ctx, append(discarding, Held)...)
			return
		}
	}
}

// write passes chunks on when they are due. What is on its way when the link falls
// silent is swallowed too.
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
