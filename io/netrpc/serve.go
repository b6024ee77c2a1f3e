package netrpc

import (
	"net"
	"net/rpc"
	"sync"

	"lavenderpond/io/supervisor"
)

// maxIdleReaders bounds the number of goroutines that wait to read a connection's next
// request.
const maxIdleReaders = 8

// connection serves the requests of one peer. The loop of net/rpc reads on one goroutine
// and starts another one for each call, which costs two goroutine switches and a new
// stack per call. Here the goroutine that has read a request also processes it, while
// the next one reads. A new goroutine is started only if none is waiting to read, so a
// slow call doesn't block others.
type connection struct {
	rpc   *rpc.Server
	codec *serverCodec
	group supervisor.Group

	mu sync.Mutex
	// readers counts the goroutines that read or wait to read. goroutines counts all
	// goroutines of the connection.
	readers, goroutines int
}

func newConnection(server *rpc.Server, conn net.Conn, maxMessage int64) *connection {
	c := &connection{rpc: server, codec: newServerCodec(conn, maxMessage)}
	c.codec.onRead = c.onRequestRead
	return c
}

// serve processes requests until the connection is closed and all calls have returned.
func (c *connection) serve() {
	c.startReader()
	c.group.Wait()
	_ = c.codec.Close()
}

// startReader starts a goroutine that reads requests. The caller must hold mu, unless no
// goroutine of the connection is running yet.
func (c *connection) startReader() {
	c.readers++
	c.goroutines++
	c.group.Go(c.serveRequests)
}

// serveRequests reads and processes requests until the connection ends or enough other
// goroutines wait to read. The error of a single request is ignored, because it has been
// sent to the peer.
func (c *connection) serveRequests() {
	codec := &requestCodec{serverCodec: c.codec}
	for {
		_ = c.rpc.ServeRequest(codec)
		codec.release()
		if c.codec.readEnded.Load() || !c.keepReading() {
			return
		}
	}
}

// onRequestRead is called when a goroutine has read a request. It ensures that another
// goroutine reads the next request while this one is processed. It returns false if there is no memory left
// for another goroutine.
func (c *connection) onRequestRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readers--
	c.codec.messages.account.SetBusy(true)
	if c.readers > 0 {
		return true
	}
	ok := c.codec.messages.account.Hold(callBytes)
	c.startReader()
	return ok
}

// keepReading reports whether a goroutine that has processed a request should read the
// next one. If not, the goroutine has to end.
func (c *connection) keepReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ends := c.readers >= maxIdleReaders
	if ends {
		c.goroutines--
		c.codec.messages.account.Release(callBytes)
	} else {
		c.readers++
	}
	if c.readers == c.goroutines {
		c.codec.messages.account.SetBusy(false)
	}
	return !ends
}
