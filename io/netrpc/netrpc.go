// Package netrpc implements net/rpc clients and servers for the communication between
// lavenderpond's daemons. All concurrent calls to a peer share one connection. The
// connection is closed if replies are pending and the peer falls silent.
package netrpc

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lavenderpond/io/supervisor"
)

// DialTimeout bounds the time to connect to a peer.
const DialTimeout = 500 * time.Millisecond

// ErrNotSent means that the peer certainly did not act on the message: either it was
// not sent, or the peer answered that it rejected the message.
var ErrNotSent = errors.New("peer: not sent")

// ErrRefused means that no process listens at the peer's address, usually because the
// peer's process has ended. It wraps ErrNotSent.
var ErrRefused = errors.Wrap(ErrNotSent, "connection refused")

// Server accepts connections from peers. Receivers must be registered before Serve is
// called.
type Server struct {
	// MaxMessage is the maximum length of a message in bytes; 0 means DefaultMaxMessage.
	MaxMessage int64

	rpc *rpc.Server
}

// NewServer returns a server that answers pings.
func NewServer() *Server {
	s := &Server{rpc: rpc.NewServer()}
	if err := s.Register(AliveName, Alive{}); err != nil {
		panic(err) // Unreachable: Alive.Ping has the signature that net/rpc requires.
	}
	return s
}

// Register registers a net/rpc receiver under name.
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
		if isTemporary(err) {
			supervisor.Sleep(ctx, acceptRetryDelay)
			continue
		}
		if err != nil {
			return errors.Wrap(err, "accept connection")
		}
		g.Go(func() { s.ServeConn(ctx, conn) })
	}
}

// isTemporary reports whether accepting may succeed later. Ending the server for that would close all of its connections.
func isTemporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

// ServeConn serves one connection until the peer closes it or ctx ends.
func (s *Server) ServeConn(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	newConnection(s.rpc, conn, s.maxMessage()).serve()
}

func (s *Server) maxMessage() int64 {
	if s.MaxMessage == 0 {
		return DefaultMaxMessage
	}
	return s.MaxMessage
}

// acceptRetryDelay is the pause after a failure to accept a connection, for example because all
// descriptors are in use.
const acceptRetryDelay = 20 * time.Millisecond

// Pool keeps one connection per peer address and makes calls over it. The zero value
// is ready to use. A Pool is safe for concurrent use.
type Pool struct {
	// ProbeInterval is the time between two probes of a peer while calls wait for its
	// replies. Zero means one second. The connection is closed at the fourth probe in a
	// row that finds that nothing was received.
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

func newClient(conn net.Conn, probeInterval time.Duration) *client {
	c := &client{probeInterval: probeInterval}
	if probeInterval == 0 {
		c.probeInterval = defaultProbeInterval
	}
	codec := newClientCodec(conn, c.silence.replyReceived)
	c.Client, c.w = rpc.NewClientWithCodec(codec), codec.w
	return c
}

// call makes a call and returns when its reply is received, the connection is closed or
// ctx ends.
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

// probe sends a ping if nothing was received since the last probe, and closes the
// connection if the peer has fallen silent, so that all pending calls fail. The next
// probe is scheduled before the ping is sent: if the peer doesn't read, the write blocks
// until a later probe closes the connection.
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

// start sends a call without waiting for its reply.
func (c *client) start(method string, args, reply any) *rpc.Call {
	c.w.pending.Add(1)
	return c.Go(method, args, reply, make(chan *rpc.Call, 1))
}

// Call calls a method of the peer at address and waits for its reply until ctx ends. If
// the error is ErrNotSent, the peer certainly did not act on the call. After any other
// error, the peer may have acted on the call.
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

// Close closes all connections.
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

// store adds c to the pool. If another goroutine has connected to the same address in
// the meantime, it closes c and returns the other connection.
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
