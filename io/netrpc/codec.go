package netrpc

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// writer encodes messages of many goroutines to one connection. Whoever writes while
// others wait leaves the flush to the last of them, so that under load one system call
// carries many messages and nobody waits for another.
type writer struct {
	// pending counts the goroutines that write or wait to; the last one flushes.
	pending atomic.Int64
	buf     *bufio.Writer
	enc     *gob.Encoder
}

func newWriter(w io.Writer) *writer {
	buf := bufio.NewWriter(w)
	return &writer{buf: buf, enc: gob.NewEncoder(buf)}
}

// write encodes a header and a body. The caller has counted itself in queued before
// it took the lock under which it calls.
func (w *writer) write(header, body any) error {
	err := w.enc.Encode(header)
	if err == nil {
		err = w.enc.Encode(body)
	}
	if w.pending.Add(-1) > 0 && err == nil {
		return nil
	}
	if flushErr := w.buf.Flush(); err == nil {
		err = flushErr
	}
	return err
}

// serverCodec is a rpc.ServerCodec for many goroutines that each read a request and
// answer it: from a request's header to the end of its body one of them reads, then
// the next one may. See serve.
type serverCodec struct {
	conn    io.ReadWriteCloser
	dec     *gob.Decoder
	readMu  sync.Mutex
	writeMu sync.Mutex
	w       *writer
	// onRead is called when a request is read, before it is carried out.
	onRead func()
	// readEnded says that nothing can be read any more.
	readEnded atomic.Bool
}

func newServerCodec(conn io.ReadWriteCloser) *serverCodec {
	return &serverCodec{conn: conn, dec: gob.NewDecoder(bufio.NewReader(conn)), w: newWriter(conn)}
}

// ReadRequestHeader implements rpc.ServerCodec. It takes the right to read.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.readMu.Lock()
	err := c.dec.Decode(r)
	if err != nil {
		c.readEnded.Store(true)
		c.readMu.Unlock()
	}
	return err
}

// ReadRequestBody implements rpc.ServerCodec. It gives the right to read back.
func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.dec.Decode(body)
	c.onRead()
	c.readMu.Unlock()
	return err
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	c.w.pending.Add(1)
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	err := c.w.write(r, body)
	if err != nil {
		// A peer that got half a message can't read the next one.
		_ = c.conn.Close()
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error { return c.conn.Close() }

// clientCodec is a rpc.ClientCodec. The rpc.Client locks around WriteRequest; calls
// count themselves in w.queued before.
type clientCodec struct {
	conn io.ReadWriteCloser
	dec  *gob.Decoder
	w    *writer
	// onReply is called when a reply comes.
	onReply func()
}

func newClientCodec(conn io.ReadWriteCloser, onReply func()) *clientCodec {
	return &clientCodec{conn: conn, dec: gob.NewDecoder(bufio.NewReader(conn)), w: newWriter(conn), onReply: onReply}
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	err := c.w.write(r, body)
	if err != nil {
		// A peer that got half a message can't read the next one.
		_ = c.conn.Close()
	}
	return errors.WithStack(err)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.dec.Decode(r)
	if err == nil {
		c.onReply()
	}
	return err
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error { return c.dec.Decode(body) }

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error { return c.conn.Close() }
