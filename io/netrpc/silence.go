package netrpc

import (
	"sync"
	"time"
)

// Timing of a silenceDetector.
const (
	// defaultProbeInterval is the time between two probes of a peer while calls wait
	// for its replies.
	defaultProbeInterval = time.Second
	// maxSilentProbes is the number of successive probes that may find that nothing was
	// received. Probes are counted instead of time, because a process that was itself
	// paused must not treat its peers as silent.
	maxSilentProbes = 3
)

// AliveName is the net/rpc service name under which every Server answers pings.
const AliveName = "Alive"

// Alive is the net/rpc receiver for pings.
type Alive struct{}

// Ping replies with its argument.
func (Alive) Ping(args int, reply *int) error {
	*reply = args
	return nil
}

// silenceDetector detects that a peer with pending calls has fallen silent, because it
// is frozen or because the network drops its packets. Without it, calls would wait until
// their requests' deadlines, although another entry of the zone could answer, or the
// caller could be told "unknown" and retry elsewhere. A peer that takes long to process
// a call isn't silent, because it answers pings meanwhile. No pings are sent while no
// call is pending. The zero value is ready to use.
type silenceDetector struct {
	mu sync.Mutex
	// pending counts the calls that wait for a reply.
	pending int
	// received is set if a reply was received since the last probe.
	received bool
	// silentProbes counts the successive probes that found that nothing was received.
	silentProbes int
	// probing is set while probes are scheduled.
	probing bool
}

// probeAction is the action to take after a probe.
type probeAction int

const (
	// probeStop means that no call is pending. Probing resumes with the next call.
	probeStop probeAction = iota
	// probeWait means that a reply was received since the last probe.
	probeWait
	// probePing means that a ping has to be sent.
	probePing
	// probeClose means that the peer is silent and the connection has to be closed.
	probeClose
)

// callStarted records that a call is pending. It returns true if the caller has to start
// probing.
func (d *silenceDetector) callStarted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending++
	startProbing := !d.probing
	d.probing = true
	return startProbing
}

// callEnded records that a call is no longer pending.
func (d *silenceDetector) callEnded() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending--
}

// replyReceived records that a reply to a call or a ping was received.
func (d *silenceDetector) replyReceived() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.received = true
}

// probe returns the action to take. It has to be called once per probe interval, until
// it returns probeStop or probeClose.
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
