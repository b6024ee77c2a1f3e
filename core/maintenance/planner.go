package maintenance

import (
	"time"

	"lavenderpond/core"
	"lavenderpond/core/fleet"
)

// View is a planner's input: one zone's VMs and the pools that they belong to.
type View struct {
	Zone core.ZoneID
	Wave Wave
	// VMs are the zone's VMs, sorted by name. The slice and its rows are shared and
	// must not be modified.
	VMs []*fleet.VMRow
	// Unreadable counts the zone's VMs whose rows can't be decoded. They are not
	// in VMs.
	Unreadable int
	// Pools are the pools of those VMs. A pool's row counts its VMs of all zones.
	Pools map[core.PoolID]fleet.PoolRow
}

// Command is a planner's decision. The transaction that carries it out checks the
// budget again, so a decision based on a stale view is safe.
type Command interface{ isCommand() }

// TakeOut takes a VM out of service under a drain permit.
type TakeOut struct {
	VM     fleet.Ref
	Permit fleet.Permit
}

// MoveToSpare moves a VM that is being verified into the spare pool, because a spare
// VM has taken its place.
type MoveToSpare struct {
	VM fleet.Ref
	To core.PoolID
}

// Halt stops the wave until an operator starts it again.
type Halt struct{ Reason string }

// Finish ends the wave after every VM was maintained, which is unknown of an unreadable one.
type Finish struct{}

func (TakeOut) isCommand()     {}
func (MoveToSpare) isCommand() {}
func (Halt) isCommand()        {}
func (Finish) isCommand()      {}

// Planner decides which VMs are taken out of service next. Implementations are
// pure: the same time and view give the same commands.
type Planner interface {
	Plan(now time.Time, v View) []Command
}
