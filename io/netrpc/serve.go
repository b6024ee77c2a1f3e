package netrpc

import (
	"net"
	"net/rpc"
	"sync"

	"lavenderpond/io/supervisor"
)

// idleReaders bounds the goroutines that wait to read a connection's next request.
const idleReaders = 8

// connection serves one peer. net/rpc's own loop reads on one goroutine and begins
// another one for each call: two switches and a new stack each. Here the goroutine
// that has read a request carries it out, and the next one reads meanwhile; a new one
// begins only when none waits, so that a call that takes long holds up no other.
type connection struct {
	rpc   *rpc.Server
	codec *serverCodec
	group supervisor.Group

	mu sync.Mutex
	// waiting counts the goroutines that read or wait to, working all of them.
	waiting, working int
}

func newConnection(server *rpc.Server, conn net.Conn) *connection {
	c := &connection{rpc: server, codec: newServerCodec(conn)}
	c.codec.onRead = c.read
	return c
}

// serve returns when the connection is closed and all its calls are done.
func (c *connection) serve() {
	c.begin()
	c.group.Wait()
	_ = c.codec.Close()
}

// begin starts a goroutine that reads.
func (c *connection) begin() {
	c.waiting++
	c.working++
	c.group.Go(c.work)
}

// work reads and carries out requests until the connection ends or enough others wait.
// An error of one request was told to the peer and ends nothing.
func (c *connection) work() {
	for {
		_ = c.rpc.ServeRequest(c.codec)
		if c.codec.ended.Load() || !c.stay() {
			return
		}
	}
}

// read sees that somebody reads the next request while this one is carried out.
func (c *connection) read() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting--
	if c.waiting == 0 {
		c.begin()
	}
}

// stay says whether the goroutine that has carried out a request reads on.
func (c *connection) stay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting >= idleReaders {
		c.working--
		return false
	}
	c.waiting++
	return true
}
