// Package route chooses the target VM for a request.
//
// Variants stand in sub-packages behind the Router interface: random is the
// naive baseline that measurements compare with.
package route

import (
	"time"

	"lavenderpond/core"
)

// Target is a VM as the router sees it: only VMs that may get new work.
type Target struct {
	VM    core.VMID
	Pool  core.PoolID
	Rack  core.RackID
	Slots core.Slots
	// Connections is how many connections the VM accepts from all entries.
	Connections int
}

// Pool is what the router needs to know of a pool.
type Pool struct {
	ID core.PoolID
	// LendsIdle lets other queues' requests overflow into idle slots.
	LendsIdle bool
	// MaxEjected bounds how many of the pool's targets may be ejected at once:
	// what is left of its availability budget.
	MaxEjected int
}

// Criteria is a request for a target.
type Criteria struct {
	Pool core.PoolID
	// Overflow allows a target of another pool that lends idle slots.
	Overflow bool
	// Urgent work that overflows may take every idle slot of a pool that lends;
	// other work leaves a reserve.
	Urgent bool
	// Tried are targets that refused this request before.
	Tried []core.VMID
	// NoProbe keeps the request from targets that are under suspicion while others
	// have a slot: it can't be sent again if they fail it.
	NoProbe bool
}

// Result says how a request ended at a target.
type Result int

// The results that a router learns from.
const (
	// Succeeded: the whole answer came back.
	Succeeded Result = iota
	// Failed: the target ran the request and failed, or broke off.
	Failed
	// Full: the target had no free slot; other entries use it too. Normal.
	Full
	// Refused: the target took nothing, for instance because it is leaving.
	Refused
	// Unreachable: no connection could be made.
	Unreachable
	// Unsent: the request was given up before it left, which says nothing about
	// the target.
	Unsent
)

var resultNames = [...]string{"succeeded", "failed", "full", "refused", "unreachable", "unsent"}

// String returns the result's name.
func (r Result) String() string {
	if r < 0 || int(r) >= len(resultNames) {
		return "unknown"
	}
	return resultNames[r]
}

// Router chooses targets. Implementations are pure and not safe for concurrent
// use. They count what this entry has running at each target.
type Router interface {
	// Update replaces the targets and pools. Counts of targets that stay are kept.
	Update(now time.Time, targets []Target, pools []Pool)
	// Pick returns a target that has, by what is known, a free slot.
	Pick(now time.Time, criteria Criteria) (core.VMID, bool)
	// Started counts a dispatch to vm.
	Started(now time.Time, vm core.VMID)
	// Ended takes back a Started and learns from how it went.
	Ended(now time.Time, vm core.VMID, result Result, run time.Duration)
	// Idle returns how many slots want could use now, by what is known.
	Idle(now time.Time, criteria Criteria) core.Slots
}
