package node

import (
	"lavenderpond/io/inbound"
	"lavenderpond/platform"
)

const (
	// assumedMemoryMB and assumedFiles are those of the smallest entry VM of the known deployments. They
	// stand for what the settings don't give.
	assumedMemoryMB = 160
	assumedFiles    = 4100
	// reservedFiles are the descriptors that the platform reserves for files. The rest is for sockets.
	reservedFiles = 200

	// callerMemoryPart is the part of the memory, as a divisor, that callers may make the process
	// hold. An owner's own state takes up to half.
	callerMemoryPart = 4
	// callerFilesPart is the part of the sockets, as a divisor, that callers' connections may take.
	callerFilesPart = 4
	// connectionMemoryPart is the part of the callers' memory, as a divisor, that connections without a request may
	// take. The rest is left to their requests.
	connectionMemoryPart = 2

	// probeFilesPart and maxProbeConnections bound the connections of load balancers and operators, the former
	// as a divisor of the sockets. A load balancer needs one.
	probeFilesPart      = 16
	maxProbeConnections = 64
	// probeMemoryPart is the part of the memory, as a divisor, that they may make the process hold.
	probeMemoryPart = 16

	// peerFilesPart and peerMemoryPart are the parts of the sockets and of the memory, as divisors, that other
	// processes may take. Each needs one connection.
	peerFilesPart  = 8
	peerMemoryPart = 8
	// relayFilesPart is the part of the sockets, as a divisor, that calls to VMs for other processes may take.
	relayFilesPart = 4
)

// holdLimits bound what others may make this process hold. They are always in force.
type holdLimits struct {
	// callers are the limits of the listener for callers.
	callers inbound.Limits
	// probes are those of the listener for load balancers and operators.
	probes inbound.Limits
	// peers are those of the listener for other processes of lavenderpond.
	peers inbound.Limits
	// relayedOrders is the maximum number of orders in progress that are relayed to VMs.
	relayedOrders int
	// jobBytes is the memory that accepted jobs may take while this process is the owner.
	jobBytes int64
}

// limitsFor returns the limits for an entry VM.
func limitsFor(s *platform.Settings) holdLimits {
	memory := orAssumed(s.MemoryMB, assumedMemoryMB) * bytesPerMB
	sockets := max(0, orAssumed(s.MaxFiles, assumedFiles)-reservedFiles)
	callerMemory, peerMemory := memory/callerMemoryPart, memory/peerMemoryPart
	return holdLimits{
		callers: inbound.Limits{
			Connections: max(1, min(sockets/callerFilesPart, int(callerMemory/connectionMemoryPart/inbound.ConnectionBytes))),
			Bytes:       callerMemory,
		},
		probes: inbound.Limits{
			Connections: max(1, min(sockets/probeFilesPart, maxProbeConnections)),
			Bytes:       memory / probeMemoryPart,
		},
		peers: inbound.Limits{
			Connections: max(1, min(sockets/peerFilesPart, int(peerMemory/connectionMemoryPart/inbound.ConnectionBytes))),
			Bytes:       peerMemory,
		},
		relayedOrders: max(1, sockets/relayFilesPart),
		jobBytes:      memory / jobMemoryPart,
	}
}

// orAssumed returns n, or what is assumed if it isn't known.
func orAssumed[T int | int64](n, assumed T) T {
	if n > 0 {
		return n
	}
	return assumed
}

// newGuard returns a guard of a listener, with gauges of what its clients hold.
func (n *Node) newGuard(name string, l inbound.Limits) *inbound.Guard {
	g := inbound.NewGuard(name, l, n.log, n.metrics.count)
	n.metrics.observeGauge(name+"_connections", func() int64 {
		connections, _ := g.Held()
		return int64(connections)
	})
	n.metrics.observeGauge(name+"_held_bytes", func() int64 {
		_, bytes := g.Held()
		return bytes
	})
	return g
}
