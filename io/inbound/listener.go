package inbound

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// receiveBuffer and sendBuffer bound, in bytes, what the kernel holds for a connection: what the
	// process hasn't read yet, and what the peer hasn't. The kernel reserves twice as much.
	receiveBuffer = 16 << 10
	sendBuffer    = 32 << 10
	// maxBacklog is the maximum number of connections that the kernel keeps until they are accepted. What they have
	// sent counts as this process's memory too.
	maxBacklog = 512
)

// Listen listens at an address. The connections get small buffers.
func Listen(network, address string) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		// Connections inherit the buffers of the socket that accepts them.
		controlErr := c.Control(func(fd uintptr) { err = setBuffers(int(fd)) })
		return errors.Wrap(firstError(controlErr, err), "set the size of socket buffers")
	}}
	l, err := cfg.Listen(context.Background(), network, address)
	if err != nil {
		return nil, err
	}
	if err := limitBacklog(l); err != nil {
		_ = l.Close()
		return nil, err
	}
	return l, nil
}

// limitBacklog makes the kernel keep at most maxBacklog connections until they are accepted.
func limitBacklog(l net.Listener) error {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	c, err := t.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "access the listening socket")
	}
	controlErr := c.Control(func(fd uintptr) { err = unix.Listen(int(fd), maxBacklog) })
	return errors.Wrap(firstError(controlErr, err), "limit the backlog")
}

func setBuffers(fd int) error {
	return firstError(
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer),
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer),
	)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Listener accepts connections as far as its guard has place for them.
type Listener struct {
	net.Listener
	guard *Guard
	// refusal is written to a connection for which there is no place; it may be empty.
	refusal []byte
}

// Listener returns l with the guard's limits. A connection for which there is no place is closed.
func (g *Guard) Listener(l net.Listener) *Listener { return &Listener{Listener: l, guard: g} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: conn, guard: l.guard}
		if l.guard.open(c) {
			return c, nil
		}
		l.refuse(conn)
	}
}

// refuse closes a connection that was not admitted. Nothing of its request has been read.
func (l *Listener) refuse(conn net.Conn) {
	// The text fits into the empty buffer of the connection, so that writing it doesn't block. An error means that
	// the client has gone.
	_, _ = conn.Write(l.refusal)
	_ = conn.Close()
}
