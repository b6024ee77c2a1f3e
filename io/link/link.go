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
	bufferBytes = 32 << 10
	chunksAhead = 64
	dialTimeout = time.Second
)

// Forward is one address of a link and the one behind it.
type Forward struct{ Listen, Target netip.AddrPort }

// Link forwards TCP connections from several addresses, until it is told otherwise.
type Link struct {
	name     string
	Forwards []Forward
	taken    atomic.Int64

	mu    sync.Mutex
	state State
	delay time.Duration
	// changed is closed at the next change of state.
	changed chan struct{}
	// open are the listeners and connections to close when the link breaks off.
	open map[interface{ Close() error }]bool
}

// swallows tells whether connections have gaps after the state.
func (s State) swallows() bool { return s == Silent || s == Deaf }

// New returns an open link.
func New(name string) *Link {
	return &Link{name: name, state: Open, changed: make(chan struct{}), open: make(map[interface{ Close() error }]bool)}
}

// Set changes what the link does from now on.
func (l *Link) Set(state State, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	breaksOff := state == Refused || l.state.swallows() && state != l.state
	l.state, l.delay = state, delay
	close(l.changed)
	l.changed = make(chan struct{})
	if !breaksOff {
		return
	}
	for c := range l.open {
		_, listens := c.(net.Listener)
		if !listens || state == Refused {
			_ = c.Close()
			delete(l.open, c)
		}
	}
}

// State returns what the link does now.
func (l *Link) State() State {
	s, _, _ := l.now()
	return s
}

// Taken counts the bytes that came from either end, swallowed ones too.
func (l *Link) Taken() int64 { return l.taken.Load() }

func (l *Link) now() (state State, delay time.Duration, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.delay, l.changed
}

// await returns the state once it is none of those given. It returns false if ctx
// has ended.
func (l *Link) await(ctx context.Context, not ...State) (State, bool) {
	for {
		state, _, changed := l.now()
		if !contains(not, state) {
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
	for _, one := range states {
		if one == s {
			return true
		}
	}
	return false
}

// keep has c closed when the link breaks off. It returns false if it has already.
func (l *Link) keep(c interface{ Close() error }) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == Refused {
		_ = c.Close()
		return false
	}
	l.open[c] = true
	return true
}

func (l *Link) forget(c interface{ Close() error }) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	_ = c.Close()
}

// Serve takes connections at one address until ctx ends.
func (l *Link) Serve(ctx context.Context, f Forward) error {
	var g supervisor.Group
	defer g.Wait()
	for {
		if _, ok := l.await(ctx, Refused); !ok {
			return nil
		}
		listener, err := net.Listen("tcp", f.Listen.String())
		if err != nil {
			return errors.Wrapf(err, "link %s", l.name)
		}
		if l.keep(listener) {
			l.accept(ctx, listener, f, &g)
		}
	}
}

// accept returns when the listener is closed.
func (l *Link) accept(ctx context.Context, listener net.Listener, f Forward, g *supervisor.Group) {
	defer l.forget(listener)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		g.Go(func() { l.carry(ctx, conn, f.Target) })
	}
}

// carry forwards one connection until either end closes it or the link breaks off.
func (l *Link) carry(ctx context.Context, caller net.Conn, target netip.AddrPort) {
	defer l.forget(caller)
	if !l.keep(caller) {
		return
	}
	d := net.Dialer{Timeout: dialTimeout}
	called, err := d.DialContext(ctx, "tcp", target.String())
	if err != nil {
		return
	}
	defer l.forget(called)
	if !l.keep(called) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		_ = caller.Close()
		_ = called.Close()
	})
	defer stop()
	var g supervisor.Group
	g.Go(func() {
		defer cancel()
		l.pump(ctx, caller, called, Silent)
	})
	g.Go(func() {
		defer cancel()
		l.pump(ctx, called, caller, Silent, Deaf)
	})
	g.Wait()
}

// chunk is bytes on their way, and when they may arrive.
type chunk struct {
	at   time.Time
	data []byte
}

// pump passes bytes on in one direction, but for those of swallowed states. A reader and a writer let a delay hold
// up each chunk and not the next ones.
func (l *Link) pump(ctx context.Context, from, to net.Conn, swallowed ...State) {
	chunks := make(chan chunk, chunksAhead)
	var g supervisor.Group
	defer g.Wait()
	g.Go(func() { l.write(ctx, to, chunks, swallowed) })
	defer close(chunks)
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		state, delay, _ := l.now()
		l.taken.Add(int64(n))
		if n > 0 && !contains(swallowed, state) {
			c := chunk{at: time.Now().Add(delay), data: append([]byte(nil), buffer[:n]...)}
			select {
			case chunks <- c:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			// A cut hides an end's closing from the other one as well.
			_, _ = l.await(ctx, append(swallowed, Held)...)
			return
		}
	}
}

// write passes chunks on when they are due. What is on its way when the link falls
// silent is swallowed too.
func (l *Link) write(ctx context.Context, to net.Conn, chunks <-chan chunk, swallowed []State) {
	for c := range chunks {
		if !supervisor.Sleep(ctx, time.Until(c.at)) {
			continue
		}
		state, _ := l.await(ctx, Held)
		if state == Refused || contains(swallowed, state) {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			_ = to.Close()
		}
	}
}
