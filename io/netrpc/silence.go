package netrpc

import (
	"sync"
	"time"
)

// Pace of a pulse.
const (
	// defaultProbeInterval is the time between two looks at a peer that owes replies.
	defaultProbeInterval = time.Second
	// maxSilentProbes is how many looks in a row may find nothing heard. Looks are counted and
	// not the time: a process that was paused itself must not take its peers for silent.
	maxSilentProbes = 3
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

// silenceDetector finds out that a peer which owes replies has fallen silent: cut off without a
// word, or frozen. Calls to it would else wait until their requests' deadlines, though
// another entry of the zone could answer, or the caller be told "unknown" and try
// elsewhere. A call that takes long is no silence, since the peer answers pings
// meanwhile; while no call waits nothing is sent. The zero value is a peer that owes
// nothing.
type silenceDetector struct {
	mu           sync.Mutex
	pending      int
	received     bool
	silentProbes int
	probing      bool
}

// probeAction is what to do after a look.
type probeAction int

const (
	// beatStop: no call waits; looks begin again with the next call.
	probeStop probeAction = iota
	// beatWait: something was heard since the last look.
	probeWait
	// beatPing: ask for a sign of life.
	probePing
	// beatSilent: the peer is silent.
	probeClose
)

// callStarted notes a call that waits for its reply. It returns true if looks have to begin.
func (d *silenceDetector) callStarted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending++
	startProbing := !d.probing
	d.probing = true
	return startProbing
}

// callEnded notes that a call waits no more.
func (d *silenceDetector) callEnded() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending--
}

// replyReceived notes a sign of life.
func (d *silenceDetector) replyReceived() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.received = true
}

// probe says what to do now.
func (d *silenceDetector) probe() probeAction {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.pending == 0:
		d.probing, d.received, d.silentProbes = false, false, 0
		return probeStop
	case d.received:
		d.received, d.silentProbes = false, 0
		return probeWait
	case d.silentProbes == maxSilentProbes:
		return probeClose
	default:
		d.silentProbes++
		return probePing
	}
}
