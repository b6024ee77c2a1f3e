package netrpc

import (
	"bytes"
	"context"
	"encoding/gob"
	"net"
	"net/rpc"
	"runtime"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"lavenderpond/io/supervisor"
)

// slowEcho answers with what it was sent; a call for "slow" waits for the release.
type slowEcho struct{ entered, release chan struct{} }

func (e *slowEcho) Call(args string, reply *string) error {
	if args == "slow" {
		e.entered <- struct{}{}
		<-e.release
	}
	*reply = args
	return nil
}

// newEchoServer returns a server at an address, and a Pool to call it with.
func newEchoServer(t *testing.T) (*slowEcho, *Pool, string) {
	t.Helper()
	e := &slowEcho{entered: make(chan struct{}), release: make(chan struct{})}
	s := NewServer()
	assert.NilError(t, s.Register("Echo", e))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var g supervisor.Group
	g.Go(func() { _ = s.Serve(ctx, l) })
	p := &Pool{}
	t.Cleanup(func() {
		p.Close()
		cancel()
		g.Wait()
	})
	return e, p, l.Addr().String()
}

func echo(ctx context.Context, p *Pool, address, args string) (string, error) {
	var reply string
	err := p.Call(ctx, address, "Echo.Call", args, &reply)
	return reply, err
}

// TestSlowCallsHoldUpNoOther: calls that wait for their targets come over the one
// connection of a peer, more of them than goroutines are kept. A quick call behind
// them is answered meanwhile, and then each of them.
func TestSlowCallsDoNotBlockOthers(t *testing.T) {
	e, p, address := newEchoServer(t)
	const n = 3 * maxIdleReaders
	var g supervisor.Group
	for range n {
		g.Go(func() {
			reply, err := echo(t.Context(), p, address, "slow")
			assert.Check(t, err)
			assert.Check(t, reply == "slow")
		})
		<-e.entered
	}
	reply, err := echo(t.Context(), p, address, "quick")
	assert.NilError(t, err)
	assert.Equal(t, reply, "quick")
	close(e.release)
	g.Wait()
}

// TestRepliesAreNotCrossed: many goroutines call over one connection at once, and
// their messages share system calls. Each gets the reply to its own.
func TestConcurrentCallsGetOwnReplies(t *testing.T) {
	_, p, address := newEchoServer(t)
	var g supervisor.Group
	for n := range 32 {
		g.Go(func() {
			for i := range 100 {
				args := string(rune('a'+n)) + string(rune('a'+i))
				reply, err := echo(t.Context(), p, address, args)
				assert.Check(t, err)
				assert.Check(t, reply == args)
			}
		})
	}
	g.Wait()
}

// TestUnknownMethodEndsNothing: an entry of another build calls what this one lacks. It
// is told so, and the next call over the same connection is answered.
func TestUnknownMethodKeepsConnection(t *testing.T) {
	_, p, address := newEchoServer(t)
	var reply string
	err := p.Call(t.Context(), address, "Echo.None", "a", &reply)
	var told rpc.ServerError
	assert.Assert(t, errors.As(err, &told), "%v", err)
	reply, err = echo(t.Context(), p, address, "b")
	assert.NilError(t, err)
	assert.Equal(t, reply, "b")
}

// TestFewReadersStay: a burst of slow calls needs a goroutine each. When it is over,
// few of them stay to read.
func TestIdleReadersAreBounded(t *testing.T) {
	e := &slowEcho{entered: make(chan struct{}), release: make(chan struct{})}
	s := rpc.NewServer()
	assert.NilError(t, s.RegisterName("Echo", e))
	near, far := net.Pipe()
	c := newConnection(s, far)
	var g supervisor.Group
	g.Go(c.serve)
	client := newClient(near, 0)
	const n = 3 * maxIdleReaders
	var calls []*rpc.Call
	for range n {
		calls = append(calls, client.start("Echo.Call", "slow", new(string)))
		<-e.entered
	}
	close(e.release)
	for _, call := range calls {
		assert.NilError(t, (<-call.Done).Error)
	}
	for goroutineCount(c) != maxIdleReaders {
		runtime.Gosched()
	}
	assert.NilError(t, client.Close())
	g.Wait()
}

func goroutineCount(c *connection) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.goroutines
}

// TestLastWriterFlushes: two goroutines write at once. Nothing is sent by the first,
// everything by the second, also when its own message can't be encoded: the first
// one's must not stay behind.
func TestLastWriterFlushes(t *testing.T) {
	for _, second := range []any{"second", make(chan int)} {
		var sent bytes.Buffer
		w := newWriter(&sent)
		w.pending.Add(2)
		assert.NilError(t, w.write(1, "first"))
		assert.Equal(t, sent.Len(), 0)
		_ = w.write(2, second)
		d := gob.NewDecoder(&sent)
		var number int
		var text string
		assert.NilError(t, d.Decode(&number))
		assert.NilError(t, d.Decode(&text))
		assert.Equal(t, text, "first")
	}
}

// TestCallOfAClosedConnection: the peer ends while a call waits for its reply. The
// caller is told, and not that nothing was sent: the peer may have acted.
func TestConnectionClosedDuringCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var g supervisor.Group
	g.Go(func() {
		conn, err := l.Accept()
		assert.Check(t, err)
		_, err = conn.Read(make([]byte, 1))
		assert.Check(t, err)
		assert.Check(t, conn.Close())
	})
	p := &Pool{}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err = echo(ctx, p, l.Addr().String(), "a")
	assert.Assert(t, err != nil && !errors.Is(err, ErrNotSent), "%v", err)
	assert.NilError(t, ctx.Err())
	g.Wait()
	assert.NilError(t, l.Close())
}
