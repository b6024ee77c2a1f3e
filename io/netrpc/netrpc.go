// Package netrpc keeps connections between lavenderpond's own daemons and makes
// net/rpc calls over them. Many calls share one connection, and a peer that owes
// replies and falls silent is given up.
package netrpc

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/io/supervisor"
)

// DialTimeout bounds the making of a connection to a peer.
const DialTimeout = 500 * time.Millisecond

// ErrNotSent says that the peer certainly did nothing with the message: it did not
// leave this process, or the peer said that it did not take it.
var ErrNotSent = errors.New("peer: not sent")

// ErrRefused says that nothing listens at the peer's address: its process has
// ended. It is also ErrNotSent.
var ErrRefused = errors.Wrap(ErrNotSent, "connection refused")

// Server accepts connections of peers. Register receivers before Serve.
type Server struct {
	rpc *rpc.Server
}

// NewServer returns a server that answers pings.
func NewServer() *Server {
	s := &Server{rpc: rpc.NewServer()}
	if err := s.Register(AliveName, Alive{}); err != nil {
		panic(err) // Its method has the form that net/rpc asks for.
	}
	return s
}

// Register adds a receiver under name.
func (s *Server) Register(name string, receiver any) error {
	return errors.Wrapf(s.rpc.RegisterName(name, receiver), "register %s", name)
}

// Serve accepts connections on l until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	var g supervisor.Group
	defer g.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.Go(func() {
		<-ctx.Done()
		_ = l.Close()
	})
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept peer")
		}
		g.Go(func() { s.ServeConn(ctx, conn) })
	}
}

// ServeConn serves one connection and closes it when ctx ends.
func (s *Server) ServeConn(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	newConnection(s.rpc, conn).serve()
}

// Pool keeps one connection per peer address. Its zero value works. It is safe
// for concurrent use.
type Pool struct {
	// ProbeInterval is the time between two looks at a peer that owes replies; 0 means one
	// second. After four looks at which nothing was heard its connection is closed.
	ProbeInterval time.Duration

	mu      sync.Mutex
	clients map[string]*client
}

// client is a connection to a peer.
type client struct {
	*rpc.Client
	w             *writer
	silence       silenceDetector
	probeInterval time.Duration
}

func newClient(conn net.Conn, lookEvery time.Duration) *client {
	c := &client{probeInterval: lookEvery}
	if lookEvery == 0 {
		c.probeInterval = defaultProbeInterval
	}
	codec := newClientCodec(conn, c.silence.replyReceived)
	c.Client, c.w = rpc.NewClientWithCodec(codec), codec.w
	return c
}

// call sends a call and returns when its reply has come, the connection has ended or
// ctx has.
func (c *client) call(ctx context.Context, method string, args, reply any) error {
	if ctx.Err() != nil {
		return errors.Wrap(ErrNotSent, ctx.Err().Error())
	}
	if c.silence.callStarted() {
		time.AfterFunc(c.probeInterval, c.probe)
	}
	defer c.silence.callEnded()
	call := c.start(method, args, reply)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-call.Done:
		return call.Error
	}
}

// probe closes the connection of a peer that has fallen silent, so that all calls that
// wait for it end. The next look is arranged before a ping is sent: writing to a peer
// that takes no bytes blocks, until the connection is closed.
func (c *client) probe() {
	switch c.silence.probe() {
	case probeStop:
	case probeClose:
		_ = c.Close()
	case probePing:
		time.AfterFunc(c.probeInterval, c.probe)
		c.start(AliveName+".Ping", 1, new(int))
	case probeWait:
		time.AfterFunc(c.probeInterval, c.probe)
	}
}

// start sends a call. Nothing waits for a reply here.
func (c *client) start(method string, args, reply any) *rpc.Call {
	c.w.pending.Add(1)
	return c.Go(method, args, reply, make(chan *rpc.Call, 1))
}

// Call sends args to the peer at address and waits for its reply until ctx ends.
// An error that is ErrNotSent proves that the peer did nothing with the message.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	c, err := p.client(ctx, address)
	if err != nil {
		return err
	}
	err = c.call(ctx, method, args, reply)
	var remote rpc.ServerError
	if err != nil && ctx.Err() == nil && !errors.As(err, &remote) {
		p.remove(address, c)
	}
	return errors.Wrapf(err, "call %s", method)
}

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		_ = c.Close()
	}
	p.clients = nil
}

func (p *Pool) client(ctx context.Context, address string) (*client, error) {
	p.mu.Lock()
	c := p.clients[address]
	p.mu.Unlock()
	if c != nil {
		return c, nil
	}
	d := net.Dialer{Timeout: DialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if isRefused(err) {
		return nil, ErrRefused
	}
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	return p.store(address, newClient(conn, p.ProbeInterval)), nil
}

// store stores c, unless another goroutine was faster.
func (p *Pool) store(address string, c *client) *client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.clients[address]; old != nil {
		_ = c.Close()
		return old
	}
	if p.clients == nil {
		p.clients = make(map[string]*client)
	}
	p.clients[address] = c
	return c
}

func (p *Pool) remove(address string, c *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[address] == c {
		delete(p.clients, address)
	}
	_ = c.Close()
}
