package inbound

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"lavenderpond/core/intake"
)

// writeTimeout is how long a client may leave what was written to it unread.
const writeTimeout = 5 * time.Second

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Conn is a connection that is counted by a guard.
type Conn struct {
	net.Conn
	guard   *Guard
	holding *intake.Holding
	// closed is set once the connection is closed. The guard's mutex protects it.
	closed bool
	// givenUp is set once the guard has given the connection up.
	givenUp atomic.Bool
	// inHeader is set while what is read belongs to a header.
	inHeader atomic.Bool
	// lastRead is the memory that the text of the latest read takes. Its end may belong to the next
	// request.
	lastRead atomic.Int64
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	cost := textCost(b[:n])
	c.lastRead.Store(cost)
	if c.inHeader.Load() && !c.guard.receive(c, cost) {
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// Write implements net.Conn. It fails if the client reads too slowly.
func (c *Conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// SetReadDeadline implements net.Conn. A connection that was given up reads nothing any more.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if err := c.Conn.SetReadDeadline(t); err != nil {
		return err
	}
	if c.givenUp.Load() {
		return c.Conn.SetReadDeadline(longAgo)
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.guard.close(c)
	return c.Conn.Close()
}

// interrupt ends a connection that was given up. While a request is being received, only reading
// ends, so that the client gets an answer.
func (c *Conn) interrupt(p intake.Phase) {
	c.givenUp.Store(true)
	if p == intake.Receiving {
		_ = c.Conn.SetReadDeadline(longAgo) // An error means that it is closed already.
		return
	}
	_ = c.Conn.Close() // What was written to it has been delivered to the kernel.
}

// Hold lets the connection hold more memory, in bytes, or returns false if there isn't enough.
func (c *Conn) Hold(bytes int64) bool { return c.guard.add(c, bytes) }

// Release ends the account of memory that the connection held.
func (c *Conn) Release(bytes int64) { c.guard.release(c, bytes) }

// SetBusy records that the connection has sent a whole message, and whether calls of it are in progress. A
// connection that has not sent any is given up first.
func (c *Conn) SetBusy(busy bool) {
	p := intake.Receiving
	if busy {
		p = intake.Serving
	}
	c.guard.touch(c, p)
}
