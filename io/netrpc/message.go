package netrpc

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

// DefaultMaxMessage is the maximum length of a message in bytes, unless a Server sets another.
const DefaultMaxMessage = 16 << 20

const (
	// messageTimeout bounds how long a peer takes to send a message that it has begun.
	messageTimeout = 10 * time.Second
	// messageFactor is the memory that a message takes, as a multiple of its length: as it was received,
	// and decoded.
	messageFactor = 2
	// maxTypeBytes bounds the definitions of types that a connection may send, in bytes. The types of a
	// service take some KB. The decoder keeps them as long as the connection, in typeFactor times as
	// much memory.
	maxTypeBytes = 32 << 10
	typeFactor   = 8
	// callBytes is the memory of a call in progress beside its message.
	callBytes = 8 << 10
)

// Errors of a peer that doesn't keep to the limits. Its connection is closed.
var (
	errMessageTooLong = errors.New("message too long")
	errTooManyTypes   = errors.New("too many definitions of types")
	errNoMemory       = errors.New("no memory left for messages")
	errMalformed      = errors.New("malformed length of a message")
)

// account counts what a connection makes the process hold.
type account interface {
	// Hold counts more memory, or returns false if there is no more.
	Hold(bytes int64) bool
	// Release ends the account of memory that was held.
	Release(bytes int64)
	// SetBusy records whether calls of the connection are in progress. Such a connection isn't given up.
	SetBusy(busy bool)
}

// noAccount is the account of a connection that isn't counted.
type noAccount struct{}

func (noAccount) Hold(int64) bool { return true }
func (noAccount) Release(int64)   {}
func (noAccount) SetBusy(bool)    {}

// accountOf returns the account of a connection.
func accountOf(conn io.ReadWriteCloser) account {
	if a, ok := conn.(account); ok {
		return a
	}
	return noAccount{}
}

// messageReader reads the messages of a gob stream, and refuses those that are too long before any
// memory is allocated for them. It implements io.ByteReader, so that the decoder reads no further than it
// needs.
type messageReader struct {
	r       *bufio.Reader
	conn    io.ReadWriteCloser
	account account
	limit   int64
	// remaining is what is left of the current message, and held what was counted for the current request.
	remaining, held int64
	// types is the length of all definitions of types so far.
	types int64
}

func newMessageReader(conn io.ReadWriteCloser, limit int64) *messageReader {
	return &messageReader{r: bufio.NewReader(conn), conn: conn, account: accountOf(conn), limit: limit}
}

// Read implements io.Reader.
func (m *messageReader) Read(p []byte) (int, error) {
	if err := m.ensureMessage(); err != nil {
		return 0, err
	}
	n, err := m.r.Read(p[:min(int64(len(p)), m.remaining)])
	m.advance(int64(n))
	return n, err
}

// ReadByte implements io.ByteReader.
func (m *messageReader) ReadByte() (byte, error) {
	if err := m.ensureMessage(); err != nil {
		return 0, err
	}
	b, err := m.r.ReadByte()
	if err == nil {
		m.advance(1)
	}
	return b, err
}

func (m *messageReader) advance(n int64) {
	m.remaining -= n
	if m.remaining == 0 {
		m.setDeadline(time.Time{})
	}
}

// setDeadline bounds reading the rest of a message.
func (m *messageReader) setDeadline(t time.Time) {
	if c, ok := m.conn.(net.Conn); ok {
		_ = c.SetReadDeadline(t) // An error means that the connection is closed.
	}
}

// ensureMessage waits for the next message if the current one has been read.
func (m *messageReader) ensureMessage() error {
	if m.remaining > 0 {
		return nil
	}
	if _, err := m.r.Peek(1); err != nil {
		return err
	}
	m.setDeadline(time.Now().Add(messageTimeout))
	length, prefix, err := m.peekUint(0)
	if err != nil {
		return err
	}
	if length > uint64(m.limit) {
		return errors.Wrapf(errMessageTooLong, "%d bytes, at most %d are allowed", length, m.limit)
	}
	if length == 0 {
		return errMalformed
	}
	if err := m.count(int64(length), prefix); err != nil {
		return err
	}
	m.remaining = int64(prefix) + int64(length)
	return nil
}

// count counts the memory of a message that begins after a prefix.
func (m *messageReader) count(length int64, prefix int) error {
	id, _, err := m.peekUint(prefix)
	if err != nil {
		return err
	}
	if isDefinition := id&1 != 0; isDefinition {
		m.types += length
		if m.types > maxTypeBytes {
			return errTooManyTypes
		}
		if !m.account.Hold(typeFactor * length) {
			return errNoMemory
		}
		return nil
	}
	if !m.account.Hold(messageFactor * length) {
		return errNoMemory
	}
	m.held += messageFactor * length
	return nil
}

// takeHeld returns what was counted since the last call.
func (m *messageReader) takeHeld() int64 {
	held := m.held
	m.held = 0
	return held
}

// peekUint decodes an unsigned integer of gob that begins at an offset, and returns its length: a byte below 128,
// or the negated number of bytes that follow, most significant first. The number of a type is signed: its
// lowest bit is set if it is negative, which marks the definition of a type.
func (m *messageReader) peekUint(offset int) (value uint64, length int, err error) {
	b, err := m.r.Peek(offset + 1)
	if err != nil {
		return 0, 0, err
	}
	first := b[offset]
	if first < 0x80 {
		return uint64(first), 1, nil
	}
	const maxUintBytes = 8
	n := -int(int8(first))
	if n > maxUintBytes {
		return 0, 0, errMalformed
	}
	if b, err = m.r.Peek(offset + 1 + n); err != nil {
		return 0, 0, err
	}
	for _, c := range b[offset+1:] {
		value = value<<8 | uint64(c)
	}
	return value, 1 + n, nil
}
