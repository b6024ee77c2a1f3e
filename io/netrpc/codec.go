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
// and then answers it through a requestCodec. readMu is held from the start of a request's header to the
// end of its body. See connection.
type serverCodec struct {
	conn     io.ReadWriteCloser
	messages *messageReader
	dec      *gob.Decoder
	readMu   sync.Mutex
	writeMu  sync.Mutex
	w        *writer
	// onRead is called when a request has been read, before it is processed. It returns false if there is
	// no memory left for it.
	onRead func() bool
	// readEnded is set when no further request can be read.
	readEnded atomic.Bool
}

func newServerCodec(conn io.ReadWriteCloser, maxMessage int64) *serverCodec {
	m := newMessageReader(conn, maxMessage)
	return &serverCodec{conn: conn, messages: m, dec: gob.NewDecoder(m), w: newWriter(conn)}
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

// requestCodec is the serverCodec for one goroutine. It knows what the goroutine's request holds.
type requestCodec struct {
	*serverCodec
	held int64
}

// ReadRequestBody implements rpc.ServerCodec. It unlocks readMu.
func (c *requestCodec) ReadRequestBody(body any) error {
	// readMu is locked, so what was counted belongs to this request.
	err := c.dec.Decode(body)
	c.held = c.messages.takeHeld()
	if !c.onRead() {
		// The other calls of the connection end as well, and make room.
		_ = c.conn.Close()
	}
	c.readMu.Unlock()
	return err
}

// release ends the account of the goroutine's request.
func (c *requestCodec) release() {
	c.messages.account.Release(c.held)
	c.held = 0
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
