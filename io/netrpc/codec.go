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

// writer encodes the messages of many goroutines to one connection. A goroutine that
// writes while others wait to write leaves the flush to the last of them. So under load
// one system call sends many messages, and no goroutine waits for more messages to come.
type writer struct {
	// pending counts the goroutines that write or wait to write. The last one flushes.
	pending atomic.Int64
	buf     *bufio.Writer
	enc     *gob.Encoder
}

func newWriter(w io.Writer) *writer {
	buf := bufio.NewWriter(w)
	return &writer{buf: buf, enc: gob.NewEncoder(buf)}
}

// write encodes a header and a body. The caller must increment pending, then acquire the
// lock that serializes the writes, and then call write.
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

// serverCodec is an rpc.ServerCodec for many goroutines, each of which reads a request
// and then answers it. readMu is held from the start of a request's header to the end of
// its body. See connection.
type serverCodec struct {
	conn    io.ReadWriteCloser
	dec     *gob.Decoder
	readMu  sync.Mutex
	writeMu sync.Mutex
	w       *writer
	// onRead is called when a request has been read, before it is processed.
	onRead func()
	// readEnded is set when no further request can be read.
	readEnded atomic.Bool
}

func newServerCodec(conn io.ReadWriteCloser) *serverCodec {
	return &serverCodec{conn: conn, dec: gob.NewDecoder(bufio.NewReader(conn)), w: newWriter(conn)}
}

// ReadRequestHeader implements rpc.ServerCodec. Unless it fails, it returns with readMu
// locked.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.readMu.Lock()
	err := c.dec.Decode(r)
	if err != nil {
		c.readEnded.Store(true)
		c.readMu.Unlock()
	}
	return err
}

// ReadRequestBody implements rpc.ServerCodec. It unlocks readMu.
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
		// After an incomplete message, the peer can't decode the next one.
		_ = c.conn.Close()
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error { return c.conn.Close() }

// clientCodec is an rpc.ClientCodec. rpc.Client serializes the calls of WriteRequest.
// Before each of them, client.start increments w.pending.
type clientCodec struct {
	conn io.ReadWriteCloser
	dec  *gob.Decoder
	w    *writer
	// onReply is called for each reply that is received.
	onReply func()
}

func newClientCodec(conn io.ReadWriteCloser, onReply func()) *clientCodec {
	return &clientCodec{conn: conn, dec: gob.NewDecoder(bufio.NewReader(conn)), w: newWriter(conn), onReply: onReply}
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	err := c.w.write(r, body)
	if err != nil {
		// After an incomplete message, the peer can't decode the next one.
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
