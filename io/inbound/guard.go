// Package inbound bounds what the clients that connect to this process can make it hold: their
// connections, headers, bodies and unread answers. Its limits are always in force. They protect the process,
// whoever the clients are, and know nothing of accounts.
package inbound

import (
	"bytes"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lavenderpond/core/intake"
)

// ErrOverloaded means that a request was given up before it had arrived whole, since the process can't
// hold more. It was not acted upon.
var ErrOverloaded = errors.New("the process can't hold more of what callers send")

// Limits are what the clients of one listener may make the process hold.
type Limits struct {
	// Connections is the maximum number of open connections.
	Connections int
	// Bytes is the maximum memory of all connections together.
	Bytes int64
}

const (
	// ConnectionBytes is the memory that a connection holds without a request: its goroutine, its
	// buffers, and what the kernel has received for it.
	ConnectionBytes = 48 << 10
	// fieldBytes is the memory of a header field beside its text.
	fieldBytes = 128
	// textFactor is the memory that a text takes while it is read, as a multiple of its length: in its
	// buffer, and in what is made of it.
	textFactor = 2
	// closingPart is how many connections, as a divisor of the maximum, may be closing besides.
	closingPart = 4
	// reportInterval is the shortest time between two log lines about clients that were limited.
	reportInterval = time.Second
)

// Guard enforces the limits of one listener. Use NewGuard to create one. It is safe for concurrent use.
type Guard struct {
	// name is the listener's name in logs and metrics.
	name string
	log  zerolog.Logger
	// count increments a counter.
	count func(name string)

	mu     sync.Mutex
	ledger intake.Ledger
	// conns are the open connections by their accounts.
	conns map[*intake.Holding]*Conn
	// descriptors is the number of connections that aren't closed, those that were given up included.
	descriptors int
	// limited counts the connections that were refused or given up since the last report, which may be
	// followed by another one from nextReport on.
	limited    int
	nextReport time.Time
}

// NewGuard returns a guard of a listener. count is called with the name of each counter to increment.
func NewGuard(name string, l Limits, log zerolog.Logger, count func(name string)) *Guard {
	return &Guard{
		name: name, log: log, count: count, conns: map[*intake.Holding]*Conn{},
		ledger: intake.Ledger{MaxConnections: l.Connections, MaxBytes: l.Bytes},
	}
}

// Held returns the number of open connections and the memory that they hold, in bytes.
func (g *Guard) Held() (connections int, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Connections(), g.ledger.Bytes()
}

// open counts a new connection, or returns false if there is no place for it.
func (g *Guard) open(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tooManyClosing() {
		g.limit("refused")
		return false
	}
	h, givenUp := g.ledger.Open(time.Now(), ConnectionBytes)
	g.giveUp(givenUp)
	if h == nil {
		g.limit("refused")
		return false
	}
	g.descriptors++
	c.holding = h
	g.conns[h] = c
	return true
}

// tooManyClosing reports whether no further connection may be given up for a new one: a client may take a
// moment to read why it was given up, and its connection stays open meanwhile. The caller holds mu.
func (g *Guard) tooManyClosing() bool {
	limit := g.ledger.MaxConnections
	return limit > 0 && g.descriptors > limit+limit/closingPart
}

// add lets a connection hold more memory, or returns false if there isn't enough.
func (g *Guard) add(c *Conn, bytes int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.holding.Closed() {
		return false
	}
	givenUp, ok := g.ledger.Add(c.holding, bytes)
	g.giveUp(givenUp)
	if !ok {
		g.limit("refused")
	}
	return ok
}

// receive counts a part of a header, or returns false if the connection is given up.
func (g *Guard) receive(c *Conn, bytes int64) bool {
	return g.setPhase(c, intake.Receiving) && g.add(c, bytes)
}

// shrink lets a connection hold no more than the given memory.
func (g *Guard) shrink(c *Conn, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Shrink(c.holding, bytes)
}

// release ends the account of memory that a connection held.
func (g *Guard) release(c *Conn, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Shrink(c.holding, c.holding.Bytes()-bytes)
}

// touch records that a connection is in use.
func (g *Guard) touch(c *Conn, p intake.Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.ledger.SetPhase(now, c.holding, p)
	g.ledger.Touch(now, c.holding)
}

// setPhase records what a connection is doing. It returns false if the connection was given up.
func (g *Guard) setPhase(c *Conn, p intake.Phase) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.SetPhase(time.Now(), c.holding, p)
	return !c.holding.Closed()
}

// close ends the account of a connection that is closed.
func (g *Guard) close(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	g.descriptors--
	g.ledger.Close(c.holding)
	delete(g.conns, c.holding)
}

// giveUp ends connections that were given up. The caller holds mu.
func (g *Guard) giveUp(givenUp []*intake.Holding) {
	for _, h := range givenUp {
		g.limit("given_up_" + h.Phase().String())
		g.conns[h].interrupt(h.Phase())
		delete(g.conns, h)
	}
}

// limit counts a connection that was limited, and logs how many were since the last report. The caller
// holds mu.
func (g *Guard) limit(how string) {
	g.count(g.name + "_" + how)
	g.limited++
	now := time.Now()
	if now.Before(g.nextReport) {
		return
	}
	g.log.Warn().Str("event", "clients_limited").Str("listener", g.name).Str("how", how).Int("since_last", g.limited).
		Int("connections", g.ledger.Connections()).Int64("bytes", g.ledger.Bytes()).Send()
	g.limited, g.nextReport = 0, now.Add(reportInterval)
}

// textCost returns the memory that a text takes, each line of which may become a header field.
func textCost(text []byte) int64 {
	fields := bytes.Count(text, []byte{'\n'})
	return textFactor*int64(len(text)) + fieldBytes*int64(fields)
}

// serverErrorLog is where http.Server reports broken connections. They are no faults of this process, and
// a line for each of them would let clients fill the log.
type serverErrorLog struct{ guard *Guard }

// Write implements io.Writer.
func (w serverErrorLog) Write(p []byte) (int, error) {
	w.guard.count(w.guard.name + "_connection_errors")
	return len(p), nil
}
