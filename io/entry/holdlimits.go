package entry

import (
	"github.com/rcrowley/go-metrics"

	"lavenderpond/io/inbound"
	"lavenderpond/io/ini"
)

const (
	// assumedMemory, in bytes, and assumedFiles stand for what the settings don't give.
	assumedMemory = 256 << 20
	assumedFiles  = 4096
	// callerMemoryPart and peerMemoryPart are the parts of the memory, as divisors, that callers and other
	// entries may make the daemon hold, and keptMemoryPart is the part for requests and answers.
	callerMemoryPart = 4
	peerMemoryPart   = 4
	keptMemoryPart   = 4
	// callerFilesPart and peerFilesPart are the parts of the descriptors, as divisors, that they may take. The rest is
	// for the platform and the VMs.
	callerFilesPart = 4
	peerFilesPart   = 8
	// connectionMemoryPart is the part of a listener's memory, as a divisor, that connections without a request
	// may take.
	connectionMemoryPart = 2
	// quickCallsPart is the part of the callers' connections, as a divisor, that is left to calls that don't wait.
	quickCallsPart = 4
	// peerMessageOverhead is the maximum length of a message of another entry beside the body of a
	// request, in bytes.
	peerMessageOverhead = 16 << 20
)

// holdLimits bound what others may make the daemon hold.
type holdLimits struct {
	callers, peers inbound.Limits
	// waiting is the maximum number of submissions that wait for their answers.
	waiting int64
	// peerMessage is the maximum length of a message of another entry.
	peerMessage int64
	// kept is the memory for requests and answers.
	kept int64
}

func limitsFor(s *ini.Settings) holdLimits {
	memory, files := int64(assumedMemory), assumedFiles
	if s.Limits.Memory > 0 {
		memory = int64(s.Limits.Memory)
	}
	if s.Limits.Files > 0 {
		files = s.Limits.Files
	}
	// A body of the largest size has to be served.
	callers := listenerLimits(max(memory/callerMemoryPart, 2*bodyFactor*int64(s.Entry.MaxBody)), files/callerFilesPart)
	return holdLimits{
		callers:     callers,
		waiting:     int64(max(1, callers.Connections-callers.Connections/quickCallsPart)),
		peers:       listenerLimits(memory/peerMemoryPart, files/peerFilesPart),
		peerMessage: peerMessageOverhead + 2*int64(s.Entry.MaxBody),
		kept:        memory / keptMemoryPart,
	}
}

func listenerLimits(bytes int64, connections int) inbound.Limits {
	return inbound.Limits{Connections: max(1, min(connections, int(bytes/connectionMemoryPart/inbound.ConnectionBytes))), Bytes: bytes}
}

// newGuard returns a guard of a listener.
func (d *Daemon) newGuard(name string, l inbound.Limits) *inbound.Guard {
	return inbound.NewGuard(name, l, d.log, func(counter string) {
		metrics.GetOrRegisterCounter(counter, d.metrics).Inc(1)
	})
}
