package netrpc

import (
	"sync"
	"time"
)

// Pace of a pulse.
const (
	// pulseInterval is the time between two looks at a peer that owes replies.
	pulseInterval = time.Second
	// maxQuiet is how many looks in a row may find nothing heard. Looks are counted and
	// not the time: a process that was paused itself must not take its peers for silent.
	maxQuiet = 3
)

// AliveName is the name under which every Server answers pings.
const AliveName = "Alive"

// Alive is the net/rpc receiver for pings.
type Alive struct{}

// Ping answers with what it was sent.
func (Alive) Ping(args int, reply *int) error {
	*reply = args
	return nil
}

// pulse finds out that a peer which owes replies has fallen silent: cut off without a
// word, or frozen. Calls to it would else wait until their requests' deadlines, though
// another entry of the zone could answer, or the caller be told "unknown" and try
// elsewhere. A call that takes long is no silence, since the peer answers pings
// meanwhile; while no call waits nothing is sent. The zero value is a peer that owes
// nothing.
type pulse struct {
	mu      sync.Mutex
	pending int
	heard   bool
	quiet   int
	running bool
}

// beat is what to do after a look.
type beat int

const (
	// beatStop: no call waits; looks begin again with the next call.
	beatStop beat = iota
	// beatWait: something was heard since the last look.
	beatWait
	// beatPing: ask for a sign of life.
	beatPing
	// beatSilent: the peer is silent.
	beatSilent
)

// begin notes a call that waits for its reply. It returns true if looks have to begin.
func (p *pulse) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending++
	begins := !p.running
	p.running = true
	return begins
}

// end notes that a call waits no more.
func (p *pulse) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending--
}

// hear notes a sign of life.
func (p *pulse) hear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard = true
}

// look says what to do now.
func (p *pulse) look() beat {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.pending == 0:
		p.running, p.heard, p.quiet = false, false, 0
		return beatStop
	case p.heard:
		p.heard, p.quiet = false, 0
		return beatWait
	case p.quiet == maxQuiet:
		return beatSilent
	default:
		p.quiet++
		return beatPing
	}
}
