package main

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

// linkState says what a link does with the bytes of its connections.
type linkState string

// The states of a link.
const (
	// linkOpen passes bytes on, after the link's delay.
	linkOpen linkState = "open"
	// linkRefused breaks connections off and refuses new ones, as a firewall that
	// rejects.
	linkRefused linkState = "refused"
	// linkSilent swallows bytes and tells neither end; connections of that time are
	// broken off when it is left, since their streams have a gap.
	linkSilent linkState = "silent"
	// linkHeld keeps bytes back and passes them on late, as TCP does after a cut.
	linkHeld linkState = "held"
)

// Sizes and times of a link.
const (
	linkBuffer      = 32 << 10
	linkChunks      = 64
	linkDialTimeout = time.Second
)

// forward is one address of a link and the one behind it.
type forward struct{ listen, target netip.AddrPort }

// link forwards TCP connections from several addresses, until it is told otherwise.
type link struct {
	name     string
	forwards []forward
	// taken counts the bytes that came from either end, swallowed ones too.
	taken atomic.Int64

	mu    sync.Mutex
	state linkState
	delay time.Duration
	// changed is closed at the next change of state.
	changed chan struct{}
	// open are the listeners and connections to close when the link breaks off.
	open map[interface{ Close() error }]bool
}

func newLink(name string) *link {
	return &link{name: name, state: linkOpen, changed: make(chan struct{}), open: make(map[interface{ Close() error }]bool)}
}

// set changes what the link does from now on.
func (l *link) set(state linkState, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	breaksOff := state == linkRefused || l.state == linkSilent && state != linkSilent
	l.state, l.delay = state, delay
	close(l.changed)
	l.changed = make(chan struct{})
	if !breaksOff {
		return
	}
	for c := range l.open {
		_, listens := c.(net.Listener)
		if !listens || state == linkRefused {
			_ = c.Close()
			delete(l.open, c)
		}
	}
}

func (l *link) now() (state linkState, delay time.Duration, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.delay, l.changed
}

// await returns the state once it is none of those given. It returns false if ctx
// has ended.
func (l *link) await(ctx context.Context, not ...linkState) (linkState, bool) {
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

func contains(states []linkState, s linkState) bool {
	for _, one := range states {
		if one == s {
			return true
		}
	}
	return false
}

// keep has c closed when the link breaks off. It returns false if it has already.
func (l *link) keep(c interface{ Close() error }) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == linkRefused {
		_ = c.Close()
		return false
	}
	l.open[c] = true
	return true
}

func (l *link) forget(c interface{ Close() error }) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	_ = c.Close()
}

// serve takes connections at one address until ctx ends.
func (l *link) serve(ctx context.Context, f forward) error {
	var g supervisor.Group
	defer g.Wait()
	for {
		if _, ok := l.await(ctx, linkRefused); !ok {
			return nil
		}
		listener, err := net.Listen("tcp", f.listen.String())
		if err != nil {
			return errors.Wrapf(err, "link %s", l.name)
		}
		if l.keep(listener) {
			l.accept(ctx, listener, f, &g)
		}
	}
}

// accept returns when the listener is closed.
func (l *link) accept(ctx context.Context, listener net.Listener, f forward, g *supervisor.Group) {
	defer l.forget(listener)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		g.Go(func() { l.carry(ctx, conn, f.target) })
	}
}

// carry forwards one connection until either end closes it or the link breaks off.
func (l *link) carry(ctx context.Context, caller net.Conn, target netip.AddrPort) {
	defer l.forget(caller)
	if !l.keep(caller) {
		return
	}
	d := net.Dialer{Timeout: linkDialTimeout}
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
	for _, way := range [][2]net.Conn{{caller, called}, {called, caller}} {
		g.Go(func() {
			defer cancel()
			l.pump(ctx, way[0], way[1])
		})
	}
	g.Wait()
}

// chunk is bytes on their way, and when they may arrive.
type chunk struct {
	at   time.Time
	data []byte
}

// pump passes bytes on in one direction. A reader and a writer let a delay hold
// up each chunk and not the next ones.
func (l *link) pump(ctx context.Context, from, to net.Conn) {
	chunks := make(chan chunk, linkChunks)
	var g supervisor.Group
	defer g.Wait()
	g.Go(func() { l.write(ctx, to, chunks) })
	defer close(chunks)
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		state, delay, _ := l.now()
		l.taken.Add(int64(n))
		if n > 0 && state != linkSilent {
			c := chunk{at: time.Now().Add(delay), data: append([]byte(nil), buffer[:n]...)}
			select {
			case chunks <- c:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			// A cut hides an end's closing from the other one as well.
			_, _ = l.await(ctx, linkSilent, linkHeld)
			return
		}
	}
}

// write passes chunks on when they are due. What is on its way when the link falls
// silent is swallowed too.
func (l *link) write(ctx context.Context, to net.Conn, chunks <-chan chunk) {
	for c := range chunks {
		if !supervisor.Sleep(ctx, time.Until(c.at)) {
			continue
		}
		state, _ := l.await(ctx, linkHeld)
		if state != linkOpen {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			_ = to.Close()
		}
	}
}
