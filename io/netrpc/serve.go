package netrpc

import (
	"net"
	"net/rpc"
	"sync"

	"lavenderpond/io/supervisor"
)

// maxIdleReaders bounds the goroutines that wait to read a connection's next request.
const maxIdleReaders = 8

// connection serves one peer. net/rpc's own loop reads on one goroutine and begins
// another one for each call: two switches and a new stack each. Here the goroutine
// that has read a request carries it out, and the next one reads meanwhile; a new one
// begins only when none waits, so that a call that takes long holds up no other.
type connection struct {
	rpc   *rpc.Server
	codec *serverCodec
	group supervisor.Group

	mu sync.Mutex
	// readers counts the goroutines that read or wait to, working all of them.
	readers, goroutines int
}

func newConnection(server *rpc.Server, conn net.Conn) *connection {
	c := &connection{rpc: server, codec: newServerCodec(conn)}
	c.codec.onRead = c.requestRead
	return c
}

// serve returns when the connection is closed and all its calls are done.
func (c *connection) serve() {
	c.startReader()
	c.group.Wait()
	_ = c.codec.Close()
}

// startReader starts a goroutine that reads.
func (c *connection) startReader() {
	c.readers++
	c.goroutines++
	c.group.Go(c.serveRequests)
}

// serveRequests reads and carries out requests until the connection ends or enough others wait.
// An error of one request was told to the peer and ends nothing.
func (c *connection) serveRequests() {
	for {
		_ = c.rpc.ServeRequest(c.codec)
		if c.codec.readEnded.Load() || !c.keepReading() {
			return
		}
	}
}

// requestRead sees that somebody reads the next request while this one is carried out.
func (c *connection) requestRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readers--
	if c.readers == 0 {
		c.startReader()
	}
}

// keepReading says whether the goroutine that has carried out a request reads on.
func (c *connection) keepReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readers >= maxIdleReaders {
		c.goroutines--
		return false
	}
	c.readers++
	return true
}
