// Package route selects the target VM for a request.
//
// Implementations of the Router interface are in sub-packages. Package random is a
// simple baseline for comparison in measurements.
package route

import (
	"time"

	"lavenderpond/core"
)

// Target describes a VM that may receive new work.
type Target struct {
	VM    core.VMID
	Pool  core.PoolID
	Rack  core.RackID
	Slots core.Slots
	// Connections is the number of connections that the VM accepts from all entries
	// together.
	Connections int
}

// Pool holds the properties of a pool that affect routing.
type Pool struct {
	ID core.PoolID
	// LendsIdle allows requests of other queues to overflow into idle slots of the
	// pool.
	LendsIdle bool
	// MaxEjected is the maximum number of the pool's targets that may be ejected at the
	// same time. It is the remainder of the pool's availability budget.
	MaxEjected int
}

// Criteria specifies which targets are suitable for a request.
type Criteria struct {
	Pool core.PoolID
	// Overflow permits targets of other pools that lend idle slots.
	Overflow bool
	// Urgent requests may overflow into every idle slot of a pool that lends; other
	// requests leave a reserve.
	Urgent bool
	// Tried lists the targets that refused this request before.
	Tried []core.VMID
	// NoProbe keeps the request away from unhealthy targets while others have a free
	// slot, because it can't be sent again if such a target fails it.
	NoProbe bool
}

// Result is the outcome of a request at a target.
type Result int

// Values of Result.
const (
	// Succeeded means that the complete answer was received.
	Succeeded Result = iota
	// Failed means that the target ran the request and failed, or aborted it.
	Failed
	// Full means that the target had no free slot. This is normal, because other
	// entries use the same slots.
	Full
	// Refused means that the target didn't accept the request, for instance because it
	// is leaving.
	Refused
	// Unreachable means that no connection could be established.
	Unreachable
	// Unsent means that the request was abandoned before it was sent, which says
	// nothing about the target.
	Unsent
)

var resultNames = [...]string{"succeeded", "failed", "full", "refused", "unreachable", "unsent"}

// String returns the name of r.
func (r Result) String() string {
	if r < 0 || int(r) >= len(resultNames) {
		return "unknown"
	}
	return resultNames[r]
}

// Router selects targets and counts the requests that this entry has running at each of
// them. Implementations do no I/O and aren't safe for concurrent use.
type Router interface {
	// Update replaces the targets and pools. The counts of targets that remain are
	// kept.
	Update(now time.Time, targets []Target, pools []Pool)
	// Pick returns a target that has a free slot according to the available
	// information.
	Pick(now time.Time, criteria Criteria) (core.VMID, bool)
	// Started records a dispatch to vm.
	Started(now time.Time, vm core.VMID)
	// Ended removes a request that was recorded with Started from the target's count,
	// and updates the target's statistics with the result.
	Ended(now time.Time, vm core.VMID, result Result, run time.Duration)
	// Idle returns the number of slots that a request with these criteria could use
	// now, according to the available information.
	Idle(now time.Time, criteria Criteria) core.Slots
}
